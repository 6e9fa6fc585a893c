// Package engine is the system's view of a model engine: generation, KV cache,
// load reports, cache events and orders.
package engine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// PieceTokens is how many prompt tokens one piece of the KV cache holds.
const KVBlockTokens = 2000

// Role says which work an engine takes.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Ticket names a KV cache that an engine has exported.
type Ticket struct {
	ID     string `json:"id"`
	Source string `json:"source"`
	Tokens int    `json:"tokens"`
}

// Request is one generation.
type Request struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority orders the engine's own queue; lower runs first.
	Priority int `json:"priority"`
	// ResumeFrom is how many output tokens, spelt out in ResumeText, the
	// caller already has.
	ResumeFrom int     `json:"resume_from,omitempty"`
	ResumeText string  `json:"resume_text,omitempty"`
	KV         *Ticket `json:"kv,omitempty"`
	// PrefillOnly asks for a Ticket in place of an answer.
	PrefillOnly bool `json:"prefill_only,omitempty"`
	// TimeoutMS is how long the caller still waits, in milliseconds, when the
	// request is sent; 0: not told.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// StartBefore is when the request must no longer be sent; zero: no limit.
	SendDeadline time.Time `json:"-"`
}

// Piece is a run of output tokens.
type Chunk struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Finish ends a whole generation.
type Finish struct {
	// Reason is "stop" or "length".
	Reason       string  `json:"reason"`
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"`
	OutputTokens int     `json:"output_tokens"`
	KV           *Ticket `json:"kv,omitempty"`
}

// Order asks an engine to become what its fields say. Loading takes seconds.
type Order struct {
	// Generation is the fencing token: an engine that checks it refuses an
	// order below the highest that it has taken.
	Generation uint64   `json:"generation"`
	Role       Role     `json:"role"`
	Model      string   `json:"model"`
	Adapters   []string `json:"adapters,omitempty"`
	Weights    string   `json:"weights"`
}

// State is what an engine says of itself.
type State struct {
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	// Applied is the last order that took effect; Changing says that another
	// is on its way.
	Applied  Order `json:"applied"`
	Changing bool  `json:"changing"`
	Ready    bool  `json:"ready"`
}

// Load is an engine's own report; it lags. PrefillRate and DecodeRate are the
// tokens a second, over the whole batch, that it reaches when it does nothing
// else.
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

// CacheEvent says that prompt pieces were stored or evicted. Sequence numbers
// rise by one; a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// The errors of an Engine.
var (
	// ErrNotSent says that the engine was not reached: nothing ran.
	ErrNotSent = eris.New("engine not reached")
	// ErrRefused says that the engine turned the request or order down.
	ErrRejected = eris.New("engine refused")
	// ErrFenced says that the engine has taken a higher generation.
	ErrFenced = eris.New("engine has taken a newer order")
	// ErrInvalid says that the engine turned the request down for good: nothing
	// ran, and nothing will.
	ErrInvalidRequest = eris.New("engine rejected the request")
	// ErrFailed says that the engine itself reported the failure of one request.
	// It may have run; the engine goes on.
	ErrRequestFailed = eris.New("engine failed the request")
	// ErrBroken says that the engine stopped part-way, without a word.
	ErrInterrupted = eris.New("engine broke off")
)

// Engine is one model engine.
type Engine interface {
	// Generate runs r and calls emit for each piece, in order. It returns
	// ErrNotSent, ErrRefused, ErrInvalid, ErrFailed or ErrBroken, or the error of
	// emit.
	Generate(ctx context.Context, r Request, emit func(Chunk) error) (Finish, error)
	// Cancel stops a generation; one that is unknown is no error.
	Cancel(ctx context.Context, id string) error
	// Order returns once the engine has taken the order, not once it is ready:
	// ErrNotSent, ErrRefused, ErrFenced, or ErrBroken when nothing is known.
	Order(ctx context.Context, o Order) error
	State(ctx context.Context) (State, error)
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after the sequence number given.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}
