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

// peer is a backend server that does what a test says to each connection.
type peer struct {
	address  string
	accepted chan struct{}
}

func newPeer(serve func(n int, c net.Conn)) *peer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	p := &peer{address: l.Addr().String(), accepted: make(chan struct{}, 100)}
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted <- struct{}{}
			go serve(n, c)
		}
	}()
	return p
}

// answer reads one request and writes text, "ID" replaced by its id.
func answer(c net.Conn, r *bufio.Reader, text string) error {
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

const whole = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nhello"

// each answers every request on a connection with text.
func each(text string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for answer(c, r, text) == nil {
			continue
		}
	}
}

func send(t *direct.Transport, address, id string, body []byte) (string, error) {
	r := &request.Request{ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Body: body, Header: http.Header{"Request-Id": {id}}}
	reply, err := t.Send(context.Background(), r, request.Options{
		Server: backend.Server{ID: "i-1", Address: address}, Remaining: time.Second, Priority: request.DefaultPriority,
	})
	if err != nil {
		return "", err
	}
	data, err := reply.ReadAll(1 << 20)
	return string(data), err
}

var _ = Describe("Transport", func() {
	var t *direct.Transport
	BeforeEach(func() { t = direct.New(platform.Dialect{}) })

	It("keeps a connection for the next request", func() {
		p := newPeer(each(whole))
		for _, id := range []string{"a", "b", "c"} {
			Expect(send(t, p.address, id, nil)).To(Equal("hello"))
		}
		Expect(p.accepted).To(HaveLen(1))
	})

	// Nobody listens at the address any more. Nothing can have run, so another
	// server may take the request.
	It("says not run when no connection can be made", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		_, err = send(t, l.Addr().String(), "a", nil)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})

	// The server reads a request and its connection ends. It may have placed
	// the hold, so nobody may say that it has not.
	It("says may have run when the connection ends after the request was written", func() {
		p := newPeer(func(_ int, c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			c.Close()
		})
		_, err := send(t, p.address, "a", nil)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	// A server closes an idle connection just before the next request. Written
	// there, the request would be of unknown outcome though no server saw it.
	It("does not use a kept connection that the server has closed", func() {
		closed := make(chan struct{})
		p := newPeer(func(n int, c net.Conn) {
			if n > 1 {
				each(whole)(n, c)
				return
			}
			_ = answer(c, bufio.NewReader(c), whole)
			c.Close()
			close(closed)
		})
		Expect(send(t, p.address, "a", nil)).To(Equal("hello"))
		<-closed
		Eventually(func() (string, error) { return send(t, p.address, "b", nil) }).Should(Equal("hello"))
	})

	// A late answer to an earlier request comes where the next one is expected.
	It("passes over an answer to another request", func() {
		p := newPeer(each("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nbad" + whole))
		Expect(send(t, p.address, "a", nil)).To(Equal("hello"))
		Expect(send(t, p.address, "b", nil)).To(Equal("hello"))
		Expect(p.accepted).To(HaveLen(2))
	})

	It("tells a short answer from a whole one", func() {
		p := newPeer(func(_ int, c net.Conn) {
			_ = answer(c, bufio.NewReader(c), whole[:len(whole)-2])
			c.Close()
		})
		_, err := send(t, p.address, "a", nil)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("takes the end of the connection for the end of an answer without length", func() {
		p := newPeer(func(_ int, c net.Conn) {
			_ = answer(c, bufio.NewReader(c), "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n\r\nhello")
			c.Close()
		})
		Expect(send(t, p.address, "a", nil)).To(Equal("hello"))
	})

	// A server answers a long request before it has read the body, and goes on
	// reading. Were its connection used again, the next request would be taken
	// for the rest of that body. Once, the process crashed here instead.
	It("gives up a connection on which a body is still being written", func() {
		p := newPeer(func(_ int, c net.Conn) {
			defer c.Close()
			r := bufio.NewReader(c)
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(whole, "ID", req.Header.Get("Request-Id")))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.Copy(io.Discard, r)
		})
		long := make([]byte, 16<<20)
		for _, id := range []string{"a", "b", "c"} {
			Expect(send(t, p.address, id, long)).To(Equal("hello"))
		}
		Expect(p.accepted).To(HaveLen(3))
	})
})
