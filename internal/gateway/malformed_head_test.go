package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// anyLength is a position behind the end of any answer: the server sends all of it and ends the
// connection.
const anyLength = 1 << 20

// malformedHeads are answers whose heads are malformed, by what is wrong.
func malformedHeads() map[string]cut {
	heads := malformedFields()
	maps.Copy(heads, malformedStatuses())
	return heads
}

func malformedStatuses() map[string]cut {
	heads := map[string]cut{}
	for _, status := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 +99 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/3.0 200 OK", "HTTP/1.x 200 OK",
	} {
		heads[fmt.Sprintf("status line %q", status)] = cut{status: status}
	}
	for _, interim := range []string{
		"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	} {
		heads[fmt.Sprintf("before the answer %q", interim)] = cut{before: interim}
	}
	return heads
}

func malformedFields() map[string]cut {
	heads := map[string]cut{}
	for _, field := range []string{
		"A : b", "A B: c", " : a", ": a", "A\x00B: c", "A\x7f: b", "A\tB: c", "A\t: b", "A\xe9: b", "A(B): c", "no colon", "A: b\r\n c",
		"A: b\x00c", "A: b\x7fc", "A: b\rc", "Request-Id : other", "Content-Length: +5", "Content-Length: -5", "Content-Length: 5 5",
		"Content-Length: 5\r\nContent-Length: 6", "Transfer-Encoding: gzip", "Transfer-Encoding: chunked, chunked",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	} {
		heads[fmt.Sprintf("field %q", field)] = cut{framing: unframed, fields: field + "\r\n"}
	}
	heads["first line folded"] = cut{status: "HTTP/1.1 200 OK\r\n A: b"}
	heads["length with a blank"] = cut{framing: withLength, replaced: [2]string{"Content-Length:", "Content-Length :"}, at: anyLength}
	heads["encoding with a blank"] = cut{framing: chunked, replaced: [2]string{"Transfer-Encoding:", "Transfer-Encoding :"}, at: anyLength}
	heads["seal with a blank"] = cut{replaced: [2]string{"Response-Seal:", "Response-Seal :"}}
	heads["chunks of HTTP/1.0"] = cut{framing: chunked, status: "HTTP/1.0 200 OK", at: anyLength}
	heads["length and chunks"] = cut{framing: chunked, fields: "Content-Length: 5\r\n"}
	heads["field of an interim answer"] = cut{before: "HTTP/1.1 100 Continue\r\nA : b\r\n\r\n"}
	return heads
}

// Guards against an answer with a malformed head that reaches its caller: its status is no
// status, or its fields and its end cannot be relied on.
func TestAnswerWithAMalformedHeadIsNoAnswer(t *testing.T) {
	for _, servers := range []int{1, 2} {
		s := newCutFixture(t, servers, servers)
		for name, how := range malformedHeads() {
			for _, r := range cutRoutes {
				id := s.nextID()
				got := s.send(r, id, how)
				problem := s.check(r, id, got, how)
				switch another := r.repeatable && servers == 2; {
				case len(s.attemptsOf(id)) == 0:
					problem = "reached no server"
				case another && (got.err != nil || got.status != http.StatusOK || got.body != r.whole(id)):
					problem = "not answered by the other server"
				case !another && (got.err != nil || got.status != http.StatusBadGateway):
					problem = "answered"
				}
				if problem != "" {
					t.Errorf("%s, %s, %d servers: %s: %d %q %v", name, r.target, servers, problem, got.status, got.body, got.err)
				}
			}
		}
	}
}

// Guards against an answer with a malformed trailer that its caller takes for whole.
func TestAnswerWithAMalformedTrailerIsNotWhole(t *testing.T) {
	s := newCutFixture(t, 1, 1)
	for _, trailer := range []string{"A : b", " A: b", "A B: c", "A\x00: b", "A: b\x00", "no colon"} {
		for _, r := range cutRoutes {
			id := s.nextID()
			got := s.send(r, id, cut{framing: chunked, end: trailer + "\r\n"})
			if got.err == nil || !strings.HasPrefix(r.whole(id), got.body) {
				t.Errorf("%q, %s: %d %q, complete", trailer, r.target, got.status, got.body)
			}
		}
	}
	for _, r := range cutRoutes {
		id := s.nextID()
		got := s.send(r, id, cut{framing: chunked, end: "A: b\r\n"})
		if got.err != nil || got.body != r.whole(id) {
			t.Errorf("sound trailer, %s: %d %q %v", r.target, got.status, got.body, got.err)
		}
	}
}

// Guards against a malformed head in the answer of an engine that takes a stream up.
func TestStreamIsNotTakenUpByAMalformedAnswer(t *testing.T) {
	again := cutRoutes[3]
	broken := cut{framing: chunked}
	_, head := broken.lengths(again.target)
	broken.at = head + len(runner.Event("r00000000", 1)) + 20
	s := newCutFixture(t, 0, 3)
	for name, how := range malformedHeads() {
		id := s.nextID()
		got := s.send(again, id, broken, how)
		of := s.attemptsOf(id)
		if len(of) < 2 || of[1].lastEventID != "1" {
			t.Errorf("%s: not taken up after event 1: %+v", name, of)
		}
		if got.err != nil || got.body != again.whole(id) {
			t.Errorf("%s: %d %q %v, %+v", name, got.status, got.body, got.err, of)
		}
	}
}

// Guards against the same in the answer to a prefill, whose handle would be used.
func TestPrefillWithAMalformedHeadNamesNoHandle(t *testing.T) {
	for name, how := range malformedHeads() {
		// A gateway that has learned how fast these engines are plans no prefills.
		t.Run(name, func(t *testing.T) {
			s := newCutFixture(t, 0, 1)
			s.longPrompts = true
			s.add("llm", "f-0", "prefill")
			s.add("llm", "f-1", "prefill")
			Eventually(func() int { return len(s.f.dir.View().Servers) }).Should(Equal(3))
			r, id := cutRoutes[2], s.nextID()
			got := s.send(r, id, how)
			of := s.attemptsOf(id)
			if len(of) < 2 || !of[0].prefill || got.err != nil || got.body != r.whole(id) {
				t.Fatalf("%d %q %v, %+v", got.status, got.body, got.err, of)
			}
			if of[1].kvSource != "" && !of[1].prefill && len(of) == 2 {
				t.Errorf("the stream was requested with the handle: %+v", of)
			}
		})
	}
}

// Guards against sound answers that are taken for malformed ones.
func TestUnusualSoundHeadsAreAnswers(t *testing.T) {
	s := newCutFixture(t, 1, 1)
	for name, how := range map[string]cut{
		"no reason":             {status: "HTTP/1.1 200"},
		"an empty reason":       {status: "HTTP/1.1 200 "},
		"a reason of obs-text":  {status: "HTTP/1.1 200 \xfc"},
		"HTTP/1.0":              {status: "HTTP/1.0 200 OK", at: anyLength},
		"HTTP/1.0, unframed":    {framing: unframed, status: "HTTP/1.0 200 OK"},
		"HTTP/1.2":              {status: "HTTP/1.2 200 OK"},
		"an empty value":        {fields: "A:\r\n"},
		"obs-text":              {fields: "A: \xe9\tb\r\n"},
		"token characters":      {fields: "!#$%&'*+-.^_`|~09az: b\r\n"},
		"line feeds":            {fields: "A: b\nB: c\n"},
		"a lower-case encoding": {framing: chunked, replaced: [2]string{"Transfer-Encoding: chunked", "transfer-encoding:CHUNKED"}},
		"interim answers":       {before: "HTTP/1.1 100\r\n\r\nHTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 199 X\r\n\r\n"},
	} {
		for _, r := range cutRoutes {
			id := s.nextID()
			if got := s.send(r, id, how); got.err != nil || got.status != http.StatusOK || got.body != r.whole(id) {
				t.Errorf("%s, %s: %d %q %v", name, r.target, got.status, got.body, got.err)
			}
		}
	}
	for _, status := range []int{299, 404, 499} {
		for _, r := range cutRoutes[:2] {
			id := s.nextID()
			how := cut{status: fmt.Sprintf("HTTP/1.1 %d X", status)}
			if got := s.send(r, id, how); got.err != nil || got.status != status || !strings.HasPrefix(got.body, r.whole(id)) {
				t.Errorf("%d, %s: %d %q %v", status, r.target, got.status, got.body, got.err)
			}
		}
	}
}
