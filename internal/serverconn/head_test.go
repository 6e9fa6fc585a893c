package serverconn

import (
	"errors"
	"testing"
)

// soundHeads and malformedHeads are beginnings of what a server sends for one request.
var soundHeads = []string{
	"HTTP/1.1 200 OK\r\n\r\nbody\x00\r\n : no head\r\n",
	"HTTP/1.1 200\r\n\r\n",
	"HTTP/1.0 599 \r\n\r\n",
	"HTTP/1.9 200 \xfc\t\r\n\r\n",
	"HTTP/1.1 200 OK\n\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 204 X\r\n\r\nHTTP/1.1 000 X\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA:\r\n!#$%&'*+-.^_`|~09az: \xe9\tb\r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n",
	"HTTP/1.1 100 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"",
	"HTTP/1.1 000",
}

var malformedHeads = []string{
	"HTTP/1.1 000 OK\r\n",
	"HTTP/1.1 099 OK\r\n",
	"HTTP/1.1 101 OK\r\n",
	"HTTP/1.1 600 OK\r\n",
	"HTTP/1.1 +20 OK\r\n",
	"HTTP/1.1 20 OK\r\n",
	"HTTP/1.1 2000 OK\r\n",
	"HTTP/1.1  200 OK\r\n",
	"HTTP/1.1 200 O\rK\r\n",
	"HTTP/1.1 200 O\x7fK\r\n",
	"HTTP/1.1\r\n",
	"HTTP/1.11 200 OK\r\n",
	"HTTP/2.0 200 OK\r\n",
	"http/1.1 200 OK\r\n",
	"\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 X\r\n",
	"HTTP/1.1 200 OK\r\nA : b\r\n",
	"HTTP/1.1 200 OK\r\nA\t: b\r\n",
	"HTTP/1.1 200 OK\r\nA B: c\r\n",
	"HTTP/1.1 200 OK\r\nA\x00: b\r\n",
	"HTTP/1.1 200 OK\r\n A: b\r\n",
	"HTTP/1.1 200 OK\r\n: b\r\n",
	"HTTP/1.1 200 OK\r\nA\xc3\xa9: b\r\n",
	"HTTP/1.1 200 OK\r\nA\r\n",
	"HTTP/1.1 200 OK\r\nA: b\x00\r\n",
	"HTTP/1.1 200 OK\r\nA: b\r\r\n",
	"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n",
	"HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n",
	"HTTP/1.1 103 X\r\nA : b\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// checkInParts returns the result of a check of a text that is received in two parts.
func checkInParts(text string, first int) error {
	var h headChecker
	h.expect()
	return errors.Join(h.check([]byte(text[:first])), h.check([]byte(text[first:])))
}

// Guards against a malformed head that is overlooked, and a sound one that is rejected, because of
// where one read ends and the next begins.
func TestHeadsReceivedInTwoParts(t *testing.T) {
	for want, heads := range map[error][]string{nil: soundHeads, ErrMalformed: malformedHeads} {
		for _, text := range heads {
			for first := range len(text) + 1 {
				if err := checkInParts(text, first); !errors.Is(err, want) {
					t.Errorf("%q and %q: error %v, want %v", text[:first], text[first:], err, want)
				}
			}
		}
	}
}

// Guards against data that is passed on after a malformed head.
func TestNothingIsSoundAfterAMalformedHead(t *testing.T) {
	var h headChecker
	h.expect()
	if h.check([]byte(malformedHeads[0])) == nil {
		t.Fatal("the head is taken for sound")
	}
	h.expect()
	if h.check([]byte(soundHeads[0])) == nil {
		t.Error("a head after a malformed one is taken for sound")
	}
}

// Guards against a check of what no request is outstanding for: a body.
func TestNothingIsCheckedWithoutAnExpectedResponse(t *testing.T) {
	var h headChecker
	if err := h.check([]byte(malformedHeads[0])); err != nil {
		t.Error(err)
	}
}
