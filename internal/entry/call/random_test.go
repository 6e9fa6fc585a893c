package call_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const answerTokens = 4

// word is one token of the answer to a request.
func word(id uuid.UUID, place int) string { return fmt.Sprintf("%s/%d ", id.String()[30:], place) }

func wholeAnswer(id uuid.UUID) string {
	text := ""
	for place := range answerTokens {
		text += word(id, place)
	}
	return text
}

// sidecar is a small fake with the promises of the real one: it never starts a
// request that it has promised not to run.
type sidecar struct {
	name string
	life int
	// runs counts over all lives; the rest is forgotten by a restart.
	runs int
	// tombstone is the highest attempt that is never started.
	tombstone uint32
	running   map[uint32]call.SendStart
	ran       map[uint32]call.SendStart
	// broken attempts began and came to no end.
	broken map[uint32]call.SendStart
}

func (s *sidecar) incarnation() string { return fmt.Sprintf("%s-life-%d", s.name, s.life) }

func (s *sidecar) restart() {
	s.life++
	s.tombstone = 0
	s.running = map[uint32]call.SendStart{}
	s.ran = map[uint32]call.SendStart{}
	s.broken = map[uint32]call.SendStart{}
}

// startFrame is a Start under way to one life of a sidecar.
type startFrame struct {
	effect call.SendStart
	life   int
}

// world drives one machine against fakes, in an order that rapid draws.
type world struct {
	machine  *call.Machine
	spec     call.Spec
	now      time.Time
	sidecars map[string]*sidecar
	starts   []startFrame
	// events are under way to the machine, in any order.
	events    []call.Event
	resolves  []call.Resolve
	delivered string
	finished  bool
	failed    *verdict.Error
	seen      map[string]int
}

func newWorld(t *rapid.T, seen map[string]int) *world {
	id := requestID
	spec := call.Spec{
		ID:         id,
		Deadline:   begin.Add(20 * time.Second),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Resumable:  rapid.Bool().Draw(t, "resumable"),
		Keyed:      rapid.Bool().Draw(t, "keyed"),
	}
	w := &world{machine: call.New(spec), spec: spec, now: begin, sidecars: map[string]*sidecar{}, seen: seen}
	for _, name := range []string{"a", "b", "c"} {
		s := &sidecar{name: name}
		s.restart()
		w.sidecars[name] = s
	}
	w.step(t, call.Begin{})
	return w
}

func (w *world) step(t *rapid.T, event call.Event) {
	w.seen[fmt.Sprintf("%T", event)]++
	for _, effect := range w.machine.Step(w.now, event) {
		w.seen[fmt.Sprintf("%T", effect)]++
		w.apply(t, effect)
	}
}

func (w *world) apply(t *rapid.T, effect call.Effect) {
	switch e := effect.(type) {
	case call.Route:
		w.events = append(w.events, w.route(t, e))
	case call.SendStart:
		w.send(t, e)
	case call.Resolve:
		w.resolves = append(w.resolves, e)
	case call.Deliver:
		w.delivered += string(e.Data)
	case call.Finish:
		w.finished = true
	case call.Fail:
		w.failed = e.Err
		w.seen["told "+e.Err.Verdict.String()]++
	}
}

func (w *world) route(t *rapid.T, e call.Route) call.Event {
	names := slices.DeleteFunc([]string{"a", "b", "c"}, func(name string) bool {
		return slices.Contains(e.Excluded, name)
	})
	if len(names) == 0 {
		return call.Unroutable{Attempt: e.Attempt, Err: verdict.NewRejection(verdict.CodeNoBackend, "none", 0)}
	}
	if seldom(t, 6) {
		w.seen["route later"]++
		return call.Unroutable{
			Attempt: e.Attempt, Err: verdict.NewRejection(verdict.CodeNoBackend, "changing", 0), RetryIn: time.Second,
		}
	}
	routed := call.Routed{Attempt: e.Attempt, Server: rapid.SampledFrom(names).Draw(t, "server")}
	if w.spec.Resumable && !e.Resume && rapid.Bool().Draw(t, "split") {
		routed.PrefillServer = rapid.SampledFrom(names).Draw(t, "prefill")
	}
	return routed
}

func (w *world) send(t *rapid.T, e call.SendStart) {
	if rapid.IntRange(0, 9).Draw(t, "unreachable") == 0 {
		w.events = append(w.events, call.NotSent{Attempt: e.Attempt})
		return
	}
	s := w.sidecars[e.Server]
	w.starts = append(w.starts, startFrame{effect: e, life: s.life})
	// The driver sends this one before any frame of the attempt can come back.
	w.step(t, call.Sent{Attempt: e.Attempt, Incarnation: s.incarnation()})
}

// arrive lets a Start reach its sidecar.
func (w *world) arrive(t *rapid.T, i int) {
	frame := w.starts[i]
	w.starts = slices.Delete(w.starts, i, i+1)
	s := w.sidecars[frame.effect.Server]
	e := frame.effect
	if frame.life != s.life {
		return
	}
	if e.Attempt <= s.tombstone || rapid.IntRange(0, 4).Draw(t, "refuse") == 0 {
		s.tombstone = max(s.tombstone, e.Attempt)
		w.events = append(w.events, call.Refusal{Attempt: e.Attempt, Frame: &wire.Refusal{
			RequestId: w.spec.ID[:], Attempt: e.Attempt, Code: string(verdict.CodeOverloaded),
		}})
		return
	}
	if w.join(s, e) {
		return
	}
	s.runs++
	s.running[e.Attempt] = e
}

// join lets a newer attempt of a request that runs take its answer over.
func (w *world) join(s *sidecar, e call.SendStart) bool {
	for attempt, running := range s.running {
		if running.PrefillOnly || e.PrefillOnly {
			continue
		}
		delete(s.running, attempt)
		s.running[e.Attempt] = e
		w.seen["taken over"]++
		return true
	}
	return false
}

// end lets a sidecar finish an attempt and send its frames.
func (w *world) end(t *rapid.T, s *sidecar) {
	for attempt, e := range s.running {
		delete(s.running, attempt)
		if rapid.IntRange(0, 5).Draw(t, "crash of the engine") == 0 {
			s.broken[attempt] = e
			w.events = append(w.events, call.Refusal{Attempt: attempt, Frame: &wire.Refusal{
				RequestId: w.spec.ID[:], Attempt: attempt,
				Verdict: wire.Verdict_VERDICT_MAY_HAVE_RUN, Code: string(verdict.CodeAnswerBroken),
			}})
			return
		}
		s.ran[attempt] = e
		chunks, final := w.frames(e)
		for _, c := range chunks {
			w.events = append(w.events, call.Chunk{Attempt: attempt, Frame: c})
		}
		w.events = append(w.events, call.Final{Attempt: attempt, Frame: final})
		return
	}
}

func (w *world) frames(e call.SendStart) ([]*wire.Chunk, *wire.Final) {
	if e.PrefillOnly {
		chunks, final := answer(w.spec.ID, e.Attempt)
		final.Kv = &wire.KVTicket{Id: "kv"}
		return chunks, final
	}
	words := []string{}
	for place := int(e.ResumeFrom); place < answerTokens; place++ {
		words = append(words, word(w.spec.ID, place))
	}
	return answer(w.spec.ID, e.Attempt, words...)
}

// answerResolve is what a sidecar says about a request.
func (w *world) answerResolve(t *rapid.T, e call.Resolve) call.Event {
	s := w.sidecars[e.Server]
	resolution := &wire.Resolution{RequestId: w.spec.ID[:], Incarnation: s.incarnation()}
	switch {
	case hasAttempt(s.running, e.Attempt):
		resolution.Outcome = wire.Outcome_OUTCOME_RUNNING
	case hasAttempt(s.ran, e.Attempt):
		resolution.Outcome = wire.Outcome_OUTCOME_RAN
		if rapid.Bool().Draw(t, "kept") {
			resolution.Chunks, resolution.Final = w.frames(s.ran[e.Attempt])
			resolution.ResumeFrom = s.ran[e.Attempt].ResumeFrom
			w.damage(t, resolution)
		}
	case hasAttempt(s.broken, e.Attempt):
		resolution.Outcome = wire.Outcome_OUTCOME_MAY_HAVE_RUN
	default:
		s.tombstone = max(s.tombstone, e.Attempt)
		resolution.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return call.Resolution{Attempt: e.Attempt, Frame: resolution}
}

// damage makes some kept answers incomplete or another request's.
func (w *world) damage(t *rapid.T, resolution *wire.Resolution) {
	if len(resolution.Chunks) == 0 {
		return
	}
	switch rapid.IntRange(0, 5).Draw(t, "damage") {
	case 0:
		w.seen["kept answer incomplete"]++
		resolution.Chunks = resolution.Chunks[:len(resolution.Chunks)-1]
	case 1:
		w.seen["kept answer of another"]++
		other := uuid.MustParse("01890000-0000-7000-8000-0000000000ff")
		resolution.Chunks, resolution.Final = answer(other, w.machine.Attempt(), "stranger ")
	}
}

func hasAttempt(attempts map[uint32]call.SendStart, attempt uint32) bool {
	_, ok := attempts[attempt]
	return ok
}

// spoil returns a copy of a frame that belongs to another request or attempt.
func (w *world) spoil(t *rapid.T) call.Event {
	id, attempt := w.spec.ID, w.machine.Attempt()
	if rapid.Bool().Draw(t, "other request") {
		id = uuid.MustParse("01890000-0000-7000-8000-0000000000ff")
	} else {
		attempt += 7
	}
	chunks, final := answer(id, attempt, "stranger ")
	if rapid.Bool().Draw(t, "final") {
		return call.Final{Attempt: w.machine.Attempt(), Frame: final}
	}
	chunks[0].Sequence = uint32(rapid.IntRange(0, answerTokens).Draw(t, "sequence"))
	return call.Chunk{Attempt: w.machine.Attempt(), Frame: chunks[0]}
}

// actions are what may happen next. Each that has nothing to do is skipped.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": w.check,
		"start arrives": func(t *rapid.T) {
			if len(w.starts) > 0 {
				w.arrive(t, rapid.IntRange(0, len(w.starts)-1).Draw(t, "start"))
			}
		},
		"attempt ends": func(t *rapid.T) {
			w.end(t, w.sidecars[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "sidecar")])
		},
		"event in order":     func(t *rapid.T) { w.deliver(t, 0, 0) },
		"event in order too": func(t *rapid.T) { w.deliver(t, 0, 0) },
		"all in order": func(t *rapid.T) {
			for len(w.events) > 0 {
				w.deliver(t, 0, 0)
			}
		},
		"event overtakes": func(t *rapid.T) { w.deliver(t, len(w.events)-1, 0) },
		"event repeated":  func(t *rapid.T) { w.deliver(t, 0, 1) },
		"event lost": func(t *rapid.T) {
			// Only frames get lost; what the driver itself answers does not.
			if len(w.events) > 0 && isFrame(w.events[0]) && seldom(t, 2) {
				w.seen["lost"]++
				w.events = w.events[1:]
			}
		},
		"foreign frame": func(t *rapid.T) { w.step(t, w.spoil(t)) },
		"link lost": func(t *rapid.T) {
			if seldom(t, 3) {
				w.step(t, call.StreamLost{Attempt: w.machine.Attempt()})
			}
		},
		"link silent": func(t *rapid.T) {
			if seldom(t, 3) {
				w.step(t, call.LinkSilent{Attempt: w.machine.Attempt()})
			}
		},
		"resolve": func(t *rapid.T) {
			if len(w.resolves) > 0 {
				e := w.resolves[0]
				w.resolves = w.resolves[1:]
				w.step(t, w.answerResolve(t, e))
			}
		},
		"resolve fails": func(t *rapid.T) {
			if len(w.resolves) > 0 {
				e := w.resolves[0]
				w.resolves = w.resolves[1:]
				w.step(t, call.ResolveFailed{Attempt: e.Attempt})
			}
		},
		"restart": func(t *rapid.T) {
			if seldom(t, 3) {
				w.seen["restart"]++
				w.sidecars[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "sidecar")].restart()
			}
		},
		"time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			w.step(t, call.Timer{})
		},
		"caller gone": func(t *rapid.T) {
			if seldom(t, 30) {
				w.step(t, call.CallerDisconnected{})
			}
		},
	}
}

// seldom draws true once in n+1 times.
func seldom(t *rapid.T, n int) bool { return rapid.IntRange(0, n).Draw(t, "seldom") == 0 }

func (w *world) deliver(t *rapid.T, i, copies int) {
	if len(w.events) == 0 {
		return
	}
	event := w.events[i]
	if copies == 0 {
		w.events = slices.Delete(w.events, i, i+1)
	}
	w.step(t, event)
}

func isFrame(event call.Event) bool {
	switch event.(type) {
	case call.Chunk, call.Final, call.Refusal:
		return true
	default:
		return false
	}
}

// check holds after each action.
func (w *world) check(t *rapid.T) {
	whole := wholeAnswer(w.spec.ID)
	if !strings.HasPrefix(whole, w.delivered) {
		t.Fatalf("delivered %q, which does not begin %q", w.delivered, whole)
	}
	if w.finished && w.delivered != whole {
		t.Fatalf("finished with %q in place of %q", w.delivered, whole)
	}
	if !w.spec.Idempotent && !w.spec.Resumable && w.runs() > 1 {
		t.Fatalf("a request that may not be repeated ran %d times", w.runs())
	}
	if w.failed != nil && w.failed.Verdict == verdict.NotRun && w.runs() > 0 {
		t.Fatalf("told not_run (%s), but it ran", w.failed.Message)
	}
}

func (w *world) runs() int {
	total := 0
	for _, s := range w.sidecars {
		total += s.runs
	}
	return total
}

// drain lets all that is still under way arrive: a request that was told to
// its caller as not run must not run afterwards.
func (w *world) drain(t *rapid.T) {
	for len(w.starts) > 0 {
		w.arrive(t, 0)
	}
	w.check(t)
}

var _ = Describe("Machine under faults", func() {
	// Frames are lost, repeated, overtaken and mixed up, links break or go
	// silent, sidecars restart and forget. Whatever the order, a caller gets
	// the own whole answer or an error, "not run" is the truth, and a hold is
	// placed at most once.
	It("keeps its promises in any order of events", func() {
		seen := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t, seen)
			t.Repeat(w.actions())
			w.drain(t)
		})
		AddReportEntry("what the runs went through", fmt.Sprint(seen))
		Expect(slices.Collect(maps.Keys(seen))).To(ContainElements(
			"call.Finish", "call.Fail", "call.Resolve", "call.Cancel", "lost", "restart",
			"call.LinkLost", "call.LinkSilent", "call.Resolution", "call.ResolveFailed", "call.CallerGone",
			"told not_run", "told may_have_run", "told ran",
			"route later", "taken over", "kept answer incomplete", "kept answer of another",
		))
	})
})
