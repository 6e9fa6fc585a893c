package limitlistener_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/limitlistener"
)

func listen(t *testing.T, limit int) *limitlistener.Listener {
	t.Helper()
	l, err := limitlistener.Listen("127.0.0.1:0", limit, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func dial(t *testing.T, l net.Listener) {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
}

func TestListenerAcceptsAnotherConnectionOnceOneIsClosed(t *testing.T) {
	l := listen(t, 1)
	for range 2 {
		dial(t, l)
	}
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	select {
	case err := <-accepted:
		t.Fatalf("a second connection was accepted, error %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	for range 2 {
		_ = first.Close()
	}
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
}

// Guards against a shutdown that waits for ever because all connections are in use.
func TestClosedListenerAcceptsNothing(t *testing.T) {
	l := listen(t, 1)
	dial(t, l)
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	l.Close()
	if err := <-accepted; !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v, want net.ErrClosed", err)
	}
}

// Guards against megabytes of kernel memory for each peer that does not read.
func TestLittleIsHeldForAPeerThatDoesNotRead(t *testing.T) {
	l := listen(t, 1)
	peer, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if err := peer.(*net.TCPConn).SetReadBuffer(128 << 10); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, _ := c.Write(make([]byte, 16<<20)); n > 1<<20 {
		t.Errorf("%d bytes are held", n)
	}
}
