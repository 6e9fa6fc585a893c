// Package request holds one caller's request and a backend server's answer to
// it, as the gateway passes them on.
package request

import (
	"net/http"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// Request is a caller's request. Method, Target and Body go to the backend
// server byte for byte.
type Request struct {
	ID     string
	Method string
	// Target is the request target as it stood on the request line.
	Target string
	Host   string
	// Caller is the IP number that the request came from.
	Caller string
	// Header is what is passed on: without fields of one connection and
	// without those that only the gateway may set.
	Header http.Header
	Body   []byte

	// Received is when the head had been read.
	Received time.Time
	// Patience is how long the caller waits from then on; 0 if it did not say.
	Timeout time.Duration

	Prompt Prompt
	// LastEventID is where the caller resumes a stream; empty for a new one.
	LastEventID string
}

// Prompt is the work of a request for a model engine.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the most tokens of answer.
	Tokens, MaxOutputTokens int
	// Output is how many tokens of answer the caller expects, often far off; 0 if
	// it did not say.
	ExpectedOutputTokens int
	// Done is how many events of the answer the caller has already.
	DeliveredEvents int
	// Parts are the prompt's parts in order. The last one belongs to this
	// request or its session, the others are shared between requests.
	Segments []Segment
}

// Part is a run of prompt tokens that has the same ID wherever it occurs.
type Segment struct {
	ID     uint64
	Tokens int
}

// Stage is which part of the work a send asks for.
type Stage uint8

const (
	// Whole asks for the whole answer.
	FullRequest Stage = iota
	// PrefillOnly asks to read the prompt and keep its KV cache for another.
	PrefillOnly
)

// Options are what the gateway adds to a request for one send.
type Options struct {
	// Server must be the one that takes the request; any other refuses it.
	Server backend.Server
	// Left is the time that the server may take.
	Remaining time.Duration
	Stage     Stage
	// KVSource is where the prompt's KV cache is fetched from, empty for none.
	KVSource string
	// Priority orders requests at an engine: 0 first, 9 last.
	Priority int
	// ResumeAfter is the last event that the caller has; empty for none.
	ResumeAfter string
}

// DefaultPriority is what an engine takes for a request without a priority.
const DefaultPriority = 5

// Answer is the head of a backend server's answer.
type ResponseHead struct {
	Status int
	Header http.Header
	// ID is the request that is answered; empty if the server did not say.
	RequestID string
	// Sealed says that the answer carries the server's authentication code.
	Sealed bool
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Load is the server's own load, if LoadKnown.
	Load      backend.Load
	LoadKnown bool
	// KeepFor is how long the server keeps the connection idle, 0 if unknown.
	IdleTimeout time.Duration
	// Limit is the server's own limit on what it gets.
	Limit Limit
}

// Limit is what a server says of the requests that it takes from all gateways together.
// The zero Limit says that it names none.
type Limit struct {
	Limited bool
	// PerSecond is how many it takes a second, if Named.
	PerSecond float64
	// Invalid is what the server said if it could not be understood: whether it names a
	// limit is then not known.
	Invalid string
}

// Prefilled is the answer to a PrefillOnly send.
type PrefillResult struct {
	// Handle names the KV cache at the server that read the prompt.
	Handle string
	Tokens int
}
