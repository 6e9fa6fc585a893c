//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runLog has the requests that all servers of a play have begun to run.
type runLog struct {
	mu   sync.Mutex
	byID map[string][]string
}

func newRunLog() *runLog { return &runLog{byID: make(map[string][]string)} }

// add records that a server begins to run a request.
func (l *runLog) add(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = append(l.byID[id], server)
}

// servers returns the servers that have begun to run a request.
func (l *runLog) servers(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.byID[id]...)
}

// server is a sound server of a plain service, whose answers a case may follow with further bytes.
type server struct {
	id, address string
	runs        *runLog
	record      *recorder
	// work returns how long a request takes.
	work func(*http.Request) time.Duration
	// extra, if set, returns what is sent on the connection at the point where the answer to the
	// next request is expected, after the given number of answers. It is empty for most.
	extra func(answers int) string

	mu      sync.Mutex
	answers int
}

// serve accepts connections until the environment stops.
func (s *server) serve(e *environment) error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	e.closers = append(e.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	return nil
}

// serveConn serves one request at a time.
func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if req.Header.Get("Expect-Instance") != s.id {
			if write(c, "421 Misdirected Request", id, "Instance-Id: "+s.id+"\r\n", "") != nil {
				return
			}
			continue
		}
		if strings.HasPrefix(req.URL.Path, "/-/") {
			if write(c, "404 Not Found", id, "", "") != nil {
				return
			}
			continue
		}
		if late != "" {
			s.record.add("server %s sends an extra response where that to %s is expected", s.id, id)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
		}
		s.runs.add(id, s.id)
		s.record.add("server %s runs %s %s %s", s.id, req.Method, req.RequestURI, id)
		time.Sleep(s.work(req))
		if write(c, "200 OK", id, "Response-Seal: "+sealOf(id)+"\r\nServer-Load: 1,0,6\r\n", bodyOf(id)) != nil {
			return
		}
		late = s.nextExtra()
	}
}

// nextExtra counts an answer and returns what follows it.
func (s *server) nextExtra() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if s.extra == nil {
		return ""
	}
	return s.extra(s.answers)
}

// write writes a response.
func write(c net.Conn, status, id, header, body string) error {
	_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nRequest-Id: "+id+"\r\n"+header+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err
}

// sealOf returns the authentication code of the answer to a request.
func sealOf(id string) string { return "seal." + id }

// bodyOf returns the body of the answer to a request, 800 bytes as on the sheet.
func bodyOf(id string) string {
	const size = 800
	return strings.Repeat(fmt.Sprintf("answer to %s\n", id), size/8)[:size]
}
