package place_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	memoryTokens      = 444_000
	memoryObjective   = 1_200 * time.Millisecond
	memoryTimeout     = 12 * time.Second
	memoryHandleTTL   = 3 * time.Second
	memoryEventTime   = 40 * time.Millisecond
	memoryEventTokens = 20
)

// heldEngine is an engine that crashes when the requests it holds exceed its memory.
type heldEngine struct {
	place.Engine
	// held has what the requests hold now, by job, and segments how many have each shared one.
	held     map[place.JobID]int
	segments map[uint64]int
	tokens   int
	freeAt   time.Time
}

// memorySim simulates gateways that learn late of each other's placements, and engines.
type memorySim struct {
	prefillSim
	gateways []*place.Fleet
	engines  map[string]*heldEngine
	reserve  bool
	delay    time.Duration
	// loss is the fraction of announcements that are lost.
	loss float64
	// dead has the gateways that are gone.
	dead        map[int]bool
	crashes     int
	retryAfters []time.Duration
	requests    []*memoryRequest
}

type memoryRequest struct {
	prompt                 request.Prompt
	priority, answerTokens int
	served                 bool
}

func newMemorySim(gateways int, reserve bool, delay time.Duration, seed uint64) *memorySim {
	s := &memorySim{
		prefillSim: prefillSim{rng: rand.New(rand.NewPCG(seed, 77)), now: start},
		engines:    map[string]*heldEngine{}, reserve: reserve, delay: delay, dead: map[int]bool{},
	}
	for i := range 14 {
		e := place.Engine{ID: "e" + strconv.Itoa(i), DataCentre: "z", Role: backend.Prefill, KVTokens: memoryTokens, Slots: 48}
		if i >= 6 {
			e.Role = backend.Decode
		}
		s.engines[e.ID] = &heldEngine{Engine: e, held: map[place.JobID]int{}, segments: map[uint64]int{}}
	}
	for range gateways {
		s.addGateway()
	}
	return s
}

func (s *memorySim) addGateway() {
	f := place.NewFleet()
	f.SetMemoryReservation(place.MemoryReservation{Enabled: s.reserve, HandleTTL: memoryHandleTTL})
	s.gateways = append(s.gateways, f)
	s.setEngines(f)
}

func (s *memorySim) setEngines(f *place.Fleet) {
	var list []place.Engine
	for i := range len(s.engines) {
		list = append(list, s.engines["e"+strconv.Itoa(i)].Engine)
	}
	f.SetEngines(list)
}

// announce does something at the other gateways after the announcement delay.
func (s *memorySim) announce(from int, do func(f *place.Fleet, delay time.Duration)) {
	for i, f := range s.gateways {
		if i == from || s.dead[i] || s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Duration((0.5 + s.rng.Float64()) * float64(s.delay))
		s.schedule(s.now.Add(delay), func() { do(f, delay) })
	}
}

// hold changes what a request holds at an engine, which may crash.
func (s *memorySim) hold(e *heldEngine, id place.JobID, shared []request.Segment, tokens int) {
	if _, ok := e.held[id]; !ok {
		for _, segment := range shared {
			e.segments[segment.ID]++
			if e.segments[segment.ID] == 1 {
				e.tokens += segment.Tokens
			}
		}
	}
	e.tokens += tokens - e.held[id]
	e.held[id] = tokens
	if e.tokens > e.KVTokens {
		s.crashes++
		s.restart(e)
	}
}

func (s *memorySim) restart(e *heldEngine) {
	e.held, e.segments, e.tokens, e.freeAt = map[place.JobID]int{}, map[uint64]int{}, 0, s.now
	e.Incarnation++
	for _, f := range s.gateways {
		s.setEngines(f)
	}
}

func (s *memorySim) release(e *heldEngine, id place.JobID, shared []request.Segment) {
	tokens, ok := e.held[id]
	if !ok {
		return
	}
	e.tokens -= tokens
	delete(e.held, id)
	for _, segment := range shared {
		e.segments[segment.ID]--
		if e.segments[segment.ID] == 0 {
			e.tokens -= segment.Tokens
		}
	}
}

// prefillDone returns what gateways do with the announcement of the end of a prefill.
func (s *memorySim) prefillDone(id place.JobID) func(*place.Fleet, time.Duration) {
	return func(f *place.Fleet, _ time.Duration) {
		if !f.PrefillDone(s.now, id) {
			f.UnknownPrefillDone(s.now)
		}
	}
}

// arrive simulates arrivals of long and short prompts.
func (s *memorySim) arrive(d time.Duration, perSecond float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advanceTo(s.now.Add(time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))))
		r := &memoryRequest{priority: s.rng.IntN(2)}
		shared := request.Segment{ID: uint64(s.rng.IntN(20)), Tokens: 2_000}
		own := max(500, min(91_000, int(11_500*math.Exp(0.8*s.rng.NormFloat64()))))
		r.prompt = request.Prompt{Tokens: shared.Tokens + own, Segments: []request.Segment{shared, {ID: 1<<40 + uint64(len(s.requests)), Tokens: own}}}
		r.answerTokens = 400 + s.rng.IntN(2_500)
		r.prompt.ExpectedOutputTokens = int(float64(r.answerTokens) * math.Exp(0.4*s.rng.NormFloat64()))
		s.requests = append(s.requests, r)
		s.send(r, memoryTimeout)
	}
}

func (s *memorySim) send(r *memoryRequest, remaining time.Duration) {
	gateway := s.rng.IntN(len(s.gateways))
	for s.dead[gateway] {
		gateway = s.rng.IntN(len(s.gateways))
	}
	f := s.gateways[gateway]
	s.jobs++
	id := s.jobs
	j := place.Job{ID: id, Prompt: r.prompt, Route: "priority-" + strconv.Itoa(r.priority), Priority: r.priority}
	c := place.Constraints{Objective: memoryObjective - (memoryTimeout - remaining), Remaining: remaining}
	p, a, ok := f.Plan(s.now, j, c)
	Expect(ok).To(BeTrue())
	if !a.Admit {
		if a.Memory == place.NoRoom {
			s.retryAfters = append(s.retryAfters, a.RetryAfter)
			Expect(a.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", max(100*time.Millisecond, place.MaxRetryAfter(remaining)))))
		}
		if remaining-a.RetryAfter > 3*time.Second {
			s.schedule(s.now.Add(a.RetryAfter), func() { s.send(r, remaining-a.RetryAfter) })
		}
		return
	}
	placement := place.Placement{ID: id, Prompt: r.prompt, Plan: p, Remaining: remaining}
	f.AddPlacement(s.now, placement)
	s.announce(gateway, func(f *place.Fleet, delay time.Duration) {
		placement.AnnouncementDelay = delay
		f.AddPlacement(s.now, placement)
	})
	s.run(gateway, id, r, p, s.now.Add(remaining))
}

// run has engines serve a request.
func (s *memorySim) run(gateway int, id place.JobID, r *memoryRequest, p place.Plan, deadline time.Time) {
	f, prefill, decode := s.gateways[gateway], s.engines[p.PrefillEngine], s.engines[p.DecodeEngine]
	shared := r.prompt.Shared()
	own := r.prompt.Tokens - shared[0].Tokens
	finish := func() {
		s.release(prefill, id, shared)
		s.release(decode, id, shared)
		if s.dead[gateway] {
			return
		}
		f.JobFinished(s.now, id)
		s.announce(gateway, func(f *place.Fleet, _ time.Duration) { f.JobFinished(s.now, id) })
	}
	incarnation := prefill.Incarnation
	s.hold(prefill, id, shared, own)
	perMS := 200.0
	if !p.Split() {
		perMS = 100
	}
	begin := prefill.freeAt
	if begin.Before(s.now) {
		begin = s.now
	}
	prefill.freeAt = begin.Add(time.Duration(float64(r.prompt.Tokens) / perMS * float64(time.Millisecond)))
	s.schedule(prefill.freeAt.Add(3*time.Millisecond), func() {
		if prefill.Incarnation != incarnation || s.dead[gateway] {
			finish()
			return
		}
		f.LocalPrefillDone(s.now, id)
		s.announce(gateway, s.prefillDone(id))
		s.schedule(s.now.Add(20*time.Millisecond), func() {
			incarnation := decode.Incarnation
			s.hold(decode, id, shared, own)
			if p.Split() {
				s.release(prefill, id, shared)
			}
			if f.FirstToken(s.now, id) {
				s.announce(gateway, s.prefillDone(id))
			}
			s.generate(r, id, decode, own, 0, func() bool {
				return decode.Incarnation == incarnation && s.now.Before(deadline) && !s.dead[gateway]
			}, func() {
				if !s.dead[gateway] && r.served {
					f.ObserveAnswerLength(r.prompt.ExpectedOutputTokens, r.answerTokens/memoryEventTokens)
				}
				finish()
			}, func(d time.Duration) { f.ObserveInterEventTime(s.now, id, d) })
		})
	})
}

// generate generates an answer ten events at a time.
func (s *memorySim) generate(r *memoryRequest, id place.JobID, e *heldEngine, own, done int, running func() bool, finish func(), observe func(time.Duration)) {
	if !running() {
		finish()
		return
	}
	s.hold(e, id, r.prompt.Shared(), own+done)
	if r.served = running() && done >= r.answerTokens; r.served || !running() {
		finish()
		return
	}
	s.schedule(s.now.Add(10*memoryEventTime), func() {
		observe(memoryEventTime)
		s.generate(r, id, e, own, done+10*memoryEventTokens, running, finish, observe)
	})
}

// burst simulates a quiet time, a burst and the time until all requests have ended.
func (s *memorySim) burst() {
	s.arrive(10*time.Second, 20)
	s.arrive(15*time.Second, 100)
	s.advanceTo(s.now.Add(memoryTimeout + 2*time.Second))
}

// servedRate returns the fraction of some requests that was served.
func servedRate(requests []*memoryRequest) float64 {
	served := lo.CountBy(requests, func(r *memoryRequest) bool { return r.served })
	return float64(served) / float64(len(requests))
}

// Guards against engines that crash, one after the other, in a burst of long prompts: they
// have slots for more requests than their memory holds.
func TestEnginesDoNotCrashInABurst(t *testing.T) {
	RegisterTestingT(t)
	unreserved := newMemorySim(8, false, 5*time.Millisecond, 1)
	unreserved.burst()
	Expect(unreserved.crashes).To(BeNumerically(">", 5))
	for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		for _, loss := range []float64{0, 0.03} {
			s := newMemorySim(8, true, delay, 1)
			s.loss = loss
			s.burst()
			all := servedRate(s.requests)
			byLength := slices.SortedFunc(slices.Values(s.requests), func(a, b *memoryRequest) int { return cmp.Compare(b.prompt.Tokens, a.prompt.Tokens) })
			urgent, others := lo.FilterReject(s.requests, func(r *memoryRequest, _ int) bool { return r.priority == 0 })
			t.Logf("delay %v, loss %v: %d refusals; served %.2f of %d, %.2f without reservation; longest tenth %.2f, urgent %.2f, others %.2f",
				delay, loss, len(s.retryAfters), all, len(s.requests), servedRate(unreserved.requests), servedRate(byLength[:len(byLength)/10]), servedRate(urgent), servedRate(others))
			Expect(s.crashes).To(BeZero())
			Expect(all).To(BeNumerically(">", servedRate(unreserved.requests)))
			Expect(servedRate(byLength[:len(byLength)/10])).To(BeNumerically(">=", all/2))
			Expect(servedRate(urgent)).To(BeNumerically(">", servedRate(others)))
			// Callers are spread over the time in which room appears.
			slices.Sort(s.retryAfters)
			Expect(s.retryAfters[len(s.retryAfters)/10]).To(BeNumerically("<", s.retryAfters[len(s.retryAfters)*9/10]))
		}
	}
}

// Guards against a gateway that starts in a burst and knows of no placements, and against
// the reservations of a gateway that was killed.
func TestEnginesDoNotCrashAsGatewaysComeAndGo(t *testing.T) {
	RegisterTestingT(t)
	s := newMemorySim(8, true, 5*time.Millisecond, 2)
	s.arrive(10*time.Second, 20)
	s.arrive(4*time.Second, 100)
	s.dead[0] = true
	s.addGateway()
	s.arrive(6*time.Second, 100)
	s.advanceTo(s.now.Add(memoryTimeout + 2*time.Second))
	Expect(s.crashes).To(BeZero())
	for _, f := range s.gateways[1:] {
		f.Plan(s.now, place.Job{Prompt: prompt(1, 0, 1, 1)}, unhurried)
		for id := range s.engines {
			Expect(reserved(f, s.now, id)).To(BeZero())
		}
	}
}

func reserved(f *place.Fleet, now time.Time, engine string) int {
	estimate, ok := f.EngineEstimate(now, engine)
	Expect(ok).To(BeTrue())
	return estimate.ReservedTokens
}

var _ = Describe("reservations of KV memory", func() {
	hour := place.Constraints{Objective: time.Hour, Remaining: time.Hour}
	fleet := func() *place.Fleet {
		f := newFleet(1, 1)
		f.SetMemoryReservation(place.MemoryReservation{Enabled: true, HandleTTL: memoryHandleTTL})
		return f
	}
	// add places a prompt with a shared segment at both engines.
	add := func(f *place.Fleet, id place.JobID, shared, own int, decodeEngine string) {
		f.AddPlacement(at(0), place.Placement{
			ID: id, Prompt: prompt(7, shared, own, uint64(id)), Remaining: 5 * time.Second,
			Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: decodeEngine}, AnnouncementDelay: time.Millisecond,
		})
	}

	It("count shared segments once, in whole blocks, until the job ends", func() {
		f := fleet()
		add(f, 1, 1_000, 100, "e1")
		Expect(reserved(f, at(0), "e1")).To(Equal(1_008 + 112))
		add(f, 2, 1_000, 100, "e1")
		Expect(reserved(f, at(0), "e1")).To(Equal(1_008 + 2*112))
		f.JobFinished(at(1), 1)
		Expect(reserved(f, at(1), "e1")).To(Equal(1_008 + 112))
		f.JobFinished(at(1), 2)
		Expect(reserved(f, at(1), "e1")).To(BeZero())
	})

	It("last at the prefill engine until the second announcement or the expiry of the handle", func() {
		f := fleet()
		for id := range place.JobID(2) {
			add(f, id, 0, 1_600, "e1")
			f.PrefillDone(at(100), id)
		}
		Expect(reserved(f, at(100), "e0")).To(Equal(3_200))
		f.PrefillDone(at(120), 1)
		Expect(reserved(f, at(120), "e0")).To(Equal(1_600))
		f.Plan(at(4_000), place.Job{Prompt: prompt(1, 0, 1, 1)}, hour)
		Expect(reserved(f, at(4_000), "e0")).To(BeZero())
		Expect(reserved(f, at(4_000), "e1")).To(Equal(3_200))
	})

	It("announce the fetch of KV cache only where memory is reserved", func() {
		for _, enabled := range []bool{false, true} {
			f := fleet()
			f.SetMemoryReservation(place.MemoryReservation{Enabled: enabled, HandleTTL: memoryHandleTTL})
			add(f, 1, 0, 1_600, "e1")
			f.LocalPrefillDone(at(100), 1)
			Expect(f.FirstToken(at(120), 1)).To(Equal(enabled))
		}
	})

	It("include the expected answer, and that of others where the caller does not say", func() {
		f := fleet()
		for id, hint := range []int{1_000, 0, 1 << 30} {
			p := prompt(7, 0, 1_600, uint64(id))
			p.ExpectedOutputTokens = hint
			before := reserved(f, at(0), "e1")
			f.AddPlacement(at(0), place.Placement{ID: place.JobID(id), Prompt: p, Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: "e1"}, Remaining: time.Hour})
			added := reserved(f, at(0), "e1") - before
			if hint <= 1_000 {
				// One standard deviation of 0.5 is 1.65 times as long.
				Expect(added).To(BeNumerically("~", 1_600+1_650, 16))
			} else {
				Expect(added).To(Equal(1_600 + 800_000/4))
			}
		}
		Expect(reserved(f, at(0), "e0")).To(Equal(3 * 1_600))
	})

	It("move with the decode engine and end with a restarted engine", func() {
		f := fleet()
		add(f, 1, 0, 1_600, "e0")
		f.SetDecodeEngine(at(1), 1, "e1")
		Expect(reserved(f, at(1), "e0")).To(BeZero())
		Expect(reserved(f, at(1), "e1")).To(Equal(1_600))
		list := engines(1, 1)
		list[1].Incarnation = 2
		f.SetEngines(list)
		Expect(reserved(f, at(2), "e1")).To(BeZero())
		f.JobFinished(at(3), 1)
		Expect(reserved(f, at(3), "e1")).To(BeZero())
	})

	// A gateway of another version, or a damaged datagram, must not close an engine.
	It("ignore lengths that no engine can hold", func() {
		f := fleet()
		add(f, 1, 1<<31, 1<<31, "e1")
		Expect(reserved(f, at(0), "e1")).To(BeZero())
		f.JobFinished(at(1), 1)
		Expect(reserved(f, at(1), "e1")).To(BeZero())
	})

	// Guards against an engine that seems full for weeks, since the end of a job was lost.
	It("end when no caller waits any longer, whatever the announcement states", func() {
		f := fleet()
		f.SetMemoryReservation(place.MemoryReservation{Enabled: true, HandleTTL: memoryHandleTTL, MaxRemaining: 2 * time.Second})
		add(f, 1, 0, 1_600, "e1")
		f.Plan(at(1_500), place.Job{Prompt: prompt(1, 0, 1, 1)}, hour)
		Expect(reserved(f, at(1_500), "e1")).To(Equal(1_600))
		f.Plan(at(3_100), place.Job{Prompt: prompt(1, 0, 1, 1)}, hour)
		Expect(reserved(f, at(3_100), "e1")).To(BeZero())
	})

	It("reject a prompt that exceeds every engine, and one for which there is no room now", func() {
		f := fleet()
		_, a, ok := f.Plan(at(0), place.Job{Prompt: prompt(1, 0, 800_001, 1)}, hour)
		Expect(ok).To(BeTrue())
		Expect(a).To(Equal(place.Admission{RetryAfter: place.MaxRetryAfter(time.Hour), Memory: place.TooLarge}))
		_, a, _ = f.Plan(at(0), place.Job{Prompt: prompt(1, 0, 790_000, 1)}, hour)
		Expect(a.Admit).To(BeTrue())
		add(f, 1, 0, 700_000, "e1")
		committed := place.Constraints{Objective: time.Hour, Remaining: time.Hour, Committed: true}
		_, a, _ = f.Plan(at(0), place.Job{Prompt: prompt(1, 0, 790_000, 1)}, committed)
		Expect(a.Admit).To(BeFalse())
		Expect(a.Memory).To(Equal(place.NoRoom))
		Expect(a.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", place.MaxRetryAfter(time.Hour))))
		_, ok = f.AlternateDecodeEngine(at(0), place.Job{Prompt: prompt(1, 0, 790_000, 1)}, committed, place.Plan{PrefillEngine: "e0", DecodeEngine: "e1"})
		Expect(ok).To(BeFalse())
	})

	// Guards against callers that return long before or after there is room: reservations
	// are held for 2 s on average.
	DescribeTable("tell a rejected caller when what it lacks is expected to be released",
		func(tokens int, seconds float64) {
			f := newFleet(0, 1)
			f.SetMemoryReservation(place.MemoryReservation{Enabled: true, HandleTTL: memoryHandleTTL})
			hold := func(id place.JobID, from, tokens int) {
				f.AddPlacement(at(from), place.Placement{
					ID: id, Prompt: prompt(7, 0, tokens, uint64(id)), Remaining: time.Hour, Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: "e0"},
				})
			}
			for id := range place.JobID(100) {
				hold(id, 2_000*int(id), 100_000)
				f.JobFinished(at(2_000*int(id)+2_000), id)
			}
			hold(1_000, 200_000, 720_000)
			_, a, _ := f.Plan(at(200_000), place.Job{Prompt: prompt(1, 0, tokens, 1)}, place.Constraints{Objective: time.Minute, Remaining: time.Minute, Committed: true})
			Expect(a.Memory).To(Equal(place.NoRoom))
			Expect(a.RetryAfter.Seconds()).To(BeNumerically("~", seconds, 0.02))
		},
		Entry("half of what is held", 440_000, 1.0),
		Entry("a tenth of it", 152_000, 0.2),
		Entry("next to nothing: not at once", 80_016, 0.1),
	)

	It("change nothing where they are off", func() {
		f := newFleet(1, 1)
		add(f, 1, 0, 700_000, "e1")
		_, a, _ := f.Plan(at(0), place.Job{Prompt: prompt(1, 0, 900_000, 1)}, hour)
		Expect(a.Admit).To(BeTrue())
		Expect(reserved(f, at(0), "e1")).To(BeZero())
	})
})
