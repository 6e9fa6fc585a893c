package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/danielgtaylor/huma/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/operator"
)

// maxAnswer bounds an answer in bytes; a dump is the largest.
const maxAnswer = 16 << 20

// errSent says that a request was sent and its answer lost.
var errSent = eris.New("the answer was lost")

// client talks to the first entry that can be reached.
type client struct {
	http    *http.Client
	entries []string
	token   string
}

func newClient(entries []string, token string) *client {
	return &client{
		http: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true},
			// A redirect would carry the token to another address.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		entries: entries,
		token:   token,
	}
}

// get reads path into answer. A read can be asked again, so it goes on to the
// next entry also when an answer was lost.
func (c *client) get(ctx context.Context, path string, answer any) error {
	var failures error
	for _, entry := range c.entries {
		status, data, err := c.do(ctx, http.MethodGet, entry, path, nil)
		if err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		if status != http.StatusOK {
			return answerError(entry, status, data)
		}
		return eris.Wrapf(json.Unmarshal(data, answer), "answer of %s", entry)
	}
	return eris.Wrap(failures, "no entry answers")
}

// edit sends the edit to the first entry that can be reached. It returns
// errSent when the answer was lost; the edit is then not sent to another
// entry, for it may be in force already and somebody's next one on top.
func (c *client) edit(ctx context.Context, r operator.EditRequest) (operator.EditResult, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return operator.EditResult{}, eris.Wrap(err, "encode edit")
	}
	var failures error
	for _, entry := range c.entries {
		status, data, err := c.do(ctx, http.MethodPost, entry, "/fleet/edits", body)
		switch {
		case errors.Is(err, errSent):
			return operator.EditResult{}, err
		case err != nil:
			failures = errors.Join(failures, err)
			continue
		}
		return decodeResult(entry, status, data)
	}
	return operator.EditResult{}, eris.Wrap(failures, "no entry can be reached; nothing was changed")
}

func decodeResult(entry string, status int, data []byte) (operator.EditResult, error) {
	var result operator.EditResult
	if json.Unmarshal(data, &result) == nil && result.Outcome != "" {
		return result, nil
	}
	if status == http.StatusOK || status >= http.StatusInternalServerError {
		return result, eris.Wrapf(errSent, "%s answered %d without an outcome", entry, status)
	}
	return result, answerError(entry, status, data)
}

// do makes one request. Its error is errSent if the request may have arrived.
func (c *client) do(ctx context.Context, method, entry, path string, body []byte) (int, []byte, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, eris.Wrap(err, entry)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil && connected {
		return 0, nil, eris.Wrap(errSent, err.Error())
	}
	if err != nil {
		return 0, nil, eris.Wrap(err, "not reached")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return 0, nil, eris.Wrap(errSent, err.Error())
	}
	return response.StatusCode, data, nil
}

// answerError turns an answer that is none into an error.
func answerError(entry string, status int, data []byte) error {
	var problem huma.ErrorModel
	if json.Unmarshal(data, &problem) != nil || problem.Title == "" {
		return eris.Errorf("%s answered %d: %s", entry, status, bytes.TrimSpace(data))
	}
	text := fmt.Sprintf("%s answered %d: %s", entry, status, lo.CoalesceOrEmpty(problem.Detail, problem.Title))
	for _, detail := range problem.Errors {
		text += "; " + detail.Error()
	}
	return eris.New(text)
}
