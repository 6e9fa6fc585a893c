// Package verdict says whether a request may have run.
//
// Every error on the request path carries a Verdict. It is what tells the
// next layer, and in the end the caller, whether asking again is safe.
package verdict

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Verdict orders the outcomes of a request from harmless to final.
type Verdict uint8

const (
	// NotRun is a guarantee: the request did not run and never will.
	NotRun Verdict = iota
	// MayHaveRun says that nothing is known for certain.
	MayHaveRun
	// Ran says that the request ran to its end.
	Ran
)

// Header is the HTTP header that carries the verdict to callers.
const Header = "Pistachioroad-Verdict"

// String returns the wire name: not_run, may_have_run or ran.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Worst returns the verdict of a request made of several attempts. An attempt
// of unknown outcome outweighs one that certainly did not run, and an attempt
// that ran outweighs both: reporting the last attempt alone would tell a
// caller "not run" about a request whose first attempt is still running.
func Worst(a, b Verdict) Verdict {
	return max(a, b)
}

// Code names the reason of an Error for programs. Codes are part of the
// callers' API.
type Code string

// The codes of the callers' API.
const (
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "too_large"
	CodeSlowBody         Code = "slow_body"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownService   Code = "unknown_service"
	CodeOverloaded       Code = "overloaded"
	CodeAccountLimit     Code = "account_limit"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeCancelled        Code = "cancelled"
	CodeNoBackend        Code = "no_backend_server"
	CodeDraining         Code = "draining"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeKeyInProgress    Code = "key_in_progress"
	CodeKeyReused        Code = "key_reused"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeBackendFailed    Code = "backend_failed"
	CodeAnswerBroken     Code = "answer_broken"
	CodeQuarantined      Code = "quarantined"
	CodeServerLimit      Code = "server_limit"
	CodeInternal         Code = "internal"
)

// Error is an error of the request path.
type Error struct {
	Verdict Verdict
	Code    Code
	// Message is for people.
	Message string
	// RetryAfter is when asking again makes sense; zero when it does not.
	RetryAfter time.Duration
}

// Error returns the code, the verdict and the message.
func (e *Error) Error() string {
	return string(e.Code) + " (" + e.Verdict.String() + "): " + e.Message
}

// New returns an Error without a retry hint.
func New(v Verdict, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Message: message}
}

// Refused returns a NotRun Error that says when to come back.
func NewRejection(code Code, message string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}

// Of returns the Error within err. An error that carries none is MayHaveRun:
// claiming less would be a promise that nobody made.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeInternal, eris.ToString(err, false))
}
