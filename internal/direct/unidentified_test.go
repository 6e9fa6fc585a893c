package direct_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/platform"
)

// refusalHead rejects a request as not run and does not say which.
const refusalHead = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Load: 9,9,9\r\n"

// serveInTurn answers the n-th request on each connection with the n-th of the texts.
func serveInTurn(t *testing.T, texts ...string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				r := bufio.NewReader(c)
				for _, text := range texts {
					if respond(c, r, text) != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a request that runs twice: an extra response to an earlier request on a kept
// connection, which does not say whose it is, is taken for the rejection of the next one.
func TestUnidentifiedRejectionOnAKeptConnectionRejectsNothing(t *testing.T) {
	const rejection = refusalHead + "Content-Length: 2\r\n\r\nno"
	for name, test := range map[string]struct{ second, body string }{
		"before the answer":     {rejection + completeResponse, "hello"},
		"421 before the answer": {strings.Replace(strings.Replace(rejection, "503", "421", 1), "Not-Executed: 1\r\n", "", 1) + completeResponse, "hello"},
		"without an answer":     {rejection, ""},
		"at the end":            {refusalHead + "Connection: close\r\nContent-Length: 0\r\n\r\n", ""},
		"unframed":              {refusalHead + "\r\nno", ""},
		"twice":                 {rejection + rejection, ""},
	} {
		transport := direct.New(platform.Codec{})
		var learned []request.ResponseHead
		transport.OnResponse = func(i direct.ResponseInfo) { learned = append(learned, i.ResponseHead) }
		address := serveInTurn(t, completeResponse, test.second, completeResponse)
		if _, err := send(transport, address, "a", nil); err != nil {
			t.Fatal(err)
		}
		got, err := sendWithin(200*time.Millisecond, transport, address, "b", nil)
		if got != test.body || (err == nil) != (test.body != "") {
			t.Errorf("%s: %q, error %v", name, got, err)
		}
		if err != nil && verdict.Of(err).Verdict != verdict.MayHaveRun {
			t.Errorf("%s: verdict %s", name, verdict.Of(err).Verdict)
		}
		for _, head := range learned {
			if head.RequestID == "" {
				t.Errorf("%s: learned from a response to no request: %+v", name, head)
			}
		}
		if len(transport.Connected()) != 0 {
			t.Errorf("%s: the connection is kept", name)
		}
	}
}

// Guards against an answer that is cut because it takes longer than the wait for it after a rejection
// that does not say whose it is.
func TestAnswerAfterAnUnidentifiedRejectionMayTakeItsTime(t *testing.T) {
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
		r := bufio.NewReader(c)
		_ = respond(c, r, completeResponse)
		const bodyBytes = len("hello")
		_ = respond(c, r, refusalHead+"Content-Length: 0\r\n\r\n"+strings.ReplaceAll(completeResponse[:len(completeResponse)-bodyBytes], "ID", "b"))
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(c, "hello")
	}()
	transport := direct.New(platform.Codec{})
	if _, err := send(transport, l.Addr().String(), "a", nil); err != nil {
		t.Fatal(err)
	}
	if got, err := send(transport, l.Addr().String(), "b", nil); got != "hello" || err != nil {
		t.Errorf("%q, error %v", got, err)
	}
}

// Guards against a rejection that is taken for none: on a new connection it belongs to the only
// request.
func TestUnidentifiedRejectionOnANewConnectionIsTheAnswer(t *testing.T) {
	r := request.Request{ID: "a", Method: "POST", Target: "/x", Host: "h", Header: map[string][]string{"Request-Id": {"a"}}}
	o := request.Options{Server: backend.Server{ID: "s", Address: serveInTurn(t, refusalHead+"Content-Length: 0\r\n\r\n")}, Remaining: time.Second}
	reply, err := direct.New(platform.Codec{}).Send(t.Context(), &r, o)
	if err != nil || !reply.NotRun {
		t.Errorf("%+v, error %v, want a rejection", reply, err)
	}
}
