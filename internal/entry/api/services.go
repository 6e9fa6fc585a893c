package api

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const servicesPath = "/services/"

// service handles a call of a plain service.
func (a *API) service(w http.ResponseWriter, r *http.Request, id uuid.UUID) {
	name := r.PathValue("service")
	service, ok := a.settings.Services[name]
	if !ok {
		rejectRequest(w, id, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no such service: "+name))
		return
	}
	body, err := a.readBody(w, r)
	defer body.Release()
	if err != nil {
		rejectRequest(w, id, err)
		return
	}
	request, err := a.newCallRequest(r, id, name, service, body.Bytes)
	if err != nil {
		rejectRequest(w, id, err)
		return
	}
	a.execute(w, r, request, &callSink{w: w, id: id.String(), writeTimeout: a.writeTimeout})
}

// newCallRequest validates the headers and returns the request to run.
func (a *API) newCallRequest(r *http.Request, id uuid.UUID, name string, service settings.Service, body []byte) (*serve.Request, *verdict.Error) {
	account, err := parseAccount(r)
	if err != nil {
		return nil, err
	}
	values := a.configValues(name, "")
	fallback := service.Deadline
	if fallback <= 0 {
		fallback = deadlineOf(values)
	}
	timeout, err := parseTimeout(r.Header, fallback, a.settings.Limits.MaxDeadline)
	if err != nil {
		return nil, err
	}
	idempotent := isSafeMethod(r.Method) || (values.Idempotent != nil && *values.Idempotent)
	key, err := idempotencyKey(r.Header, service, idempotent)
	if err != nil {
		return nil, err
	}
	target := callPath(r)
	return &serve.Request{
		ID:         id,
		Caller:     account,
		Service:    name,
		Deadline:   time.Now().Add(timeout),
		Class:      classOf(service.Class),
		Idempotent: idempotent,
		Key:        key,
		BodyDigest: callDigest(r.Method, target, body),
		Call: &wire.Call{
			Method:  r.Method,
			Path:    target,
			Headers: forwardedHeaders(r.Header),
			Body:    body,
		},
	}, nil
}

// idempotencyKey returns the idempotency key of a call. It is "" without the header,
// and for an idempotent call, which needs none.
func idempotencyKey(header http.Header, service settings.Service, idempotent bool) (string, *verdict.Error) {
	key, err := parseKey(header)
	if err != nil || idempotent {
		return "", err
	}
	if key == "" && service.KeyRequired {
		return "", badRequest("this call may not be repeated and needs an " + KeyHeader)
	}
	if key != "" && service.Slots <= 0 {
		return "", badRequest("this service keeps no idempotency keys")
	}
	return key, nil
}

// isSafeMethod reports whether HTTP defines the method as safe, which means that it
// has no side effects.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// callPath returns the path and query to send to the service: the part of the URL
// after /services/{service}.
func callPath(r *http.Request) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPath)
	path = path[strings.IndexByte(path, '/'):]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// callDigest returns a hash that distinguishes calls with the same idempotency key.
func callDigest(method, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + " " + path + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// internalHeaderPrefix is the prefix of the headers exchanged between callers and
// the entry, which are not forwarded either.
const internalHeaderPrefix = "Pistachioroad-"

// forwardedHeaders returns the headers to forward to the service.
func forwardedHeaders(header http.Header) []*wire.Header {
	dropped := connectionHeaders(header)
	headers := []*wire.Header{}
	for name, values := range header {
		if hopByHopHeaders[name] || dropped[name] || strings.HasPrefix(name, internalHeaderPrefix) {
			continue
		}
		for _, v := range values {
			headers = append(headers, &wire.Header{Name: name, Value: v})
		}
	}
	return headers
}

// connectionHeaders returns the headers that the Connection header declares as
// hop-by-hop.
func connectionHeaders(header http.Header) map[string]bool {
	dropped := map[string]bool{}
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return dropped
}

// callSink buffers the service's answer and writes the response once it is
// complete.
type callSink struct {
	w    http.ResponseWriter
	id   string
	body []byte

	writeTimeout time.Duration
}

// Deliver implements serve.Sink.
func (s *callSink) Deliver(data []byte, _ uint32) error {
	s.body = append(s.body, data...)
	return nil
}

// Finish implements serve.Sink.
func (s *callSink) Finish(f call.Finish) {
	header := s.w.Header()
	closing := header.Get("Connection")
	for _, h := range f.Final.GetHeaders() {
		name := textproto.CanonicalMIMEHeaderKey(h.GetName())
		if !hopByHopHeaders[name] && !strings.HasPrefix(name, internalHeaderPrefix) {
			header.Add(name, h.GetValue())
		}
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	header.Set(verdict.Header, verdict.Ran.String())
	if f.Final.GetReplayed() {
		header.Set(ReplayedHeader, "true")
	}
	// With the length, the caller can detect a truncated response.
	header.Set("Content-Length", strconv.Itoa(len(s.body)))
	setWriteDeadline(s.w, s.writeTimeout)
	s.w.WriteHeader(validStatus(f.Final.GetStatus()))
	_, _ = s.w.Write(s.body)
}

// validStatus replaces a status that net/http cannot write as a final one with 502.
func validStatus(status uint32) int {
	if status < http.StatusOK || status > 999 {
		return http.StatusBadGateway
	}
	return int(status)
}

// Fail implements serve.Sink.
func (s *callSink) Fail(err *verdict.Error) { writeError(s.w, s.id, err) }
