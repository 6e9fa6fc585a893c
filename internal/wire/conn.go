// Package wire defines the messages that the project's processes exchange.
//
// The messages are generated from wire.proto and share.proto. This file sends and
// receives them as frames on a stream, and verifies that an answer is complete.
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

// MaxFrame is the maximum frame size in bytes. It is large enough for a request
// body of the default size limit and its headers.
const MaxFrame = 8 << 20

// maxRetainedBuffer is the size in bytes above which a Conn does not reuse its
// buffer for the next frame.
const maxRetainedBuffer = 16 << 10

// Conn sends and receives frames on one stream. Send is safe for concurrent use;
// Receive is not.
type Conn struct {
	stream io.ReadWriteCloser
	reader *bufio.Reader

	sendMu sync.Mutex
	buffer bytes.Buffer
}

// NewConn returns a Conn over stream.
func NewConn(stream io.ReadWriteCloser) *Conn {
	return &Conn{stream: stream, reader: bufio.NewReaderSize(stream, 4<<10)}
}

// Send writes one frame. After an error the stream must not be used any more.
func (c *Conn) Send(f *Frame) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	c.buffer.Reset()
	if _, err := protodelim.MarshalTo(&c.buffer, f); err != nil {
		return eris.Wrap(err, "encode frame")
	}
	// The length and the body are written together, because the stream sends each
	// write separately.
	_, err := c.stream.Write(c.buffer.Bytes())
	if c.buffer.Cap() > maxRetainedBuffer {
		c.buffer = bytes.Buffer{}
	}
	return eris.Wrap(err, "send frame")
}

// Receive reads one frame. It returns an unwrapped io.EOF if the stream ended at
// a frame boundary.
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

// Digest is a running checksum of the chunks of an answer. Use NewDigest; the
// zero value is not ready for use.
type Digest struct {
	hash   *xxhash.Digest
	chunks uint32
}

// NewDigest returns the Digest of no chunks.
func NewDigest() *Digest { return &Digest{hash: xxhash.New()} }

// Add adds a chunk and its sequence number, so that chunks in a different order
// result in a different digest.
func (d *Digest) Add(c *Chunk) {
	var sequence [4]byte
	binary.BigEndian.PutUint32(sequence[:], c.GetSequence())
	_, _ = d.hash.Write(sequence[:])
	_, _ = d.hash.Write(c.GetData())
	d.chunks++
}

// Sum returns the digest of all chunks added so far.
func (d *Digest) Sum() uint64 { return d.hash.Sum64() }

// Chunks returns the number of chunks added so far.
func (d *Digest) Chunks() uint32 { return d.chunks }

// Matches reports whether the number and digest of the added chunks agree with f.
func (d *Digest) Matches(f *Final) bool {
	return f.GetChunks() == d.chunks && f.GetDigest() == d.Sum()
}
