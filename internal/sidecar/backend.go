package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// maxAnswer bounds the answer of a plain service in bytes.
	maxAnswer = 4 << 20
	// answerPiece is the size in bytes of the pieces that it is passed on in.
	answerPiece = 32 << 10
	// cancelTimeout bounds the cancellation of a generation.
	cancelTimeout = 2 * time.Second
	// refusedRetryAfter is when a backend server that refused may take more.
	refusedRetryAfter = 500 * time.Millisecond
)

// Headers of a plain service's request.
const (
	headerRequestID = "X-Request-Id"
	// headerTimeout is how long the caller still waits, in milliseconds.
	headerTimeout = "X-Request-Timeout-Ms"
)

// emitFunc takes one piece of an answer.
type emitFunc func(data []byte, tokens uint32) error

// backend runs work on the backend server. Its errors carry a verdict.
type backend interface {
	// run starts nothing once the deadline has passed. When ctx ends it stops
	// the work and returns.
	run(ctx context.Context, start *wire.Start, deadline time.Time, emit emitFunc) (*wire.Final, error)
}

// modelEngine is a backend with a model engine.
type modelEngine struct{ engine engine.Engine }

func (m modelEngine) run(ctx context.Context, start *wire.Start, deadline time.Time, emit emitFunc) (*wire.Final, error) {
	if start.GetGenerate() == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the backend server is a model engine")
	}
	request := engineRequest(start, deadline)
	generating, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	stop := context.AfterFunc(ctx, func() { m.cancel(request.ID, abort) })
	defer stop()
	finish, err := m.engine.Generate(generating, request, func(p engine.Chunk) error {
		return emit([]byte(p.Text), uint32(p.Tokens))
	})
	if err != nil {
		return nil, engineError(err)
	}
	return &wire.Final{
		FinishReason: finish.Reason,
		PromptTokens: uint32(finish.PromptTokens),
		OutputTokens: uint32(finish.OutputTokens),
		CachedTokens: uint32(finish.CachedTokens),
		Kv:           wireTicket(finish.KV),
	}, nil
}

// cancel stops a generation by its id first: an engine that does not watch its
// connections would go on with it.
func (m modelEngine) cancel(id string, abort context.CancelFunc) {
	defer abort()
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	_ = m.engine.Cancel(ctx, id)
}

func engineRequest(start *wire.Start, deadline time.Time) engine.Request {
	g := start.GetGenerate()
	return engine.Request{
		ID:           engineRequestID(start),
		Model:        g.GetModel(),
		Adapter:      g.GetAdapter(),
		Prompt:       g.GetPrompt(),
		MaxTokens:    int(g.GetMaxTokens()),
		Priority:     int(start.GetClass()),
		ResumeFrom:   int(g.GetResumeFrom()),
		ResumeText:   g.GetResumeText(),
		KV:           engineTicket(g.GetKv()),
		PrefillOnly:  g.GetPrefillOnly(),
		TimeoutMS:    time.Until(deadline).Milliseconds(),
		SendDeadline: deadline,
	}
}

// engineRequestID returns an id that differs between the attempts of a request:
// an engine that is still ending one attempt must not take the next one for a
// copy of it.
func engineRequestID(start *wire.Start) string {
	id := requestName(start.GetRequestId())
	if start.GetGenerate().GetPrefillOnly() {
		id += ".prefill"
	}
	if attempt := start.GetAttempt(); attempt > 1 {
		id += "." + strconv.FormatUint(uint64(attempt), 10)
	}
	return id
}

// requestName returns the id as callers and logs spell it.
func requestName(id []byte) string {
	parsed, err := uuid.FromBytes(id)
	if err != nil {
		return ""
	}
	return parsed.String()
}

func engineTicket(t *wire.KVTicket) *engine.Ticket {
	if t == nil {
		return nil
	}
	return &engine.Ticket{ID: t.GetId(), Source: t.GetSource(), Tokens: int(t.GetTokens())}
}

func wireTicket(t *engine.Ticket) *wire.KVTicket {
	if t == nil {
		return nil
	}
	return &wire.KVTicket{Id: t.ID, Source: t.Source, Tokens: uint32(t.Tokens)}
}

func engineError(err error) error {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return verdict.NewRejection(verdict.CodeBackendFailed, err.Error(), refusedRetryAfter)
	case errors.Is(err, engine.ErrRejected):
		return verdict.NewRejection(verdict.CodeOverloaded, err.Error(), refusedRetryAfter)
	case errors.Is(err, engine.ErrInvalidRequest):
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	case errors.Is(err, engine.ErrRequestFailed):
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, err.Error())
	default:
		return verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, err.Error())
	}
}

// plainService is a backend with an HTTP service.
type plainService struct {
	base string
	// once sends each request at most once, repeatable may send it again.
	once       *http.Client
	repeatable *http.Client
}

// newPlainService returns the service at address, an IP number and a port.
//
// On a connection that it uses again, net/http repeats by itself a request with
// an Idempotency-Key whose reply it lost, and the call would run twice. So a
// call that may not be repeated gets a connection of its own. Redirects are
// passed on to the caller for the same reason.
func newPlainService(address string) *plainService {
	return &plainService{
		base:       "http://" + address,
		once:       newServiceClient(true),
		repeatable: newServiceClient(false),
	}
}

func newServiceClient(once bool) *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   once,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// maxIdleConns bounds the connections kept open to a service.
const maxIdleConns = 64

func (p *plainService) run(ctx context.Context, start *wire.Start, deadline time.Time, emit emitFunc) (*wire.Final, error) {
	req, err := p.request(ctx, start, deadline)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	}
	client := p.once
	if start.GetIdempotent() {
		client = p.repeatable
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, callError(err)
	}
	defer resp.Body.Close()
	if err := copyAnswer(resp.Body, emit); err != nil {
		return nil, err
	}
	return &wire.Final{Status: uint32(resp.StatusCode), Headers: wireHeaders(resp.Header)}, nil
}

func (p *plainService) request(ctx context.Context, start *wire.Start, deadline time.Time) (*http.Request, error) {
	call := start.GetCall()
	if !strings.HasPrefix(call.GetPath(), "/") {
		// The path would run into the address and change it.
		return nil, eris.Errorf("path %q of the call is not absolute", call.GetPath())
	}
	body := engine.NewDeadlineBody(call.GetBody(), deadline)
	req, err := http.NewRequestWithContext(ctx, call.GetMethod(), p.base+call.GetPath(), body)
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	req.ContentLength = int64(len(call.GetBody()))
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	for _, h := range call.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	dropHopHeaders(req.Header)
	req.Header.Set(headerRequestID, requestName(start.GetRequestId()))
	req.Header.Set(headerTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	return req, nil
}

// copyAnswer passes the answer on in pieces as it comes.
func copyAnswer(body io.Reader, emit emitFunc) error {
	piece := make([]byte, answerPiece)
	for size := 0; ; {
		n, err := body.Read(piece)
		size += n
		if size > maxAnswer {
			return verdict.New(verdict.Ran, verdict.CodeAnswerBroken, "the answer of the service is too large")
		}
		if n > 0 {
			if err := emit(bytes.Clone(piece[:n]), 0); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "the answer of the service broke off: "+err.Error())
		}
	}
}

// callError returns what is known after a call without an answer. Only a failed
// dial proves that the service did not get it.
func callError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, engine.ErrDeadlinePassed):
		return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, err.Error())
	case errors.As(err, &op) && op.Op == "dial":
		return verdict.NewRejection(verdict.CodeBackendFailed, err.Error(), refusedRetryAfter)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, err.Error())
}

func wireHeaders(h http.Header) []*wire.Header {
	dropHopHeaders(h)
	headers := []*wire.Header{}
	for name, values := range h {
		for _, v := range values {
			headers = append(headers, &wire.Header{Name: name, Value: v})
		}
	}
	return headers
}

// dropHopHeaders removes what belongs to one connection only.
func dropHopHeaders(h http.Header) {
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	} {
		h.Del(name)
	}
}
