package gateway

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// copyBuffer is the size of the buffers that answers pass through.
const copyBuffer = 8 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// trace is what the log line of a request tells.
type trace struct {
	status  int
	code    verdict.Code
	message string
	server  string
	first   time.Duration
	// plan is where the prompt went, prefill how long its reading took there.
	plan    place.Plan
	prefill time.Duration
	// bySize says that the prompt was let in for its length.
	bySize bool
	// placed is how long after the request came the plan was made.
	placed time.Duration
	// events counts those that were passed on.
	events  int
	bytes   int64
	aborted bool
	// broke says that a server's connection broke while it may have run the request.
	broke bool
}

// refuse answers with an error of the gateway's own.
func (c *call) refuse(status int, e *verdict.Error) {
	invariant.Check(!promisesNotRun(status) || c.verdict == verdict.NotRun, "not-run-is-true",
		"request %s is answered %d though it is %s", c.id, status, c.verdict)
	c.trace.status, c.trace.code, c.trace.message = status, e.Code, e.Message
	h := c.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(errorBody{
		Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Message, RequestID: c.id,
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	if _, err := c.writer.Write(body); err != nil {
		c.trace.aborted = true
	}
}

type errorBody struct {
	Verdict   string `json:"verdict"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
}

// fail answers a request that no server answered. Whether it may have run
// decides the status: 503 promises that it has not, 502 and 504 promise nothing.
func (c *call) fail(e *verdict.Error) {
	if c.caller.Err() != nil {
		c.trace.code, c.trace.message = verdict.CodeCancelled, "the caller left"
		c.trace.aborted = true
		panic(http.ErrAbortHandler)
	}
	if c.verdict == verdict.NotRun {
		c.refuse(http.StatusServiceUnavailable, verdict.NewRejection(e.Code, e.Message, max(leastRetry, e.RetryAfter)))
		return
	}
	status := http.StatusBadGateway
	if c.left() <= 0 {
		status = http.StatusGatewayTimeout
	}
	c.refuse(status, verdict.New(c.verdict, e.Code, e.Message))
}

// leastRetry is the least time after which a refused caller is asked back.
const leastRetry = 100 * time.Millisecond

// head passes the head of an answer on.
func (c *call) head(reply *direct.Reply) {
	h := c.writer.Header()
	maps.Copy(h, reply.Header)
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the library from guessing one.
		h["Content-Type"] = nil
	}
	if reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	c.trace.status = reply.Status
	c.writer.WriteHeader(reply.Status)
}

// pass copies the body as it arrives. It returns the error of the server's
// side; one of the caller's side ends the call.
func (c *call) pass(body io.Reader) error {
	flusher := http.NewResponseController(c.writer)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			c.sent(n)
			if _, werr := c.writer.Write((*buf)[:n]); werr != nil {
				c.abort("the caller's connection failed")
			}
			if ferr := flusher.Flush(); ferr != nil {
				c.abort("the caller's connection failed")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *call) sent(n int) {
	if c.trace.bytes == 0 {
		c.trace.first = time.Since(c.received)
	}
	c.trace.bytes += int64(n)
}

// abort ends the caller's connection, so that an answer cut short cannot be
// taken for a whole one.
func (c *call) abort(why string) {
	c.trace.aborted = true
	c.trace.message = why
	panic(http.ErrAbortHandler)
}

// logEnd writes the line of the request.
func (c *call) logEnd() {
	fields := log.Fields{
		"request": c.id, "route": c.route.Name, "service": c.service.Name, "kind": c.route.Kind.String(),
		"status": c.trace.status, "verdict": c.verdict.String(), "sends": c.sends, "server": c.trace.server,
		"total_ms": time.Since(c.received).Milliseconds(), "first_ms": c.trace.first.Milliseconds(), "bytes": c.trace.bytes,
	}
	if c.view != nil {
		fields["config_revision"], fields["config_told"] = c.view.TableRevision, c.view.TableTold
		fields["config_age_ms"] = c.received.Sub(c.view.TableAt).Milliseconds()
		fields["servers_age_ms"] = c.received.Sub(c.view.ServersAt).Milliseconds()
	}
	if c.route.Model {
		p := c.trace.plan
		fields["reader"], fields["kept"], fields["tokens"] = p.PrefillEngine, p.CachedTokens, c.request.Prompt.Tokens
		fields["expected_ms"], fields["wait_ms"], fields["read_ms"] = p.ExpectedTTFT().Milliseconds(), p.QueueDelay.Milliseconds(), p.PrefillTime.Milliseconds()
		fields["lag_ms"] = p.PrefillLag.Milliseconds()
		fields["length"], fields["answer_cost_ms"] = c.request.Prompt.ExpectedOutputTokens, p.AnswerCost.Milliseconds()
		fields["prefill_ms"], fields["learned"] = c.trace.prefill.Milliseconds(), p.Calibrated
		fields["patience_ms"], fields["events"] = c.deadline.Sub(c.received).Milliseconds(), c.trace.events
		if c.trace.bySize {
			fields["admitted_by_size"] = true
		}
		if c.request.LastEventID != "" {
			fields["resumed_after"] = c.request.LastEventID
		}
	}
	if c.trace.broke {
		fields["fingerprint"], fields["caller"] = c.fingerprint().String(), c.request.Caller
	}
	if len(c.limitedBy) > 0 {
		names := slices.Sorted(maps.Keys(c.limitedBy))
		fields["limited"] = strings.Join(names[:min(mostLogged, len(names))], " ")
	}
	if c.trace.code != "" {
		fields["code"] = string(c.trace.code)
	}
	if c.trace.message != "" {
		fields["error"] = c.trace.message
	}
	if c.trace.aborted {
		fields["aborted"] = true
	}
	log.WithFields(fields).Info("request")
	c.gateway.observe(c)
}
