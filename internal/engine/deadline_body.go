package engine

import (
	"bytes"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// ErrDeadlinePassed means that a request was not sent because its deadline had passed.
var ErrDeadlinePassed = eris.New("too late to send the request")

// deadlineBody is the body of an HTTP request that fails to be read after a deadline.
//
// A process can be paused between its last check of the deadline and the sending of
// the request. When it resumes, it would start work whose caller was sent an error
// long ago. Symptom: a hold that no caller still waits for. The body is read at the
// last moment, and without it the request does not run.
type deadlineBody struct {
	data     *bytes.Reader
	deadline time.Time
}

// NewDeadlineBody returns a body whose reads fail with ErrDeadlinePassed from the
// deadline on. A zero deadline means no limit.
func NewDeadlineBody(data []byte, deadline time.Time) io.ReadCloser {
	return &deadlineBody{data: bytes.NewReader(data), deadline: deadline}
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if !b.deadline.IsZero() && !time.Now().Before(b.deadline) {
		return 0, ErrDeadlinePassed
	}
	return b.data.Read(p)
}

// Close implements io.Closer.
func (b *deadlineBody) Close() error { return nil }
