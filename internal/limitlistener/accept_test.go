package limitlistener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// failAccepts makes the first accepts of a listener fail with the given errors in turn.
func failAccepts(l *Listener, failures ...error) {
	l.accept = func() (*net.TCPConn, error) {
		if len(failures) == 0 {
			return l.AcceptTCP()
		}
		err := failures[0]
		failures = failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
}

// Guards against a server, and with it all open requests, that ends because one connection could
// not be accepted.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	lines := memory.New()
	log.SetHandler(lines)
	counter := metrics.GetOrRegisterCounter("listener.accepts_failed", nil)
	failures := []error{
		unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP,
		unix.ENETUNREACH, unix.ECONNABORTED, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENFILE, unix.EPERM,
	}
	for _, failure := range failures {
		l, err := Listen("127.0.0.1:0", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		before := counter.Count()
		failAccepts(l, failure, failure, failure)
		served := make(chan error, 1)
		server := &http.Server{Handler: http.NotFoundHandler()}
		go func() { served <- server.Serve(l) }()
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			t.Errorf("%v: %v, the server ended with %v", failure, err, <-served)
			continue
		}
		resp.Body.Close()
		if n := counter.Count() - before; n != 3 {
			t.Errorf("%v: %d failed accepts counted", failure, n)
		}
		server.Close()
	}
	if n := len(lines.Entries); n != len(failures) {
		t.Errorf("%d lines about failed accepts", n)
	}
}

// Guards against an accept that is tried again for ever on a listener that is broken or closed.
func TestAcceptEndsWithItsListener(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	failAccepts(l, unix.EMFILE, unix.EBADF)
	if _, err := l.Accept(); !errors.Is(err, unix.EBADF) {
		t.Errorf("error %v", err)
	}
	failAccepts(l, unix.EMFILE, unix.EMFILE)
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
}
