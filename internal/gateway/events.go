package gateway

import (
	"io"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/eventstream"
)

// maxEventBytes limits how much of an incomplete event is buffered.
const maxEventBytes = 64 << 10

// eventReader returns complete events only and tracks the ID of the last one. A
// stream that is interrupted within an event can then be resumed at another engine,
// because the caller has received all events up to an ID and no part of the next.
type eventReader struct {
	source  io.Reader
	scanner eventstream.Scanner
	// buffered is data that was read and not yet returned. The first ready bytes of
	// it are complete events.
	buffered []byte
	ready    int
	// lastID is the ID of the last complete event, empty before the first.
	lastID string
	// onFirst is called once the first event is complete, before it is returned.
	onFirst func()
	err     error
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
	// The scanner reads each byte once. Searching the buffered data again for each read would
	// take seconds of CPU time for a long event that arrives byte by byte.
	before, events := len(r.buffered), r.scanner.Events()
	r.buffered = append(r.buffered, chunk[:n]...)
	r.err = err
	if outside := r.scanner.Scan(chunk[:n]); outside > 0 {
		r.ready = before + outside
		r.updateLastID(r.buffered[:r.ready])
	}
	if events == 0 && r.scanner.Events() > 0 && r.onFirst != nil {
		r.onFirst()
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
	if id := eventstream.LastID(events); id != "" {
		r.lastID = id
	}
}
