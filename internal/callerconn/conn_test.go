package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

const callerRequest = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// testIdleTimeout is the configured idle timeout, and testNoticeTime how long callers may
// rely on the one before.
const (
	testIdleTimeout = 4 * time.Second
	testNoticeTime  = 2 * time.Second
)

// expiry is the longest time for which a connection may be idle.
const expiry = testIdleTimeout * 3 / 2

const headerTimeout = 10 * time.Second

func testConfig() Config {
	return Config{HeaderTimeout: headerTimeout, Closed: metrics.NewCounter()}
}

// closeAllIdle closes the idle connections as if their timeout had passed.
func (c *Conns) closeAllIdle() {
	c.CloseExpired(time.Now().Add(time.Hour), testIdleTimeout, testNoticeTime)
}

// shutDown stops listening and closes each connection as soon as it is not in use.
func (c *Conns) shutDown(ctx context.Context, l net.Listener, served <-chan error) (complete bool, err error) {
	err = c.StopListening(l, served)
	return c.drain(ctx), err
}

// callerServer is a server for callers that responds 204 to every request.
type callerServer struct {
	conns    *Conns
	listener net.Listener
	// served receives the result of http.Server.Serve.
	served chan error
	// handled counts the requests that reached the handler.
	handled atomic.Int32
	// onState is called before the connection's state changes.
	onState func(http.ConnState)
	// onRequest is called while a request is handled.
	onRequest func()
}

func newCallerServerFixture() *callerServer {
	return &callerServer{
		conns: New(testConfig()), served: make(chan error, 1),
		onState: func(http.ConnState) {}, onRequest: func() {},
	}
}

func (s *callerServer) serve(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = l
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, ConnState: ConnStateChanged}
	changed := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		s.onState(state)
		changed(c, state)
	}
	go func() { s.served <- server.Serve(s.conns.Listen(l)) }()
	t.Cleanup(func() { server.Close() })
}

// waitUntilClosed waits until all connections have been closed and their handlers have
// returned.
func (s *callerServer) waitUntilClosed() {
	for {
		s.conns.mu.Lock()
		left := len(s.conns.open)
		s.conns.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.handled.Add(1)
	s.onRequest()
	w.WriteHeader(http.StatusNoContent)
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *callerServer) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// send sends a request and returns an error if it is not answered.
func (c *caller) send() error {
	if _, err := io.WriteString(c, callerRequest); err != nil {
		return err
	}
	return c.readResponse()
}

func (c *caller) readResponse() error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// newPipeConn returns a caller's connection that waits for its next request, and the
// caller's end.
func newPipeConn(t *testing.T, now time.Time) (*Conn, net.Conn) {
	t.Helper()
	server, client := net.Pipe()
	c := New(testConfig()).add(server)
	t.Cleanup(func() { c.Close(); client.Close() })
	c.becomeIdle(now, testIdleTimeout)
	if c.startRead() != phaseWaiting {
		t.Fatal("an idle connection does not wait for a request")
	}
	return c, client
}

// Guards against closing a connection whose next request has been read: the request is
// sent to a backend server, and its caller gets neither a response nor a rejection.
func TestRequestThatHasBeenReadIsAnswered(t *testing.T) {
	s := newCallerServerFixture()
	active := 0
	s.onState = func(state http.ConnState) {
		if state != http.StateActive {
			return
		}
		if active++; active == 2 {
			s.conns.closeAllIdle()
		}
	}
	s.serve(t)
	c := s.dial(t)
	for n := 1; n <= 2; n++ {
		if err := c.send(); err != nil {
			t.Errorf("request %d: %v", n, err)
		}
	}
}

// Guards against dropping a request that has just been read when the process shuts down.
func TestRequestReadAtShutdownIsAnswered(t *testing.T) {
	s := newCallerServerFixture()
	complete := make(chan bool, 1)
	active := 0
	s.onState = func(state http.ConnState) {
		if state != http.StateActive {
			return
		}
		if active++; active == 2 {
			s.conns.closeIdle(time.Now())
			go func() {
				ended, _ := s.conns.shutDown(t.Context(), s.listener, s.served)
				complete <- ended
			}()
		}
	}
	s.serve(t)
	c := s.dial(t)
	for n := 1; n <= 2; n++ {
		if err := c.send(); err != nil {
			t.Errorf("request %d: %v", n, err)
		}
	}
	if !<-complete {
		t.Error("the shutdown did not end")
	}
	if err := c.send(); err == nil {
		t.Error("answered after the shutdown")
	}
}

// Guards against a shutdown that does not wait for a request that is being handled, and
// one that does not end at the end of the grace period.
func TestShutdownWaitsForRequests(t *testing.T) {
	s := newCallerServerFixture()
	entered, leave := make(chan struct{}), make(chan struct{})
	s.onRequest = func() {
		close(entered)
		<-leave
	}
	s.serve(t)
	c := s.dial(t)
	answered := make(chan error, 1)
	go func() { answered <- c.send() }()
	<-entered
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if complete, err := s.conns.shutDown(ctx, s.listener, s.served); complete || err != nil {
		t.Errorf("complete %v, %v", complete, err)
	}
	close(leave)
	if err := <-answered; err != nil {
		t.Error(err)
	}
	if !s.conns.drain(t.Context()) {
		t.Error("not complete")
	}
}

// Guards against closing a new connection whose first request is on its way, and waiting
// until the end of the grace period for one that sends none.
func TestShutdownGivesNewConnectionsTime(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	c := New(testConfig()).add(server)
	defer c.Close()
	c.startRead()
	c.closeIdle(c.idleSince.Add(newConnTimeout))
	if c.phase != phaseWaiting {
		t.Error("closed at once")
	}
	go func() { _, _ = io.WriteString(client, callerRequest) }()
	n, err := c.Conn.Read(make([]byte, 1))
	c.closeIdle(c.idleSince.Add(newConnTimeout + 1))
	if c.phase != phaseInterrupted {
		t.Error("never closed")
	}
	if n, err = c.endWaiting(n, err); n != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("the rest of the request was not read: %v", err)
	}
}

// Guards against closing a connection between pipelined requests, or while the handler
// of the second one runs: net/http reads no more bytes for it.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	s := newCallerServerFixture()
	s.onState = func(http.ConnState) { s.conns.closeAllIdle() }
	s.onRequest = s.conns.closeAllIdle
	s.serve(t)
	c := s.dial(t)
	if _, err := io.WriteString(c, strings.Repeat(callerRequest, 3)); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 3; n++ {
		if err := c.readResponse(); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
	}
}

// Guards against closing a connection whose request is sent to a backend server, and
// sending one whose connection has been closed, if both come at once.
func TestClosedConnectionsHandleNoRequest(t *testing.T) {
	s := newCallerServerFixture()
	s.serve(t)
	const rounds = 300
	answered := 0
	for range rounds {
		c := s.dial(t)
		if err := c.send(); err != nil {
			t.Fatal(err)
		}
		swept := make(chan struct{})
		go func() {
			defer close(swept)
			s.conns.closeAllIdle()
		}()
		if c.send() == nil {
			answered++
		}
		<-swept
		c.Close()
	}
	s.waitUntilClosed()
	if handled := int(s.handled.Load()) - rounds; handled != answered {
		t.Errorf("%d requests handled beside a sweep, %d answered", handled, answered)
	}
	t.Logf("%d of %d answered", answered, rounds)
}

// Guards against closing a connection from which bytes of the next request have been
// read, but not all of its head, before an interruption or just after it.
func TestReadBytesKeepTheConnectionOpen(t *testing.T) {
	for name, interrupted := range map[string]bool{"before": false, "after": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c, client := newPipeConn(t, now)
			go func() { _, _ = io.WriteString(client, callerRequest) }()
			n, err := c.Conn.Read(make([]byte, 1))
			if interrupted {
				c.closeExpired(now.Add(expiry+1), testIdleTimeout)
			}
			if n, err = c.endWaiting(n, err); n != 1 || err != nil {
				t.Fatalf("read %d bytes, %v", n, err)
			}
			c.closeExpired(now.Add(expiry+1), testIdleTimeout)
			if rest, err := io.ReadAll(io.LimitReader(c, int64(len(callerRequest)-1))); err != nil || string(rest) != callerRequest[1:] {
				t.Errorf("read %q, %v", rest, err)
			}
		})
	}
}

// Guards against interrupting the read by which net/http notices, while a request is
// handled, that the caller disconnects.
func TestReadsDuringARequestAreNotInterrupted(t *testing.T) {
	now := time.Now()
	c, client := newPipeConn(t, now)
	c.becomeIdle(now, testIdleTimeout)
	c.becomeActive()
	if c.startRead() == phaseWaiting {
		t.Error("the read is taken for one that waits for a request")
	}
	c.closeExpired(now.Add(expiry+1), testIdleTimeout)
	c.closeIdle(now)
	go func() { _, _ = io.WriteString(client, "G") }()
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// Guards against handing up bytes of a request after the connection has been closed, and
// against closing connections without counting them.
func TestExpiredConnectionIsClosed(t *testing.T) {
	now := time.Now()
	c, client := newPipeConn(t, now)
	c.closeExpired(now.Add(expiry), testIdleTimeout)
	c.closeExpired(now.Add(expiry+1), testIdleTimeout)
	go func() { _, _ = io.WriteString(client, callerRequest) }()
	buf := make([]byte, 1)
	if n, err := c.endWaiting(c.Conn.Read(buf)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if _, err := c.Read(buf); err == nil {
		t.Error("a closed connection can be read")
	}
	if _, err := client.Read(buf); !errors.Is(err, io.EOF) {
		t.Errorf("the caller's connection is open: %v", err)
	}
	if counted := c.conns.config.Closed.Count(); counted != 1 {
		t.Errorf("counted %d connections", counted)
	}
}

// Guards against closing a connection that has not been idle for long enough, or that is
// new and has its own limit.
func TestConnectionsInUseStayOpen(t *testing.T) {
	now := time.Now()
	idle, _ := newPipeConn(t, now)
	idle.closeExpired(now.Add(expiry), testIdleTimeout)
	fresh := New(testConfig()).add(idle.Conn)
	fresh.startRead()
	fresh.closeExpired(now.Add(time.Hour), testIdleTimeout)
	for _, c := range []*Conn{idle, fresh} {
		if c.phase != phaseWaiting {
			t.Errorf("phase %d", c.phase)
		}
	}
}

// Guards against closing a connection earlier than its caller was told: a configuration
// with a shorter idle timeout has just been confirmed.
func TestShorterIdleTimeoutSparesIdleConnections(t *testing.T) {
	now := time.Now()
	c, _ := newPipeConn(t, now)
	const shorter = testIdleTimeout / 4
	c.closeExpired(now.Add(expiry), shorter)
	if c.phase != phaseWaiting {
		t.Error("the timeout of before was cut short")
	}
	c.closeExpired(now.Add(expiry+1), shorter)
	if c.phase != phaseInterrupted {
		t.Error("it has no end")
	}
}

// Guards against closing a connection earlier than the configuration in force says.
func TestLongerIdleTimeoutExtendsIdleConnections(t *testing.T) {
	now := time.Now()
	c, _ := newPipeConn(t, now)
	c.closeExpired(now.Add(2*expiry), 2*testIdleTimeout)
	if c.phase != phaseWaiting {
		t.Error("the timeout was not extended")
	}
	c.closeExpired(now.Add(2*expiry+1), 2*testIdleTimeout)
	if c.phase != phaseInterrupted {
		t.Error("it has no end")
	}
}

// Guards against a connection that becomes idle when this gateway knows of a shorter
// timeout and its caller does not.
func TestShorterIdleTimeoutAppliesAfterNotice(t *testing.T) {
	now := time.Now()
	c := New(testConfig())
	for _, step := range []struct {
		after            time.Duration
		configured, want time.Duration
	}{
		{0, 8 * time.Second, 8 * time.Second},
		{10 * time.Second, 8 * time.Second, 8 * time.Second},
		{11 * time.Second, 3 * time.Second, 8 * time.Second},
		{12 * time.Second, 3 * time.Second, 8 * time.Second},
		{12*time.Second + 1, 3 * time.Second, 3 * time.Second},
		{13 * time.Second, 5 * time.Second, 5 * time.Second},
	} {
		c.CloseExpired(now.Add(step.after), step.configured, testNoticeTime)
		if got := time.Duration(c.idleTimeout.Load()); got != step.want {
			t.Errorf("%v after the start, %v configured: %v, want %v", step.after, step.configured, got, step.want)
		}
	}
}

// Guards against a connection that stays open for good because the caller has sent less
// than net/http waits for before it limits the time for the head.
func TestFirstBytesStartTheHeaderTimeout(t *testing.T) {
	c, client := newPipeConn(t, time.Now())
	deadlines := &deadlineRecorder{Conn: c.Conn}
	c.Conn = deadlines
	go func() { _, _ = io.WriteString(client, "G") }()
	began := time.Now()
	if _, err := c.endWaiting(c.Conn.Read(make([]byte, 1))); err != nil {
		t.Fatal(err)
	}
	if d := deadlines.last.Sub(began); d < headerTimeout || d > 2*headerTimeout {
		t.Errorf("the rest may take %v, want about %v", d, headerTimeout)
	}
}

// deadlineRecorder records the last read deadline.
type deadlineRecorder struct {
	net.Conn
	last time.Time
}

// SetReadDeadline implements net.Conn.
func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.last = t
	return d.Conn.SetReadDeadline(t)
}

// Guards against connections that are kept in memory after they were closed.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	conns := New(testConfig())
	server, client := net.Pipe()
	defer client.Close()
	c := conns.add(server)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if len(conns.open) != 0 {
		t.Error("still there")
	}
}

// answerSize is the size of an answer of which a caller's kernel takes a part only.
const answerSize = 200 << 10

// serveAnswers serves answers that close their connections. written is sent to after each.
func serveAnswers(t *testing.T) (conns *Conns, address string, written chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns, written = New(testConfig()), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The caller may send more meanwhile.
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, answerSize))
		written <- struct{}{}
	})}
	go func() { _ = server.Serve(conns.Listen(l)) }()
	t.Cleanup(func() { server.Close() })
	return conns, l.Addr().String(), written
}

// Guards against an answer that is cut by the reset of its connection, because the caller has sent
// more than the request: an empty line, or its next request.
func TestAnswerBeforeUnreadBytesIsDelivered(t *testing.T) {
	_, address, written := serveAnswers(t)
	for _, unread := range []string{"\r\n", callerRequest} {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		for _, sent := range []string{callerRequest, unread} {
			if _, err := io.WriteString(c, sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		<-written
		time.Sleep(20 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); n != answerSize || err != nil {
			t.Errorf("after %q: %d bytes of %d, error %v", unread, n, answerSize, err)
		}
		c.Close()
	}
}

// Guards against a process that outlasts its grace period because of callers that do not read.
func TestCloseAfterADrainDoesNotWaitForTheCaller(t *testing.T) {
	conns, address, written := serveAnswers(t)
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, callerRequest); err != nil {
		t.Fatal(err)
	}
	<-written
	if conns.DrainUntil(time.Now().Add(50 * time.Millisecond)) {
		t.Fatal("closed before the caller had read the answer")
	}
	if until := conns.deliverUntil(time.Now()); until.After(time.Now()) {
		t.Errorf("connections wait until %v", until)
	}
}
