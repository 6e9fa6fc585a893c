package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// stopFixture is a gateway that serves callers at an address of its own until it is stopped.
type stopFixture struct {
	*fixture
	address string
	// stop begins the graceful shutdown, and stopped is closed when the process would end.
	stop    context.CancelFunc
	stopped chan struct{}
	// serveErr is the error of Serve, set before stopped is closed.
	serveErr error
}

// newStopFixture returns a gateway with one plain server and one engine.
func newStopFixture(t *testing.T, grace time.Duration) (f *stopFixture, server, engine *runner.BackendServer) {
	t.Helper()
	RegisterTestingT(t)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f = &stopFixture{
		fixture: startFixtureWith(100, t.Cleanup, readahead.Limits{}), address: free.Addr().String(), stopped: make(chan struct{}),
	}
	Expect(free.Close()).To(Succeed())
	f.gateway.Reload(deployment.Deployment{
		Name: "f-1", DataCentre: "z", CallerAddress: f.address, MaxFileDescriptors: 2000, MaxMemoryBytes: 64 << 20,
		Bounds: deployment.Bounds{RetryShare: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, GracePeriod: grace},
	})
	f.store.PutRaw("config", "main", []byte(strings.NewReplacer("%VERSION%", "1", `"timeoutMs":2000`, `"timeoutMs":6000`).Replace(configuration)))
	server, engine = f.add("plain", runner.New("i-plain", "")), f.add("llm", runner.New("i-engine", "decode"))
	f.followUntilKnown(2)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	t.Cleanup(func() { stop(); <-f.stopped })
	go func() {
		defer close(f.stopped)
		f.serveErr = f.gateway.Serve(ctx)
	}()
	Eventually(func() error {
		c, err := net.Dial("tcp4", f.address)
		if err == nil {
			err = c.Close()
		}
		return err
	}).Should(Succeed())
	return f, server, engine
}

// connection is one kept connection of a caller.
func (f *stopFixture) connection() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

// request sends a request on a kept connection. It returns an error if there is no whole answer.
func (f *stopFixture) request(c *http.Client, target, id string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.address+target, strings.NewReader("b"))
	Expect(err).NotTo(HaveOccurred())
	// Without GetBody, net/http does not send the request again.
	req.GetBody, req.Host = nil, "h.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "6000", "Token-Count": "2000,20", "Prefix-Hash": "aa:1500,bb:500",
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, closes: resp.Close}
}

// Guards against a request that arrives late in a graceful stop, is passed on to a server and is
// cut when the process ends.
func TestRequestLateInAStopIsAnswered(t *testing.T) {
	f, _, engine := newStopFixture(t, 8*time.Second)
	engine.Events, engine.EventInterval = 4, 1500*time.Millisecond
	c, err := net.Dial("tcp4", f.address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	reader := bufio.NewReader(c)
	send := func(id string) {
		_, err := io.WriteString(c, "POST /stream-once/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "+id+
			"\r\nDeadline-Ms: 6000\r\nToken-Count: 2000,20\r\nPrefix-Hash: aa:1500,bb:500\r\nContent-Length: 1\r\n\r\nb")
		Expect(err).NotTo(HaveOccurred())
	}
	send("before")
	first, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(first.Close).To(BeFalse())
	f.stop()
	body := make([]byte, len(streamEvents("before", 1, 4)))
	_, err = io.ReadFull(first.Body, body[:len(streamEvents("before", 1, 3))])
	Expect(err).NotTo(HaveOccurred())
	// Sent before the answer ends, so that its connection is not closed as idle.
	send("late")
	_, err = io.ReadFull(first.Body, body[len(streamEvents("before", 1, 3)):])
	Expect(err).NotTo(HaveOccurred())
	Expect(string(body)).To(Equal(streamEvents("before", 1, 4)))
	Expect(io.Copy(io.Discard, first.Body)).To(BeZero())
	answered := make(chan response, 1)
	go func() { answered <- readResponse(reader) }()
	var got response
	select {
	case got = <-answered:
	case <-f.stopped:
		t.Fatalf("the gateway ended with a request open that a server ran %d times", runsOf(engine, "late"))
	}
	Expect(got.err).NotTo(HaveOccurred())
	if got.status != http.StatusOK {
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.closes).To(BeTrue())
		Expect(runsOf(engine, "late")).To(BeZero())
	}
}

// readResponse reads a response to its end. It returns an error if that is not whole.
func readResponse(reader *bufio.Reader) response {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, closes: resp.Close}
}

// Guards against a request whose connection is closed without an answer because its server is
// silent when the grace period ends.
func TestRequestOpenAtTheEndOfAStopIsAnswered(t *testing.T) {
	f, server, _ := newStopFixture(t, 3*time.Second)
	server.Silence()
	open := make(chan response, 1)
	go func() { open <- f.request(f.connection(), "/hold/1", "open") }()
	Eventually(server.Held).Should(Equal(1))
	f.stop()
	<-f.stopped
	var got response
	Expect(open).To(Receive(&got))
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusBadGateway))
	Expect(got.header.Get("Pistachioroad-Verdict")).To(Equal("may_have_run"))
	Expect(got.closes).To(BeTrue())
}

// Guards against a request whose connection is closed without an answer because its body is
// still coming when the grace period ends.
func TestRequestWhoseBodyComesDuringAStopIsAnswered(t *testing.T) {
	f, server, _ := newStopFixture(t, 3*time.Second)
	c, err := net.Dial("tcp4", f.address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: body\r\nDeadline-Ms: 6000\r\nContent-Length: 10\r\n\r\nhalf")
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	f.stop()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(resp.Close).To(BeTrue())
	<-f.stopped
	Expect(server.Runs()).To(BeEmpty())
}

// breakListener makes accepts of the listener at an address of this process fail for good.
func breakListener(address string) {
	descriptors, err := os.ReadDir("/proc/self/fd")
	Expect(err).NotTo(HaveOccurred())
	for _, descriptor := range descriptors {
		fd, err := strconv.Atoi(descriptor.Name())
		Expect(err).NotTo(HaveOccurred())
		listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
		if err != nil || listening == 0 {
			continue
		}
		name, err := unix.Getsockname(fd)
		Expect(err).NotTo(HaveOccurred())
		if a, ok := name.(*unix.SockaddrInet4); ok && netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String() == address {
			Expect(unix.Shutdown(fd, unix.SHUT_RDWR)).To(Succeed())
			return
		}
	}
	panic("no listener at " + address)
}

// Guards against requests that are cut because the gateway can accept no more connections.
func TestOpenRequestsAreAnsweredAfterTheListenerHasFailed(t *testing.T) {
	f, _, engine := newStopFixture(t, 8*time.Second)
	engine.Events, engine.EventInterval = 4, 500*time.Millisecond
	open := make(chan response, 1)
	go func() { open <- f.request(f.connection(), "/stream-once/1", "open") }()
	Eventually(engine.Runs).ShouldNot(BeEmpty())
	breakListener(f.address)
	select {
	case <-f.stopped:
		t.Fatal("the gateway ended with a request open")
	case got := <-open:
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(streamEvents("open", 1, 4)))
	}
	Expect(f.gateway.Ready()).To(BeFalse())
	Eventually(f.stopped, "8s").Should(BeClosed())
	Expect(f.serveErr).To(HaveOccurred())
}

// unanswered returns how many requests ended without a whole answer, by their endings.
func unanswered(endings ...string) (counts []int64) {
	for _, e := range endings {
		counts = append(counts, metrics.GetOrRegisterCounter("gateway.requests.unanswered."+e, nil).Count())
	}
	return counts
}

// Guards against a stream that the end of the process cuts and that is counted as one that no other
// engine could go on with.
func TestStreamCutByAStopIsCountedAsSuch(t *testing.T) {
	f, _, engine := newStopFixture(t, 3*time.Second)
	engine.Events, engine.EventInterval = 100, 100*time.Millisecond
	before := unanswered("process_end", "not_continued")
	cut := make(chan response, 1)
	go func() { cut <- f.request(f.connection(), "/stream-again/1", "cut") }()
	Eventually(engine.Runs).ShouldNot(BeEmpty())
	time.Sleep(100 * time.Millisecond)
	f.stop()
	Expect((<-cut).err).To(HaveOccurred())
	<-f.stopped
	Expect(unanswered("process_end", "not_continued")).To(Equal([]int64{before[0] + 1, before[1]}))
}

// Guards against a request without an answer or verdict because its caller has closed the sending
// side of its connection, which looks like a caller that has left.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	f, server, _ := newStopFixture(t, time.Second)
	server.Silence()
	c, err := net.Dial("tcp4", f.address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: half\r\nDeadline-Ms: 6000\r\nContent-Length: 1\r\n\r\nb")
	Expect(err).NotTo(HaveOccurred())
	Eventually(server.Held).Should(Equal(1))
	Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	Expect(resp.Header.Get("Pistachioroad-Verdict")).To(Equal("may_have_run"))
	Expect(resp.Close).To(BeTrue())
}

// Guards against a caller that is kept from another VM while a stopping gateway reads the body of a
// request that it will reject.
func TestRequestIsRejectedByAStopBeforeItsBodyComes(t *testing.T) {
	f, _, _ := newStopFixture(t, 3*time.Second)
	c, err := net.Dial("tcp4", f.address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	f.stop()
	// Until it no longer listens, the gateway takes requests that may outlast it.
	Eventually(func() error {
		other, err := net.Dial("tcp4", f.address)
		if err == nil {
			err = other.Close()
		}
		return err
	}, "3s").ShouldNot(Succeed())
	_, err = io.WriteString(c, "POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: early\r\nDeadline-Ms: 6000\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(resp.Header.Get("Pistachioroad-Verdict")).To(Equal("not_run"))
	Expect(resp.Close).To(BeTrue())
}

// Guards against requests that arrive at any time of a stop, on kept and on new connections, and are
// passed on without the time to end: servers are as slow as they were before the stop.
func TestRequestsThroughoutAStopAreAnsweredWholeOrNotRun(t *testing.T) {
	f, server, engine := newStopFixture(t, 8*time.Second)
	const slow = 2 * time.Second
	server.SetWork(func(runner.Run) runner.Work { return runner.Work{Delay: slow} })
	engine.SetWork(func(runner.Run) runner.Work {
		return runner.Work{Delay: slow / 2, Events: 3, Interval: slow / 4}
	})
	var callers sync.WaitGroup
	var answered, rejected atomic.Int64
	judge := func(id string, got response) {
		runs := runsOf(server, id) + runsOf(engine, id)
		switch {
		case got.err == nil && got.status == http.StatusOK && runs == 1:
			answered.Add(1)
		case got.err == nil && got.status == http.StatusServiceUnavailable && runs == 0:
			rejected.Add(1)
		case got.err == nil || runs != 0:
			t.Errorf("%s: %d %q %v, ran %d times", id, got.status, got.body, got.err, runs)
		}
	}
	call := func(kept bool, target, prefix string) {
		c := f.connection()
		for n := 0; ; n++ {
			if !kept {
				c = f.connection()
			}
			id := fmt.Sprintf("%s-%d", prefix, n)
			judge(id, f.request(c, target, id))
			if !kept {
				c.CloseIdleConnections()
			}
			select {
			case <-f.stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	for _, kept := range []bool{true, false} {
		for _, target := range []string{"/read/", "/hold/", "/stream-once/", "/stream-again/"} {
			// Their requests begin at different times of the stop.
			for n := range 3 {
				callers.Go(func() {
					time.Sleep(slow * time.Duration(n) / 3)
					call(kept, target, fmt.Sprintf("%v%s%d", kept, target[1:len(target)-1], n))
				})
			}
		}
	}
	// Until the gateway knows how long requests take.
	time.Sleep(3 * slow)
	before := answered.Load()
	f.stop()
	// Connections from the time in which the balancer has not noticed the stop, with a first request
	// some time later.
	for n := range 16 {
		callers.Go(func() {
			c, err := net.Dial("tcp4", f.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			time.Sleep(time.Duration(n) * time.Second / 2)
			target, id := []string{"/hold/", "/stream-once/"}[n%2], fmt.Sprintf("first-%d", n)
			_, _ = io.WriteString(c, "POST "+target+" HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "+id+
				"\r\nDeadline-Ms: 6000\r\nToken-Count: 2000,20\r\nPrefix-Hash: aa:1500,bb:500\r\nContent-Length: 1\r\n\r\nb")
			got := readResponse(bufio.NewReader(c))
			judge(id, got)
		})
	}
	callers.Wait()
	t.Logf("%d answered before the stop, %d during it, %d rejected as not run", before, answered.Load()-before, rejected.Load())
	if answered.Load() == before || rejected.Load() == 0 {
		t.Error("no request was answered during the stop, or none arrived late in it")
	}
}
