package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/limitlistener"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
	"pistachioroad.dev/pistachioroad/internal/readahead"
)

// Guards against an interrupted answer that looks complete to a caller of HTTP/1.0, whose
// answer ends with its connection.
func TestInterruptedAnswerToHTTP10EndsWithAReset(t *testing.T) {
	l, err := limitlistener.Listen("127.0.0.1:0", 1)
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
	go func() { _ = server.Serve(newCallerConns().Listen(l)) }()
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

// Guards against a shutdown that is reported incomplete because of a connection without a request.
func TestShutdownClosesNewConnectionsAtItsEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns, served := newCallerConns(), make(chan error, 1)
	go func() { served <- newCallerServer(http.NotFoundHandler()).Serve(conns.Listen(l)) }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for conns.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := conns.StopListening(l, served); err != nil {
		t.Fatal(err)
	}
	g := &Gateway{calls: openrequests.New("gateway")}
	if !g.finishRequests(conns, time.Now(), time.Now().Add(time.Second)) {
		t.Error("a connection without a request was left open")
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want the end of the connection", err)
	}
}
