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
	It("receives each frame as it was sent", func() {
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

	// Guards against taking a frame that was truncated by a broken connection for
	// the end of the stream, which would make the answer look complete.
	It("distinguishes a truncated frame from the end of the stream", func() {
		stream := &buffer{}
		Expect(wire.NewConn(stream).Send(chunkFrame(0, "abcdef"))).To(Succeed())
		stream.Truncate(stream.Len() - 1)

		_, err := wire.NewConn(stream).Receive()
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(Equal(io.EOF))
	})
})

var _ = Describe("Digest", func() {
	// Guards against a lost or reordered frame going unnoticed: the caller would
	// read a plausible answer with missing or swapped sentences.
	It("differs when chunks are missing or reordered", func() {
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
