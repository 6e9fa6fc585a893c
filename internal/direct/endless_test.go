package direct_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/platform"
)

const (
	answerHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n"
	staleHead  = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\n"
	// longEnough is more than any attempt of these tests should take.
	longEnough = 10 * time.Second
)

// endlessServer answers with start and then repeats a text until its connection fails.
type endlessServer struct{ start, repeated string }

// serve returns the server's address and, later, the error that ended its connection.
func (s endlessServer) serve(t *testing.T) (address string, ended chan error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ended = make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		// A client that reads on would otherwise occupy the machine after the test.
		_ = c.SetDeadline(time.Now().Add(longEnough))
		err = respond(c, bufio.NewReader(c), s.start)
		block := strings.Repeat(s.repeated, 1+8<<10/len(s.repeated))
		for err == nil {
			_, err = io.WriteString(c, block)
		}
		ended <- err
	}()
	return l.Addr().String(), ended
}

func sendTo(t *testing.T, address string, remaining time.Duration) (*direct.Reply, error) {
	r := request.Request{ID: "r1", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {"r1"}}}
	o := request.Options{Server: backend.Server{ID: "s", Address: address}, Remaining: remaining}
	return direct.New(platform.Codec{}).Send(t.Context(), &r, o)
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Guards against a faulty server that sends without end before there is an answer: what is
// read of it must be bounded, none of it may be taken for an answer, and the connection must
// be reset, as the server sends until then.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	for name, s := range map[string]endlessServer{
		"garbage":                     {"", "x"},
		"garbage with line ends":      {"", "x\r\n"},
		"a field without end":         {answerHead + "A: ", "x"},
		"fields without end":          {answerHead, "A: x\r\n"},
		"1xx responses":               {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"1xx response without end":    {"HTTP/1.1 103 Early Hints\r\n", "A: x\r\n"},
		"answer to another, chunked":  {staleHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"answer to another, unframed": {staleHead + "\r\n", "x"},
		"answer to another, long":     {staleHead + "Content-Length: 1000000000\r\n\r\n", "x"},
		"answers to another":          {"", staleHead + "Content-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, ended := s.serve(t)
			began := time.Now()
			_, err := sendTo(t, address, time.Minute)
			if err == nil || verdict.Of(err).Verdict != verdict.MayHaveRun {
				t.Fatalf("error %v, want one of a request that may have run", err)
			}
			if took := time.Since(began); took > longEnough/2 {
				t.Errorf("the response was read for %v", took)
			}
			if err := <-ended; !isReset(err) {
				t.Errorf("the server's connection ends with %v, want a reset", err)
			}
		})
	}
}

// Guards against a body that is read as a whole without a limit, or whose beginning is taken
// for all of it: blanks after a value are valid JSON.
func TestEndlessBodyIsNoWholeBody(t *testing.T) {
	for name, s := range map[string]endlessServer{
		"chunked":                     {answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "1\r\n \r\n"},
		"unframed":                    {answerHead + "\r\n{}", " "},
		"of a great length":           {answerHead + "Content-Length: 1000000000\r\n\r\n{}", " "},
		"a chunk header":              {answerHead + "Transfer-Encoding: chunked\r\n\r\n2;", "x"},
		"chunk extensions":            {answerHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\n \r\n"},
		"trailers":                    {answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "A: x\r\n"},
		"a trailer":                   {answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nA: ", "x"},
		"comments of an event stream": {answerHead + "Content-Type: text/event-stream\r\n\r\n", ": x\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, ended := s.serve(t)
			reply, err := sendTo(t, address, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			if data, err := reply.ReadAll(1 << 10); err == nil {
				t.Errorf("%d bytes are taken for the whole body", len(data))
			}
			if took := time.Since(began); took > longEnough/2 {
				t.Errorf("the body was read for %v", took)
			}
			if err := <-ended; !isReset(err) {
				t.Errorf("the server's connection ends with %v, want a reset", err)
			}
		})
	}
}

// Guards against the wait for a body that stops short of its end: the caller's time is spent
// on a response that is only discarded.
func TestBodyThatDoesNotEndIsNotAwaitedUntilTheDeadline(t *testing.T) {
	address := serveText(t, answerHead+"Content-Length: 10\r\n\r\nhello")
	reply, err := sendTo(t, address, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if err := reply.Discard(1 << 10); err == nil || time.Since(began) > longEnough {
		t.Errorf("error %v after %v", err, time.Since(began))
	}
}

// Guards against a body without end that looks complete once the deadline passes.
func TestEndlessBodyEndsWithAnErrorAtTheDeadline(t *testing.T) {
	for name, s := range map[string]endlessServer{
		"chunked":  {answerHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"unframed": {answerHead + "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, ended := s.serve(t)
			reply, err := sendTo(t, address, 50*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, reply.Body)
			reply.Body.Close()
			if err == nil {
				t.Error("the body is taken for complete")
			}
			if err := <-ended; !isReset(err) {
				t.Errorf("the server's connection ends with %v, want a reset", err)
			}
		})
	}
}

// Guards against kernel memory for what a faulty server sends on an idle connection.
func TestIdleConnectionOnWhichAServerSendsIsReset(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sent, ended := make(chan struct{}), make(chan error, 1)
	idle := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(longEnough))
		_ = respond(c, bufio.NewReader(c), completeResponse)
		<-idle
		_, _ = io.WriteString(c, "x")
		close(sent)
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	transport := direct.New(platform.Codec{})
	if _, err := send(transport, l.Addr().String(), "r1", nil); err != nil {
		t.Fatal(err)
	}
	transport.CloseExpired(time.Now())
	close(idle)
	<-sent
	for n := 0; n < 100 && len(ended) == 0; n++ {
		transport.CloseExpired(time.Now())
		time.Sleep(10 * time.Millisecond)
	}
	if err := <-ended; !isReset(err) {
		t.Errorf("the server's connection ends with %v, want a reset", err)
	}
}

// Guards against bounds that cut sound answers: with a large head after 1xx responses, an
// answer to another request before, and a body larger than any bound.
func TestLargeSoundAnswerPassesTheBounds(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<20)
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n" +
		staleHead + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000) +
		answerHead + "A: " + strings.Repeat("y", 48<<10) + "\r\nContent-Length: 16777216\r\n\r\n" + body
	address := serveText(t, text)
	reply, err := sendTo(t, address, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Body.Close()
	if got, err := io.ReadAll(reply.Body); err != nil || string(got) != body {
		t.Errorf("%d bytes, error %v", len(got), err)
	}
}

// serveText answers one request with a text and keeps the connection open.
func serveText(t *testing.T, text string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		_ = respond(c, r, text)
		_, _ = io.Copy(io.Discard, r)
	}()
	return l.Addr().String()
}
