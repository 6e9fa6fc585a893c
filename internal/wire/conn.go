// Package wire holds the frames that the project's own processes exchange.
//
// The messages are generated from wire.proto; this file frames them on a
// stream and proves an answer whole.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
)

// MaxFrame is the largest frame in bytes. It leaves room for the largest body
// of a caller and its headers.
const MaxFrame = 8 << 20

// keptBuffer is the largest buffer, in bytes, that a Conn keeps for its next
// frame.
const keptBuffer = 16 << 10

// Conn sends and receives frames on one stream. Any goroutine may send; one
// goroutine receives.
type Conn struct {
	stream io.ReadWriteCloser
	reader *bufio.Reader

	sending sync.Mutex
	buffer  bytes.Buffer
}

// NewConn returns a Conn over stream.
func NewConn(stream io.ReadWriteCloser) *Conn {
	return &Conn{stream: stream, reader: bufio.NewReaderSize(stream, 4<<10)}
}

// Send writes one frame. After an error the stream is of no further use.
func (c *Conn) Send(f *Frame) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	c.buffer.Reset()
	if _, err := protodelim.MarshalTo(&c.buffer, f); err != nil {
		return eris.Wrap(err, "encode frame")
	}
	// One write for the length and the body: the stream sends each write on its
	// own.
	_, err := c.stream.Write(c.buffer.Bytes())
	if c.buffer.Cap() > keptBuffer {
		c.buffer = bytes.Buffer{}
	}
	return eris.Wrap(err, "send frame")
}

// Receive reads one frame. It returns io.EOF unwrapped when the stream ended
// between two frames.
func (c *Conn) Receive() (*Frame, error) {
	f := &Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(c.reader, f)
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, eris.Wrap(err, "receive frame")
	}
	return f, nil
}

// Close closes the stream.
func (c *Conn) Close() error { return c.stream.Close() }

// Digest sums up the chunks of an answer. The zero value is not ready for use;
// NewDigest returns one.
type Digest struct {
	hash   *xxhash.Digest
	chunks uint32
}

// NewDigest returns the Digest of no chunks.
func NewDigest() *Digest { return &Digest{hash: xxhash.New()} }

// Add adds one chunk and its number, so that two chunks that changed places
// give another sum.
func (d *Digest) Add(c *Chunk) {
	var sequence [4]byte
	binary.BigEndian.PutUint32(sequence[:], c.GetSequence())
	_, _ = d.hash.Write(sequence[:])
	_, _ = d.hash.Write(c.GetData())
	d.chunks++
}

// Sum returns the digest of all chunks.
func (d *Digest) Sum() uint64 { return d.hash.Sum64() }

// Chunks returns how many chunks were added.
func (d *Digest) Chunks() uint32 { return d.chunks }

// Matches reports whether f ends exactly the chunks that were added.
func (d *Digest) Matches(f *Final) bool {
	return f.GetChunks() == d.chunks && f.GetDigest() == d.Sum()
}
