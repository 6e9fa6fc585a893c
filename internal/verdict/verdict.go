// Package verdict classifies errors by whether the request may have run.
//
// Every error on the request path carries a Verdict. From it the next layer, and
// finally the caller, knows whether a retry is safe.
package verdict

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Verdict is what is known about the execution of a request. Higher values take
// precedence over lower ones, see Worst.
type Verdict uint8

const (
	// NotRun guarantees that the request did not run and never will.
	NotRun Verdict = iota
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun
	// Ran means that the request ran to completion.
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

// Worst returns the verdict of a request with several attempts. An attempt of
// unknown outcome overrides one that did not run, and an attempt that ran
// overrides both. Reporting only the last attempt would tell a caller "not run"
// while the first attempt may still be running.
func Worst(a, b Verdict) Verdict {
	return max(a, b)
}

// Code identifies the reason of an Error for programs. Codes are part of the API
// for callers.
type Code string

// The codes of the API for callers.
const (
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "too_large"
	CodeSlowBody         Code = "slow_body"
	CodeUnauthenticated  Code = "unauthenticated"
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
	CodeServerRest       Code = "server_rest"
	CodeServerLeaving    Code = "server_leaving"
	// CodeVersionUnavailable means that no engine of the software version that began a
	// stream can go on with it.
	CodeVersionUnavailable Code = "version_unavailable"
	// CodeVersionUnknown means that it is not known which software version began a stream.
	CodeVersionUnknown Code = "version_unknown"
	CodeInternal       Code = "internal"
)

// Error is an error of the request path.
type Error struct {
	Verdict Verdict
	Code    Code
	// Message is a description for humans.
	Message string
	// RetryAfter is the delay after which a retry is useful; zero if it is not.
	RetryAfter time.Duration
	// Unanswered is set if the request was sent and the server has not answered it, so that
	// bytes still in transit may reach the server later.
	Unanswered bool
	// Garbled is set if the server sent bytes that are no answer to the request. That is the
	// server's fault and not the network's.
	Garbled bool
}

// Error returns the code, the verdict and the message.
func (e *Error) Error() string {
	return string(e.Code) + " (" + e.Verdict.String() + "): " + e.Message
}

// New returns an Error without a retry hint.
func New(v Verdict, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Message: message}
}

// NewRejection returns a NotRun Error with the delay after which to retry.
func NewRejection(code Code, message string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}

// Of returns the Error that err wraps. If there is none, it returns one with
// MayHaveRun, as nothing guarantees that the request did not run.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeInternal, eris.ToString(err, false))
}
