// Package direct implements an HTTP/1.1 client for backend servers that are reached
// without a sidecar.
//
// Every error carries a verdict. A request has not run if no byte of it can have
// reached the server or if the server says so; otherwise it may have run. The client
// never retries. The client of net/http does so when a reused connection turns out
// to be closed, which could run a request twice that may run only once.
package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/serverconn"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// syncWriteLimit is the largest request that is written completely before the
	// response is read. A server may respond without reading a longer body, and the
	// write would block on full TCP windows.
	syncWriteLimit = 8 << 10
	// responseSlack is how long after the request's deadline a server may still respond.
	responseSlack = 100 * time.Millisecond
	// maxResponsesRead limits the responses read for one request, including stale
	// ones to earlier requests.
	maxResponsesRead = 2
	// unidentifiedTimeout is how long an answer may take after a response that does not say whose
	// it is.
	unidentifiedTimeout = 100 * time.Millisecond
)

// Codec encodes requests to backend servers and parses the heads of their responses.
type Codec interface {
	// AppendHead appends the encoding of a request but for its body.
	AppendHead(dst []byte, r *request.Request, o request.Options) []byte
	ParseResponse(status int, h http.Header) request.ResponseHead
}

// Transport sends requests to backend servers.
type Transport struct {
	codec Codec
	pool  *pool
	// OnResponse is called with the head of each response before Send returns it. It
	// must be set before the first Send and must not block.
	OnResponse func(ResponseInfo)
	dialer     *net.Dialer
	// heads is the memory for heads beyond ordinary ones. Nil means that it is not limited.
	heads *membudget.Budget
	// receive limits the receive buffers. Nil means that they are the kernel's default.
	receive *receiveLimit

	opened, reused, unframed, endless, cutInHead, malformed, headsOutOfMemory metrics.Counter
}

// New returns a Transport that uses codec.
func New(codec Codec) *Transport {
	return &Transport{
		codec:      codec,
		pool:       newPool(),
		dialer:     newDialer(0),
		OnResponse: func(ResponseInfo) {},
		opened:     metrics.GetOrRegisterCounter("direct.connections_opened", nil),
		reused:     metrics.GetOrRegisterCounter("direct.connections_reused", nil),
		unframed:   metrics.GetOrRegisterCounter("direct.responses_unframed", nil),
		endless:    metrics.GetOrRegisterCounter("direct.responses_endless", nil),
		cutInHead:  metrics.GetOrRegisterCounter("direct.responses_cut_in_head", nil),
		malformed:  metrics.GetOrRegisterCounter("direct.responses_malformed", nil),

		headsOutOfMemory: metrics.GetOrRegisterCounter("direct.heads_out_of_memory", nil),
	}
}

// LimitMemory limits what servers can make the process hold: what the kernel has received of
// responses that are not read, and heads beyond ordinary ones. It must be called before the first
// Send.
func (t *Transport) LimitMemory(p membudget.Plan) {
	t.dialer = newDialer(p.ServerReceiveBuffer)
	t.heads = membudget.New("direct.heads.bytes", p.ServerHeads)
	t.receive = &receiveLimit{size: p.ServerReceiveBuffer, large: membudget.New("direct.receive_buffers.bytes", p.LargeReceiveBuffers)}
}

// ResponseInfo is the head of a response together with the request's data.
type ResponseInfo struct {
	request.ResponseHead
	Server backend.Server
	Stage  request.Stage
	// SentID is the ID of the request, which the response need not repeat.
	SentID string
	// Sent is when the request was sent.
	Sent time.Time
}

// Reply is a backend server's response. Its Body must be closed.
type Reply struct {
	request.ResponseHead
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Unframed is set if the body has neither a length nor chunks and ends with its
	// connection.
	Unframed bool
	// Body returns io.EOF only after a complete response. An unframed one ends with its
	// connection and is taken for complete, unless it is a stream of events that ends
	// within an event or before the first.
	Body io.ReadCloser
}

// Send sends a request and returns the head of its response. The request is canceled
// when ctx is done, or times out shortly after Options.Remaining.
func (t *Transport) Send(ctx context.Context, r *request.Request, o request.Options) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCancelled, err.Error())
	}
	key := poolKey(o.Server)
	c, err := t.connect(ctx, key, o)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	x := &exchange{transport: t, key: key, conn: c, request: r, options: &o, sent: sent, deadline: sent.Add(o.Remaining + responseSlack)}
	x.stopWatch = context.AfterFunc(ctx, c.abort)
	deadlineErr := c.SetDeadline(x.deadline)
	if err := errors.Join(deadlineErr, c.setAckTimeout(ackTimeoutOf(o.Stage))); err != nil {
		return nil, x.fail(verdict.NotRun, "set timeouts", err)
	}
	if err := c.expectResponse(); err != nil {
		return nil, x.fail(verdict.NotRun, "before the write", err)
	}
	if err := x.write(t.codec.AppendHead(nil, r, o), r.Body); err != nil {
		return nil, err
	}
	return x.readHead()
}

func ackTimeoutOf(s request.Stage) time.Duration {
	if s == request.PrefillOnly {
		return prefillAckTimeout
	}
	return ackTimeout
}

// CloseServers closes the idle connections to servers that are gone.
func (t *Transport) CloseServers(gone func(serverID string) bool) {
	t.pool.closeIf(func(key string, _ *conn) bool { return gone(serverID(key)) })
}

// CloseExpired closes the idle connections that the servers are about to close or have closed,
// and those on which they send without a request: what a faulty server sends would occupy
// memory of the kernel.
func (t *Transport) CloseExpired(now time.Time) {
	t.pool.closeIf(func(_ string, c *conn) bool { return !c.withinIdleTimeout(now) || !c.healthy() })
}

// CloseIdleBefore closes the connections that have been idle since before a given
// time. It is called when a reused connection turns out to be unresponsive, because
// others that have received nothing since then may be too.
func (t *Transport) CloseIdleBefore(before time.Time) {
	t.pool.closeIf(func(_ string, c *conn) bool { return c.idleSince.Before(before) })
}

// Connected returns the IDs of the servers to which there is an idle connection.
func (t *Transport) Connected() map[string]bool { return t.pool.connected(time.Now()) }

// closeIdle is like CloseIdleBefore for the connections to one server.
func (t *Transport) closeIdle(key string, before time.Time) {
	t.pool.closeIf(func(k string, c *conn) bool { return k == key && c.idleSince.Before(before) })
}

// connect returns an idle connection from the pool or a new one.
func (t *Transport) connect(ctx context.Context, key string, o request.Options) (*conn, error) {
	if c := t.pool.get(key, time.Now()); c != nil {
		t.reused.Inc(1)
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(dialTimeout, o.Remaining))
	defer cancel()
	c, err := dial(ctx, t.dialer, o.Server.Address, t.heads)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "connect: "+err.Error())
	}
	t.opened.Inc(1)
	return c, nil
}

const keySeparator = "|"

func poolKey(s backend.Server) string { return s.ID + keySeparator + s.Address }

func serverID(key string) string {
	id, _, _ := strings.Cut(key, keySeparator)
	return id
}

// exchange is a request and its response on a connection.
type exchange struct {
	transport *Transport
	key       string
	conn      *conn
	request   *request.Request
	options   *request.Options
	// sent is when the request was sent, and deadline when its connection times out.
	sent, deadline time.Time
	// stopWatch stops closing the connection when the context is done.
	stopWatch func() bool
	// written is closed once the write of the request has ended. It is nil if the
	// request was written before the response was read.
	written  chan struct{}
	writeErr error
	// sawStale is set if a response to another request was read on the connection.
	sawStale bool
	// reusable is set if the connection may be reused after a complete response.
	reusable bool
}

// write sends the request. One above syncWriteLimit is written in the background, without a copy
// of its body.
func (x *exchange) write(head, body []byte) error {
	if len(head)+len(body) <= syncWriteLimit {
		n, err := x.conn.Write(append(head, body...))
		if err != nil {
			v := verdict.MayHaveRun
			if n == 0 {
				v = verdict.NotRun
			}
			return x.fail(v, "write", err)
		}
		return nil
	}
	x.written = make(chan struct{})
	// The exchange may end and clear x.conn before the write ends.
	c := x.conn
	go func() {
		defer close(x.written)
		_, x.writeErr = c.WriteBuffers(net.Buffers{head, body})
	}()
	return nil
}

// readHead reads the head of the response to this request. Responses to earlier
// requests may precede it; they are recognized by their request IDs and skipped. The heads
// of all of them, those of 1xx responses included, are limited together.
func (x *exchange) readHead() (*Reply, error) {
	x.conn.source.bound(maxHeadBytes)
	for range maxResponsesRead {
		resp, err := x.readResponse()
		if err != nil {
			return nil, x.failRead(err)
		}
		if x.sawStale {
			if err := x.conn.SetReadDeadline(x.deadline); err != nil {
				return nil, x.fail(verdict.MayHaveRun, "set timeouts", err)
			}
		}
		head := x.transport.codec.ParseResponse(resp.StatusCode, resp.Header)
		if head.RequestID == x.request.ID || (head.RequestID == "" && head.NotRun && !x.sawStale && !x.conn.reused) {
			x.transport.OnResponse(ResponseInfo{ResponseHead: head, Server: x.options.Server, Stage: x.options.Stage, SentID: x.request.ID, Sent: x.sent})
			x.conn.source.unbound()
			return x.reply(resp, head), nil
		}
		x.sawStale = true
		if resp.Close || isUnframed(resp) {
			return nil, x.fail(verdict.MayHaveRun, "read", errors.New("answer to another request"))
		}
		if err := x.skipBody(resp); err != nil {
			return nil, x.fail(verdict.MayHaveRun, "read", fmt.Errorf("answer to another request: %w", err))
		}
		if err := x.conn.expectResponse(); err != nil {
			return nil, x.failRead(err)
		}
		if head.RequestID == "" {
			// It may as well be the answer, with none after it.
			if err := x.expectEnd(unidentifiedTimeout); err != nil {
				return nil, x.fail(verdict.MayHaveRun, "set timeouts", err)
			}
		}
	}
	return nil, x.fail(verdict.MayHaveRun, "read", errors.New("answers to other requests only"))
}

// readResponse reads the head of the next final response, skipping 1xx responses.
func (x *exchange) readResponse() (*http.Response, error) {
	for {
		resp, err := x.conn.readHead(x.request.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// reply returns the Reply for a response head and decides whether the connection
// may be reused.
func (x *exchange) reply(resp *http.Response, head request.ResponseHead) *Reply {
	unframed := isUnframed(resp)
	if unframed {
		x.transport.unframed.Inc(1)
	}
	x.reusable = !resp.Close && !x.sawStale && resp.ContentLength >= -1 && !unframed
	x.conn.idleTimeout = head.IdleTimeout
	return &Reply{ResponseHead: head, Length: resp.ContentLength, Unframed: unframed, Body: &replyBody{ReadCloser: newBody(resp), response: resp, exchange: x}}
}

// suspectTime is how long a reused connection may stay without a response before the
// others are suspected to be unresponsive as well.
const suspectTime = time.Second

// failRead ends the exchange after a read error. Whatever the error is, the server
// may have run the request.
func (x *exchange) failRead(err error) error {
	now := time.Now()
	var timeout net.Error
	switch {
	case !x.conn.reused:
	case errors.As(err, &timeout) && timeout.Timeout():
		x.transport.CloseIdleBefore(now.Add(-suspectTime))
	case now.Sub(x.sent) >= suspectTime:
		// The attempt was canceled after the server had been silent.
		x.transport.closeIdle(x.key, now.Add(-suspectTime))
	}
	return x.fail(verdict.MayHaveRun, "read", err)
}

// fail ends the exchange and returns an error with the given verdict.
func (x *exchange) fail(v verdict.Verdict, step string, err error) error {
	x.end(false)
	x.countEndless(err)
	switch {
	case errors.Is(err, errCutInHead):
		x.transport.cutInHead.Inc(1)
	case errors.Is(err, serverconn.ErrMalformed):
		x.transport.malformed.Inc(1)
	case errors.Is(err, serverconn.ErrNoMemory):
		x.transport.headsOutOfMemory.Inc(1)
	}
	e := verdict.New(v, verdict.CodeBackendFailed, step+": "+err.Error())
	// Also if the connection was closed by the other side: that may be a middlebox, which can
	// deliver the request later.
	e.Unanswered = v == verdict.MayHaveRun
	e.Garbled = v == verdict.MayHaveRun && isGarbled(err)
	return e
}

// end returns the connection to the pool if it is reusable, and otherwise closes it, with a
// reset if the response is incomplete.
func (x *exchange) end(complete bool) {
	if x.conn == nil {
		return
	}
	c := x.conn
	x.conn = nil
	c.ReleaseHead()
	x.transport.receive.shrink(c)
	canceled := !x.stopWatch()
	if !complete || canceled {
		c.abort()
		return
	}
	if !x.reusable || !x.wroteAll() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	x.transport.pool.put(x.key, c, time.Now())
}

// wroteAll reports whether the whole request has been written. If the server
// responded before it read the whole body, it would take the next request on the
// connection for the rest of the body.
func (x *exchange) wroteAll() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}
