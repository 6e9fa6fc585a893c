package direct_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/platform"
)

// Guards against ending a request at a sound server: the server acknowledges nothing for
// longer than a second, and then goes on. TCP sends again after 0.2, 0.6, 1.4 and 3.0 s.
func TestRequestSurvivesAPauseOfItsServer(t *testing.T) {
	RegisterTestingT(t)
	const (
		pause      = 1800 * time.Millisecond
		patience   = 10 * time.Second
		bodyBytes  = 8 << 20
		readBuffer = 16 << 10
	)
	config := net.ListenConfig{}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		// With a small buffer, the client's data stays unacknowledged during the pause.
		if c.(*net.TCPConn).SetReadBuffer(readBuffer) != nil {
			return
		}
		time.Sleep(pause)
		// Otherwise most segments of the rest would be lost as well.
		if c.(*net.TCPConn).SetReadBuffer(bodyBytes) != nil {
			return
		}
		_ = respond(c, bufio.NewReader(c), completeResponse)
	}()
	body, err := sendWithin(patience, direct.New(platform.Codec{}), l.Addr().String(), "r1", bytes.Repeat([]byte("b"), bodyBytes))
	Expect(err).NotTo(HaveOccurred())
	Expect(body).To(Equal("hello"))
}
