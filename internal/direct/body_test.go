package direct_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/platform"
)

const streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nContent-Type: text/event-stream; charset=utf-8\r\n"

// framings return a response with a given body.
var framings = map[string]func(head, body string) string{
	"length": func(head, body string) string {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	},
	"chunks": func(head, body string) string {
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return text + "0\r\n\r\n"
	},
	"unframed": func(head, body string) string { return head + "\r\n" + body },
	"unframed, to HTTP/1.0": func(head, body string) string {
		return strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n" + body
	},
}

// Guards against taking the end of a stream for the end of a complete one: a server that
// crashes ends a body without length and chunks as it would end a complete one.
func TestStreamThatEndsWithinAnEventIsIncomplete(t *testing.T) {
	for body, complete := range map[string]bool{
		"id: 1\ndata: a\n\n":                      true,
		"id: 1\r\ndata: a\r\n\r\n":                true,
		"id: 1\rdata: a\r\r":                      true,
		"id: 1\ndata: a\n\n: comment\n":           true,
		"weight-versions: 2\nid: 1\ndata: a\n\n":  true,
		"id: 1\ndata: a\n":                        false,
		"id: 1\ndata: a":                          false,
		"id: 1\r\ndata: a\r\n":                    false,
		"id: 1\ndata: a\n\nid: 2\n":               false,
		"id: 1\ndata: a\n\nweight-versions: 2\n":  false,
		"id: 1\ndata: a\n\nweight-ver":            false,
		"id: 1\ndata: a\n\n: comm":                false,
		"id: 1\ndata: a\n\nid: 2\ndata: b\n: c\n": false,
	} {
		for framing, frame := range framings {
			got, err := exchangeOne(t, frame(streamHead, body))
			if (err == nil) != complete || got != body {
				t.Errorf("%s, %q: got %q, error %v, want complete %v", framing, body, got, err, complete)
			}
		}
	}
}

// Guards against taking a crash before the first event for an empty stream. A server that
// states the length or the last chunk of an empty stream has sent all of it.
func TestUnframedStreamWithoutEventsIsIncomplete(t *testing.T) {
	for framing, frame := range framings {
		_, err := exchangeOne(t, frame(streamHead, ""))
		if want := strings.HasPrefix(framing, "unframed"); (err != nil) != want {
			t.Errorf("%s: error %v, want one: %v", framing, err, want)
		}
	}
}

// Guards against rejecting answers of plain services that end with their connection. Only a
// reset shows that such an answer is incomplete.
func TestUnframedBodyOfAnotherTypeIsCompleteUnlessReset(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nContent-Type: text/plain\r\n\r\n"
	if got, err := exchangeOne(t, head+"hello"); err != nil || got != "hello" {
		t.Errorf("got %q, error %v", got, err)
	}
	if got, err := exchangeThenReset(t, head+"hello"); err == nil {
		t.Errorf("after a reset: got %q without an error", got)
	}
}

var _ = Describe("Unframed response", func() {
	// Guards against the reuse of a connection whose end was the end of its response.
	It("ends its connection", func() {
		transport := direct.New(platform.Codec{})
		s := newTestServer(func(_ int, c net.Conn) {
			defer c.Close()
			_ = respond(c, bufio.NewReader(c), framings["unframed"](streamHead, "id: 1\n\n"))
		})
		for _, id := range []string{"a", "b"} {
			Expect(send(transport, s.address, id, nil)).To(Equal("id: 1\n\n"))
		}
		Expect(s.accepted).To(HaveLen(2))
	})
})

// exchangeOne returns the body that is read if a server writes text and closes its
// connection.
func exchangeOne(t *testing.T, text string) (string, error) {
	return exchange(t, func(c net.Conn) {
		_ = respond(c, bufio.NewReader(c), text)
	})
}

// exchangeThenReset is like exchangeOne with a reset of the connection after the text has
// arrived.
func exchangeThenReset(t *testing.T, text string) (string, error) {
	return exchange(t, func(c net.Conn) {
		_ = respond(c, bufio.NewReader(c), text)
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

func exchange(t *testing.T, serve func(net.Conn)) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		serve(c)
	}()
	return send(direct.New(platform.Codec{}), l.Addr().String(), http.MethodPost, nil)
}
