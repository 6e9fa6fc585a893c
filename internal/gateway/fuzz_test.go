package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/eventstream"
)

var errCut = errors.New("connection cut")

// cutSource returns its data in pieces and then an error.
type cutSource struct {
	remaining []byte
	piece     int
	end       error
}

func (s *cutSource) Read(p []byte) (int, error) {
	if len(s.remaining) == 0 {
		return 0, s.end
	}
	n := copy(p[:min(len(p), s.piece)], s.remaining)
	s.remaining = s.remaining[n:]
	return n, nil
}

// Guards against forwarding an incomplete event: an engine's stream arrives in
// arbitrary pieces, has arbitrary content and is interrupted anywhere. The stream that
// another engine resumes would be appended to the incomplete event, and the caller
// would read an event that no engine sent.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(3), true)
	f.Add([]byte("\n\n\n"), uint8(1), false)
	f.Add([]byte("id: 1\r\n\r\nid: 2\r\rid: 3\r\n: x\r\n\r\nda"), uint8(2), true)
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8, cut bool) {
		end := io.EOF
		if cut {
			end = errCut
		}
		source := &cutSource{remaining: stream, piece: int(piece) + 1, end: end}
		r := &eventReader{source: source}
		got, err := io.ReadAll(r)
		if !bytes.HasPrefix(stream, got) {
			t.Fatalf("forwarded %q of %q", got, stream)
		}
		if !cut && err == nil && len(got) != len(stream) {
			t.Fatalf("completed after %d of %d bytes", len(got), len(stream))
		}
		var scanner eventstream.Scanner
		scanner.Scan(got)
		if err != nil && (scanner.Within() || len(got) > 0 && !bytes.ContainsRune([]byte("\r\n"), rune(got[len(got)-1]))) {
			t.Fatalf("interrupted within an event: %q", got)
		}
	})
}
