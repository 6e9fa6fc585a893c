// Package direct sends requests to backend servers over HTTP connections of its
// own, without a process beside the server.
//
// Every error carries a verdict. A request certainly did not run if no byte of
// it can have reached the server or if the server says so; everything else may
// have run. Nothing is sent twice here: the standard library's client sends a
// request again when a kept connection turns out to be closed, which would run
// a call twice that may run once.
package direct

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// inlineBody is the largest request written before the answer is read. A
	// server may answer and leave a longer body unread in full windows.
	inlineBody = 8 << 10
	// lateSlack is how long after its deadline a server may still answer.
	lateSlack = 100 * time.Millisecond
	// maxStale bounds the answers to earlier requests that are passed over.
	maxStale = 2
)

// Codec writes requests and reads answers as backend servers do.
type Codec interface {
	AppendRequest(dst []byte, r *request.Request, o request.Options) []byte
	ParseResponse(status int, h http.Header) request.ResponseHead
}

// Transport sends requests to backend servers.
type Transport struct {
	codec Codec
	pool  *pool
	// OnAnswer is called with the head of each answer to a request, before Send returns
	// it. It is set before the first Send and does not block.
	OnAnswer func(Answered)

	opened, reused metrics.Counter
}

// New returns a Transport that speaks codec.
func New(codec Codec) *Transport {
	return &Transport{
		codec:    codec,
		pool:     newPool(),
		OnAnswer: func(Answered) {},
		opened:   metrics.GetOrRegisterCounter("direct.connections_opened", nil),
		reused:   metrics.GetOrRegisterCounter("direct.connections_reused", nil),
	}
}

// Answered is the head of an answer with the send that it answers.
type Answered struct {
	request.ResponseHead
	Server backend.Server
	Stage  request.Stage
	// Sent is when the request was sent.
	Sent time.Time
}

// Reply is a backend server's answer. Its Body must be closed.
type Reply struct {
	request.ResponseHead
	// Length is that of the body, -1 if unknown.
	Length int64
	// Body ends with io.EOF only if the answer is complete.
	Body io.ReadCloser
}

// Send sends one request and returns the head of its answer. The request is
// given up when ctx ends or shortly after Options.Left.
func (t *Transport) Send(ctx context.Context, r *request.Request, o request.Options) (*Reply, error) {
	key := poolKey(o.Server)
	c, err := t.connect(ctx, key, o)
	if err != nil {
		return nil, err
	}
	x := &exchange{transport: t, key: key, conn: c, request: r, options: &o, sent: time.Now()}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(o.Remaining + lateSlack)); err != nil {
		return nil, x.fail(verdict.NotRun, "set deadline", err)
	}
	if err := x.write(t.codec.AppendRequest(nil, r, o)); err != nil {
		return nil, err
	}
	return x.readHead()
}

// Forget closes the idle connections to servers that are gone.
func (t *Transport) Forget(gone func(serverID string) bool) {
	t.pool.drop(func(key string, _ *conn) bool { return gone(serverOf(key)) })
}

// Expire closes idle connections that the servers are about to close.
func (t *Transport) Expire(now time.Time) {
	t.pool.drop(func(_ string, c *conn) bool { return !c.fresh(now) })
}

// Distrust closes the idle connections last used before a moment. It is called
// when a kept connection has gone silent: others that have not been heard since
// may have gone with it.
func (t *Transport) Distrust(before time.Time) {
	t.pool.drop(func(_ string, c *conn) bool { return c.idleSince.Before(before) })
}

func (t *Transport) connect(ctx context.Context, key string, o request.Options) (*conn, error) {
	if c := t.pool.take(key, time.Now()); c != nil {
		t.reused.Inc(1)
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(dialTimeout, o.Remaining))
	defer cancel()
	c, err := dial(ctx, o.Server.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "connect: "+err.Error())
	}
	t.opened.Inc(1)
	return c, nil
}

const keySeparator = "|"

func poolKey(s backend.Server) string { return s.ID + keySeparator + s.Address }

func serverOf(key string) string {
	id, _, _ := strings.Cut(key, keySeparator)
	return id
}

// exchange is one request and its answer on a connection.
type exchange struct {
	transport *Transport
	key       string
	conn      *conn
	request   *request.Request
	options   *request.Options
	// sent is when the request was sent.
	sent time.Time
	stop func() bool
	// written is closed once the whole request has been written, and is nil if
	// that happened before the answer was read.
	written  chan struct{}
	writeErr error
	// extra is set when the connection carried an answer to another request.
	extra bool
	keep  bool
}

// write sends the request. One that fits the windows is written at once.
func (x *exchange) write(data []byte) error {
	if len(data) <= inlineBody {
		n, err := x.conn.Write(data)
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
	// The exchange may end, and let go of its connection, before this does.
	c := x.conn
	go func() {
		defer close(x.written)
		_, x.writeErr = c.Write(data)
	}()
	return nil
}

// readHead reads up to the head of the answer to this request. An answer to an
// earlier request may come first; the request's id tells them apart.
func (x *exchange) readHead() (*Reply, error) {
	for range maxStale {
		resp, err := x.readResponse()
		if err != nil {
			return nil, x.failRead(err)
		}
		a := x.transport.codec.ParseResponse(resp.StatusCode, resp.Header)
		if a.RequestID == x.request.ID || (a.RequestID == "" && a.NotRun && !x.extra) {
			x.transport.OnAnswer(Answered{ResponseHead: a, Server: x.options.Server, Stage: x.options.Stage, Sent: x.sent})
			return x.reply(resp, a), nil
		}
		x.extra = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, x.fail(verdict.MayHaveRun, "read", errors.New("answer to another request"))
		}
	}
	return nil, x.fail(verdict.MayHaveRun, "read", errors.New("answers to other requests only"))
}

// readResponse reads the head of the next final answer.
func (x *exchange) readResponse() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (x *exchange) reply(resp *http.Response, a request.ResponseHead) *Reply {
	x.keep = !resp.Close && !x.extra && resp.ContentLength >= -1 && !endsWithConnection(resp)
	x.conn.keepFor = a.IdleTimeout
	return &Reply{ResponseHead: a, Length: resp.ContentLength, Body: &body{ReadCloser: resp.Body, exchange: x}}
}

// endsWithConnection reports whether only the end of the connection ends the
// answer's body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// failRead is fail for an error of the read side: the server may have run the
// request whatever the error is, unless nothing of it was written.
func (x *exchange) failRead(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && x.conn.used {
		x.transport.Distrust(time.Now().Add(-unackedTimeout))
	}
	return x.fail(verdict.MayHaveRun, "read", err)
}

func (x *exchange) fail(v verdict.Verdict, step string, err error) error {
	x.end(false)
	return verdict.New(v, verdict.CodeBackendFailed, step+": "+err.Error())
}

// end gives the connection back, or closes it.
func (x *exchange) end(complete bool) {
	if x.conn == nil {
		return
	}
	c := x.conn
	x.conn = nil
	canceled := !x.stop()
	if !complete || canceled || !x.keep || !x.wroteAll() || c.reader.Buffered() > 0 {
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
// answered before it read the body, the rest would be taken for the next
// request.
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

// body is an answer's body that gives its connection back at the end.
type body struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.end(true)
	}
	return n, err
}

// Close gives up what has not been read.
func (b *body) Close() error {
	b.exchange.end(false)
	return nil
}

// ReadAll reads a reply's whole body, up to limit bytes.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	defer r.Body.Close()
	return io.ReadAll(io.LimitReader(r.Body, limit))
}
