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

// tokenText returns the text of one token of the answer to a request.
func tokenText(id uuid.UUID, index int) string { return fmt.Sprintf("%s/%d ", id.String()[30:], index) }

func fullAnswer(id uuid.UUID) string {
	text := ""
	for index := range answerTokens {
		text += tokenText(id, index)
	}
	return text
}

// sidecar is a small fake with the guarantees of the real one: it never starts
// an attempt that it has reported as not run.
type sidecar struct {
	name              string
	incarnationNumber int
	// runs counts over all incarnations; a restart clears all other state.
	runs int
	// tombstone is the highest attempt number that must not be started.
	tombstone uint32
	running   map[uint32]call.SendStart
	ran       map[uint32]call.SendStart
	// broken attempts started and did not finish.
	broken map[uint32]call.SendStart
}

func (s *sidecar) incarnation() string { return fmt.Sprintf("%s-life-%d", s.name, s.incarnationNumber) }

func (s *sidecar) restart() {
	s.incarnationNumber++
	s.tombstone = 0
	s.running = map[uint32]call.SendStart{}
	s.ran = map[uint32]call.SendStart{}
	s.broken = map[uint32]call.SendStart{}
}

// startFrame is a Start frame in transit to one incarnation of a sidecar.
type startFrame struct {
	effect            call.SendStart
	incarnationNumber int
}

// simulation drives one machine against fake sidecars, in an order drawn by rapid.
type simulation struct {
	machine  *call.Machine
	spec     call.Spec
	now      time.Time
	sidecars map[string]*sidecar
	starts   []startFrame
	// events are in transit to the machine and may arrive in any order.
	events    []call.Event
	resolves  []call.Resolve
	delivered string
	finished  bool
	failed    *verdict.Error
	coverage  map[string]int
}

func newSimulation(t *rapid.T, coverage map[string]int) *simulation {
	id := requestID
	spec := call.Spec{
		ID:         id,
		Deadline:   startTime.Add(20 * time.Second),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Resumable:  rapid.Bool().Draw(t, "resumable"),
		Keyed:      rapid.Bool().Draw(t, "keyed"),
	}
	sim := &simulation{machine: call.New(spec), spec: spec, now: startTime, sidecars: map[string]*sidecar{}, coverage: coverage}
	for _, name := range []string{"a", "b", "c"} {
		s := &sidecar{name: name}
		s.restart()
		sim.sidecars[name] = s
	}
	sim.step(t, call.Begin{})
	return sim
}

func (sim *simulation) step(t *rapid.T, event call.Event) {
	sim.coverage[fmt.Sprintf("%T", event)]++
	for _, effect := range sim.machine.Step(sim.now, event) {
		sim.coverage[fmt.Sprintf("%T", effect)]++
		sim.apply(t, effect)
	}
}

func (sim *simulation) apply(t *rapid.T, effect call.Effect) {
	switch e := effect.(type) {
	case call.Route:
		sim.events = append(sim.events, sim.route(t, e))
	case call.SendStart:
		sim.send(t, e)
	case call.Resolve:
		sim.resolves = append(sim.resolves, e)
	case call.Deliver:
		sim.delivered += string(e.Data)
	case call.Finish:
		sim.finished = true
	case call.Fail:
		sim.failed = e.Err
		sim.coverage["told "+e.Err.Verdict.String()]++
	}
}

func (sim *simulation) route(t *rapid.T, e call.Route) call.Event {
	names := slices.DeleteFunc([]string{"a", "b", "c"}, func(name string) bool {
		return slices.Contains(e.Excluded, name)
	})
	if len(names) == 0 {
		return call.Unroutable{Attempt: e.Attempt, Err: verdict.NewRejection(verdict.CodeNoBackend, "none", 0)}
	}
	if rarely(t, 6) {
		sim.coverage["route later"]++
		return call.Unroutable{
			Attempt: e.Attempt, Err: verdict.NewRejection(verdict.CodeNoBackend, "changing", 0), RetryIn: time.Second,
		}
	}
	routed := call.Routed{Attempt: e.Attempt, Server: rapid.SampledFrom(names).Draw(t, "server")}
	if sim.spec.Resumable && !e.Resume && rapid.Bool().Draw(t, "split") {
		routed.PrefillServer = rapid.SampledFrom(names).Draw(t, "prefill")
	}
	return routed
}

func (sim *simulation) send(t *rapid.T, e call.SendStart) {
	if rapid.IntRange(0, 9).Draw(t, "unreachable") == 0 {
		sim.events = append(sim.events, call.NotSent{Attempt: e.Attempt})
		return
	}
	s := sim.sidecars[e.Server]
	sim.starts = append(sim.starts, startFrame{effect: e, incarnationNumber: s.incarnationNumber})
	// The real driver reports Sent before it receives a frame of the attempt.
	sim.step(t, call.Sent{Attempt: e.Attempt, Incarnation: s.incarnation()})
}

// deliverStart delivers a Start frame to its sidecar.
func (sim *simulation) deliverStart(t *rapid.T, i int) {
	frame := sim.starts[i]
	sim.starts = slices.Delete(sim.starts, i, i+1)
	s := sim.sidecars[frame.effect.Server]
	e := frame.effect
	if frame.incarnationNumber != s.incarnationNumber {
		return
	}
	if e.Attempt <= s.tombstone || rapid.IntRange(0, 4).Draw(t, "refuse") == 0 {
		s.tombstone = max(s.tombstone, e.Attempt)
		sim.events = append(sim.events, call.Refusal{Attempt: e.Attempt, Frame: &wire.Refusal{
			RequestId: sim.spec.ID[:], Attempt: e.Attempt, Code: string(verdict.CodeOverloaded),
		}})
		return
	}
	if sim.reattach(s, e) {
		return
	}
	s.runs++
	s.running[e.Attempt] = e
}

// reattach attaches a newer attempt to the running answer of the request.
func (sim *simulation) reattach(s *sidecar, e call.SendStart) bool {
	for attempt, running := range s.running {
		if running.PrefillOnly || e.PrefillOnly {
			continue
		}
		delete(s.running, attempt)
		s.running[e.Attempt] = e
		sim.coverage["taken over"]++
		return true
	}
	return false
}

// finishAttempt makes a sidecar finish one attempt and send its frames.
func (sim *simulation) finishAttempt(t *rapid.T, s *sidecar) {
	for attempt, e := range s.running {
		delete(s.running, attempt)
		if rapid.IntRange(0, 5).Draw(t, "crash of the engine") == 0 {
			s.broken[attempt] = e
			sim.events = append(sim.events, call.Refusal{Attempt: attempt, Frame: &wire.Refusal{
				RequestId: sim.spec.ID[:], Attempt: attempt,
				Verdict: wire.Verdict_VERDICT_MAY_HAVE_RUN, Code: string(verdict.CodeAnswerBroken),
			}})
			return
		}
		s.ran[attempt] = e
		chunks, final := sim.frames(e)
		for _, c := range chunks {
			sim.events = append(sim.events, call.Chunk{Attempt: attempt, Frame: c})
		}
		sim.events = append(sim.events, call.Final{Attempt: attempt, Frame: final})
		return
	}
}

func (sim *simulation) frames(e call.SendStart) ([]*wire.Chunk, *wire.Final) {
	if e.PrefillOnly {
		chunks, final := answer(sim.spec.ID, e.Attempt)
		final.Kv = &wire.KVTicket{Id: "kv"}
		return chunks, final
	}
	words := []string{}
	for index := int(e.ResumeFrom); index < answerTokens; index++ {
		words = append(words, tokenText(sim.spec.ID, index))
	}
	return answer(sim.spec.ID, e.Attempt, words...)
}

// answerResolve returns a sidecar's response to a Resolve.
func (sim *simulation) answerResolve(t *rapid.T, e call.Resolve) call.Event {
	s := sim.sidecars[e.Server]
	resolution := &wire.Resolution{RequestId: sim.spec.ID[:], Incarnation: s.incarnation()}
	switch {
	case hasAttempt(s.running, e.Attempt):
		resolution.Outcome = wire.Outcome_OUTCOME_RUNNING
	case hasAttempt(s.ran, e.Attempt):
		resolution.Outcome = wire.Outcome_OUTCOME_RAN
		if rapid.Bool().Draw(t, "kept") {
			resolution.Chunks, resolution.Final = sim.frames(s.ran[e.Attempt])
			resolution.ResumeFrom = s.ran[e.Attempt].ResumeFrom
			sim.corruptAnswer(t, resolution)
		}
	case hasAttempt(s.broken, e.Attempt):
		resolution.Outcome = wire.Outcome_OUTCOME_MAY_HAVE_RUN
	default:
		s.tombstone = max(s.tombstone, e.Attempt)
		resolution.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return call.Resolution{Attempt: e.Attempt, Frame: resolution}
}

// corruptAnswer makes some stored answers incomplete, or replaces them by the
// answer to another request.
func (sim *simulation) corruptAnswer(t *rapid.T, resolution *wire.Resolution) {
	if len(resolution.Chunks) == 0 {
		return
	}
	switch rapid.IntRange(0, 5).Draw(t, "damage") {
	case 0:
		sim.coverage["kept answer incomplete"]++
		resolution.Chunks = resolution.Chunks[:len(resolution.Chunks)-1]
	case 1:
		sim.coverage["kept answer of another"]++
		other := uuid.MustParse("01890000-0000-7000-8000-0000000000ff")
		resolution.Chunks, resolution.Final = answer(other, sim.machine.Attempt(), "stranger ")
	}
}

func hasAttempt(attempts map[uint32]call.SendStart, attempt uint32) bool {
	_, ok := attempts[attempt]
	return ok
}

// foreignFrame returns a frame that belongs to another request or attempt.
func (sim *simulation) foreignFrame(t *rapid.T) call.Event {
	id, attempt := sim.spec.ID, sim.machine.Attempt()
	if rapid.Bool().Draw(t, "other request") {
		id = uuid.MustParse("01890000-0000-7000-8000-0000000000ff")
	} else {
		attempt += 7
	}
	chunks, final := answer(id, attempt, "stranger ")
	if rapid.Bool().Draw(t, "final") {
		return call.Final{Attempt: sim.machine.Attempt(), Frame: final}
	}
	chunks[0].Sequence = uint32(rapid.IntRange(0, answerTokens).Draw(t, "sequence"))
	return call.Chunk{Attempt: sim.machine.Attempt(), Frame: chunks[0]}
}

// actions returns the actions that rapid chooses from. An action that does not
// apply has no effect.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": sim.check,
		"start arrives": func(t *rapid.T) {
			if len(sim.starts) > 0 {
				sim.deliverStart(t, rapid.IntRange(0, len(sim.starts)-1).Draw(t, "start"))
			}
		},
		"attempt ends": func(t *rapid.T) {
			sim.finishAttempt(t, sim.sidecars[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "sidecar")])
		},
		"event in order":     func(t *rapid.T) { sim.deliverEvent(t, 0, 0) },
		"event in order too": func(t *rapid.T) { sim.deliverEvent(t, 0, 0) },
		"all in order": func(t *rapid.T) {
			for len(sim.events) > 0 {
				sim.deliverEvent(t, 0, 0)
			}
		},
		"event overtakes": func(t *rapid.T) { sim.deliverEvent(t, len(sim.events)-1, 0) },
		"event repeated":  func(t *rapid.T) { sim.deliverEvent(t, 0, 1) },
		"event lost": func(t *rapid.T) {
			// Only frames can be lost, not the events of the driver itself.
			if len(sim.events) > 0 && isFrame(sim.events[0]) && rarely(t, 2) {
				sim.coverage["lost"]++
				sim.events = sim.events[1:]
			}
		},
		"foreign frame": func(t *rapid.T) { sim.step(t, sim.foreignFrame(t)) },
		"link lost": func(t *rapid.T) {
			if rarely(t, 3) {
				sim.step(t, call.StreamLost{Attempt: sim.machine.Attempt()})
			}
		},
		"link silent": func(t *rapid.T) {
			if rarely(t, 3) {
				sim.step(t, call.LinkSilent{Attempt: sim.machine.Attempt()})
			}
		},
		"resolve": func(t *rapid.T) {
			if len(sim.resolves) > 0 {
				e := sim.resolves[0]
				sim.resolves = sim.resolves[1:]
				sim.step(t, sim.answerResolve(t, e))
			}
		},
		"resolve fails": func(t *rapid.T) {
			if len(sim.resolves) > 0 {
				e := sim.resolves[0]
				sim.resolves = sim.resolves[1:]
				sim.step(t, call.ResolveFailed{Attempt: e.Attempt})
			}
		},
		"restart": func(t *rapid.T) {
			if rarely(t, 3) {
				sim.coverage["restart"]++
				sim.sidecars[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "sidecar")].restart()
			}
		},
		"time": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			sim.step(t, call.Timer{})
		},
		"caller gone": func(t *rapid.T) {
			if rarely(t, 30) {
				sim.step(t, call.CallerDisconnected{})
			}
		},
		"shut down": func(t *rapid.T) {
			if rarely(t, 30) {
				sim.step(t, call.ShutDown{})
			}
		},
	}
}

// rarely draws true with a probability of 1/(n+1).
func rarely(t *rapid.T, n int) bool { return rapid.IntRange(0, n).Draw(t, "seldom") == 0 }

func (sim *simulation) deliverEvent(t *rapid.T, i, copies int) {
	if len(sim.events) == 0 {
		return
	}
	event := sim.events[i]
	if copies == 0 {
		sim.events = slices.Delete(sim.events, i, i+1)
	}
	sim.step(t, event)
}

func isFrame(event call.Event) bool {
	switch event.(type) {
	case call.Chunk, call.Final, call.Refusal:
		return true
	default:
		return false
	}
}

// check verifies the invariants after each action.
func (sim *simulation) check(t *rapid.T) {
	full := fullAnswer(sim.spec.ID)
	if !strings.HasPrefix(full, sim.delivered) {
		t.Fatalf("delivered %q, which is not a prefix of %q", sim.delivered, full)
	}
	if sim.finished && sim.delivered != full {
		t.Fatalf("finished with %q, expected %q", sim.delivered, full)
	}
	if !sim.spec.Idempotent && !sim.spec.Resumable && sim.runs() > 1 {
		t.Fatalf("a non-idempotent request ran %d times", sim.runs())
	}
	if sim.failed != nil && sim.failed.Verdict == verdict.NotRun && sim.runs() > 0 {
		t.Fatalf("reported not_run (%s), but the request ran", sim.failed.Message)
	}
}

func (sim *simulation) runs() int {
	total := 0
	for _, s := range sim.sidecars {
		total += s.runs
	}
	return total
}

// deliverOutstanding delivers all Start frames still in transit: a request that
// was reported as not run must not run afterwards.
func (sim *simulation) deliverOutstanding(t *rapid.T) {
	for len(sim.starts) > 0 {
		sim.deliverStart(t, 0)
	}
	sim.check(t)
}

var _ = Describe("Machine under faults", func() {
	// Guards against wrong answers, a false "not run" and second runs when frames
	// are lost, duplicated, reordered and mixed up, links break or go silent, and
	// sidecars restart and lose their state. In any order of events a caller gets
	// its own complete answer or an error, "not run" is true, and a non-idempotent
	// request runs at most once.
	It("preserves its invariants in any order of events", func() {
		coverage := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sim := newSimulation(t, coverage)
			t.Repeat(sim.actions())
			sim.deliverOutstanding(t)
		})
		AddReportEntry("events, effects and faults covered", fmt.Sprint(coverage))
		Expect(slices.Collect(maps.Keys(coverage))).To(ContainElements(
			"call.Finish", "call.Fail", "call.Resolve", "call.Cancel", "lost", "restart",
			"call.StreamLost", "call.LinkSilent", "call.Resolution", "call.ResolveFailed", "call.CallerDisconnected", "call.ShutDown",
			"told not_run", "told may_have_run", "told ran",
			"route later", "taken over", "kept answer incomplete", "kept answer of another",
		))
	})
})
