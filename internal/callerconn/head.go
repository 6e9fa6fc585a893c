package callerconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// rejectionTimeout limits the write of headRejection.
const rejectionTimeout = 100 * time.Millisecond

// headRejection is the answer to a request whose head there is no memory for.
const headRejection = "HTTP/1.1 503 Service Unavailable\r\n" + verdict.Header + ": not_run\r\n" +
	"Retry-After: 1.00\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// addHead adds what has been read of the head. If there is no memory for it, it answers and closes
// the connection. No other answer is being written, since the request has not been read.
func (c *Conn) addHead(p []byte, readErr error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Add(len(p), bytes.Count(p, []byte{'\n'}), c.conns.config.Heads) {
		return len(p), readErr
	}
	c.conns.config.HeadsRejected.Inc(1)
	c.conns.headLines.Do(func() {
		log.WithFields(log.Fields{"caller": c.RemoteAddr().String(), "bytes": c.head.Bytes, "fields": c.head.Fields}).Warn("heads are rejected for want of memory")
	})
	if c.SetWriteDeadline(time.Now().Add(rejectionTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, headRejection)
	}
	return 0, c.closeUnread()
}

func (c *Conn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Release(c.conns.config.Heads)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is the ConnContext hook of a server for caller connections.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// RejectBody records that a request is rejected before its body has been read. What the caller
// still sends of it is discarded for a while after the answer when the connection is closed, which
// may happen at any time. The server must use ConnContext.
func RejectBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.rejectBody(time.Now())
	}
}
