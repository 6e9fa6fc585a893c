package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// The headers of the callers' API.
const (
	// RequestIDHeader carries the id of the request in every answer.
	RequestIDHeader = "Pistachioroad-Request-Id"
	// TimeoutHeader is the time that the caller gives the request, like 1.5s,
	// or a count of seconds.
	TimeoutHeader = "Pistachioroad-Timeout"
	// AccountHeader names the caller's account; the balancer sets it.
	AccountHeader = "Pistachioroad-Account"
	// ReplayedHeader says that the answer is the kept one of an earlier request
	// with the same idempotency key.
	ReplayedHeader = "Pistachioroad-Replayed"
	// KeyHeader is the standard header of the idempotency key.
	KeyHeader = "Idempotency-Key"
)

// statusClientClosed is the customary status for a caller that went away.
const statusClientClosed = 499

// errorBody is the body of every error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Verdict   string `json:"verdict"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// RetryAfter is in seconds; left out where asking again makes no sense.
	RetryAfter float64 `json:"retry_after_s,omitempty"`
}

func bodyOf(id string, err *verdict.Error) errorBody {
	return errorBody{Error: errorDetail{
		Verdict:    err.Verdict.String(),
		Code:       string(err.Code),
		Message:    err.Message,
		RequestID:  id,
		RetryAfter: err.RetryAfter.Seconds(),
	}}
}

// writeError answers a request of which nothing was sent yet.
func writeError(w http.ResponseWriter, id string, err *verdict.Error) {
	writeErrorStatus(w, id, err, statusOf(err.Code))
}

func writeErrorStatus(w http.ResponseWriter, id string, err *verdict.Error, status int) {
	header := w.Header()
	header.Set("Content-Type", jsonType)
	header.Set(RequestIDHeader, id)
	header.Set(verdict.Header, err.Verdict.String())
	if err.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(err.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(bodyOf(id, err))
}

// retryAfter rounds up to whole seconds, the header's unit.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func statusOf(code verdict.Code) int {
	switch code {
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case verdict.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeSlowBody:
		return http.StatusRequestTimeout
	case verdict.CodeUnknownModel, verdict.CodeUnknownService:
		return http.StatusNotFound
	case verdict.CodeAccountLimit:
		return http.StatusTooManyRequests
	case verdict.CodeOverloaded, verdict.CodeNoBackend, verdict.CodeDraining, verdict.CodeStoreUnavailable:
		return http.StatusServiceUnavailable
	case verdict.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case verdict.CodeCancelled:
		return statusClientClosed
	case verdict.CodeKeyInProgress:
		return http.StatusConflict
	case verdict.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case verdict.CodeOutcomeUnknown, verdict.CodeBackendFailed, verdict.CodeAnswerBroken:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// badRequest is the refusal of a request that cannot be understood.
func badRequest(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, message)
}
