package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// emitFunc takes one piece of an answer.
type emitFunc func(data []byte, tokens int) error

// backend runs work on the backend server. Its errors carry a verdict.
type backend interface {
	run(ctx context.Context, start *wire.Start, emit emitFunc) (*wire.Final, error)
}

type modelEngine struct{ engine engine.Engine }

func (m modelEngine) run(ctx context.Context, start *wire.Start, emit emitFunc) (*wire.Final, error) {
	request := engineRequest(start)
	finish, err := m.engine.Generate(ctx, request, func(p engine.Piece) error {
		return emit([]byte(p.Text), p.Tokens)
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

func engineRequest(start *wire.Start) engine.Request {
	g := start.GetGenerate()
	return engine.Request{
		ID:          requestName(start.GetRequestId()),
		Model:       g.GetModel(),
		Adapter:     g.GetAdapter(),
		Prompt:      g.GetPrompt(),
		MaxTokens:   int(g.GetMaxTokens()),
		Priority:    int(start.GetClass()),
		ResumeFrom:  int(g.GetResumeFrom()),
		ResumeText:  g.GetResumeText(),
		KV:          engineTicket(g.GetKv()),
		PrefillOnly: g.GetPrefillOnly(),
	}
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
		return verdict.Refused(verdict.CodeBackend, err.Error(), time.Second)
	case errors.Is(err, engine.ErrRefused):
		return verdict.Refused(verdict.CodeOverloaded, err.Error(), time.Second)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.CodeBroken, err.Error())
	}
}

// maxAnswer bounds the answer of a plain service in bytes.
const maxAnswer = 4 << 20

type plainService struct {
	base string
	http *http.Client
}

// newPlainService returns a client that sends each request on a connection of
// its own. On a connection that it uses again, net/http repeats by itself a
// request with an Idempotency-Key whose reply it lost, and the call would run
// twice. Redirects are passed on to the caller for the same reason.
func newPlainService(address string) plainService {
	dialer := net.Dialer{Timeout: time.Second}
	return plainService{
		base: "http://" + address,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func (p plainService) run(ctx context.Context, start *wire.Start, emit emitFunc) (*wire.Final, error) {
	call := start.GetCall()
	req, err := http.NewRequestWithContext(ctx, call.GetMethod(), p.base+call.GetPath(), bytes.NewReader(call.GetBody()))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	}
	for _, h := range call.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set("X-Request-Id", requestName(start.GetRequestId()))
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, callError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return nil, verdict.New(verdict.Ran, verdict.CodeBroken, "answer of the service is cut or too large")
	}
	if err := emit(body, 0); err != nil {
		return nil, eris.Wrap(err, "answer")
	}
	return &wire.Final{Status: uint32(resp.StatusCode), Headers: wireHeaders(resp.Header)}, nil
}

func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Refused(verdict.CodeBackend, err.Error(), time.Second)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownResult, err.Error())
}

func wireHeaders(h http.Header) []*wire.Header {
	headers := []*wire.Header{}
	for name, values := range h {
		for _, v := range values {
			headers = append(headers, &wire.Header{Name: name, Value: v})
		}
	}
	return headers
}
