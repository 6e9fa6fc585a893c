package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var ids atomic.Int64

// nextID returns the ID of a new request.
func nextID() string { return fmt.Sprintf("%016x", ids.Add(1)) }

// behaviour is what a member of a crowd does with one connection. sent is called once it has
// sent what it sends before it waits.
type behaviour func(c net.Conn, sent func())

// crowd is a number of clients that behave in the same way, over and over again: a member whose
// connection ends opens another one.
type crowd struct {
	cancel  context.CancelFunc
	members sync.WaitGroup
	// sent is done once each member has sent what it sends, or has been turned away.
	sent sync.WaitGroup
}

func startCrowd(size int, address string, b behaviour) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	c.sent.Add(size)
	for range size {
		c.members.Go(func() { c.member(ctx, address, b) })
	}
	return c
}

func (c *crowd) member(ctx context.Context, address string, b behaviour) {
	sent := sync.OnceFunc(c.sent.Done)
	defer sent()
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: patience}).DialContext(ctx, "tcp4", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			b(conn, sent)
			stop()
			conn.Close()
			sent()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitSent waits until all members have sent what they send.
func (c *crowd) awaitSent(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		c.sent.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Log("not all members of the crowd could send what they send")
	}
}

// stop closes the connections of all members.
func (c *crowd) stop() {
	c.cancel()
	c.members.Wait()
}

// holdTime is how long a crowd stays before the checks, so that the process meets all of it.
const holdTime = 3 * time.Second

// writeTime limits one write of a member, whose peer may not read.
const writeTime = 2 * time.Second

// write writes all of data, or what fits while the peer does not read.
func write(c net.Conn, data string) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := io.WriteString(c, data)
	return err
}

// stay reads answers until the connection ends.
func stay(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// idle is the behaviour of clients that send nothing.
func idle(c net.Conn, sent func()) {
	sent()
	stay(c)
}

// head returns the head of a request up to the framing of its body.
func head(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + nextID() + "\r\nDeadline-Ms: 1000000\r\n" + fields
}

// announced returns the behaviour of clients that announce a body of length bytes and send some
// of them.
func announced(path string, length, some int) behaviour {
	part := strings.Repeat("x", some)
	return func(c net.Conn, sent func()) {
		_ = write(c, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", length))+part)
		sent()
		stay(c)
	}
}

// chunked returns the behaviour of clients that send length bytes of a body that has no length
// and does not end.
func chunked(path string, length int) behaviour {
	const size = 32 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return func(c net.Conn, sent func()) {
		err := write(c, head(path, "Transfer-Encoding: chunked\r\n\r\n"))
		for n := 0; n < length && err == nil; n += size {
			err = write(c, chunk)
		}
		sent()
		stay(c)
	}
}

// shortFields returns the behaviour of clients whose heads have size bytes of fields as short as
// possible, and then rest.
func shortFields(size int, rest string) behaviour {
	fields := distinctFields(size)
	return func(c net.Conn, sent func()) {
		_ = write(c, head("/hold/1", fields+rest))
		sent()
		stay(c)
	}
}

// pipelined returns the behaviour of clients that send size bytes of requests and read no answer.
func pipelined(request string, size int) behaviour {
	requests := strings.Repeat(request, size/len(request)+1)
	return func(c net.Conn, sent func()) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_ = write(c, requests)
		sent()
		unreading(c)
	}
}

// unreading reads a byte now and then until the connection ends.
func unreading(c net.Conn) {
	for {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// endure exposes a machine to a crowd at one of its addresses and checks what has to hold beside
// it and afterwards.
func (m *machine) endure(t *testing.T, size int, address string, b behaviour) {
	t.Helper()
	c := startCrowd(size, address, b)
	defer c.stop()
	c.awaitSent(t)
	time.Sleep(holdTime)
	m.expectAnswer(t, "beside the crowd")
	c.stop()
	m.expectAnswer(t, "after the crowd")
	m.expectWithinLimits(t)
}

// endureCallers is endure at the address for callers.
func (g *gateway) endureCallers(t *testing.T, size int, b behaviour) {
	t.Helper()
	g.endure(t, size, g.callers(), b)
}
