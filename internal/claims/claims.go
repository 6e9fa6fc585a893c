// Package claims lets a call with an idempotency key run at most once.
//
// Keys hash to slots, and each slot has one owner at a time, the sidecar of one
// backend server. The owner records a claim for the key in the platform's store
// before the call runs, and its result afterwards. Slot is the state machine of
// one slot; Duty runs the slots of a sidecar against the store.
package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// MaxKey is the longest idempotency key in bytes.
const MaxKey = 255

// SlotOf returns the slot of a key in a service with the number of slots given.
func SlotOf(key string, slots int) int {
	return SlotOfHash(HashKey(key), slots)
}

// HashKey returns the hash of a key that chooses its slot.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// SlotOfHash returns the slot of a key by its hash. Entries and sidecars go by
// this one rule: another would send a key to where its claim is not known.
func SlotOfHash(hash uint64, slots int) int { return int(hash % uint64(slots)) }

// Request asks to run a call under an idempotency key.
type Request struct {
	Service string
	Key     string
	// BodyDigest tells two calls under one key apart.
	BodyDigest uint64
	// RequestID is that of the one request that would run the call.
	RequestID string
}

// Header is a header of a kept result.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Result is the answer of a call that ran to its end.
type Result struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyDigest (xxhash) and BodyBytes are those of the whole body.
	BodyDigest uint64 `json:"body_digest,omitempty"`
	BodyBytes  int    `json:"body_bytes,omitempty"`
	// BodyDropped says that headers and body were too large to keep. The call
	// ran all the same.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// NewResult returns the Result of an answer.
func NewResult(status int, headers []Header, body []byte) Result {
	return Result{
		Status:     status,
		Headers:    headers,
		Body:       body,
		BodyDigest: xxhash.Sum64(body),
		BodyBytes:  len(body),
	}
}

// withoutBody returns the Result that says only that the call ran.
func (r Result) withoutBody() Result {
	r.Headers = nil
	r.Body = nil
	r.BodyDropped = true
	return r
}

// bounded returns r, without its body if the whole has more than limit bytes.
func (r Result) bounded(limit int) Result {
	if resultBytes(&r) > limit {
		return r.withoutBody()
	}
	return r
}

// Kind is what an Answer says.
type Kind uint8

// The kinds of Answer.
const (
	// Unavailable: the call was not claimed and does not run; ask again later.
	Unavailable Kind = iota
	// NotOwner: another sidecar owns the slot; the call does not run here.
	NotOwner
	// Granted: the claim is recorded. Run the call, then report Finished,
	// NotStarted or Lost.
	Granted
	// Replay: the call ran before; Result is its answer.
	Replay
	// InProgress: a call under this key runs now.
	InProgress
	// OtherBody: the key was used for another call.
	OtherBody
	// MayHaveRun: a call under this key was claimed and its result is lost.
	MayHaveRun
)

// String returns the kind for logs.
func (k Kind) String() string {
	names := [...]string{
		"unavailable", "not owner", "granted", "replay", "in progress", "other body", "may have run",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Answer is what became of a Request.
type Answer struct {
	Kind   Kind
	Result Result
	// Reason is for people.
	Reason string
	// RetryAfter is when asking again makes sense, or zero.
	RetryAfter time.Duration
}

// Err returns the error that the caller of the request gets, or nil for
// Granted and Replay.
func (a Answer) Err() *verdict.Error {
	switch a.Kind {
	case Granted, Replay:
		return nil
	case InProgress:
		// The action under the key may be done: only this request did nothing.
		return &verdict.Error{
			Verdict: verdict.MayHaveRun, Code: verdict.CodeKeyInUse,
			Message: "a call with this key is running", RetryAfter: a.RetryAfter,
		}
	case OtherBody:
		return verdict.New(verdict.NotRun, verdict.CodeKeyReused, "the key was used for another call")
	case MayHaveRun:
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownResult,
			"a call with this key was started and its result is lost")
	case NotOwner:
		return verdict.Refused(verdict.CodeNoBackend, "another backend server answers for this key", a.RetryAfter)
	default:
		return verdict.Refused(verdict.CodeStore, a.Reason, a.RetryAfter)
	}
}
