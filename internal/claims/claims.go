// Package claims ensures that a call with an idempotency key runs at most once.
//
// Keys are hashed to slots, and each slot has one owner at a time: the sidecar
// of one backend server. The owner records a claim for the key in the platform's
// store before the call runs, and the result afterwards. Slot is the state
// machine of one slot; Duty runs the slots of a sidecar against the store.
package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// SlotOf returns the slot of key in a service with the given number of slots.
func SlotOf(key string, slots int) int {
	return SlotOfHash(HashKey(key), slots)
}

// HashKey returns the hash that determines the slot of key.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// SlotOfHash returns the slot of a key by its hash. Entries and sidecars must
// agree on it: otherwise a key would be routed to a sidecar that does not hold
// its claim.
func SlotOfHash(hash uint64, slots int) int { return int(hash % uint64(slots)) }

// Request is a request to run a call under an idempotency key.
type Request struct {
	Service string
	Key     string
	// BodyDigest detects that a key is reused with a different request body.
	BodyDigest uint64
	// RequestID identifies the request that will run the call if it is granted.
	RequestID string
}

// Header is a response header of a recorded result.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Result is the response of a call that completed.
type Result struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyDigest (xxhash) and BodyBytes describe the complete body, also when it
	// was dropped.
	BodyDigest uint64 `json:"body_digest,omitempty"`
	BodyBytes  int    `json:"body_bytes,omitempty"`
	// BodyDropped is set if the headers and the body were too large to store.
	// The call did run.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// NewResult returns the Result of a response.
func NewResult(status int, headers []Header, body []byte) Result {
	return Result{
		Status:     status,
		Headers:    headers,
		Body:       body,
		BodyDigest: xxhash.Sum64(body),
		BodyBytes:  len(body),
	}
}

// withoutBody returns r without its headers and body, which still records that
// the call ran.
func (r Result) withoutBody() Result {
	r.Headers = nil
	r.Body = nil
	r.BodyDropped = true
	return r
}

// withoutBodyOver returns r, without headers and body if its encoded size may
// exceed limit bytes.
func (r Result) withoutBodyOver(limit int) Result {
	if resultSizeBound(&r) > limit {
		return r.withoutBody()
	}
	return r
}

// Kind is the kind of an Answer.
type Kind uint8

// The kinds of Answer.
const (
	// Unavailable: the call was not claimed and does not run; retry later.
	Unavailable Kind = iota
	// NotOwner: another sidecar owns the slot; the call does not run here.
	NotOwner
	// Granted: the claim is recorded. The requester runs the call and then
	// reports Finished, NotStarted or ResultLost.
	Granted
	// Replay: the call has already run; Result is its response.
	Replay
	// InProgress: a call with this key is still running.
	InProgress
	// BodyMismatch: the key was used before with a different request body.
	BodyMismatch
	// MayHaveRun: a call with this key was claimed and its result is lost.
	MayHaveRun
)

// String returns the kind as written to logs.
func (k Kind) String() string {
	names := [...]string{
		"unavailable", "not owner", "granted", "replay", "in progress", "other body", "may have run",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Answer is the response to a Request.
type Answer struct {
	Kind   Kind
	Result Result
	// Reason is a human-readable explanation of Unavailable.
	Reason string
	// RetryAfter is the suggested delay before a retry, or zero.
	RetryAfter time.Duration
}

// Err returns the error to send to the caller, or nil for Granted and Replay.
func (a Answer) Err() *verdict.Error {
	switch a.Kind {
	case Granted, Replay:
		return nil
	case InProgress:
		// This request did nothing, but the call already running under the key
		// may take effect.
		return &verdict.Error{
			Verdict: verdict.MayHaveRun, Code: verdict.CodeKeyInProgress,
			Message: "a call with this key is running", RetryAfter: a.RetryAfter,
		}
	case BodyMismatch:
		return verdict.New(verdict.NotRun, verdict.CodeKeyReused, "the key was used for another call")
	case MayHaveRun:
		return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown,
			"a call with this key was started and its result is lost")
	case NotOwner:
		return verdict.NewRejection(verdict.CodeNoBackend, "another backend server answers for this key", a.RetryAfter)
	default:
		return verdict.NewRejection(verdict.CodeStoreUnavailable, a.Reason, a.RetryAfter)
	}
}
