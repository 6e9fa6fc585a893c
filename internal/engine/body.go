package engine

import (
	"bytes"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTooLate says that a request was not sent because its time was over.
var ErrDeadlinePassed = eris.New("too late to send the request")

// timedBody is the body of an HTTP request that holds itself back once its time
// is over.
//
// A process can be paused between the last look at the deadline and the moment
// when the request goes out. Awake, it would start work whose caller was told
// of a failure long ago; one notices a hold that nobody asked for any more. The
// body is read at the last moment, and without it nothing runs.
type timedBody struct {
	data   *bytes.Reader
	before time.Time
}

// NewTimedBody returns a body that fails with ErrTooLate from the time given; a
// zero time is no limit.
func NewDeadlineBody(data []byte, before time.Time) io.ReadCloser {
	return &timedBody{data: bytes.NewReader(data), before: before}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.before.IsZero() && !time.Now().Before(b.before) {
		return 0, ErrDeadlinePassed
	}
	return b.data.Read(p)
}

// Close implements io.Closer.
func (b *timedBody) Close() error { return nil }
