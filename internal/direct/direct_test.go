package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/platform"
)

func TestDirect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "direct")
}

// testServer is a backend server that runs a test's function for each connection.
type testServer struct {
	address  string
	accepted chan struct{}
}

func newTestServer(serve func(n int, c net.Conn)) *testServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	s := &testServer{address: l.Addr().String(), accepted: make(chan struct{}, 100)}
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go serve(n, c)
		}
	}()
	return s
}

// respond reads one request and writes text, with "ID" replaced by the request's ID.
func respond(c net.Conn, r *bufio.Reader, text string) error {
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	_, err = io.WriteString(c, strings.ReplaceAll(text, "ID", req.Header.Get("Request-Id")))
	return err
}

const completeResponse = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nhello"

// respondToAll returns a function that responds to every request on a connection with text.
func respondToAll(text string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for respond(c, r, text) == nil {
			continue
		}
	}
}

func send(t *direct.Transport, address, id string, body []byte) (string, error) {
	return sendWithin(time.Second, t, address, id, body)
}

// sendWithin is send with the time that the server has for the request.
func sendWithin(remaining time.Duration, t *direct.Transport, address, id string, body []byte) (string, error) {
	r := &request.Request{ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Body: body, Header: http.Header{"Request-Id": {id}}}
	reply, err := t.Send(context.Background(), r, request.Options{
		Server: backend.Server{ID: "i-1", Address: address}, Remaining: remaining, Priority: request.DefaultPriority,
	})
	if err != nil {
		return "", err
	}
	data, err := reply.ReadAll(1 << 20)
	return string(data), err
}

var _ = Describe("Transport", func() {
	var t *direct.Transport
	BeforeEach(func() { t = direct.New(platform.Codec{}) })

	It("reuses a connection for the next request", func() {
		s := newTestServer(respondToAll(completeResponse))
		for _, id := range []string{"a", "b", "c"} {
			Expect(send(t, s.address, id, nil)).To(Equal("hello"))
		}
		Expect(s.accepted).To(HaveLen(1))
	})

	// Guards against a verdict that forbids a retry although nothing can have run: no
	// process listens at the address.
	It("returns not run when no connection can be made", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		_, err = send(t, l.Addr().String(), "a", nil)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})

	// Guards against a wrong promise that a request has not run: the server reads a
	// request, may have placed the hold, and its connection ends.
	It("returns may have run when the connection ends after the request was written", func() {
		s := newTestServer(func(_ int, c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			c.Close()
		})
		_, err := send(t, s.address, "a", nil)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Guards against an unknown outcome of a request that no server received: a server
	// closes an idle connection just before the next request is written to it.
	It("does not reuse a connection that the server has closed", func() {
		closed := make(chan struct{})
		s := newTestServer(func(n int, c net.Conn) {
			if n > 1 {
				respondToAll(completeResponse)(n, c)
				return
			}
			_ = respond(c, bufio.NewReader(c), completeResponse)
			c.Close()
			close(closed)
		})
		Expect(send(t, s.address, "a", nil)).To(Equal("hello"))
		<-closed
		Eventually(func() (string, error) { return send(t, s.address, "b", nil) }).Should(Equal("hello"))
	})

	// Guards against returning a late response to an earlier request.
	It("skips a response to another request", func() {
		s := newTestServer(respondToAll("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nbad" + completeResponse))
		Expect(send(t, s.address, "a", nil)).To(Equal("hello"))
		Expect(send(t, s.address, "b", nil)).To(Equal("hello"))
		Expect(s.accepted).To(HaveLen(2))
	})

	It("detects a truncated response", func() {
		s := newTestServer(func(_ int, c net.Conn) {
			_ = respond(c, bufio.NewReader(c), completeResponse[:len(completeResponse)-2])
			c.Close()
		})
		_, err := send(t, s.address, "a", nil)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("accepts a response without length that the end of the connection delimits", func() {
		s := newTestServer(func(_ int, c net.Conn) {
			_ = respond(c, bufio.NewReader(c), "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n\r\nhello")
			c.Close()
		})
		Expect(send(t, s.address, "a", nil)).To(Equal("hello"))
	})

	// Guards against a request that the server takes for the rest of an earlier body: the
	// server responds to a long request before it has read the body, and the connection
	// is reused. The process once crashed in this case.
	It("closes a connection on which a body is still being written", func() {
		s := newTestServer(func(_ int, c net.Conn) {
			defer c.Close()
			r := bufio.NewReader(c)
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(completeResponse, "ID", req.Header.Get("Request-Id")))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.Copy(io.Discard, r)
		})
		long := make([]byte, 16<<20)
		for _, id := range []string{"a", "b", "c"} {
			Expect(send(t, s.address, id, long)).To(Equal("hello"))
		}
		Expect(s.accepted).To(HaveLen(3))
	})
})
