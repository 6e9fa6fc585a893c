package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

var errCut = errors.New("connection cut")

// cutSource gives bytes in pieces and then an error.
type cutSource struct {
	left  []byte
	piece int
	end   error
}

func (s *cutSource) Read(p []byte) (int, error) {
	if len(s.left) == 0 {
		return 0, s.end
	}
	n := copy(p[:min(len(p), s.piece)], s.left)
	s.left = s.left[n:]
	return n, nil
}

// An engine's stream arrives in any pieces, says anything and breaks off
// anywhere. Were a part of an event passed on, the rest of the stream from
// another engine would be joined to it, and the caller would read an event that
// nobody sent.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(3), true)
	f.Add([]byte("\n\n\n"), uint8(1), false)
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8, cut bool) {
		end := io.EOF
		if cut {
			end = errCut
		}
		source := &cutSource{left: stream, piece: int(piece) + 1, end: end}
		r := &eventReader{source: source}
		got, err := io.ReadAll(r)
		if !bytes.HasPrefix(stream, got) {
			t.Fatalf("passed on %q of %q", got, stream)
		}
		if !cut && err == nil && len(got) != len(stream) {
			t.Fatalf("ended well after %d of %d bytes", len(got), len(stream))
		}
		if err != nil && len(got) > 0 && !bytes.HasSuffix(got, eventEnd) {
			t.Fatalf("broke off within an event: %q", got)
		}
	})
}
