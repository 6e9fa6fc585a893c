package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

const (
	// mostConnections is a crowd that the gateway's connections suffice for.
	mostConnections = 280
	// tooMany is a crowd that they do not suffice for.
	tooMany = 900
)

// Guards against memory that is taken for a body because its length was announced.
func TestAnnouncedBodies(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, announced("/hold/1", maxBodyBytes, 1))
}

// Guards against memory for all of an announced body while a part of it has been received.
func TestAnnouncedBodiesReceivedInPart(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, announced("/hold/1", maxBodyBytes, 512<<10))
}

// Guards against what is received of bodies that are announced far over the limit.
func TestBodiesAnnouncedOverTheLimit(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, announced("/hold/1", 1<<30, 2<<20))
}

// Guards against memory of bodies without a length beyond what is reserved for them.
func TestChunkedBodies(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, chunked("/hold/1", maxBodyBytes-1<<20))
}

// Guards against memory of bodies without a length that are sent on after the limit.
func TestChunkedBodiesOverTheLimit(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, chunked("/hold/1", 4*maxBodyBytes))
}

// Guards against copies of large bodies while their requests run.
func TestWholeBodies(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, whole("/slow/1", strings.Repeat("x", maxBodyBytes)))
}

// Guards against requests without a route that hold their connections until their bodies come.
func TestRefusalsBeforeTheBody(t *testing.T) {
	startGateway(t).endureCallers(t, tooMany, announced("/unknown/1", 100_000, 1))
}

// Guards against malformed requests that hold their connections until their bodies come.
func TestMalformedRequestsBeforeTheBody(t *testing.T) {
	startGateway(t).endureCallers(t, tooMany, func(c net.Conn, sent func()) {
		_ = write(c, "POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100000\r\n\r\n")
		sent()
		stay(c)
	})
}

// Guards against bodies that come so slowly that their connections are never free.
func TestSlowBodies(t *testing.T) {
	startGateway(t).endureCallers(t, tooMany, announced("/hold/1", 1000, 1))
}

// Guards against the memory of heads that have far more fields than bytes in them.
func TestHeadsOfShortFields(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, shortFields(60<<10, "Content-Length: 100\r\n\r\n"))
}

// Guards against the same within the limit of a head.
func TestHeadsOfShortFieldsWithinTheLimit(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, shortFields(maxHeaderBytes*3/4, "Content-Length: 100\r\n\r\n"))
}

// Guards against the memory of heads that do not end.
func TestUnfinishedHeads(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, shortFields(60<<10, ""))
}

// Guards against connections without requests that leave none to other callers.
func TestIdleConnections(t *testing.T) {
	startGateway(t).endureCallers(t, tooMany, idle)
}

// Guards against connections that are idle after a request and leave none to other callers.
func TestIdleConnectionsAfterARequest(t *testing.T) {
	startGateway(t).endureCallers(t, tooMany, func(c net.Conn, sent func()) {
		_ = write(c, head("/hold/1", "Content-Length: 0\r\n\r\n"))
		sent()
		stay(c)
	})
}

// Guards against unfinished heads that leave no connection to other callers.
func TestManyUnfinishedHeads(t *testing.T) {
	startGateway(t).endureCallers(t, tooMany, func(c net.Conn, sent func()) {
		_ = write(c, "POST /hold/1 HTTP/1.1\r\nHost")
		sent()
		stay(c)
	})
}

// Guards against requests that the kernel keeps while the first of them is answered.
func TestPipelinedRequests(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, pipelined(head("/slow/1", "Content-Length: 0\r\n\r\n"), 2<<20))
}

// Guards against refusals that are not read and hold what is sent after them.
func TestPipelinedRefusals(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, pipelined(head("/unknown/1", "Content-Length: 0\r\n\r\n"), 2<<20))
}

// Guards against the memory of large answers that are not read.
func TestUnreadAnswers(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, pipelined(head("/big/1", "Content-Length: 0\r\n\r\n"), 1))
}

// Guards against numbers in the head that no sum or duration can hold.
func TestNumbersOutOfRange(t *testing.T) {
	fields := []string{}
	for _, n := range []string{"NaN", "Inf", "-Inf", "1e300", "-1", "9223372036854775807", "0x1p1023", "1e-320"} {
		fields = append(fields, "Deadline-Ms: "+n, "Token-Count: "+n+","+n, "Length-Hint: "+n, "Last-Event-Id: "+n, "Prefix-Hash: ffffffffffffffff:"+n)
	}
	startGateway(t).endureCallers(t, mostConnections, func(c net.Conn, sent func()) {
		for i, field := range fields {
			for _, path := range []string{"/hold/1", "/draft/1"} {
				request := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + nextID() + "\r\nModel: m\r\n" + field + "\r\n"
				if i%2 == 0 {
					request += "Token-Count: 100,10\r\n"
				}
				if write(c, request+"Content-Length: 0\r\n\r\n") != nil {
					return
				}
			}
		}
		sent()
		stay(c)
	})
}

// Guards against what is kept of prompts with thousands of segments.
func TestPromptsOfManySegments(t *testing.T) {
	startGateway(t).endureCallers(t, mostConnections, func(c net.Conn, sent func()) {
		defer sent()
		for range 20 {
			var segments strings.Builder
			for segments.Len() < maxHeaderBytes*3/4 {
				segments.WriteString(nextID() + ":1,")
			}
			request := head("/draft/1", "Model: m\r\nToken-Count: 1000,1\r\nPrefix-Hash: "+segments.String()+"ff:1\r\nContent-Length: 0\r\n\r\n")
			if write(c, request) != nil {
				return
			}
			if _, err := c.Read(make([]byte, 4096)); err != nil {
				return
			}
		}
	})
}

// Guards against connections to the process's other addresses that use up its descriptors.
func TestConnectionsToOtherListeners(t *testing.T) {
	for name, port := range otherListeners {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			g.endure(t, 2*maxDescriptors, net.JoinHostPort(g.ip, strconv.Itoa(port)), idle)
		})
	}
}

// Guards against the memory of heads that are sent to the process's other addresses.
func TestHeadsToOtherListeners(t *testing.T) {
	for name, port := range otherListeners {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			g.endure(t, mostConnections, net.JoinHostPort(g.ip, strconv.Itoa(port)), shortFields(900<<10, ""))
		})
	}
}

// otherListeners are the ports of a gateway that are not meant for callers.
var otherListeners = map[string]int{"readiness": portReady, "state": portState, "metrics": portMetrics}

// Guards against a refusal that its caller does not receive because it still sends the body.
func TestRefusalReachesACallerThatSends(t *testing.T) {
	g := startGateway(t)
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes+512<<10), "Transfer-Encoding: chunked\r\n\r\n"} {
		c, err := net.Dial("tcp4", g.callers())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		body := strings.Repeat("x", maxBodyBytes+512<<10)
		if strings.Contains(framing, "chunked") {
			body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		if _, err := io.WriteString(c, head("/hold/1", framing)+body); err != nil {
			t.Errorf("%q: the connection failed before the whole body was sent: %v", framing, err)
		}
		answer, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 "+strconv.Itoa(http.StatusRequestEntityTooLarge)) {
			t.Errorf("%q: answer %.100q, error %v", framing, answer, err)
		}
	}
}
