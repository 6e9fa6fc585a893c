package gateway

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEvent bounds the part of an event that is held back until it is whole.
const maxEvent = 64 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventReader passes whole events only, and knows the last one's id. A stream
// that breaks off within an event can then go on at another engine: the caller
// has every event up to an id and no part of the next.
type eventReader struct {
	source io.Reader
	// held is what was read and not passed on: whole events up to ready.
	held  []byte
	ready int
	// lastID is the id of the last whole event, empty before the first.
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
	n := copy(p, r.held[:r.ready])
	r.held = r.held[n:]
	r.ready -= n
	return n, nil
}

// fill reads more and finds the end of the last whole event.
func (r *eventReader) fill(size int) {
	chunk := make([]byte, size)
	n, err := r.source.Read(chunk)
	// What was held has no end of an event. To look through it again for each
	// piece takes seconds of processor for a long event in single bytes.
	from := max(0, len(r.held)-len(eventEnd)+1)
	r.held = append(r.held, chunk[:n]...)
	r.err = err
	if end := bytes.LastIndex(r.held[from:], eventEnd); end >= 0 {
		r.ready = from + end + len(eventEnd)
		r.noteID(r.held[:r.ready])
	}
	switch {
	case err == io.EOF:
		// The server ended the answer; what is left belongs to it.
		r.ready = len(r.held)
	case len(r.held)-r.ready > maxEvent:
		r.err = eris.New("an event is too long")
	}
}

func (r *eventReader) noteID(events []byte) {
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			r.lastID = string(bytes.TrimSpace(rest))
		}
	}
}
