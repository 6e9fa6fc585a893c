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
	"pistachioroad.dev/pistachioroad/internal/serverconn"
)

// maxResponseBytes limits the body of a response; dumps are the largest.
const maxResponseBytes = 16 << 20

// errResponseLost means that the request may have reached the entry but no usable response
// was received.
var errResponseLost = eris.New("the answer was lost")

// client sends requests to the first of its entries that is reachable.
type client struct {
	http    *http.Client
	entries []string
	token   string
}

func newClient(entries []string, token string) *client {
	return &client{
		http: &http.Client{
			Transport: serverconn.NewTransport(&http.Transport{DisableKeepAlives: true}),
			// Following a redirect would send the token to another address.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		entries: entries,
		token:   token,
	}
}

// get decodes the response to a GET request for path into result. Such requests are safe
// to repeat, so it also tries the next entry if a response was lost.
func (c *client) get(ctx context.Context, path string, result any) error {
	var failures error
	for _, entry := range c.entries {
		status, data, err := c.do(ctx, http.MethodGet, entry, path, nil)
		if err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		if status != http.StatusOK {
			return responseError(entry, status, data)
		}
		return eris.Wrapf(json.Unmarshal(data, result), "answer of %s", entry)
	}
	return eris.Wrap(failures, "no entry answers")
}

// edit sends an edit to the first reachable entry. It returns errResponseLost if the
// response was lost. The edit is then not sent to another entry: it may already be active
// and followed by another operator's edit, which it would undo.
func (c *client) edit(ctx context.Context, r operator.EditRequest) (operator.EditResult, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return operator.EditResult{}, eris.Wrap(err, "encode edit")
	}
	var failures error
	for _, entry := range c.entries {
		status, data, err := c.do(ctx, http.MethodPost, entry, "/fleet/edits", body)
		switch {
		case errors.Is(err, errResponseLost):
			return operator.EditResult{}, err
		case err != nil:
			failures = errors.Join(failures, err)
			continue
		}
		return decodeResult(entry, status, data)
	}
	return operator.EditResult{}, eris.Wrap(failures, "no entry can be reached; nothing was changed")
}

// decodeResult decodes the response of entry to an edit. A response without an outcome is
// errResponseLost if the edit may have been made.
func decodeResult(entry string, status int, data []byte) (operator.EditResult, error) {
	var result operator.EditResult
	if json.Unmarshal(data, &result) == nil && result.Outcome != "" {
		return result, nil
	}
	if status == http.StatusOK || status >= http.StatusInternalServerError {
		return result, eris.Wrapf(errResponseLost, "%s answered %d without an outcome", entry, status)
	}
	return result, responseError(entry, status, data)
}

// do sends one request to entry. The error is errResponseLost if the request may have
// arrived.
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
		return 0, nil, eris.Wrap(errResponseLost, err.Error())
	}
	if err != nil {
		return 0, nil, eris.Wrap(err, "not reached")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, eris.Wrap(errResponseLost, err.Error())
	}
	return response.StatusCode, data, nil
}

// responseError returns the error for a response that is not a result.
func responseError(entry string, status int, data []byte) error {
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
