package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/standin/cutserver"
)

// callService runs a call of a service and returns the body that was passed on.
func callService(t *testing.T, service *plainService, idempotent bool, body []byte) (string, *wire.Final, error) {
	call := &wire.Start{Idempotent: idempotent, Work: &wire.Start_Call{Call: &wire.Call{Method: "POST", Path: "/x", Body: body}}}
	got := ""
	final, err := service.run(t.Context(), call, time.Now().Add(time.Minute), func(data []byte, _ uint32) error {
		got += string(data)
		return nil
	})
	return got, final, err
}

// Guards against a success whose head or trailer is malformed, and whose status or body is not that
// of the service, and against heads that are read without a limit.
func TestMalformedAnswerOfAServiceIsBroken(t *testing.T) {
	answers := cutserver.Malformed(201, "the whole answer")
	chunks, _ := cutserver.Answer(201, cutserver.Chunks, "the whole answer")
	answers["trailer"] = chunks[:len(chunks)-2] + "A : b\r\n\r\n"
	for _, idempotent := range []bool{false, true} {
		s := cutserver.Start(t)
		service := newPlainService(s.Address)
		for name, text := range answers {
			s.Set(text, false)
			before := s.Requests.Load()
			got, final, err := callService(t, service, idempotent, []byte("b"))
			if err == nil || verdict.Of(err).Verdict != verdict.MayHaveRun {
				t.Errorf("%s: error %v, %q, %v", name, err, got, final)
			}
			if n := s.Requests.Load() - before; n != 1 {
				t.Errorf("%s: sent %d times", name, n)
			}
		}
	}
}

// Guards against a part of an unframed answer that is taken for all of it, because the write of the
// call was told of the reset of the connection and the read was not.
func TestAnswerOfAServiceIsBrokenAfterAResetDuringTheCall(t *testing.T) {
	const runs, mostDelay = 60, 20 * time.Millisecond
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(mostDelay * time.Duration(n%21) / 20)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	body, complete := make([]byte, 12<<20), 0
	for n := range runs {
		if _, _, err := callService(t, newPlainService(l.Addr().String()), n%2 == 0, body); err == nil {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d answers were taken for complete", complete, runs)
	}
}
