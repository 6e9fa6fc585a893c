package api

import (
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"pistachioroad.dev/pistachioroad/internal/callerbody"
	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	maxKeyLength     = 255
	maxAccountLength = 128
	// maxListedErrors bounds the validation errors listed in a response.
	maxListedErrors = 5
	// maxValues limits the values of a body, which take far more memory than their text. The
	// largest valid conversation has fewer.
	maxValues = 1 << 16
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model         string         `json:"model" minLength:"1" maxLength:"256"`
	Prompt        string         `json:"prompt" minLength:"1"`
	MaxTokens     *int           `json:"max_tokens,omitempty" minimum:"1" maximum:"131072"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	User          string         `json:"user,omitempty" maxLength:"256"`
	N             *int           `json:"n,omitempty" minimum:"1" maximum:"1"`
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model               string         `json:"model" minLength:"1" maxLength:"256"`
	Messages            []message      `json:"messages" minItems:"1" maxItems:"4096" nullable:"false"`
	MaxTokens           *int           `json:"max_tokens,omitempty" minimum:"1" maximum:"131072"`
	MaxCompletionTokens *int           `json:"max_completion_tokens,omitempty" minimum:"1" maximum:"131072"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *streamOptions `json:"stream_options,omitempty"`
	User                string         `json:"user,omitempty" maxLength:"256"`
	N                   *int           `json:"n,omitempty" minimum:"1" maximum:"1"`
}

type message struct {
	Role    string `json:"role" enum:"system,developer,user,assistant,tool"`
	Content string `json:"content"`
	Name    string `json:"name,omitempty" maxLength:"256"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// prompt formats the conversation as a text prompt for the model.
func (c chatRequest) prompt() string {
	text := strings.Builder{}
	for _, m := range c.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	text.WriteString("assistant: ")
	return text.String()
}

// validator validates a body against the schema of T: unknown and missing fields,
// types, lengths and ranges.
type validator[T any] struct {
	registry huma.Registry
	schema   *huma.Schema
}

func newValidator[T any]() *validator[T] {
	registry := huma.NewMapRegistry("#/schemas/", huma.DefaultSchemaNamer)
	return &validator[T]{
		registry: registry,
		schema:   huma.SchemaFromType(registry, reflect.TypeFor[T]()),
	}
}

// parse validates data and decodes it into a T.
//
// Unknown fields are rejected: if an option were silently ignored, the caller
// would get an answer that it did not ask for.
func (v *validator[T]) parse(data []byte) (T, *verdict.Error) {
	var parsed T
	if countValues(data) > maxValues {
		return parsed, badRequest("body has more than " + strconv.Itoa(maxValues) + " values")
	}
	var generic any
	if err := decodeSingle(data, &generic); err != nil {
		return parsed, badRequest("body is not JSON: " + err.Error())
	}
	result := huma.ValidateResult{}
	huma.Validate(v.registry, v.schema, huma.NewPathBuffer(nil, 0), huma.ModeWriteToServer, generic, &result)
	if len(result.Errors) > 0 {
		return parsed, badRequest(listErrors(result.Errors))
	}
	if err := decodeSingle(data, &parsed); err != nil {
		return parsed, badRequest("body: " + err.Error())
	}
	return parsed, nil
}

// countValues returns about how many values a JSON document has: an upper limit of the elements
// and members that it decodes to.
func countValues(data []byte) int {
	n, quoted := 1, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case !quoted && (c == ',' || c == '{' || c == '['):
			n++
		}
	}
	return n
}

// decodeSingle decodes data, which must contain exactly one JSON value.
func decodeSingle(data []byte, into any) error {
	return json.Unmarshal(data, into)
}

func listErrors(faults []error) string {
	texts := []string{}
	for _, fault := range faults[:min(len(faults), maxListedErrors)] {
		texts = append(texts, errorText(fault))
	}
	return strings.Join(texts, "; ")
}

// errorText returns the text of a validation error without the invalid value,
// which can be the whole prompt.
func errorText(fault error) string {
	var detail *huma.ErrorDetail
	if errors.As(fault, &detail) {
		return detail.Message + " (" + detail.Location + ")"
	}
	return fault.Error()
}

// parseTimeout returns the timeout in the caller's header, or fallback without the
// header, and at most limit.
func parseTimeout(header http.Header, fallback, limit time.Duration) (time.Duration, *verdict.Error) {
	text := header.Get(TimeoutHeader)
	if text == "" {
		return min(fallback, limit), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		var s float64
		s, err = strconv.ParseFloat(text, 64)
		// Clamp to limit, which also prevents overflow in the conversion. The
		// comparison is false for NaN, so NaN is clamped as well.
		if err == nil && !(math.Abs(s) <= limit.Seconds()) {
			s = math.Copysign(limit.Seconds(), s)
		}
		timeout = time.Duration(s * float64(time.Second))
	}
	if err != nil || timeout <= 0 {
		return 0, badRequest(TimeoutHeader + ": want a duration above 0 like 1.5s, or seconds")
	}
	return min(timeout, limit), nil
}

// parseKey returns the idempotency key, or "" without the header.
func parseKey(header http.Header) (string, *verdict.Error) {
	values := header.Values(KeyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyLength || !isPrintableASCII(values[0]) {
		return "", badRequest(KeyHeader + ": want one value of 1 to 255 printable ASCII characters")
	}
	return values[0], nil
}

// parseAccount returns the caller's account from the header that the balancer
// sets, or the caller's IP address without it.
func parseAccount(r *http.Request) (string, *verdict.Error) {
	account := r.Header.Get(AccountHeader)
	if account == "" {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			return r.RemoteAddr, nil
		}
		return host, nil
	}
	if len(account) > maxAccountLength || !isPrintableASCII(account) {
		return "", badRequest(AccountHeader + ": want 1 to 128 printable ASCII characters")
	}
	return account, nil
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// readBody reads the body, which must not exceed the size limit and must arrive
// within timeout. It calls begin before it reads.
func readBody(w http.ResponseWriter, r *http.Request, memory *callerbody.Memory, limit int64, timeout time.Duration,
	begin func(http.ResponseWriter, *http.Request),
) (*callerbody.Body, *verdict.Error) {
	if r.ContentLength == 0 {
		return &callerbody.Body{}, nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	begin(w, r)
	body, err := memory.Read(r.Context(), r.Body, r.ContentLength, limit, func() { callerconn.InterruptRead(w) })
	switch {
	case err == nil:
		// net/http continues to read, to detect that the caller disconnects.
		_ = controller.SetReadDeadline(time.Time{})
		if caller, ok := w.(*callerconn.Writer); ok {
			caller.BodyRead()
		}
		return body, nil
	case errors.Is(err, callerbody.ErrTooLarge):
		return body, verdict.New(verdict.NotRun, verdict.CodeTooLarge,
			"body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, callerbody.ErrAborted):
		panic(http.ErrAbortHandler)
	case errors.Is(err, callerbody.ErrNoMemory):
		return body, verdict.NewRejection(verdict.CodeOverloaded, err.Error(), overloadRetryAfter)
	case errors.Is(err, callerbody.ErrEvicted):
		return body, verdict.NewRejection(verdict.CodeSlowBody, err.Error(), overloadRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return body, verdict.New(verdict.NotRun, verdict.CodeSlowBody,
			"body did not arrive within "+timeout.String())
	default:
		return body, badRequest("body: " + err.Error())
	}
}
