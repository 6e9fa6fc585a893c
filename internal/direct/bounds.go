package direct

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxHeadBytes limits what is read for the heads of the responses to one request. It is
	// the limit that the gateway has for the heads of callers' requests.
	maxHeadBytes = 64 << 10
	// maxStaleBody limits the body of a response to another request that is skipped.
	maxStaleBody = 64 << 10
	// wholeBodyTimeout limits the time to read a body that is read as a whole before it is
	// used. Such bodies are short, and servers send them together with their heads.
	wholeBodyTimeout = time.Second
	// discardTimeout limits the time to read a body that nobody needs, while the caller waits
	// for the answer of another server.
	discardTimeout = 100 * time.Millisecond
)

// ErrEndless is the error of a response that exceeds a bound. A faulty server may send
// without end until its connection is closed.
var ErrEndless = errors.New("the response exceeds a bound")

// Errors that wrap ErrEndless.
var (
	errLongHead  = endless("heads over 64 KiB")
	errLongStale = endless("answer to another request over 64 KiB")
	errLongBody  = endless("body over its limit")
)

// endlessError is an ErrEndless that names the bound.
type endlessError struct{ bound string }

func endless(bound string) error { return endlessError{bound} }

// Error implements error.
func (e endlessError) Error() string { return ErrEndless.Error() + ": " + e.bound }

// Is implements the interface of errors.Is.
func (endlessError) Is(target error) bool { return target == ErrEndless }

// boundedReader limits what is read from a connection while a head is read.
type boundedReader struct {
	io.Reader
	bounded   bool
	remaining int
	// err is the error that ended the reading of a head. The parser may drop it and report
	// the beginning of a line as malformed. last is the last byte before it.
	err  error
	last byte
}

// bound limits the bytes that may be read from here on.
func (r *boundedReader) bound(n int) { r.bounded, r.remaining, r.err = true, n, nil }

// unbound ends the limit.
func (r *boundedReader) unbound() { r.bounded = false }

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.Reader.Read(p)
	}
	if r.remaining <= 0 {
		r.err = errLongHead
		return 0, errLongHead
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if n > 0 {
		r.last = p[n-1]
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// ReadAll reads and closes the body. It returns an error if the body is longer than limit
// or does not end soon: a part of it is no answer.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	var data bytes.Buffer
	err := r.readTo(&data, limit, wholeBodyTimeout)
	return data.Bytes(), err
}

// Discard reads and closes the body, so that its connection can be reused. It returns an
// error if the body is longer than limit or does not end soon.
func (r *Reply) Discard(limit int64) error { return r.readTo(io.Discard, limit, discardTimeout) }

func (r *Reply) readTo(w io.Writer, limit int64, timeout time.Duration) error {
	defer r.Body.Close()
	if err := r.expectEnd(timeout); err != nil {
		return err
	}
	err := copyWhole(w, r.Body, limit, errLongBody)
	if b, ok := r.Body.(*replyBody); ok {
		b.exchange.countEndless(err)
	}
	return err
}

// copyWhole copies a body to its end. It returns tooLong if that is after limit bytes.
func copyWhole(w io.Writer, body io.Reader, limit int64, tooLong error) error {
	n, err := io.Copy(w, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return tooLong
	}
	return err
}

// expectEnd limits the time until the end of the body.
func (r *Reply) expectEnd(timeout time.Duration) error {
	if b, ok := r.Body.(*replyBody); ok && b.exchange.conn != nil {
		return b.exchange.expectEnd(timeout)
	}
	return nil
}

// expectEnd limits the time until the end of a body that is read as a whole.
func (x *exchange) expectEnd(timeout time.Duration) error {
	return x.conn.SetReadDeadline(time.Now().Add(min(timeout, time.Until(x.deadline))))
}

// skipBody reads the body of a response to another request.
func (x *exchange) skipBody(resp *http.Response) error {
	headBytes := x.conn.source.remaining
	x.conn.source.unbound()
	err := errors.Join(x.expectEnd(wholeBodyTimeout), copyWhole(io.Discard, resp.Body, maxStaleBody, errLongStale), x.conn.SetReadDeadline(x.deadline))
	x.conn.source.bound(headBytes)
	return err
}

// countEndless counts a response that exceeds a bound.
func (x *exchange) countEndless(err error) {
	if errors.Is(err, ErrEndless) {
		x.transport.endless.Inc(1)
	}
}
