package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/closeframed"
	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// trace collects data for the log line and the metrics of a request.
type trace struct {
	status  int
	code    verdict.Code
	message string
	server  string
	// versions are the software versions of the engines whose events were forwarded, in
	// order.
	versions []string
	// versionSource is how the version of a stream that is taken up became known.
	versionSource versionSource
	firstByte     time.Duration
	// plan is the last plan for the prompt, prefill how long its prefill took.
	plan    place.Plan
	prefill time.Duration
	// bySize is set if the prompt was admitted because too few prompts of its
	// length had been.
	bySize bool
	// standing is that of the client account if it was above its share.
	standing fairshare.Standing
	// memory is why the last plan was rejected for want of engine memory.
	memory place.MemoryShortage
	// plannedAfter is the time from the receipt of the request to the last plan.
	plannedAfter time.Duration
	// events counts the stream events that were forwarded.
	events int
	bytes  int64
	// ending is why the request ended without a whole answer, if it did.
	ending ending
	// panicked is set if handling the request panicked, also if it was answered.
	panicked bool
	// readAhead is the most memory that was reserved because the caller read slowly.
	readAhead int64
	// shutdownLeft is how long the process had left when the shutdown rejected the request, and
	// expectedDuration how long requests of its route take, 0 if unknown.
	shutdownLeft, expectedDuration time.Duration
	// unframed is set if a response of a server had neither a length nor chunks.
	unframed bool
	// silent are the servers that sent no data for silenceTimeout.
	silent []string
	// unanswered are the servers at which an attempt ended before they had answered.
	unanswered []string
	// unfinished are the attempts that ended while their servers may have been running the
	// request, as server:end.
	unfinished []string
}

// respondError sends an error response made by the gateway itself.
func (c *call) respondError(status int, e *verdict.Error) {
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
	if _, err := c.writer.Write(body); err != nil && c.trace.ending == "" {
		c.trace.ending = callerUnreachable
	}
}

type errorBody struct {
	Verdict   string `json:"verdict"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
}

// fail responds to a request for which there is no server response. The status
// depends on whether the request may have run: 503 promises that it has not, 502
// and 504 promise nothing.
func (c *call) fail(e *verdict.Error) {
	// An interrupted read of the body looks like a caller that has left.
	if c.callerCtx.Err() != nil && !c.endedByShutdown() {
		// The caller may have closed its sending side only, and wait for an answer.
		c.trace.ending = callerLeft
		c.writer.Header().Set("Connection", "close")
		e = verdict.NewRejection(verdict.CodeCancelled, "caller disconnected", minRetryAfter)
	}
	if c.endedByShutdown() {
		e = verdict.NewRejection(verdict.CodeDraining, "ended by the shutdown of the gateway: "+e.Message, minRetryAfter)
	}
	if c.verdict == verdict.NotRun {
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(e.Code, e.Message, max(minRetryAfter, e.RetryAfter)))
		return
	}
	status := http.StatusBadGateway
	if c.remaining() <= 0 {
		status = http.StatusGatewayTimeout
	}
	c.respondError(status, verdict.New(c.verdict, e.Code, e.Message))
}

// minRetryAfter is the lower limit of Retry-After.
const minRetryAfter = 100 * time.Millisecond

// unframedHeader tells callers that the end of the backend server's connection was the only end
// of the answer: a server that crashed in the middle of it may have ended it the same way.
const unframedHeader = "Pistachioroad-Unframed"

// writeHead forwards the head of a response.
func (c *call) writeHead(reply *direct.Reply) {
	h := c.writer.Header()
	maps.Copy(h, reply.Header)
	h.Del(unframedHeader)
	if reply.Unframed {
		h.Set(unframedHeader, "1")
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	if reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	c.trace.status = reply.Status
	c.gateway.calls.Update(func() { c.listed.HeadSent = true })
	c.writer.WriteHeader(reply.Status)
}

// copyBody forwards the body as it arrives, and reads it ahead while the caller is slow. It
// returns an error of reading from the server; an error of writing to the caller aborts the
// call.
func (c *call) copyBody(body io.Reader) error {
	reserved, err := c.gateway.answers.Copy(&callerSink{call: c, control: http.NewResponseController(c.writer)}, body)
	c.trace.readAhead = max(c.trace.readAhead, reserved)
	switch {
	case errors.Is(err, readahead.ErrTooSlow):
		// A reset also frees what the kernel holds for the caller.
		closeframed.Reset(c.callerCtx)
		c.abort(callerSlow, err.Error())
	case errors.Is(err, readahead.ErrWrite):
		c.abort(callerUnreachable, err.Error())
	}
	c.answered = err == nil
	return err
}

// callerSink is the caller's connection as the destination of an answer.
type callerSink struct {
	call    *call
	control *http.ResponseController
}

// Write implements readahead.Destination.
func (s *callerSink) Write(p []byte) (int, error) {
	s.call.countSent(len(p))
	n, err := s.call.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, s.control.Flush()
}

// Interrupt implements readahead.Destination.
func (s *callerSink) Interrupt() {
	if err := s.control.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		log.WithField("request", s.call.id).WithField("error", err.Error()).Warn("interrupt of a write to a caller failed")
	}
}

// StopReading implements readahead.Destination.
func (s *callerSink) StopReading() { s.call.cancel() }

// countSent counts forwarded bytes and records when the first were forwarded.
func (c *call) countSent(n int) {
	if c.trace.bytes == 0 {
		c.trace.firstByte = time.Since(c.received)
	}
	c.trace.bytes += int64(n)
}

// abort closes the caller's connection, so that a truncated response is not taken
// for a complete one.
func (c *call) abort(e ending, why string) {
	c.trace.ending, c.trace.message = e, why
	panic(http.ErrAbortHandler)
}

// segmentNames returns the IDs of up to maxLogged segments in hexadecimal.
func segmentNames(segments []request.Segment) string {
	return strings.Join(lo.Map(segments[:min(maxLogged, len(segments))], func(s request.Segment, _ int) string {
		return strconv.FormatUint(s.ID, 16)
	}), " ")
}

// logRequest logs the request and records its metrics.
func (c *call) logRequest() {
	fields := log.Fields{
		"request": c.id, "route": c.route.Name, "service": c.service.Name, "kind": c.route.Kind.String(),
		"status": c.trace.status, "verdict": c.verdict.String(), "sends": c.attempts, "server": c.trace.server,
		"total_ms": time.Since(c.received).Milliseconds(), "first_ms": c.trace.firstByte.Milliseconds(), "bytes": c.trace.bytes,
	}
	if c.auth != "" && c.auth != authNone {
		fields["auth"], fields["account"] = string(c.auth), c.request.Account
	}
	if c.view != nil {
		fields["config_revision"], fields["config_told"] = c.view.TableRevision, c.view.Announced.Revision
		if c.view.StoreEra > 0 {
			fields["config_era"], fields["store_era"] = int64(c.view.TableEra), int64(c.view.StoreEra)
		}
		fields["config_age_ms"] = c.received.Sub(c.view.TableConfirmedAt).Milliseconds()
		fields["servers_age_ms"] = c.received.Sub(c.view.ServersConfirmedAt).Milliseconds()
	}
	if c.route.Model {
		p := c.trace.plan
		fields["reader"], fields["kept"], fields["tokens"] = p.PrefillEngine, p.CachedTokens, c.request.Prompt.Tokens
		fields["expected_ms"], fields["wait_ms"], fields["read_ms"] = p.ExpectedTTFT().Milliseconds(), p.QueueDelay.Milliseconds(), p.PrefillTime.Milliseconds()
		fields["lag_ms"] = p.PrefillLag.Milliseconds()
		fields["length"], fields["answer_cost_ms"] = c.request.Prompt.ExpectedOutputTokens, p.AnswerCost.Milliseconds()
		fields["prefill_ms"], fields["learned"] = c.trace.prefill.Milliseconds(), p.Calibrated
		fields["patience_ms"], fields["events"] = c.deadline.Sub(c.received).Milliseconds(), c.events()
		if p.Crossings > 0 {
			fields["crossings"], fields["distance_cost_ms"] = p.Crossings, p.DistanceCost.Milliseconds()
		}
		if c.trace.bySize {
			fields["admitted_by_size"] = true
		}
		if c.trace.code == verdict.CodeAccountLimit {
			fields["account_rate"], fields["account_share"] = int(c.trace.standing.Rate), int(c.trace.standing.Share)
		}
		if c.trace.memory != place.NoShortage {
			fields["memory"] = c.trace.memory.String()
		}
		c.logStreamVersion(fields)
		if len(c.trace.versions) > 0 {
			fields["versions"] = strings.Join(c.trace.versions, " ")
		}
	}
	if c.prefillAttempts > 0 {
		fields["prefills"] = c.prefillAttempts
	}
	if c.spentRetries > 0 {
		fields["retries"] = c.spentRetries
	}
	if c.retryBudgetSpent {
		fields["retry_refused"] = true
	}
	if len(c.trace.unfinished) > 0 {
		fields["fingerprint"], fields["caller"] = c.fingerprint().String(), c.request.Caller
		fields["unfinished"] = strings.Join(c.trace.unfinished, " ")
		if shared := c.request.Prompt.Shared(); len(shared) > 0 {
			fields["segments"] = segmentNames(shared)
		}
	}
	if c.trace.readAhead > 0 {
		fields["read_ahead_bytes"] = c.trace.readAhead
	}
	if c.trace.unframed {
		fields["unframed"] = true
	}
	if len(c.trace.silent) > 0 {
		fields["silent"] = strings.Join(c.trace.silent, " ")
	}
	if len(c.trace.unanswered) > 0 {
		fields["unanswered"] = strings.Join(c.trace.unanswered, " ")
	}
	if c.trace.shutdownLeft != 0 {
		fields["shutdown_left_ms"], fields["duration_ms"] = c.trace.shutdownLeft.Milliseconds(), c.trace.expectedDuration.Milliseconds()
	}
	c.logSkipped(fields)
	if c.trace.code != "" {
		fields["code"] = string(c.trace.code)
	}
	if c.trace.message != "" {
		fields["error"] = c.trace.message
	}
	if c.trace.panicked {
		fields["ending"] = string(panicked)
	}
	if c.trace.ending != "" {
		fields["aborted"], fields["ending"] = true, string(c.trace.ending)
	}
	log.WithFields(fields).Info("request")
	c.gateway.recordMetrics(c)
}
