package direct_test

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// serveCut answers each request with text and then ends the connection.
func serveCut(t *testing.T, text string, reset bool) (address string) {
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
			_ = respond(c, bufio.NewReader(c), text)
			if reset {
				// What a reset finds unread in the client is lost.
				time.Sleep(2 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// cutInHead is the counter of responses that were cut within their heads.
func cutInHead() int64 {
	return metrics.GetOrRegisterCounter("direct.responses_cut_in_head", nil).Count()
}

// Guards against a server that crashed within the head of its response and is taken for one
// that sends rubbish.
func TestResponseCutInItsHeadIsNotGarbled(t *testing.T) {
	// The fields before the last end at the boundary of the read buffer.
	long := answerHead + "A: " + strings.Repeat("x", 4<<10-len(answerHead)-5) + "\r\nContent-Length: 5\r\n\r\n"
	for name, head := range map[string]string{
		"short":           answerHead + "Content-Length: 5\r\n\r\n",
		"chunked":         answerHead + "Transfer-Encoding: chunked\r\n\r\n",
		"after 1xx":       "HTTP/1.1 100 Continue\r\n\r\n" + answerHead + "\r\n",
		"after a stale":   staleHead + "Content-Length: 0\r\n\r\n" + answerHead + "\r\n",
		"over the buffer": long,
	} {
		first := 1
		if name == "over the buffer" {
			first = 4<<10 - 40
		}
		for n := first; n < len(head); n++ {
			for _, reset := range []bool{false, true} {
				before := cutInHead()
				_, err := sendTo(t, serveCut(t, head[:n], reset), time.Second)
				e := verdict.Of(err)
				if err == nil || e.Verdict != verdict.MayHaveRun || !e.Unanswered || e.Garbled {
					t.Fatalf("%s, cut at %d, reset %v: error %v, garbled %v", name, n, reset, err, e.Garbled)
				}
				if !reset && (!strings.Contains(e.Message, "ended within the head") || cutInHead() != before+1) {
					t.Fatalf("%s, cut at %d: error %q, %d counted", name, n, e.Message, cutInHead()-before)
				}
			}
		}
	}
}

// Guards against rubbish that counts as a crash because the connection ends with it, and
// against a connection that ends without a byte and counts as cut in a head.
func TestOnlyABeginningOfAResponseIsCutInItsHead(t *testing.T) {
	for text, garbled := range map[string]bool{
		"":                                       false,
		"rub":                                    true,
		"rubbish":                                true,
		"this is no answer\r\n\r\n":              true,
		"HTTP/1.1 200 OK\r\nno field\r\n":        true,
		"HTTP/1.1 2x0 OK\r\n\r\n":                true,
		answerHead + "Content-Length: x\r\n":     false,
		answerHead + "Content-Length: x\r\n\r\n": true,
	} {
		before := cutInHead()
		_, err := sendTo(t, serveCut(t, text, false), time.Second)
		if e := verdict.Of(err); err == nil || e.Garbled != garbled {
			t.Errorf("%q: error %v, garbled %v, want %v", text, err, e.Garbled, garbled)
		}
		if cut := cutInHead() - before; (cut == 1) != (!garbled && text != "") {
			t.Errorf("%q: counted %d times as cut in the head", text, cut)
		}
	}
}

// Guards against a server that pauses within a head until the deadline and is taken for one
// that sends rubbish or that ended.
func TestDeadlineWithinAHeadIsATimeout(t *testing.T) {
	before := cutInHead()
	_, err := sendTo(t, serveText(t, answerHead+"Content-Le"), 50*time.Millisecond)
	if e := verdict.Of(err); err == nil || e.Garbled || !strings.Contains(e.Message, "timeout") || cutInHead() != before {
		t.Errorf("error %v, garbled %v, %d counted", err, e.Garbled, cutInHead()-before)
	}
}

// Guards against a malformed head that is taken for a crash, and that no counter shows.
func TestMalformedHeadIsGarbled(t *testing.T) {
	malformed := metrics.GetOrRegisterCounter("direct.responses_malformed", nil)
	for _, text := range []string{
		strings.Replace(completeResponse, "200", "000", 1),
		strings.Replace(completeResponse, "Content-Length:", "Content-Length :", 1),
		staleHead + "Content-Length: 0\r\n\r\n" + strings.Replace(completeResponse, "200", "999", 1),
	} {
		before, cut := malformed.Count(), cutInHead()
		_, err := sendTo(t, serveCut(t, text, false), time.Second)
		if e := verdict.Of(err); err == nil || e.Verdict != verdict.MayHaveRun || !e.Garbled {
			t.Errorf("%q: error %v, garbled %v", text, err, e.Garbled)
		}
		if malformed.Count() != before+1 || cutInHead() != cut {
			t.Errorf("%q: %d counted as malformed, %d as cut", text, malformed.Count()-before, cutInHead()-cut)
		}
	}
}
