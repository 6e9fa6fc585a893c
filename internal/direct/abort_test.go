package direct_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/platform"
)

// Guards against a request that reaches a server after it was given up: a silent link holds
// it up, and only a reset of the connection drops it.
func TestAttemptThatIsGivenUpResetsItsConnection(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"canceled": time.Minute, "past its deadline": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			address, ended := serveSilently(t, func() {
				if name == "canceled" {
					cancel()
				}
			})
			r := request.Request{ID: "r1", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
			o := request.Options{Server: backend.Server{ID: "s", Address: address}, Remaining: timeout}
			if _, err := direct.New(platform.Codec{}).Send(ctx, &r, o); err == nil {
				t.Error("no error")
			}
			if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the server's connection ends with %v, want a reset", err)
			}
		})
	}
}

// serveSilently accepts one connection, reads a request and sends nothing. It returns its
// address and how the connection ended.
func serveSilently(t *testing.T, arrived func()) (address string, ended chan error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ended = make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			ended <- err
			return
		}
		arrived()
		_, err = io.Copy(io.Discard, r)
		ended <- err
	}()
	return l.Addr().String(), ended
}

// Guards against taking the end of a connection for the end of its request: a middlebox closes
// the connection to this side and delivers the request later.
func TestRequestWithoutAnAnswerIsUnanswered(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		c.Close()
	}()
	r := request.Request{ID: "r1", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
	o := request.Options{Server: backend.Server{ID: "s", Address: l.Addr().String()}, Remaining: time.Minute}
	_, err = direct.New(platform.Codec{}).Send(t.Context(), &r, o)
	if e := verdict.Of(err); err == nil || e.Verdict != verdict.MayHaveRun || !e.Unanswered {
		t.Errorf("error %v, unanswered %v, want one of an unanswered attempt", err, verdict.Of(err).Unanswered)
	}
}
