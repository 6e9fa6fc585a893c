package serve

import (
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Request is a caller's request. Exactly one of Generate and Call is set.
type Request struct {
	ID uuid.UUID
	// Caller is the client account that the request is charged to.
	Caller   string
	Service  string
	Deadline time.Time
	Class    wire.Class
	// Idempotent requests may be run more than once.
	Idempotent bool
	// Key is the idempotency key, if any. BodyDigest detects two different
	// requests under one key.
	Key        string
	BodyDigest uint64
	Generate   *wire.Generate
	Call       *wire.Call
	// End, when closed, ends the request with what is known of its attempts. It may be nil.
	End <-chan struct{}
	// Sent, if set, is called for each attempt with the name of its backend server.
	Sent func(server string)
}

// Sink receives the answer. Its methods are called from a single goroutine.
type Sink interface {
	// Deliver receives the next part of the answer. An error means that the
	// caller has disconnected.
	Deliver(data []byte, tokens uint32) error
	// Finish reports that the answer is complete.
	Finish(f call.Finish)
	// Fail reports that the request failed; what was delivered is incomplete.
	Fail(err *verdict.Error)
}

func (r *Request) spec() call.Spec {
	return call.Spec{
		ID:         r.ID,
		Deadline:   r.Deadline,
		Idempotent: r.Idempotent,
		Resumable:  r.Generate != nil,
		Keyed:      r.Key != "",
	}
}

// routing returns the request in the form that the router uses.
func (r *Request) routing() *router.Request {
	routing := &router.Request{
		ID:           r.ID.String(),
		Caller:       r.Caller,
		Service:      r.Service,
		PromptTokens: 1,
		Deadline:     r.Deadline,
		Class:        int(r.Class),
		Idempotent:   r.Idempotent || r.Generate != nil,
		Keyed:        r.Key != "",
		KeyHash:      claims.HashKey(r.Key),
	}
	if g := r.Generate; g != nil {
		routing.Model = g.GetModel()
		routing.Adapter = g.GetAdapter()
		routing.PromptTokens = int(g.GetPromptTokens())
		routing.OutputTokens = int(g.GetMaxTokens())
		routing.PrefixBlocks = route.PrefixBlocks(g.GetPrompt())
	}
	return routing
}

// start returns the Start frame of an attempt.
func (r *Request) start(e call.SendStart) *wire.Start {
	start := &wire.Start{
		RequestId:      r.ID[:],
		Attempt:        e.Attempt,
		BudgetUs:       e.Budget.Microseconds(),
		Class:          r.Class,
		Caller:         r.Caller,
		Service:        r.Service,
		Idempotent:     r.Idempotent || r.Generate != nil,
		IdempotencyKey: r.Key,
		BodyDigest:     r.BodyDigest,
	}
	if r.Call != nil {
		start.Work = &wire.Start_Call{Call: r.Call}
		return start
	}
	start.Work = &wire.Start_Generate{Generate: &wire.Generate{
		Model:        r.Generate.GetModel(),
		Adapter:      r.Generate.GetAdapter(),
		Prompt:       r.Generate.GetPrompt(),
		PromptTokens: r.Generate.GetPromptTokens(),
		MaxTokens:    r.Generate.GetMaxTokens(),
		ResumeFrom:   e.ResumeFrom,
		ResumeText:   e.ResumeText,
		Kv:           e.KV,
		PrefillOnly:  e.PrefillOnly,
	}}
	return start
}
