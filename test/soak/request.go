package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// callerRequest is one request of a caller.
type callerRequest struct {
	id         uuid.UUID
	generate   bool
	idempotent bool
	key        string
	budget     time.Duration
}

// tokenBytes is the length of an output token in bytes.
const tokenBytes = 12

// expectedAnswer returns the only correct answer: that of the key, or else of the
// request.
func (req callerRequest) expectedAnswer() string {
	if req.key != "" {
		return "answer to " + req.key
	}
	return expectedAnswerOf(req.id, req.generate)
}

func expectedAnswerOf(id uuid.UUID, generate bool) string {
	if !generate {
		return "answer to " + id.String()
	}
	var text strings.Builder
	for n := range answerTokens {
		fmt.Fprintf(&text, "%8.8s-%02d ", id.String()[24:], n)
	}
	return text.String()
}

// backendAnswer returns the backend server's answer to a Start.
func backendAnswer(s *wire.Start) string {
	if s.GetIdempotencyKey() != "" {
		return "answer to " + s.GetIdempotencyKey()
	}
	id, _ := uuid.FromBytes(s.GetRequestId())
	return expectedAnswerOf(id, s.GetGenerate() != nil)
}

// startFrame returns the Start frame of an attempt.
func (req callerRequest) startFrame(e call.SendStart) *wire.Start {
	s := &wire.Start{
		RequestId:      req.id[:],
		Attempt:        e.Attempt,
		BudgetUs:       e.Budget.Microseconds(),
		Class:          wire.Class_CLASS_NORMAL,
		Caller:         "caller",
		Service:        serviceHolds,
		Idempotent:     req.idempotent,
		IdempotencyKey: req.key,
		BodyDigest:     1,
	}
	if !req.generate {
		s.Work = &wire.Start_Call{Call: &wire.Call{Method: "POST", Path: "/holds"}}
		return s
	}
	s.Service = sharedstate.ServiceModels
	s.Work = &wire.Start_Generate{Generate: &wire.Generate{
		Model:        "draft",
		Prompt:       "prompt",
		PromptTokens: 1,
		MaxTokens:    answerTokens,
		ResumeFrom:   e.ResumeFrom,
		ResumeText:   e.ResumeText,
	}}
	return s
}

// recordRun records and checks the start of a run at the backend server.
func (sim *simulation) recordRun(s *wire.Start, now, deadline time.Time) {
	id, _ := uuid.FromBytes(s.GetRequestId())
	sim.Runs++
	sim.addTrace("run %s attempt %d key %q", id, s.GetAttempt(), s.GetIdempotencyKey())
	sim.checkInvariant(now.Before(deadline), "nothing starts past its deadline", "%s", id)
	sim.checkInvariant(!sim.reportedNotRun[id], "not run is true", "%s runs after its caller received not_run", id)
	sim.runsByRequest[id]++
	if s.GetGenerate() != nil || s.GetIdempotent() {
		return
	}
	sim.checkInvariant(sim.runsByRequest[id] == 1, "a request runs at most once", "%s runs %d times", id, sim.runsByRequest[id])
	if key := s.GetIdempotencyKey(); key != "" {
		sim.runsByKey[key]++
		sim.checkInvariant(sim.runsByKey[key] == 1, "a key runs at most once", "%s runs %d times", key, sim.runsByKey[key])
	}
}

// recordOutcome records and checks the response to a caller.
func (sim *simulation) recordOutcome(req callerRequest, r *result) {
	if r == nil {
		sim.Verdicts["entry gone"]++
		return
	}
	sim.Verdicts[r.verdict.String()]++
	sim.Outcomes[lo.Ternary(r.complete, "whole", string(r.code))]++
	sim.addTrace("caller of %s receives %s %s", req.id, r.verdict, r.code)
	if r.verdict.String() == "not_run" {
		sim.checkInvariant(sim.runsByRequest[req.id] == 0, "not run is true", "%s ran %d times (%s)", req.id, sim.runsByRequest[req.id], r.code)
		sim.reportedNotRun[req.id] = true
	}
	if r.complete && req.key != "" {
		sim.checkInvariant(sim.runsByKey[req.key] == 1, "an answer is one that ran", "%s", req.key)
	}
}

func contains(names []string, name string) bool { return slices.Contains(names, name) }

// The functions below iterate over maps in a fixed order, so that equal seeds give
// equal runs.

func sortedInts[V any](m map[int]V) []int {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}

func sortedRuns(m map[requests.RunID]func()) []requests.RunID {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}

func sortedStreams(m map[uint64]*stream) []*stream {
	return sortedBy(lo.Values(m), func(s *stream) uint64 { return s.id })
}

func sortedCalls(m map[uuid.UUID]*entryCall) []*entryCall {
	return sortedBy(lo.Values(m), func(r *entryCall) uint64 { return r.sequence })
}

func sortedConns(m map[*conn]struct{}) []*conn {
	return sortedBy(lo.Keys(m), func(c *conn) string { return c.sidecarStartID + c.lastToSidecar.String() })
}

func sortedBy[T any, K cmp.Ordered](values []T, key func(T) K) []T {
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return values
}
