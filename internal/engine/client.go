package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout = time.Second
	// maxIdleConns bounds the connections kept open to one engine.
	maxIdleConns = 64
	// maxLine bounds one line of an answer in bytes.
	maxLine = 1 << 20
	// maxReport bounds a report of state, load or cache events in bytes.
	maxReport = 4 << 20
)

// Client is an Engine over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a Client of the engine at address, an IP number and a
// port. It connects on first use.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: newTransport()}}
}

// newTransport leaves out the environment's proxy: the engine is the
// neighbour on the same VM.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// line is one line of an answer; one field is set.
type line struct {
	Piece  *Chunk  `json:"piece,omitempty"`
	Finish *Finish `json:"finish,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, r Request, emit func(Chunk) error) (Finish, error) {
	resp, err := c.post(ctx, "/generate", r, r.SendDeadline)
	if err != nil {
		return Finish{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Finish{}, generateError(resp)
	}
	return readAnswer(resp.Body, emit)
}

// readAnswer passes the pieces on until the line that ends the answer. An
// engine that crashes leaves an answer that merely stops; without the last line
// it would pass for a shorter whole one.
func readAnswer(body io.Reader, emit func(Chunk) error) (Finish, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var l line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return Finish{}, eris.Wrap(ErrInterrupted, "unreadable line: "+err.Error())
		}
		switch {
		case l.Finish != nil:
			return *l.Finish, nil
		case l.Error != "":
			return Finish{}, eris.Wrap(ErrRequestFailed, l.Error)
		case l.Piece != nil:
			if err := emit(*l.Piece); err != nil {
				return Finish{}, err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return Finish{}, eris.Wrap(ErrInterrupted, err.Error())
	}
	return Finish{}, eris.Wrap(ErrInterrupted, "answer has no end")
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	resp, err := c.post(ctx, "/cancel", cancellation{ID: id}, time.Time{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp)
	}
	return nil
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	resp, err := c.post(ctx, "/orders", o, time.Time{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode >= http.StatusMultipleChoices:
		return statusError(resp)
	}
	return nil
}

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	return get[State](ctx, c, "/state")
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	return get[Load](ctx, c, "/load")
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	return get[[]CacheEvent](ctx, c, "/events?after="+strconv.FormatUint(after, 10))
}

// cancellation is the body of a cancel.
type cancellation struct {
	ID string `json:"id"`
}

// post sends body as JSON, unless the time before is over.
func (c *Client) post(ctx context.Context, path string, body any, before time.Time) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, NewDeadlineBody(data, before))
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	req.ContentLength = int64(len(data))
	// With GetBody, net/http sends a POST again if the idle connection that it
	// picked had been closed and nothing was written; never after that.
	req.GetBody = func() (io.ReadCloser, error) { return NewDeadlineBody(data, before), nil }
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	return resp, nil
}

// sendError tells an engine that was not reached from one whose reply was
// lost. Only a failed dial, or a body that was held back, proves that no whole
// request was sent.
func sendError(err error) error {
	var op *net.OpError
	if errors.Is(err, ErrDeadlinePassed) || errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(ErrInterrupted, err.Error())
}

// generateError tells a request that the engine failed from an engine that
// failed: an error that the engine reports says nothing about other requests.
func generateError(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusConflict,
		resp.StatusCode == http.StatusTooManyRequests,
		resp.StatusCode == http.StatusServiceUnavailable:
		return eris.Wrap(ErrRejected, resp.Status)
	case resp.StatusCode >= http.StatusInternalServerError:
		return eris.Wrap(ErrRequestFailed, resp.Status)
	case resp.StatusCode >= http.StatusBadRequest:
		return eris.Wrap(ErrInvalidRequest, resp.Status)
	default:
		return eris.Wrap(ErrInterrupted, resp.Status)
	}
}

// statusError tells a refusal, after which nothing runs, from any other
// failure.
func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusServiceUnavailable:
		return eris.Wrap(ErrRejected, resp.Status)
	default:
		return eris.Wrap(ErrInterrupted, resp.Status)
	}
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var report T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return report, eris.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return report, sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, statusError(resp)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&report)
	if err != nil {
		return report, eris.Wrap(ErrInterrupted, err.Error())
	}
	return report, nil
}
