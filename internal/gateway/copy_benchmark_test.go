package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/readahead"
)

// fastCaller is a caller that reads at once, in memory or through a connection.
type fastCaller struct{ conn net.Conn }

func (w fastCaller) Header() http.Header { return http.Header{} }
func (w fastCaller) Write(p []byte) (int, error) {
	if w.conn == nil {
		return len(p), nil
	}
	return w.conn.Write(p)
}
func (w fastCaller) WriteHeader(int) {}
func (w fastCaller) Flush()          {}

// BenchmarkCopyBody shows what forwarding costs without the network: a short answer, a large
// one, one that ends with its first event, and a stream of 500 events.
func BenchmarkCopyBody(b *testing.B) {
	event := []byte("id: 1\ndata: a token or two of an answer\n\n")
	for name, body := range map[string]func() io.Reader{
		"short":  func() io.Reader { return bytes.NewReader(make([]byte, 400)) },
		"large":  func() io.Reader { return bytes.NewReader(make([]byte, 1<<20)) },
		"stream": func() io.Reader { return &eventSource{event: event, left: 500} },
		"event":  func() io.Reader { return iotest.DataErrReader(bytes.NewReader(event)) },
	} {
		for where, conn := range map[string]net.Conn{"memory": nil, "loopback": readerOf(b)} {
			b.Run(name+"/"+where, func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					benchmarkCall = &call{gateway: benchmarkGateway, writer: &callerconn.Writer{ResponseWriter: fastCaller{conn}, Closing: func() bool { return false }}, received: time.Now()}
					if err := benchmarkCall.copyBody(body()); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// benchmarkCall keeps calls on the heap, where those of requests are.
var benchmarkCall *call

// readerOf returns a connection to a reader that discards what it reads.
func readerOf(b *testing.B) net.Conn {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	reader, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		defer reader.Close()
		_, _ = io.Copy(io.Discard, reader)
	}()
	return c
}

// eventSource returns one event for each read.
type eventSource struct {
	event []byte
	left  int
}

func (s *eventSource) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	s.left--
	return copy(p, s.event), nil
}

var benchmarkGateway = &Gateway{answers: readahead.New(readahead.Limits{Total: 16 << 20})}
