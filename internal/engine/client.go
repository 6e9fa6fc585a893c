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

	"pistachioroad.dev/pistachioroad/internal/serverconn"
)

const (
	dialTimeout = time.Second
	// maxIdleConns limits the idle connections to one engine.
	maxIdleConns = 64
	// maxLineBytes limits one line of a response.
	maxLineBytes = 1 << 20
	// maxReportBytes limits a report of state, load or cache events.
	maxReportBytes = 4 << 20
)

// Client implements Engine over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a Client of the engine at address, an IP address and port. It
// connects on first use.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: newTransport()}}
}

// newTransport returns a transport that ignores the proxy of the environment, because
// the engine is on the same VM.
func newTransport() http.RoundTripper {
	dialer := net.Dialer{Timeout: dialTimeout}
	return serverconn.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	})
}

// responseLine is one line of a response. Exactly one field is set.
type responseLine struct {
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
		return Finish{}, classifyGenerateStatus(resp)
	}
	return readResponse(resp.Body, emit)
}

// readResponse passes the chunks to emit until the line that finishes the response.
// The response of a crashed engine ends without that line; otherwise it could not be
// distinguished from a shorter, complete one.
func readResponse(body io.Reader, emit func(Chunk) error) (Finish, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var l responseLine
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
	resp, err := c.post(ctx, "/cancel", cancelRequest{ID: id}, time.Time{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return classifyStatus(resp)
	}
	_, err = readWhole(resp)
	return err
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
		return classifyStatus(resp)
	}
	_, err = readWhole(resp)
	return err
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

// cancelRequest is the body of a cancel request.
type cancelRequest struct {
	ID string `json:"id"`
}

// post sends body as JSON unless the deadline has passed. A zero deadline means no limit.
func (c *Client) post(ctx context.Context, path string, body any, deadline time.Time) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, NewDeadlineBody(data, deadline))
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	req.ContentLength = int64(len(data))
	// With GetBody set, net/http retries a POST if the idle connection that it chose
	// was already closed and nothing was written, and never after that.
	req.GetBody = func() (io.ReadCloser, error) { return NewDeadlineBody(data, deadline), nil }
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, classifySendError(err)
	}
	return resp, nil
}

// classifySendError returns ErrNotSent if the engine was not reached and
// ErrInterrupted if its reply was lost. Only a failed dial or a body withheld after
// its deadline proves that no complete request was sent.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.Is(err, ErrDeadlinePassed) || errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(ErrInterrupted, err.Error())
}

// classifyGenerateStatus returns the error for the status of a generate request. A
// failure of one request that the engine reports is distinct from a failure of the
// engine, since it implies nothing about other requests.
func classifyGenerateStatus(resp *http.Response) error {
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

// classifyStatus returns ErrRejected if nothing will run, and ErrInterrupted for any
// other failure.
func classifyStatus(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusServiceUnavailable:
		return eris.Wrap(ErrRejected, resp.Status)
	default:
		return eris.Wrap(ErrInterrupted, resp.Status)
	}
}

// get requests a JSON report from the engine.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var report T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return report, eris.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return report, classifySendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, classifyStatus(resp)
	}
	data, err := readWhole(resp)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, eris.Wrap(ErrInterrupted, err.Error())
	}
	return report, nil
}

// readWhole reads the body of a response. It returns ErrInterrupted if that ends early: the
// engine may have failed.
func readWhole(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return nil, eris.Wrap(ErrInterrupted, err.Error())
	case len(data) > maxReportBytes:
		return nil, eris.Wrapf(ErrInterrupted, "body over %d bytes", maxReportBytes)
	}
	return data, nil
}
