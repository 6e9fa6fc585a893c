package faultproxy_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
)

// Guards against a soak that loses bytes where it claims only to delay them: both ends
// send while bytes are held back, and one closes its connection.
func TestHeldBytesArriveCompleteAndInOrder(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	proxy, err := faultproxy.Listen("127.0.0.1:0", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	client, err := net.Dial("tcp4", proxy.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	server, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()

	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		g.Expect(err).NotTo(HaveOccurred())
	}
	read := func(c net.Conn, n int) string {
		data := make([]byte, n)
		_, err := io.ReadFull(c, data)
		g.Expect(err).NotTo(HaveOccurred())
		return string(data)
	}
	send(client, "ab")
	g.Expect(read(server, 2)).To(Equal("ab"))
	proxy.Set(faultproxy.Mode{Hold: true})
	send(client, "cd")
	send(client, "ef")
	send(server, "12")
	send(server, "34")
	g.Expect(server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
	_, err = server.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	g.Expect(server.SetReadDeadline(time.Time{})).To(Succeed())
	proxy.Set(faultproxy.Mode{})
	g.Expect(read(client, 4)).To(Equal("1234"))
	g.Expect(read(server, 4)).To(Equal("cdef"))

	proxy.Set(faultproxy.Mode{Hold: true})
	send(server, "56")
	g.Expect(server.Close()).To(Succeed())
	time.Sleep(50 * time.Millisecond)
	proxy.Set(faultproxy.Mode{})
	rest, err := io.ReadAll(client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(rest)).To(Equal("56"))
}
