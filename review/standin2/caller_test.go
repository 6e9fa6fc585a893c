//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller is a client with one kept connection to a gateway.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// answer is what a caller got.
type answer struct {
	status int
	seal   string
	body   string
	// whole is set if the answer is complete.
	whole bool
	err   error
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes, whole %v", a.status, a.seal, len(a.body), a.whole)
}

// answerTimeout limits the wait for an answer, well after any deadline.
const answerTimeout = 8 * time.Second

// connect opens a connection unless there is one.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// close closes the connection.
func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send writes requests, each a method, target and ID, in one piece.
func (c *caller) send(deadline time.Duration, requests ...[3]string) error {
	if err := c.connect(); err != nil {
		return err
	}
	var text strings.Builder
	for _, r := range requests {
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r[0], r[1], r[2], deadline.Milliseconds())
		if r[0] == http.MethodPost {
			body := "a day's hold " + r[2]
			fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		text.WriteString("\r\n")
	}
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(c.conn, text.String())
	return err
}

// read reads the next answer, and closes the connection if it can't be used again.
func (c *caller) read(method string) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), body: string(body), whole: err == nil, err: err}
	if err != nil || resp.Close {
		c.close()
	}
	return a
}
