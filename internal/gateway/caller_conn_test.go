package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/limitlistener"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/readahead"
)

// Guards against an interrupted answer that looks complete to a caller of HTTP/1.0, whose
// answer ends with its connection.
func TestInterruptedAnswerToHTTP10EndsWithAReset(t *testing.T) {
	l, err := limitlistener.Listen("127.0.0.1:0", 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c := &call{
			gateway: &Gateway{answers: readahead.New(readahead.Limits{Total: 1 << 20})}, callerCtx: context.Background(),
			writer: &callerconn.Writer{ResponseWriter: w, Closing: func() bool { return false }},
		}
		source := iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("id: 1\n\n")))
		if err := c.copyBody(source); err != nil {
			c.abort(serverBroke, err.Error())
		}
	}))
	go func() { _ = server.Serve(newCallerConns(membudget.PlanFor(64<<20, 1)).Listen(l)) }()
	t.Cleanup(func() { server.Close() })
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, error %v, want a reset", data, err)
	}
}

// Guards against a whole answer that is cut because what follows it panics.
func TestPanicAfterAnAnswerDoesNotCutIt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writer := &callerconn.Writer{ResponseWriter: w, Closing: func() bool { return false }}
		c := &call{gateway: &Gateway{answers: readahead.New(readahead.Limits{})}, writer: writer, callerCtx: context.Background()}
		defer c.recoverPanic(writer)
		writer.WriteHeader(http.StatusOK)
		if err := c.copyBody(strings.NewReader("id: 1\n\n")); err != nil {
			c.abort(serverBroke, err.Error())
		}
		panic("after the answer")
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if data, err := io.ReadAll(resp.Body); string(data) != "id: 1\n\n" || err != nil {
		t.Errorf("%q, error %v", data, err)
	}
}
