package direct

import (
	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/membudget"
)

const (
	// largeBody is after how many bytes of a body its connection gets a larger receive buffer:
	// the window of the usual one would slow down large responses from afar.
	largeBody = 16 << 10
	// largeReceiveBuffer is the size of that buffer.
	largeReceiveBuffer = 64 << 10
)

// receiveLimit limits what the kernel holds of responses that have not been read. A nil one does
// not limit it.
type receiveLimit struct {
	// size is that of the usual receive buffer, and large the memory of larger ones.
	size  int
	large *membudget.Budget
}

// grow gives a connection a larger receive buffer if there is memory for it.
func (l *receiveLimit) grow(c *conn) {
	if l == nil || c.largeBuffer || l.size >= largeReceiveBuffer || !l.large.Acquire(l.cost()) {
		return
	}
	c.largeBuffer = true
	l.resize(c, largeReceiveBuffer)
}

// shrink gives a connection the usual receive buffer.
func (l *receiveLimit) shrink(c *conn) {
	if l == nil || !c.largeBuffer {
		return
	}
	l.resize(c, l.size)
	c.largeBuffer = false
	l.large.Release(l.cost())
}

func (l *receiveLimit) cost() int64 {
	return membudget.ReceiveOverhead * int64(largeReceiveBuffer-l.size)
}

func (l *receiveLimit) resize(c *conn, size int) {
	raw, err := c.tcp.SyscallConn()
	if err == nil {
		err = setReceiveBuffer(raw, size)
	}
	if err != nil {
		log.WithField("error", err.Error()).Debug("size of a receive buffer not set")
	}
}
