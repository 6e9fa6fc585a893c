package graceful

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
)

// Guards against a shutdown that is reported incomplete because of a connection without a request.
func TestShutdownClosesNewConnectionsAtItsEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: callerconn.ConnStateChanged}
	conns, served := callerconn.New(callerconn.Config{HeaderTimeout: time.Second, Closed: metrics.NewCounter()}), make(chan error, 1)
	go func() { served <- server.Serve(conns.Listen(l)) }()
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
	s := Server{Conns: conns, Requests: openrequests.New("gateway")}
	if !s.finishRequests(time.Now(), time.Now().Add(time.Second)) {
		t.Error("a connection without a request was left open")
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want the end of the connection", err)
	}
}
