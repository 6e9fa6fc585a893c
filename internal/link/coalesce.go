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

	// coalescedSize is the maximum size in bytes of a frame written by a single call.
	// Tokens are far below it; for large bodies the cost of a second write is small.
	coalescedSize = 4 << 10
)

// coalescedConn writes the header of a frame together with its body.
//
// yamux writes them separately. For a token of a few bytes, that takes two system calls,
// two packets and two wake-ups of the receiver, which adds to the CPU time of each token
// and to the latency of each hop.
//
// The bytes and their order are unchanged. Only yamux's send loop writes, so that no
// locking is needed.
type coalescedConn struct {
	net.Conn
	buffer [coalescedSize]byte
	// held is the number of header bytes in buffer that wait for the body.
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

// hasBody reports whether p is the header of a frame whose body is written next.
func hasBody(p []byte) bool {
	return len(p) == headerSize && p[typeAt] == typeData && binary.BigEndian.Uint32(p[lengthAt:]) > 0
}
