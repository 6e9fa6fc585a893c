package link_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// pair returns both ends of a link, and the accepting end's connection.
func pair() (dialled, accepted *link.Session, conn *countingConn) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	dialled, err = link.Dial(context.Background(), listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	raw, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	conn = &countingConn{Conn: raw}
	accepted, err = link.Accept(conn)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return dialled, accepted, conn
}

func chunk(sequence uint32, data []byte) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Sequence: sequence, Data: data}}}
}

var _ = Describe("Session", func() {
	var client, server *wire.Conn
	var conn *countingConn

	BeforeEach(func() {
		dialled, accepted, counted := pair()
		conn = counted
		var err error
		client, err = dialled.Open()
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Send(chunk(0, nil))).To(Succeed())
		server, err = accepted.AcceptStream()
		Expect(err).NotTo(HaveOccurred())
		_, err = server.Receive()
		Expect(err).NotTo(HaveOccurred())
	})

	It("writes a small frame by a single call", func() {
		const frames = 50
		before := conn.writes.Load()
		for i := range uint32(frames) {
			Expect(server.Send(chunk(i, []byte("token")))).To(Succeed())
			_, err := client.Receive()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(conn.writes.Load() - before).To(BeEquivalentTo(frames))
	})

	It("carries frames of every size unchanged", func() {
		for _, size := range []int{0, 1, 4<<10 - 40, 4<<10 - 20, 4 << 10, 100 << 10, 1 << 20} {
			data := bytes.Repeat([]byte{byte(size), 7}, size/2+1)
			sent := make(chan error, 1)
			go func() { sent <- server.Send(chunk(uint32(size), data)) }()
			f, err := client.Receive()
			Expect(err).NotTo(HaveOccurred())
			Expect(<-sent).To(Succeed())
			Expect(f.GetChunk().GetSequence()).To(BeEquivalentTo(size))
			Expect(bytes.Equal(f.GetChunk().GetData(), data)).To(BeTrue())
		}
	})
})
