// Package request defines a caller's request and the head of a backend server's
// response to it, as the gateway forwards them.
package request

import (
	"net/http"
	"time"

	"pistachioroad.dev/pistachioroad/internal/accounts"
	"pistachioroad.dev/pistachioroad/internal/backend"
)

// Request is a caller's request. Method, Target and Body are forwarded to the
// backend server unchanged, byte for byte.
type Request struct {
	ID     string
	Method string
	// Target is the request target as received in the request line.
	Target string
	Host   string
	// Caller is the IP address that the request came from.
	Caller string
	// Header has the fields to forward, without hop-by-hop fields and those that
	// only the gateway may set.
	Header http.Header
	Body   []byte
	// Credential is what the caller sent to authenticate itself.
	Credential Credential
	// Account is the name of the caller's client account, empty if it is not known. Each
	// attempt carries it to the backend server.
	Account string

	// Received is when the request head was received completely.
	Received time.Time
	// Timeout is how long the caller waits, counted from Received; 0 if unknown.
	Timeout time.Duration

	Prompt Prompt
	// LastEventID is the last event that the caller received of a stream to
	// resume; empty for a new stream.
	LastEventID string
	// BegunBy is the ID of the caller's request that brought the first event of the
	// stream to resume; empty if the caller names none.
	BegunBy string
}

// Credential is the API key of a caller. The zero Credential means that the caller sent
// none.
type Credential struct {
	// Digest is the digest of the key, valid if Present.
	Digest  accounts.Digest
	Present bool
	// Malformed is set if the caller sent something that is not exactly one key.
	Malformed bool
}

// Prompt describes the work of a request to a model engine.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutputTokens the limit on output tokens.
	Tokens, MaxOutputTokens int
	// ExpectedOutputTokens is the number of output tokens that the caller expects; 0
	// if unknown. Such estimates are often far off.
	ExpectedOutputTokens int
	// DeliveredEvents is the number of events of the answer that the caller already has.
	DeliveredEvents int
	// Segments are the segments of the prompt in order. The last one belongs to
	// this request or its session, the others are shared between requests.
	Segments []Segment
}

// Shared returns the segments that other prompts may have too: all but the last.
func (p *Prompt) Shared() []Segment { return p.Segments[:max(0, len(p.Segments)-1)] }

// Segment is a sequence of prompt tokens. It has the same ID in every prompt that
// contains it.
type Segment struct {
	ID     uint64
	Tokens int
}

// Stage selects how much of the work an attempt requests.
type Stage uint8

const (
	// FullRequest requests the complete answer.
	FullRequest Stage = iota
	// PrefillOnly requests a prefill whose KV cache is kept for another server.
	PrefillOnly
)

// Options are the fields that the gateway adds to a request for one attempt.
type Options struct {
	// Server is the intended backend server; any other rejects the request.
	Server backend.Server
	// Remaining is the time that the server has for the request.
	Remaining time.Duration
	Stage     Stage
	// KVSource is where to fetch the KV cache of the prompt from; empty for none.
	KVSource string
	// Priority orders requests at an engine: 0 is first, 9 is last.
	Priority int
	// ResumeAfter is the ID of the last event that the caller has; empty for none.
	ResumeAfter string
}

// DefaultPriority is the priority that an engine assumes if none is given.
const DefaultPriority = 5

// ResponseHead is the head of a backend server's response.
type ResponseHead struct {
	Status int
	Header http.Header
	// RequestID is the ID of the request; empty if the server did not send it.
	RequestID string
	// Sealed is set if the response carries the server's authentication code.
	Sealed bool
	// NotRun is set if the server did not run the request and never will.
	NotRun bool
	// Load is the reported load of the server, valid if LoadKnown.
	Load      backend.Load
	LoadKnown bool
	// LoadInvalid is the text of a reported load of which some part could not be used.
	LoadInvalid string
	// IdleTimeout is how long the server keeps an idle connection open; 0 if unknown.
	IdleTimeout time.Duration
	// Limit is the rate limit that the server announces.
	Limit Limit
	// Leaving is set if the server announces that it is shutting down.
	Leaving bool
	// Rest is how long the server wants no requests from this gateway.
	Rest Rest
}

// Rest is the time for which a server that rejects a request wants no more of them from
// the gateway that sent it. The zero Rest means that it states none.
type Rest struct {
	Duration time.Duration
	// Invalid is the text that the server sent if it is no valid duration.
	Invalid string
}

// Limit is the rate limit that a server sets on the requests from all gateways
// together. The zero Limit means that it sets none.
type Limit struct {
	Limited bool
	// PerSecond is the limit in requests per second, valid if Limited.
	PerSecond float64
	// Invalid is the text that the server sent if it could not be parsed. It is then
	// unknown whether the server sets a limit.
	Invalid string
}

// PrefillResult is the result of a PrefillOnly attempt.
type PrefillResult struct {
	// Handle identifies the KV cache at the server that prefilled the prompt.
	Handle string
	Tokens int
}
