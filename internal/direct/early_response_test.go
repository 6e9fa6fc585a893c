package direct_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/platform"
)

// largeUpload is more than the socket buffers of both sides hold.
const largeUpload = 12 << 20

// earlyServer answers each request before its body, of which it reads nothing, and then ends the
// connection.
func earlyServer(t *testing.T, text string, end func(n int64, c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var served atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				end(served.Add(1), c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends largeUpload bytes and returns the body of the response.
func upload(t *testing.T, transport *direct.Transport, address string) (string, error) {
	r := request.Request{ID: "r1", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {"r1"}}, Body: make([]byte, largeUpload)}
	o := request.Options{Server: backend.Server{ID: "s", Address: address}, Remaining: 10 * time.Second}
	reply, err := transport.Send(t.Context(), &r, o)
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return string(data), err
}

const earlyHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"

// Guards against a part of an unframed response that is taken for all of it, because the write of
// the request was told of the reset of the connection and the read was not.
func TestUnframedResponseIsIncompleteAfterAResetDuringTheUpload(t *testing.T) {
	const runs, atOnce, mostDelay = 400, 4, 20 * time.Millisecond
	for name, text := range map[string]string{
		"plain":  earlyHead + "\r\npart",
		"stream": earlyHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
	} {
		address := earlyServer(t, text, func(n int64, c *net.TCPConn) {
			time.Sleep(mostDelay * time.Duration(n%21) / 20)
			_ = c.SetLinger(0)
		})
		var uploads sync.WaitGroup
		var complete atomic.Int64
		for range atOnce {
			uploads.Go(func() {
				for range runs / atOnce {
					if _, err := upload(t, direct.New(platform.Codec{}), address); err == nil {
						complete.Add(1)
					}
				}
			})
		}
		uploads.Wait()
		if n := complete.Load(); n > 0 {
			t.Errorf("%s: %d of %d responses were taken for complete", name, n, runs)
		}
	}
}

// Guards against rejecting the early response of a server that ends its side of the connection,
// whatever it does with the rest of the request.
func TestUnframedEarlyResponseIsCompleteAfterAClose(t *testing.T) {
	const runs = 40
	for name, rest := range map[string]func(c *net.TCPConn){
		"reads the rest": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"reads nothing":  func(*net.TCPConn) { time.Sleep(10 * time.Millisecond) },
		"resets":         func(c *net.TCPConn) { _ = c.SetLinger(0) },
	} {
		address := earlyServer(t, earlyHead+"\r\nwhole", func(_ int64, c *net.TCPConn) {
			_ = c.CloseWrite()
			rest(c)
		})
		for range runs {
			if body, err := upload(t, direct.New(platform.Codec{}), address); err != nil || body != "whole" {
				t.Errorf("%s: %q, error %v", name, body, err)
			}
		}
	}
}
