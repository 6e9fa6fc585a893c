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

// work is one request of a caller.
type work struct {
	id         uuid.UUID
	generate   bool
	idempotent bool
	key        string
	budget     time.Duration
}

// tokenWidth is the width of one output token in bytes.
const tokenWidth = 12

// answer returns the only right answer: that of the key, or of the request.
func (w work) answer() string {
	if w.key != "" {
		return "answer to " + w.key
	}
	return answerOf(w.id, w.generate)
}

func answerOf(id uuid.UUID, generate bool) string {
	if !generate {
		return "answer to " + id.String()
	}
	var text strings.Builder
	for place := range answerTokens {
		fmt.Fprintf(&text, "%8.8s-%02d ", id.String()[24:], place)
	}
	return text.String()
}

// answerTo is what the backend server answers to a Start.
func answerTo(s *wire.Start) string {
	if s.GetIdempotencyKey() != "" {
		return "answer to " + s.GetIdempotencyKey()
	}
	id, _ := uuid.FromBytes(s.GetRequestId())
	return answerOf(id, s.GetGenerate() != nil)
}

// start returns the Start frame of an attempt.
func (w work) start(e call.SendStart) *wire.Start {
	s := &wire.Start{
		RequestId:      w.id[:],
		Attempt:        e.Attempt,
		BudgetUs:       e.Budget.Microseconds(),
		Class:          wire.Class_CLASS_NORMAL,
		Caller:         "caller",
		Service:        serviceHolds,
		Idempotent:     w.idempotent,
		IdempotencyKey: w.key,
		BodyDigest:     1,
	}
	if !w.generate {
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

// ran is told each run, as it begins at the backend server.
func (w *world) ran(s *wire.Start, now, deadline time.Time) {
	id, _ := uuid.FromBytes(s.GetRequestId())
	w.Runs++
	w.note("run %s attempt %d key %q", id, s.GetAttempt(), s.GetIdempotencyKey())
	w.promise(now.Before(deadline), "nothing starts past its deadline", "%s", id)
	w.promise(!w.notRun[id], "not run is true", "%s runs after its caller was told not_run", id)
	w.runs[id]++
	if s.GetGenerate() != nil || s.GetIdempotent() {
		return
	}
	w.promise(w.runs[id] == 1, "a request runs at most once", "%s runs %d times", id, w.runs[id])
	if key := s.GetIdempotencyKey(); key != "" {
		w.keyRuns[key]++
		w.promise(w.keyRuns[key] == 1, "a key runs at most once", "%s runs %d times", key, w.keyRuns[key])
	}
}

// told is what a caller was told of a request.
func (w *world) told(wk work, r *result) {
	if r == nil {
		w.Verdicts["entry gone"]++
		return
	}
	w.Verdicts[r.verdict.String()]++
	w.Outcomes[lo.Ternary(r.whole, "whole", string(r.code))]++
	w.note("caller of %s is told %s %s", wk.id, r.verdict, r.code)
	if r.verdict.String() == "not_run" {
		w.promise(w.runs[wk.id] == 0, "not run is true", "%s ran %d times (%s)", wk.id, w.runs[wk.id], r.code)
		w.notRun[wk.id] = true
	}
	if r.whole && wk.key != "" {
		w.promise(w.keyRuns[wk.key] == 1, "an answer is one that ran", "%s", wk.key)
	}
}

func contains(names []string, name string) bool { return slices.Contains(names, name) }

// The maps of a run are walked in a fixed order: one seed gives one run.

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
	return sortedBy(lo.Values(m), func(s *stream) uint64 { return s.number })
}

func sortedCalls(m map[uuid.UUID]*callRun) []*callRun {
	return sortedBy(lo.Values(m), func(r *callRun) uint64 { return r.order })
}

func sortedConns(m map[*conn]struct{}) []*conn {
	return sortedBy(lo.Keys(m), func(c *conn) string { return c.sidecarID + c.toSidecar.String() })
}

func sortedBy[T any, K cmp.Ordered](values []T, key func(T) K) []T {
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return values
}
