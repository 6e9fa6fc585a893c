// Package eventstream finds the boundaries of events in streams of server-sent events
// (https://html.spec.whatwg.org/multipage/server-sent-events.html).
package eventstream

import (
	"bytes"
	"strings"
)

// ContentType is the media type of streams of events.
const ContentType = "text/event-stream"

// IsContentType reports whether the value of a Content-Type header is ContentType, with
// or without parameters.
func IsContentType(value string) bool {
	mediaType, _, _ := strings.Cut(value, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), ContentType)
}

// Scanner follows a stream of events. Lines end with LF, CR or CRLF, and an event ends
// with an empty line. The zero Scanner is at the start of a stream.
type Scanner struct {
	// events counts the complete events.
	events int
	// inEvent is set after the first line of an event, comments excepted.
	inEvent bool
	// inLine is set within a line, inComment if that line is a comment.
	inLine, inComment bool
	// afterCR is set after a CR, to which an LF may still belong.
	afterCR bool
}

// Scan reads the next bytes of the stream. It returns how many of them precede the last
// point that is outside of any event, 0 if there is none.
func (s *Scanner) Scan(data []byte) (outside int) {
	for i, b := range data {
		switch {
		case b == '\n' && s.afterCR:
			s.afterCR = false
		case b == '\n' || b == '\r':
			s.afterCR = b == '\r'
			s.endLine()
		default:
			s.afterCR = false
			s.inComment = s.inComment || (!s.inLine && b == ':')
			s.inLine = true
		}
		if !s.Within() {
			outside = i + 1
		}
	}
	return outside
}

func (s *Scanner) endLine() {
	switch {
	case !s.inLine && s.inEvent:
		s.inEvent = false
		s.events++
	case s.inLine && !s.inComment:
		s.inEvent = true
	}
	s.inLine, s.inComment = false, false
}

// Within reports whether the stream is within an event or a line. One that ends there
// has been broken off.
func (s *Scanner) Within() bool { return s.inEvent || s.inLine }

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }

// lineEnds are the bytes that end a line.
const lineEnds = "\r\n"

// LastID returns the value of the last ID field in complete events, empty if there is
// none.
func LastID(events []byte) (id string) {
	for line := range bytes.FieldsFuncSeq(events, func(r rune) bool { return strings.ContainsRune(lineEnds, r) }) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
