// Package engine defines the interface to a model engine, with generation, KV cache,
// load reports, cache events and orders, and an HTTP client for it.
package engine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// KVBlockTokens is the number of prompt tokens in one block of the KV cache.
const KVBlockTokens = 2000

// Role is the kind of work that an engine does.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Ticket identifies KV cache that an engine has exported.
type Ticket struct {
	ID     string `json:"id"`
	Source string `json:"source"`
	Tokens int    `json:"tokens"`
}

// Request is a generation request.
type Request struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority orders the engine's queue; lower values run first.
	Priority int `json:"priority"`
	// ResumeFrom is the number of output tokens that the caller already has, and
	// ResumeText is their text.
	ResumeFrom int     `json:"resume_from,omitempty"`
	ResumeText string  `json:"resume_text,omitempty"`
	KV         *Ticket `json:"kv,omitempty"`
	// PrefillOnly requests a Ticket instead of an answer.
	PrefillOnly bool `json:"prefill_only,omitempty"`
	// TimeoutMS is the caller's remaining timeout in milliseconds when the request
	// is sent, 0 if unknown.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// SendDeadline is the time from which the request must not be sent. Zero means
	// no limit.
	SendDeadline time.Time `json:"-"`
}

// Chunk is a run of output tokens.
type Chunk struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Finish is the end of a completed generation.
type Finish struct {
	// Reason is "stop" or "length".
	Reason       string  `json:"reason"`
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"`
	OutputTokens int     `json:"output_tokens"`
	KV           *Ticket `json:"kv,omitempty"`
}

// Order tells an engine which role, model, adapters and weights to use. Loading them
// takes seconds.
type Order struct {
	// Generation is the fencing token. An engine that checks it rejects an order with
	// a lower one than the highest it has accepted.
	Generation uint64   `json:"generation"`
	Role       Role     `json:"role"`
	Model      string   `json:"model"`
	Adapters   []string `json:"adapters,omitempty"`
	Weights    string   `json:"weights"`
}

// State is an engine's report of its state.
type State struct {
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	// Applied is the last order that took effect. Changing is set while another one
	// is being carried out.
	Applied  Order `json:"applied"`
	Changing bool  `json:"changing"`
	Ready    bool  `json:"ready"`
}

// Load is an engine's report of its load, which lags behind. PrefillRate and
// DecodeRate are the tokens a second, over the whole batch, that the engine reaches
// when it does nothing else.
type Load struct {
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	Slots         int     `json:"slots"`
	QueuedTokens  int     `json:"queued_tokens"`
	RunningTokens int     `json:"running_tokens"`
	KVBlocksUsed  int     `json:"pieces_used"`
	KVBlocks      int     `json:"pieces"`
	PrefillRate   float64 `json:"prefill_rate"`
	DecodeRate    float64 `json:"decode_rate"`
}

// CacheEvent reports that KV blocks of prompts were stored or evicted. Sequence
// numbers increase by one; a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// The errors that an Engine returns.
var (
	// ErrNotSent means that the engine was not reached, so that nothing ran.
	ErrNotSent = eris.New("engine not reached")
	// ErrRejected means that the engine rejected the request or order.
	ErrRejected = eris.New("engine refused")
	// ErrFenced means that the engine has accepted an order with a higher generation.
	ErrFenced = eris.New("engine has taken a newer order")
	// ErrInvalidRequest means that the engine rejected the request permanently. It has
	// not run, and a retry would be rejected too.
	ErrInvalidRequest = eris.New("engine rejected the request")
	// ErrRequestFailed means that the engine reported the failure of one request. The
	// request may have run; the engine continues to work.
	ErrRequestFailed = eris.New("engine failed the request")
	// ErrInterrupted means that the response was lost or ended early, without an error
	// reported by the engine. The request may have run.
	ErrInterrupted = eris.New("engine broke off")
)

// Engine is one model engine.
type Engine interface {
	// Generate runs r and calls emit for each chunk, in order. It returns ErrNotSent,
	// ErrRejected, ErrInvalidRequest, ErrRequestFailed, ErrInterrupted or the error
	// of emit.
	Generate(ctx context.Context, r Request, emit func(Chunk) error) (Finish, error)
	// Cancel stops a generation. An unknown ID is no error.
	Cancel(ctx context.Context, id string) error
	// Order returns once the engine has accepted the order, not once it is ready. It
	// returns ErrNotSent, ErrRejected, ErrFenced, or ErrInterrupted if the outcome is
	// unknown.
	Order(ctx context.Context, o Order) error
	State(ctx context.Context) (State, error)
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}
