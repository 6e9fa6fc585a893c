package wire_test

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

var _ = Describe("Conn", func() {
	It("returns each frame as it was sent", func() {
		stream := &buffer{}
		conn := wire.NewConn(stream)
		Expect(conn.Send(chunkFrame(0, "a"))).To(Succeed())
		Expect(conn.Send(chunkFrame(1, "b"))).To(Succeed())

		first, err := conn.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.GetChunk().GetData()).To(BeEquivalentTo("a"))
		second, err := conn.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(second.GetChunk().GetData()).To(BeEquivalentTo("b"))
		_, err = conn.Receive()
		Expect(err).To(Equal(io.EOF))
	})

	// A connection that breaks inside a frame leaves half of it behind. Taken
	// for the end of the stream, it would pass for a shorter answer.
	It("tells a cut frame from the end of the stream", func() {
		stream := &buffer{}
		Expect(wire.NewConn(stream).Send(chunkFrame(0, "abcdef"))).To(Succeed())
		stream.Truncate(stream.Len() - 1)

		_, err := wire.NewConn(stream).Receive()
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(Equal(io.EOF))
	})
})

var _ = Describe("Digest", func() {
	// A frame that overtakes another, or is lost, leaves text of a plausible
	// shape. The caller would read an answer with two sentences swapped.
	It("differs when chunks are missing or change places", func() {
		whole := wire.NewDigest()
		whole.Add(&wire.Chunk{Sequence: 0, Data: []byte("a")})
		whole.Add(&wire.Chunk{Sequence: 1, Data: []byte("b")})
		final := &wire.Final{Chunks: whole.Chunks(), Digest: whole.Sum()}

		short := wire.NewDigest()
		short.Add(&wire.Chunk{Sequence: 0, Data: []byte("a")})
		swapped := wire.NewDigest()
		swapped.Add(&wire.Chunk{Sequence: 1, Data: []byte("b")})
		swapped.Add(&wire.Chunk{Sequence: 0, Data: []byte("a")})

		Expect(whole.Matches(final)).To(BeTrue())
		Expect(short.Matches(final)).To(BeFalse())
		Expect(swapped.Matches(final)).To(BeFalse())
	})
})

func chunkFrame(sequence uint32, data string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Sequence: sequence, Data: []byte(data)}}}
}
