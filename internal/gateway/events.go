package gateway

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes limits how much of an incomplete event is buffered.
const maxEventBytes = 64 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventReader returns complete events only and tracks the ID of the last one. A
// stream that is interrupted within an event can then be resumed at another engine,
// because the caller has received all events up to an ID and no part of the next.
type eventReader struct {
	source io.Reader
	// buffered is data that was read and not yet returned. The first ready bytes of
	// it are complete events.
	buffered []byte
	ready    int
	// lastID is the ID of the last complete event, empty before the first.
	lastID string
	err    error
}

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	for r.ready == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.fill(len(p))
	}
	n := copy(p, r.buffered[:r.ready])
	r.buffered = r.buffered[n:]
	r.ready -= n
	return n, nil
}

// fill reads more data and finds the end of the last complete event.
func (r *eventReader) fill(size int) {
	chunk := make([]byte, size)
	n, err := r.source.Read(chunk)
	// The buffered data contains no end of an event and is not searched again. For a
	// long event that arrives byte by byte, that would take seconds of CPU time.
	from := max(0, len(r.buffered)-len(eventEnd)+1)
	r.buffered = append(r.buffered, chunk[:n]...)
	r.err = err
	if end := bytes.LastIndex(r.buffered[from:], eventEnd); end >= 0 {
		r.ready = from + end + len(eventEnd)
		r.updateLastID(r.buffered[:r.ready])
	}
	switch {
	case err == io.EOF:
		// The response is complete, and so is the rest of the data.
		r.ready = len(r.buffered)
	case len(r.buffered)-r.ready > maxEventBytes:
		r.err = eris.New("stream event exceeds 64 KiB")
	}
}

// updateLastID sets lastID to the last ID field in complete events.
func (r *eventReader) updateLastID(events []byte) {
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			r.lastID = string(bytes.TrimSpace(rest))
		}
	}
}
