package eventstream_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/eventstream"
)

func TestScannerFindsTheEndsOfEvents(t *testing.T) {
	for _, test := range []struct {
		text    string
		outside int
		events  int
		within  bool
	}{
		{"", 0, 0, false},
		{"data: a\n\n", 9, 1, false},
		{"data: a\n", 0, 0, true},
		{"data: a", 0, 0, true},
		{"data: a\r\n\r\n", 11, 1, false},
		{"data: a\r\n\r", 10, 1, false},
		{"data: a\r\n", 0, 0, true},
		{"data: a\r\r", 9, 1, false},
		{"data: a\r", 0, 0, true},
		{"data: a\n\r\n", 10, 1, false},
		{"data: a\r\n\n", 10, 1, false},
		{"data: a\n\ndata: b", 9, 1, true},
		{"data: a\n\n\n\ndata: b\n\n", 20, 2, false},
		{"weight-versions: 3\n", 0, 0, true},
		{"weight-versions: 3\ndata: a\n\n", 28, 1, false},
		{": comment\n", 10, 0, false},
		{": comment", 0, 0, true},
		{"data: a\n: comment\n", 0, 0, true},
		{"data: a\n: comment\n\n", 19, 1, false},
		{"data: a\n\n: comment\n", 19, 1, false},
		{"\n\r\n\r", 4, 0, false},
	} {
		var s eventstream.Scanner
		if outside := s.Scan([]byte(test.text)); outside != test.outside || s.Events() != test.events || s.Within() != test.within {
			t.Errorf("%q: outside %d, events %d, within %v, want %d, %d, %v",
				test.text, outside, s.Events(), s.Within(), test.outside, test.events, test.within)
		}
	}
}

// Guards against results that depend on how the bytes arrive.
func TestScannerIsIndependentOfChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 1", "data", ":", "x", "\n", "\r", "\r\n", "\n\n"})).Draw(t, "text"), "")
		var whole, parts eventstream.Scanner
		want := whole.Scan([]byte(text))
		got, offset := 0, 0
		for offset < len(text) {
			n := rapid.IntRange(1, len(text)-offset).Draw(t, "n")
			if outside := parts.Scan([]byte(text[offset : offset+n])); outside > 0 {
				got = offset + outside
			}
			offset += n
		}
		if got != want || parts != whole {
			t.Fatalf("%q: %d %+v in parts, %d %+v at once", text, got, parts, want, whole)
		}
	})
}

// Guards against streams that are not followed because of the parameters of their type.
func TestContentTypeMayHaveParameters(t *testing.T) {
	for value, want := range map[string]bool{
		"text/event-stream": true, "text/event-stream; charset=utf-8": true, "Text/Event-Stream ;charset": true,
		"": false, "text/event-streams": false, "text/plain": false, "application/json; x=text/event-stream": false,
	} {
		if got := eventstream.IsContentType(value); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

func TestLastIDIsTheOneOfTheLastEventThatHasOne(t *testing.T) {
	for text, want := range map[string]string{
		"":                                  "",
		"data: a\n\n":                       "",
		"id: 1\ndata: a\n\nid:2\n\n":        "2",
		"id: 1\r\n\r\ndata: a\r\n\r\n":      "1",
		"id: 1\r\rid: 2\r\r":                "2",
		"weight-versions: 3\nid: 4\n\n":     "4",
		"data: id: 5\n\nid: 6\ndata: b\n\n": "6",
	} {
		if got := eventstream.LastID([]byte(text)); got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}
