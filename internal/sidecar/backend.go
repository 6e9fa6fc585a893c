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
	"pistachioroad.dev/pistachioroad/internal/serverconn"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// maxAnswerBytes limits the response body of a plain service.
	maxAnswerBytes = 4 << 20
	// answerChunkBytes is the maximum size of the chunks that it is split into.
	answerChunkBytes = 32 << 10
	// cancelTimeout limits the engine call that cancels a generation.
	cancelTimeout = 2 * time.Second
	// rejectedRetryAfter is the retry hint after the backend server rejected a
	// request or could not be reached.
	rejectedRetryAfter = 500 * time.Millisecond
)

// Headers of a request to a plain service.
const (
	headerRequestID = "X-Request-Id"
	// headerTimeout is the time until the deadline in milliseconds.
	headerTimeout = "X-Request-Timeout-Ms"
)

// emitFunc receives one chunk of an answer.
type emitFunc func(data []byte, tokens uint32) error

// backend runs requests on the backend server. Its errors carry a verdict.
type backend interface {
	// run starts nothing once the deadline has passed. When ctx is done, it
	// cancels the work and returns.
	run(ctx context.Context, start *wire.Start, deadline time.Time, emit emitFunc) (*wire.Final, error)
}

// modelEngine runs requests on a model engine.
type modelEngine struct{ engine engine.Engine }

func (m modelEngine) run(ctx context.Context, start *wire.Start, deadline time.Time, emit emitFunc) (*wire.Final, error) {
	if start.GetGenerate() == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the backend server is a model engine")
	}
	request := engineRequest(start, deadline)
	genCtx, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	stop := context.AfterFunc(ctx, func() { m.cancel(request.ID, abort) })
	defer stop()
	finish, err := m.engine.Generate(genCtx, request, func(p engine.Chunk) error {
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

// cancel cancels a generation by id before it closes the connection: an engine
// that does not detect closed connections would continue generating.
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

// engineRequestID returns an id that is unique for each attempt of a request. An
// engine still finishing one attempt must not treat the next as a duplicate.
func engineRequestID(start *wire.Start) string {
	id := requestIDString(start.GetRequestId())
	if start.GetGenerate().GetPrefillOnly() {
		id += ".prefill"
	}
	if attempt := start.GetAttempt(); attempt > 1 {
		id += "." + strconv.FormatUint(uint64(attempt), 10)
	}
	return id
}

// requestIDString returns the id in the format used by callers and logs, or ""
// if it is invalid.
func requestIDString(id []byte) string {
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
		return verdict.NewRejection(verdict.CodeBackendFailed, err.Error(), rejectedRetryAfter)
	case errors.Is(err, engine.ErrRejected):
		return verdict.NewRejection(verdict.CodeOverloaded, err.Error(), rejectedRetryAfter)
	case errors.Is(err, engine.ErrInvalidRequest):
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	case errors.Is(err, engine.ErrRequestFailed):
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, err.Error())
	default:
		return verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, err.Error())
	}
}

// plainService runs calls on an HTTP service.
type plainService struct {
	baseURL string
	// noRetryClient sends each request at most once; retryClient may repeat it.
	noRetryClient *http.Client
	retryClient   *http.Client
}

// newPlainService returns the service at address, an IP address and port.
//
// net/http retries a request with an Idempotency-Key when it fails on a reused
// connection before the response, and the call would run twice. So a call that
// may not be repeated uses a connection of its own. Redirects are returned to
// the caller for the same reason.
func newPlainService(address string) *plainService {
	return &plainService{
		baseURL:       "http://" + address,
		noRetryClient: newServiceClient(true),
		retryClient:   newServiceClient(false),
	}
}

func newServiceClient(noRetry bool) *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{
		Transport: serverconn.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   noRetry,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// maxIdleConns limits the idle connections to a service.
const maxIdleConns = 64

func (p *plainService) run(ctx context.Context, start *wire.Start, deadline time.Time, emit emitFunc) (*wire.Final, error) {
	req, err := p.request(ctx, start, deadline)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	}
	client := p.noRetryClient
	if start.GetIdempotent() {
		client = p.retryClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, callError(err)
	}
	defer resp.Body.Close()
	if err := copyAnswer(resp.Body, emit); err != nil {
		return nil, err
	}
	if err := serverconn.CheckTrailer(resp.Trailer); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, err.Error())
	}
	return &wire.Final{Status: uint32(resp.StatusCode), Headers: wireHeaders(resp.Header)}, nil
}

func (p *plainService) request(ctx context.Context, start *wire.Start, deadline time.Time) (*http.Request, error) {
	call := start.GetCall()
	if !strings.HasPrefix(call.GetPath(), "/") {
		// Appended to the base URL, the path would change the host.
		return nil, eris.Errorf("path %q of the call is not absolute", call.GetPath())
	}
	body := engine.NewDeadlineBody(call.GetBody(), deadline)
	req, err := http.NewRequestWithContext(ctx, call.GetMethod(), p.baseURL+call.GetPath(), body)
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
	req.Header.Set(headerRequestID, requestIDString(start.GetRequestId()))
	req.Header.Set(headerTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	return req, nil
}

// copyAnswer emits the response body in chunks as it arrives.
func copyAnswer(body io.Reader, emit emitFunc) error {
	buf := make([]byte, answerChunkBytes)
	for size := 0; ; {
		n, err := body.Read(buf)
		size += n
		if size > maxAnswerBytes {
			return verdict.New(verdict.Ran, verdict.CodeAnswerBroken, "the answer of the service is too large")
		}
		if n > 0 {
			if err := emit(bytes.Clone(buf[:n]), 0); err != nil {
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

// callError returns the error of a call without a response. Only a failed dial
// proves that the service did not receive the call.
func callError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, engine.ErrDeadlinePassed):
		return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, err.Error())
	case errors.As(err, &op) && op.Op == "dial":
		return verdict.NewRejection(verdict.CodeBackendFailed, err.Error(), rejectedRetryAfter)
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

// dropHopHeaders removes hop-by-hop headers and Content-Length.
func dropHopHeaders(h http.Header) {
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	} {
		h.Del(name)
	}
}
