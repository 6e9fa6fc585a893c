package link

import (
	"encoding/binary"
	"net"
)

// The layout of a yamux frame's header: version, type, flags, stream, length.
const (
	headerSize = 12
	typeAt     = 1
	lengthAt   = 8
	typeData   = 0

	// coalescedSize is the largest frame, in bytes, that is copied into one
	// write. Tokens are far below; for large bodies the second write is cheap.
	coalescedSize = 4 << 10
)

// coalescedConn writes the header of a frame together with its body.
//
// yamux writes the two one after the other. For a token of a few bytes that is
// two system calls, two packets and two wake-ups of the other end; one notices
// by the processor time of a token and by the latency that each hop adds.
//
// The bytes and their order stay the same. Only yamux's send loop writes, so
// nothing here is shared.
type coalescedConn struct {
	net.Conn
	buffer [coalescedSize]byte
	// held is how many bytes of buffer wait for the body.
	held int
}

// Write implements net.Conn.
func (c *coalescedConn) Write(p []byte) (int, error) {
	if c.held == 0 {
		if !hasBody(p) {
			return c.Conn.Write(p)
		}
		c.held = copy(c.buffer[:], p)
		return len(p), nil
	}
	held := c.held
	c.held = 0
	if held+len(p) > len(c.buffer) {
		if _, err := c.Conn.Write(c.buffer[:held]); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(c.buffer[:held+copy(c.buffer[held:], p)])
	return max(0, n-held), err
}

// hasBody reports whether p is the header of a frame whose body is written
// next.
func hasBody(p []byte) bool {
	return len(p) == headerSize && p[typeAt] == typeData && binary.BigEndian.Uint32(p[lengthAt:]) > 0
}
