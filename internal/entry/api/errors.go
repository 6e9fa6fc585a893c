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
	// RequestIDHeader carries the id of the request in every response.
	RequestIDHeader = "Pistachioroad-Request-Id"
	// TimeoutHeader is the caller's timeout for the request: a Go duration such as
	// 1.5s, or a number of seconds.
	TimeoutHeader = "Pistachioroad-Timeout"
	// AccountHeader names the caller's account; the balancer sets it.
	AccountHeader = "Pistachioroad-Account"
	// ReplayedHeader marks a response as the stored result of an earlier request
	// with the same idempotency key.
	ReplayedHeader = "Pistachioroad-Replayed"
	// KeyHeader is the standard header for the idempotency key.
	KeyHeader = "Idempotency-Key"
)

// statusClientClosed is the conventional status for a caller that disconnected.
const statusClientClosed = 499

// errorBody is the body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Verdict   string `json:"verdict"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// RetryAfter is in seconds. It is omitted if a retry is not useful.
	RetryAfter float64 `json:"retry_after_s,omitempty"`
}

func newErrorBody(id string, err *verdict.Error) errorBody {
	return errorBody{Error: errorDetail{
		Verdict:    err.Verdict.String(),
		Code:       string(err.Code),
		Message:    err.Message,
		RequestID:  id,
		RetryAfter: err.RetryAfter.Seconds(),
	}}
}

// writeError writes the error response. Nothing of the response may have been
// written before.
func writeError(w http.ResponseWriter, id string, err *verdict.Error) {
	writeErrorStatus(w, id, err, statusOf(err.Code))
}

func writeErrorStatus(w http.ResponseWriter, id string, err *verdict.Error, status int) {
	header := w.Header()
	header.Set("Content-Type", jsonContentType)
	header.Set(RequestIDHeader, id)
	header.Set(verdict.Header, err.Verdict.String())
	if err.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(err.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newErrorBody(id, err))
}

// retryAfterSeconds formats d for the Retry-After header, rounded up to whole
// seconds.
func retryAfterSeconds(d time.Duration) string {
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

// badRequest returns the error for an invalid request.
func badRequest(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, message)
}
