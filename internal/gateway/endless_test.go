package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// endlessServer is a backend server that answers each request with start and then repeats a
// text until its connection fails.
type endlessServer struct {
	start, repeated string
	// requests counts requests, ended those of them whose connection has ended, and sent bytes.
	requests, ended, sent atomic.Int64
}

// addEndless registers an endless server of a service.
func (f *fixture) addEndless(service, id, phase string, s *endlessServer) *endlessServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.atEnd(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	f.store.Put("servers", id, runner.New(id, phase).Registration(service, l.Addr().String(), "z", "ready"))
	return s
}

func (s *endlessServer) serve(c net.Conn) {
	defer c.Close()
	// A gateway that reads on would otherwise occupy the machine after the test.
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	defer s.ended.Add(1)
	_, err = io.WriteString(c, strings.ReplaceAll(s.start, "ID", r.Header.Get("Request-Id")))
	for err == nil {
		var n int
		n, err = io.WriteString(c, s.repeated)
		s.sent.Add(int64(n))
	}
}

var (
	block       = strings.Repeat("x", 8<<10)
	chunk       = "2000\r\n" + block + "\r\n"
	endlessHead = "HTTP/1.1 %s\r\nRequest-Id: ID\r\n%s\r\n"
)

// Guards against an endless response that is taken for an answer, that a repeatable request
// does not survive, or after which a faulty server gets as many requests as before.
func TestEndlessResponsesAreNoAnswers(t *testing.T) {
	for name, s := range map[string]*endlessServer{
		"garbage":                 {repeated: block},
		"head":                    {start: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n", repeated: "A: " + block + "\r\n"},
		"1xx responses":           {repeated: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		"another answer":          {start: strings.Replace(fmt.Sprintf(endlessHead, "200 OK", "Transfer-Encoding: chunked\r\n"), "ID", "other", 1), repeated: chunk},
		"unsealed body, chunked":  {start: fmt.Sprintf(endlessHead, "200 OK", "Transfer-Encoding: chunked\r\n"), repeated: chunk},
		"unsealed body, unframed": {start: fmt.Sprintf(endlessHead, "200 OK", ""), repeated: block},
		"error, chunked":          {start: fmt.Sprintf(endlessHead, "500 No", "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n"), repeated: chunk},
		"error, unframed":         {start: fmt.Sprintf(endlessHead, "500 No", "Response-Seal: s\r\n"), repeated: block},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := startFixture(100, t.Cleanup)
			f.configure("1")
			f.add("plain", runner.New("p-0", ""))
			f.addEndless("plain", "e-1", "", s)
			f.followUntilKnown(2)
			for n := range 8 {
				id := fmt.Sprintf("r%d", n)
				got := f.send(http.MethodGet, "/read/1", id)
				Expect(got.status).To(Equal(http.StatusOK), "%s %v", got.body, got.err)
				Expect(got.body).To(Equal(runner.Body(id)))
			}
			Expect(s.requests.Load()).To(BeNumerically("<=", 2))
			Eventually(s.ended.Load).Should(Equal(s.requests.Load()))
			Expect(s.sent.Load()).To(BeNumerically("<", 32<<20), "read on")
		})
	}
}

// Guards against an endless body that looks complete or occupies the gateway past the
// request's deadline.
func TestEndlessBodyIsAbortedAtTheDeadline(t *testing.T) {
	RegisterTestingT(t)
	f := startFixture(100, t.Cleanup)
	f.configure("1")
	s := f.addEndless("plain", "e-1", "", &endlessServer{
		start: fmt.Sprintf(endlessHead, "200 OK", "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n"), repeated: "1\r\nx\r\n",
	})
	f.followUntilKnown(1)
	got := f.send(http.MethodPost, "/hold/1", "r1", "Deadline-Ms", "300")
	Expect(got.err).To(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusOK))
	Eventually(s.ended.Load).Should(BeEquivalentTo(1))
}

// Guards against a prefill answer whose beginning is taken for all of it, and against more
// prompts for the engine that sends it.
func TestEndlessPrefillAnswerMovesThePromptOn(t *testing.T) {
	RegisterTestingT(t)
	f := startFixture(100, t.Cleanup)
	f.configure("1")
	s := f.addEndless("llm", "e-1", "prefill", &endlessServer{
		start: fmt.Sprintf(endlessHead, "200 OK", "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n") + "1c\r\n{\"kvHandle\":\"h\",\"tokens\":200}\r\n", repeated: "1\r\n \r\n",
	})
	f.add("llm", runner.New("d-0", "decode"))
	f.followUntilKnown(2)
	for n := range 6 {
		id := fmt.Sprintf("r%d", n)
		got := f.send(http.MethodPost, "/stream-again/1", id, "Token-Count", "20000,20", "Prefix-Hash", fmt.Sprintf("%x:20000", n))
		Expect(got.body).To(Equal(streamEvents(id, 1, 3)), "%d %v", got.status, got.err)
	}
	Expect(s.requests.Load()).To(And(BeNumerically(">", 0), BeNumerically("<=", 2)))
}

// Guards against an event without end that reaches a caller in part, and against more streams
// for the engine that sends it.
func TestEndlessEventMovesTheStreamOn(t *testing.T) {
	RegisterTestingT(t)
	f := startFixture(100, t.Cleanup)
	f.configure("1")
	s := f.addEndless("llm", "e-1", "decode", &endlessServer{
		start:    fmt.Sprintf(endlessHead, "200 OK", "Response-Seal: s\r\nContent-Type: text/event-stream\r\n") + "data: ",
		repeated: block,
	})
	f.add("llm", runner.New("d-0", "decode"))
	f.followUntilKnown(2)
	for n := range 8 {
		id := fmt.Sprintf("r%d", n)
		got := f.send(http.MethodPost, "/stream-again/1", id, "Token-Count", "200,20")
		Expect(got.body).To(Equal(streamEvents(id, 1, 3)), "%d %v", got.status, got.err)
	}
	Expect(s.requests.Load()).To(BeNumerically("<=", 2))
	Eventually(s.ended.Load).Should(Equal(s.requests.Load()))
}
