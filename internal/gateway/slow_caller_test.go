package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// unreadLimit is how long the stand-in server tolerates an answer that stays unread.
	unreadLimit = 400 * time.Millisecond
	// smallBuffer keeps the kernel from holding the answers of these tests.
	smallBuffer = 128 << 10
	answerBytes = 12 << 20
)

// impatientServer answers with a stream of answerBytes and cuts it off if it stays unread.
type impatientServer struct{ cut, whole, requests int }

// bigEvent is an event of the stream.
var bigEvent = "id: 1\ndata: " + block[:len(block)-len("id: 1\ndata: \n\n")] + "\n\n"

func (f *fixture) addImpatient(service, phase string, unreadLimit time.Duration) (state func() impatientServer) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.atEnd(func() { l.Close() })
	var mu sync.Mutex
	var s impatientServer
	serve := func(c net.Conn) {
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Request-Id"), answerBytes)
		for sent := 0; err == nil && sent < answerBytes; sent += len(bigEvent) {
			_ = c.SetWriteDeadline(time.Now().Add(unreadLimit))
			_, err = io.WriteString(c, bigEvent)
		}
		mu.Lock()
		defer mu.Unlock()
		s.requests++
		if err != nil {
			s.cut++
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		s.whole++
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	id := "s-" + service
	f.store.Put("servers", id, runner.New(id, phase).Registration(service, l.Addr().String(), "z", "ready"))
	return func() impatientServer {
		mu.Lock()
		defer mu.Unlock()
		return s
	}
}

// newSlowFixture returns a fixture with an impatient server and limits for slow callers.
func newSlowFixture(t *testing.T, l readahead.Limits) (f *fixture, server func() impatientServer) {
	RegisterTestingT(t)
	f = startFixtureWith(100, t.Cleanup, l)
	text := strings.ReplaceAll(configuration, `"timeoutMs":2000`, `"timeoutMs":20000`)
	f.store.PutRaw("config", "main", []byte(strings.ReplaceAll(text, "%VERSION%", "1")))
	server = f.addImpatient("plain", "", unreadLimit)
	f.followUntilKnown(1)
	return f, server
}

// request sends a request on a connection with small buffers. Its response is not read.
func (f *fixture) request(id string) net.Conn { return f.requestTo("/hold/1", id) }

func (f *fixture) requestTo(target, id string) net.Conn {
	c, err := net.Dial("tcp4", strings.TrimPrefix(f.server.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	f.atEnd(func() { c.Close() })
	Expect(c.(*net.TCPConn).SetReadBuffer(smallBuffer)).To(Succeed())
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 20000\r\nToken-Count: 200,20\r\nContent-Length: 0\r\n\r\n", target, id)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// readAnswer reads the body of a response and returns its length and error.
func readAnswer(c net.Conn) (int64, error) {
	Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return io.Copy(io.Discard, resp.Body)
}

func counter(name string) int64 { return metrics.GetOrRegisterCounter(name, nil).Count() }

// Guards against answers that are lost because their callers read nothing for a while: the
// server cuts off what stays unread.
func TestAnswerOfACallerThatPausesIsWhole(t *testing.T) {
	f, server := newSlowFixture(t, readahead.Limits{Total: 32 << 20, PerAnswer: 16 << 20})
	c := f.request("r1")
	time.Sleep(4 * unreadLimit)
	Expect(server()).To(Equal(impatientServer{whole: 1, requests: 1}))
	n, err := readAnswer(c)
	Expect(err).NotTo(HaveOccurred())
	Expect(n).To(BeEquivalentTo(answerBytes))
	Eventually(func() int64 { return f.gateway.Dump(time.Now()).ReadAhead.Bytes }).Should(BeZero())
}

// Guards against a stream that is moved to another engine, or whose engine is avoided, because
// its caller pauses for longer than a server may be silent.
func TestPauseOfTheCallerIsNoSilenceOfTheEngine(t *testing.T) {
	f, _ := newSlowFixture(t, readahead.Limits{Total: 32 << 20, PerAnswer: 512 << 10, StallTimeout: 10 * time.Second})
	engine := f.addImpatient("llm", "decode", 10*time.Second)
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(2))
	silences := func() (n int64) {
		for _, outcome := range []string{"went_on", "moved", "failed"} {
			n += counter("gateway.silences_" + outcome)
		}
		return n
	}
	before := silences()
	for _, target := range []string{"/stream-again/1", "/stream-once/1"} {
		c := f.requestTo(target, "r1")
		time.Sleep(1600 * time.Millisecond)
		n, err := readAnswer(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeEquivalentTo(answerBytes))
	}
	Expect(silences()).To(Equal(before))
	Eventually(engine).Should(Equal(impatientServer{whole: 2, requests: 2}))
}

// Guards against unlimited memory for callers that read nothing, and against a part of an
// answer that looks whole: of two callers, both or one find no memory, and another caller is
// served meanwhile.
func TestAnswersOfCallersThatReadNothingAreAbortedAtTheLimits(t *testing.T) {
	for name, l := range map[string]readahead.Limits{
		"of an answer":     {Total: 16 << 20, PerAnswer: 128 << 10, StallTimeout: unreadLimit / 2},
		"of the process":   {Total: 128 << 10, PerAnswer: 8 << 20, StallTimeout: unreadLimit / 2},
		"less than a part": {Total: 1, StallTimeout: unreadLimit / 2},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := newSlowFixture(t, l)
			aborted := counter("gateway.read_ahead_aborted")
			callers := []net.Conn{f.request("r1"), f.request("r2")}
			Eventually(func() int64 { return counter("gateway.read_ahead_aborted") - aborted }).WithTimeout(5 * time.Second).Should(BeEquivalentTo(2))
			d := f.gateway.Dump(time.Now()).ReadAhead
			Expect(d.Limit).To(Equal(l.Total))
			n, err := readAnswer(f.request("r3"))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(BeEquivalentTo(answerBytes))
			for _, c := range callers {
				_, err := readAnswer(c)
				Expect(err).To(HaveOccurred())
			}
			Eventually(func() int64 { return f.gateway.Dump(time.Now()).ReadAhead.Bytes }).Should(BeZero())
		})
	}
}

// Guards against giving up an answer that is larger than the limits though its caller reads it
// steadily, if slowly.
func TestLargeAnswerOfASlowCallerIsWhole(t *testing.T) {
	f, _ := newSlowFixture(t, readahead.Limits{Total: 16 << 20, PerAnswer: 256 << 10, Patience: 5 * time.Millisecond})
	c := f.request("r1")
	Expect(c.SetReadDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	var n int64
	for err == nil {
		var part int64
		part, err = io.CopyN(io.Discard, resp.Body, 128<<10)
		n += part
		time.Sleep(10 * time.Millisecond)
	}
	Expect(err).To(Equal(io.EOF))
	Expect(n).To(BeEquivalentTo(answerBytes))
}
