package place_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/request"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

var start = time.Unix(1_000_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// prompt returns a prompt with a shared segment, of the given ID, and a unique one.
func prompt(id uint64, shared, own int, unique uint64) request.Prompt {
	return request.Prompt{
		Tokens:   shared + own,
		Segments: []request.Segment{{ID: id, Tokens: shared}, {ID: 1<<40 + unique, Tokens: own}},
	}
}

func engines(prefill, decode int) []place.Engine {
	var list []place.Engine
	for i := range prefill + decode {
		e := place.Engine{ID: "e" + strconv.Itoa(i), DataCentre: "z", Role: backend.Prefill, KVTokens: 800_000, Slots: 128}
		if i >= prefill {
			e.Role = backend.Decode
		}
		list = append(list, e)
	}
	return list
}

func newFleet(prefill, decode int) *place.Fleet {
	f := place.NewFleet()
	f.SetEngines(engines(prefill, decode))
	return f
}

// unhurried constraints admit a request whatever its queue delay.
var unhurried = place.Constraints{Objective: time.Hour, Remaining: time.Hour}

func plan(f *place.Fleet, now time.Time, j place.Job) place.Plan {
	p, _, ok := f.Plan(now, j, unhurried)
	Expect(ok).To(BeTrue())
	f.AddPlacement(now, place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
	return p
}

var _ = Describe("Plan", func() {
	// Guards against prefilling shared tokens repeatedly: requests that share thirteen
	// thousand tokens are sent to whichever engine is free, and each engine prefills
	// these again while other prompts queue.
	It("prefills where the shared segment is cached", func() {
		f := calibratedFleet(4, 4)
		first := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(7, 13_000, 3_000, 1)})
		f.PrefillDone(at(200), 1)
		second := plan(f, at(300), place.Job{ID: 2, Prompt: prompt(7, 13_000, 3_000, 2)})
		Expect(second.PrefillEngine).To(Equal(first.PrefillEngine))
		Expect(second.CachedTokens).To(Equal(13_000))
		Expect(second.PrefillTime).To(BeNumerically("<", first.PrefillTime/3))
	})

	// Guards against hot spots: everybody's requests share a segment, and all queue at
	// the only engine that has it cached while other engines are idle.
	It("spreads a popular segment once the engine that has it cached falls behind", func() {
		f := newFleet(4, 4)
		prefillEngines := map[string]bool{}
		for i := range 40 {
			p := plan(f, at(i), place.Job{ID: place.JobID(i + 1), Prompt: prompt(7, 13_000, 3_000, uint64(i))})
			prefillEngines[p.PrefillEngine] = true
		}
		Expect(len(prefillEngines)).To(BeNumerically(">", 2))
	})

	// Guards against short prompts queued behind prompts of fifty thousand tokens: by
	// the number of requests both look alike.
	It("keeps short prompts away from an engine with a long one", func() {
		f := newFleet(2, 1)
		long := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 50_000, 1)})
		for i := range 5 {
			p := plan(f, at(1), place.Job{ID: place.JobID(10 + i), Prompt: prompt(uint64(i+2), 300, 1_000, uint64(i+2))})
			Expect(p.PrefillEngine).NotTo(Equal(long.PrefillEngine))
		}
	})

	It("never uses engines that are excluded", func() {
		f := newFleet(1, 1)
		exclude := func(id string) bool { return id == "e0" }
		p, _, ok := f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 100, 100, 1), Exclude: exclude}, unhurried)
		Expect(ok).To(BeTrue())
		Expect(p.PrefillEngine).To(Equal("e1"))
		_, _, ok = f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 100, 100, 1), Exclude: func(string) bool { return true }}, unhurried)
		Expect(ok).To(BeFalse())
	})

	// Guards against spending the retry budget on an engine that changes its role: it
	// rejects all requests and so has no load, which makes it the first choice until
	// the budget is used up and callers are rejected.
	It("avoids engines that reject requests, unless there is no other", func() {
		f := newFleet(0, 3)
		f.Avoid("e0", at(500))
		for i := range 20 {
			p := plan(f, at(i), place.Job{ID: place.JobID(i + 1), Prompt: prompt(uint64(i), 0, 5_000, uint64(i))})
			Expect(p.PrefillEngine).NotTo(Equal("e0"))
		}
		f.Avoid("e1", at(500))
		f.Avoid("e2", at(500))
		_, _, ok := f.Plan(at(100), place.Job{ID: 100, Prompt: prompt(1, 100, 100, 1)}, unhurried)
		Expect(ok).To(BeTrue())
	})

	It("has no plan if only prefill engines are left", func() {
		f := newFleet(3, 0)
		_, _, ok := f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 100, 100, 1)}, unhurried)
		Expect(ok).To(BeFalse())
	})

	// Guards against prefilling everything again after a restart of all gateways: the
	// engines still have their caches, but the gateways do not know of these.
	It("uses the cached segments that engines report", func() {
		f := newFleet(3, 1)
		f.AddCachedSegments("e2", []request.Segment{{ID: 7, Tokens: 13_000}})
		p := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(7, 13_000, 3_000, 1)})
		Expect(p.PrefillEngine).To(Equal("e2"))
		Expect(p.CachedTokens).To(Equal(13_000))
	})

	// Guards against sending prompts to a restarted engine for the cache of its earlier
	// incarnation: they would be prefilled in full.
	It("does not assume that a restarted engine still has its cache", func() {
		f := newFleet(2, 1)
		p := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(7, 13_000, 3_000, 1)})
		f.PrefillDone(at(200), 1)
		list := engines(2, 1)
		for i := range list {
			list[i].Incarnation = 2
		}
		f.SetEngines(list)
		again, _, _ := f.Plan(at(300), place.Job{ID: 2, Prompt: prompt(7, 13_000, 3_000, 2)}, unhurried)
		Expect(again.CachedTokens).To(BeZero())
		Expect(p.PrefillEngine).NotTo(BeEmpty())
	})
})

var _ = Describe("EngineEstimate", func() {
	It("reports what was learned of an engine", func() {
		b, ok := calibratedFleet(1, 1).EngineEstimate(at(0), "e0")
		Expect(ok).To(BeTrue())
		Expect(b.Prefills).To(BeNumerically(">", 50))
		Expect(b.PrefillTokensPerMS).To(BeNumerically("~", 112, 25))
		Expect(b.PrefillLatencyMS).To(BeNumerically("~", 36, 10))
		Expect(b.PrefillSlowdown).To(BeNumerically("~", 1, 0.2))
		Expect(b.QueueDelayMS).To(BeZero())
		_, ok = calibratedFleet(1, 1).EngineEstimate(at(0), "e9")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("an engine that becomes unresponsive", func() {
	// Guards against sending prompts to an engine that stalls in the middle of its
	// prefills with all connections open: it looks as busy as the others, and callers
	// would wait there until they time out.
	It("gets no more prompts once its largest prefill is overdue", func() {
		f := calibratedFleet(2, 1)
		exclude := func(engine string) bool { return engine == "e1" }
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 9_000, 1), Exclude: exclude}
		p, _, _ := f.Plan(at(0), j, unhurried)
		Expect(p.PrefillEngine).To(Equal("e0"))
		f.AddPlacement(at(0), place.Placement{ID: 1, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
		for n := range 20 {
			p := plan(f, at(500+n), place.Job{ID: place.JobID(10 + n), Prompt: prompt(uint64(n+2), 0, 2_000, uint64(n+2))})
			Expect(p.PrefillEngine).NotTo(Equal("e0"))
			f.PrefillDone(at(500+n), place.JobID(10+n))
			f.JobFinished(at(500+n), place.JobID(10+n))
		}
	})
})

var _ = Describe("a decode engine", func() {
	// Guards against decode engines that prefill all the time when prompts arrive
	// faster than the prefill engines can take them: their streams would run at a
	// quarter of their speed, and answers that take minutes would miss their deadlines.
	It("prefills for a bounded fraction of its time beside prefill engines", func() {
		f := calibratedFleet(1, 1)
		var decodeEnginePrefill time.Duration
		const seconds = 5
		for ms := 0; ms < seconds*1_000; ms += 5 {
			j := place.Job{ID: place.JobID(ms + 1), Prompt: prompt(uint64(ms), 0, 4_000, uint64(ms))}
			p, _, _ := f.Plan(at(ms), j, unhurried)
			f.AddPlacement(at(ms), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
			if !p.Split() {
				decodeEnginePrefill += p.PrefillTime
			}
		}
		Expect(decodeEnginePrefill).To(BeNumerically(">", seconds*time.Second/5))
		Expect(decodeEnginePrefill).To(BeNumerically("<", seconds*time.Second*6/10))
	})

	// Guards against a decode engine that takes no prefills because it prefilled a lot
	// while it was temporarily a prefill engine.
	It("takes its share of prefills as soon as it is a decode engine again", func() {
		f := calibratedFleet(1, 2)
		setRole := func(role backend.Role) {
			list := engines(1, 2)
			list[1].Role = role
			f.SetEngines(list)
		}
		var id place.JobID
		placeOne := func(ms int, exclude func(string) bool) place.Plan {
			id++
			j := place.Job{ID: id, Prompt: prompt(uint64(id), 0, 4_000, uint64(id)), Exclude: exclude}
			p, _, _ := f.Plan(at(ms), j, unhurried)
			f.AddPlacement(at(ms), place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
			return p
		}
		placeOne(0, nil)
		setRole(backend.Prefill)
		for n := range 200 {
			placeOne(n, func(engine string) bool { return engine == "e0" })
			f.JobFinished(at(n), id)
		}
		setRole(backend.Decode)
		decodeEnginePrefills := 0
		for n := range 100 {
			if p := placeOne(1_000+10*n, nil); p.PrefillEngine == "e1" {
				decodeEnginePrefills++
			}
		}
		Expect(decodeEnginePrefills).To(BeNumerically(">", 5))
	})

	It("prefills all prompts if there is no other engine", func() {
		f := calibratedFleet(0, 2)
		for n := range 50 {
			p := plan(f, at(n), place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 4_000, uint64(n))})
			Expect(p.Split()).To(BeFalse())
		}
	})
})

var _ = Describe("an answer that is handed over", func() {
	// Guards against idle prefill engines while callers are rejected as too late:
	// decode engines prioritize handed over answers over their own prefills, so an
	// estimate that counts these in full is too high.
	It("is expected after the observed handover time, whatever its engine has to prefill", func() {
		const handover = 25 * time.Millisecond
		f := calibratedFleet(1, 1)
		notPrefillEngine := func(engine string) bool { return engine == "e0" }
		id := place.JobID(0)
		placeOne := func(ms int, exclude func(string) bool) place.Plan {
			id++
			return plan(f, at(ms), place.Job{ID: id, Prompt: prompt(uint64(id), 0, 3_000, uint64(id)), Exclude: exclude})
		}
		var last place.Plan
		for n := range 200 {
			ms := 500 * n
			var decodeEngineJobs []place.JobID
			for range 4 {
				placeOne(ms, notPrefillEngine)
				decodeEngineJobs = append(decodeEngineJobs, id)
			}
			if last = placeOne(ms, nil); last.Split() {
				prefilled := at(ms).Add(prefillTime(true, 3_000))
				f.PrefillDone(prefilled, id)
				f.FirstToken(prefilled.Add(handover), id)
				f.JobFinished(prefilled.Add(handover), id)
			}
			for n, id := range decodeEngineJobs {
				finished := at(ms).Add(prefillTime(false, 3_000*(n+1)))
				f.PrefillDone(finished, id)
				f.JobFinished(finished, id)
			}
		}
		Expect(last.Split()).To(BeTrue())
		Expect(last.ExpectedTTFT()).To(BeNumerically("~", prefillTime(true, 3_000)+handover, 30*time.Millisecond))
	})
})

var _ = Describe("groups", func() {
	It("are one if a few dozen gateways can receive all placements", func() {
		Expect(place.GroupCount(20, 12)).To(BeEquivalentTo(1))
		Expect(place.GroupCount(63, 1_000)).To(BeEquivalentTo(1))
		Expect(place.GroupCount(350, 600)).To(BeEquivalentTo(10))
	})

	It("have engines of both roles each", func() {
		Expect(place.GroupCount(350, 12)).To(BeEquivalentTo(1))
		Expect(place.GroupCount(350, 100)).To(BeEquivalentTo(4))
	})

	It("place on disjoint sets of engines", func() {
		f := newFleet(60, 40)
		groupsByEngine := map[string]map[uint64]bool{}
		for n := range 1_000 {
			group := place.Group{Index: uint64(n) % 4, Count: 4}
			p := plan(f, at(n), place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 5_000, uint64(n)), Group: group})
			for _, id := range []string{p.PrefillEngine, p.DecodeEngine} {
				if groupsByEngine[id] == nil {
					groupsByEngine[id] = map[uint64]bool{}
				}
				groupsByEngine[id][group.Index] = true
			}
		}
		Expect(len(groupsByEngine)).To(BeNumerically(">", 80))
		for _, groups := range groupsByEngine {
			Expect(groups).To(HaveLen(1))
		}
	})

	// Guards against rejecting everybody when all engines of a group are lost with a
	// rack, or change their roles, while the engines of other groups are idle.
	It("use the engines of other groups when their own fail", func() {
		f := newFleet(4, 4)
		own := place.Group{Index: 0, Count: 2}
		var used []string
		for n := range 30 {
			p := plan(f, at(n), place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 5_000, uint64(n)), Group: own})
			used = append(used, p.PrefillEngine, p.DecodeEngine)
		}
		for _, id := range used {
			f.Avoid(id, at(60_000))
		}
		p := plan(f, at(1_000), place.Job{ID: 100, Prompt: prompt(1, 0, 5_000, 1), Group: own})
		Expect(used).NotTo(ContainElement(p.PrefillEngine))
	})
})

var _ = Describe("the load of an engine", func() {
	It("decreases over time and ends with the prefill", func() {
		f := newFleet(1, 1)
		p := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 50_000, 1)})
		waiting := func(ms int) time.Duration {
			q, _, _ := f.Plan(at(ms), place.Job{ID: 2, Prompt: prompt(2, 0, 60_000, 2), Exclude: func(id string) bool { return false }}, unhurried)
			if q.PrefillEngine != p.PrefillEngine {
				return 0
			}
			return q.QueueDelay
		}
		Expect(waiting(0)).To(Equal(p.PrefillTime))
		Expect(waiting(100)).To(Equal(p.PrefillTime - 100*time.Millisecond))
		f.PrefillDone(at(200), 1)
		Expect(waiting(200)).To(BeZero())
	})

	// Guards against an engine that looks busy to the other gateways forever: the
	// gateway that sent a prompt is killed and never reports its end.
	It("expires if its end is never reported", func() {
		f := newFleet(1, 1)
		plan(f, at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 50_000, 1)})
		q, _, _ := f.Plan(at(10_000), place.Job{ID: 2, Prompt: prompt(2, 0, 1_000, 2)}, unhurried)
		Expect(q.QueueDelay).To(BeZero())
	})

	// Guards against streams that never end: the datagram about the end of an answer is
	// lost, one in twenty in bad conditions. After some minutes the engines with the
	// most answers would look slowest, and prompts would avoid them.
	It("includes no answer for longer than its caller waits", func() {
		f := newFleet(1, 1)
		for i := range 20 {
			j := place.Job{ID: place.JobID(i + 1), Prompt: prompt(1, 0, 1_000, uint64(i))}
			p, _, _ := f.Plan(at(i), j, unhurried)
			f.AddPlacement(at(i), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: 5 * time.Second})
			f.PrefillDone(at(i+1), j.ID)
		}
		f.Plan(at(4_000), place.Job{ID: 100, Prompt: prompt(2, 0, 1_000, 2)}, unhurried)
		Expect(f.InFlight("e1")).To(Equal(20))
		f.Plan(at(9_000), place.Job{ID: 100, Prompt: prompt(2, 0, 1_000, 2)}, unhurried)
		Expect(f.InFlight("e1")).To(BeZero())
	})

	// Guards against a restarted engine that looks idle while it works: the end of an
	// answer of its earlier incarnation is reported late and subtracted from the new
	// one's.
	It("counts the answers of two incarnations of an engine separately", func() {
		f := newFleet(0, 1)
		plan(f, at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 1_000, 1)})
		f.PrefillDone(at(10), 1)
		again := engines(0, 1)
		again[0].Incarnation = 2
		f.SetEngines(again)
		plan(f, at(20), place.Job{ID: 2, Prompt: prompt(2, 0, 1_000, 2)})
		f.PrefillDone(at(30), 2)
		f.JobFinished(at(40), 1)
		Expect(f.InFlight("e0")).To(Equal(1))
	})

	// Guards against counting an answer at a decode engine that rejected it: the engine
	// that generates it instead would look idle.
	It("moves with an answer to another decode engine", func() {
		f := newFleet(1, 2)
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 1_000, 1)}
		p := plan(f, at(0), j)
		f.PrefillDone(at(10), 1)
		rejecting := p.DecodeEngine
		j.Exclude = func(id string) bool { return id == rejecting }
		other, ok := f.AlternateDecodeEngine(at(20), j, unhurried, p)
		Expect(ok).To(BeTrue())
		f.SetDecodeEngine(at(20), 1, other.DecodeEngine)
		Expect(f.InFlight(rejecting)).To(BeZero())
		Expect(f.InFlight(other.DecodeEngine)).To(Equal(1))
		f.JobFinished(at(30), 1)
		Expect(f.InFlight(other.DecodeEngine)).To(BeZero())
	})
})

// prefillTime returns how long an idle engine of these tests takes to prefill a prompt
// that it has not cached. Decode engines prefill at half the rate.
func prefillTime(split bool, tokens int) time.Duration {
	const latency, perToken = 36 * time.Millisecond, time.Millisecond / 112
	if !split {
		tokens *= 2
	}
	return latency + time.Duration(tokens)*perToken
}

// calibratedFleet returns a fleet that has observed its engines prefill prompts of many
// lengths, one at a time, for some minutes before the tests' time begins.
func calibratedFleet(prefill, decode int) *place.Fleet {
	f := newFleet(prefill, decode)
	for n := range 400 {
		now := at(1_000*n - 1_000_000)
		id := place.JobID(1<<50 + n)
		exclude := func(engine string) bool { return engine != "e"+strconv.Itoa(n%(prefill+decode)) && n%2 == 0 }
		j := place.Job{ID: id, Prompt: prompt(1<<60+uint64(n), 0, 500+n*150, 1<<50+uint64(n)), Exclude: exclude}
		p, _, ok := f.Plan(now, j, unhurried)
		if !ok {
			continue
		}
		f.AddPlacement(now, place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
		prefilled := now.Add(prefillTime(p.Split(), j.Prompt.Tokens))
		f.PrefillDone(prefilled, id)
		f.JobFinished(prefilled, id)
	}
	return f
}

var _ = Describe("admission", func() {
	urgent := place.Constraints{Objective: 500 * time.Millisecond, Remaining: 5 * time.Second}

	// Guards against a gateway without samples that rejects callers by its prior
	// estimates: the fleet is idle, and with no prefills the gateway would never
	// correct them.
	It("rejects nobody by uncalibrated estimates", func() {
		f := newFleet(1, 1)
		for n := range 30 {
			j := place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 100_000, uint64(n))}
			p, a, ok := f.Plan(at(n), j, urgent)
			Expect(ok).To(BeTrue())
			Expect(a.Admit).To(BeTrue())
			f.AddPlacement(at(n), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
		}
	})

	// Guards against overload after a restart of all gateways: decode engines have work
	// that is unknown to the gateways, so that the first prefills stall and the next
	// ones are late. If no model learned from prefills that are late for another reason
	// than engine speed, the engines would stay uncalibrated and be sent prompts
	// without bound; half of all callers then time out, with no end.
	It("does not expect uncalibrated engines to be in time once their prefills are late", func() {
		const (
			first    = 500 // ms
			every    = 10  // ms
			late     = 1_000
			prefills = 400
		)
		f := newFleet(0, 2)
		ask := func(n, ms int) place.Admission {
			id := place.JobID(n)
			j := place.Job{ID: id, Prompt: prompt(uint64(id), 0, 9_000, uint64(id))}
			p, a, ok := f.Plan(at(ms), j, urgent)
			Expect(ok).To(BeTrue())
			if a.Admit {
				f.AddPlacement(at(ms), place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
			}
			return a
		}
		ask(prefills+1, 0)
		ask(prefills+2, 0)
		expectedInTime := 0
		for n := range prefills {
			ms := first + every*n
			if a := ask(n, ms); n > prefills/2 && a.Admit && a.Priority == place.OnTimePriority {
				expectedInTime++
			}
			f.PrefillDone(at(ms), place.JobID(n-late/every))
			f.JobFinished(at(ms), place.JobID(n-late/every))
		}
		Expect(expectedInTime).To(BeZero())
	})

	It("admits what can be in time, whatever the queues elsewhere", func() {
		_, a, _ := newFleet(2, 2).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 5_000, 1)}, urgent)
		Expect(a.Admit).To(BeTrue())
		Expect(a.Priority).To(Equal(place.OnTimePriority))
	})

	// A prompt of sixty thousand tokens cannot meet its objective on an idle engine.
	// Its caller still wants the answer, and no other prompt waits.
	It("admits a prompt that is late by its own length, if it need not queue", func() {
		_, a, _ := calibratedFleet(1, 1).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 60_000, 1)}, urgent)
		Expect(a.Admit).To(BeTrue())
		Expect(a.Priority).To(Equal(place.LatePriority))
	})

	// Guards against starving short prompts: in a burst of long prompts every engine
	// has a queue, and a prompt of two hundred tokens that can no longer meet its
	// objective is never prefilled behind all others. Its caller, who would wait
	// fifteen seconds for the answer but only two for its first token, times out.
	It("does not lower the priority of a short prompt that is late", func() {
		f := calibratedFleet(0, 1)
		for n := range 3 {
			plan(f, at(0), place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 6_000, uint64(n))})
		}
		caller := place.Constraints{Objective: 100 * time.Millisecond, Remaining: 15 * time.Second}
		priority := func(id uint64, tokens int) int {
			_, a, _ := f.Plan(at(0), place.Job{ID: place.JobID(id), Prompt: prompt(id, 0, tokens, id)}, caller)
			Expect(a.Admit).To(BeTrue())
			return a.Priority
		}
		Expect(priority(100, 200)).To(Equal(place.OnTimePriority))
		Expect(priority(101, 6_000)).To(Equal(place.LatePriority))
	})

	// Guards against overload: for ten seconds, three times as many prompts arrive as
	// the fleet can prefill. If all were admitted, every one would be late after the
	// first second and for long after the burst. Most must be answered in time, and the
	// others rejected immediately with a retry delay.
	It("keeps most admitted requests on time in saturation, and recovers after the burst", func() {
		f := calibratedFleet(7, 5)
		type simJob struct{ done time.Time }
		inTime, admitted, rejected := 0, 0, 0
		ends := map[place.JobID]simJob{}
		const burst = 10_000
		for ms := 0; ms < burst+1_000; ms += 4 {
			now := at(ms)
			for id, r := range ends {
				if !r.done.After(now) {
					f.JobFinished(now, id)
					delete(ends, id)
				}
			}
			if ms >= burst {
				// The engines finish their work after the last arrival.
				continue
			}
			id := place.JobID(ms + 1)
			j := place.Job{ID: id, Prompt: prompt(uint64(ms), 0, 9_000, uint64(ms))}
			p, a, ok := f.Plan(now, j, urgent)
			Expect(ok).To(BeTrue())
			if !a.Admit {
				rejected++
				Expect(a.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
				Expect(a.RetryAfter).To(BeNumerically("<=", urgent.Remaining/3))
				continue
			}
			admitted++
			f.AddPlacement(now, place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: urgent.Remaining})
			ends[id] = simJob{done: now.Add(p.ExpectedTTFT())}
			if p.ExpectedTTFT() <= urgent.Objective {
				inTime++
			}
		}
		Expect(rejected).To(BeNumerically(">", 1_000))
		Expect(admitted).To(BeNumerically(">", 600))
		Expect(float64(inTime)).To(BeNumerically(">", 0.9*float64(admitted)))
		_, a, _ := f.Plan(at(11_000), place.Job{ID: 1 << 40, Prompt: prompt(1, 0, 9_000, 1)}, urgent)
		Expect(a.Priority).To(Equal(place.OnTimePriority))
	})

	// Guards against retry delays that do not fit the load. During seconds of overload,
	// callers told to retry after a tenth of a second retry within the same burst and
	// are rejected for good; with a queue that is too long only for a moment, a longer
	// delay would miss the time in which they can still be answered well.
	It("lengthens the retry delay with the rejection rate", func() {
		f := calibratedFleet(1, 1)
		for n := range 10 {
			j := place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 9_000, uint64(n))}
			p, _, _ := f.Plan(at(0), j, unhurried)
			f.AddPlacement(at(0), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
		}
		var retryDelays []time.Duration
		for n := range 60 {
			_, a, _ := f.Plan(at(1), place.Job{ID: place.JobID(100 + n), Prompt: prompt(9, 0, 9_000, 9)}, urgent)
			Expect(a.Admit).To(BeFalse())
			retryDelays = append(retryDelays, a.RetryAfter)
		}
		Expect(retryDelays[0]).To(BeNumerically("<", 700*time.Millisecond))
		Expect(retryDelays[59]).To(Equal(urgent.Remaining / 3))
	})

	It("immediately rejects a request whose deadline would cut off the answer", func() {
		_, a, _ := calibratedFleet(1, 1).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 53_000, 1)},
			place.Constraints{Objective: 100 * time.Millisecond, Remaining: 300 * time.Millisecond})
		Expect(a.Admit).To(BeFalse())
	})
})

var _ = Describe("a gateway with a saturated link", func() {
	// Guards against a gateway with a saturated network link that admits everybody: its
	// requests and answers queue at the link for a quarter of a second, so that all are
	// late although the engines are fast enough, while other gateways would answer them
	// in time.
	It("rejects callers that it would answer late", func() {
		urgent := place.Constraints{Objective: 500 * time.Millisecond, Remaining: 5 * time.Second}
		type end struct {
			id place.JobID
			at time.Time
		}
		admitted := func(linkDelay time.Duration) int {
			f := calibratedFleet(4, 4)
			var ends []end
			admitted := 0
			for n := range 200 {
				now := at(100 * n)
				for len(ends) > 0 && !ends[0].at.After(now) {
					f.LocalPrefillDone(ends[0].at, ends[0].id)
					f.JobFinished(ends[0].at, ends[0].id)
					ends = ends[1:]
				}
				j := place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 4_000, uint64(n))}
				p, a, _ := f.Plan(now, j, urgent)
				f.AddPlacement(now, place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
				prefilled := now.Add(prefillTime(p.Split(), j.Prompt.Tokens))
				if n%2 == 0 {
					f.PrefillDone(prefilled, j.ID)
					f.JobFinished(prefilled, j.ID)
					continue
				}
				ends = append(ends, end{id: j.ID, at: prefilled.Add(linkDelay)})
				if n > 100 && a.Admit {
					admitted++
				}
			}
			return admitted
		}
		Expect(admitted(0)).To(Equal(50))
		Expect(admitted(900 * time.Millisecond)).To(BeNumerically("<", 25))
	})

	// Guards against gateways that all reject everybody while the engines are idle:
	// after a restart, prefills waited behind work unknown to the gateways, and each
	// gateway takes that for a delay of its own link.
	It("does not attribute a delay of all prefills to itself", func() {
		f := calibratedFleet(4, 4)
		const prefills, late = 40, 1_000
		for n := range prefills {
			j := place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 1_000, uint64(n))}
			plan(f, at(10*n), j)
		}
		for n := range prefills {
			id := place.JobID(n + 1)
			if n%8 == 0 {
				f.LocalPrefillDone(at(10*n+late), id)
			} else {
				f.PrefillDone(at(10*n+late), id)
			}
			f.JobFinished(at(10*n+late), id)
		}
		urgent := place.Constraints{Objective: 200 * time.Millisecond, Remaining: 2 * time.Second}
		p, a, _ := f.Plan(at(1_500), place.Job{ID: 1_000, Prompt: prompt(1_000, 0, 1_000, 1_000)}, urgent)
		Expect(p.QueueDelay).To(BeZero())
		Expect(a.Admit).To(BeTrue(), "expected %v", p.ExpectedTTFT())
	})
})

var _ = Describe("a prefill that fails", func() {
	// Guards against false cache estimates after failed prefills: prefill engines are
	// lost, and requests to them fail within milliseconds. If the decode engines were
	// estimated to have the prompts cached, each request would be sent there and
	// prefilled in full between the tokens of other answers, and first tokens would
	// take seconds.
	It("leaves nothing cached at the engines of its plan", func() {
		f := calibratedFleet(1, 1)
		j := place.Job{ID: 1, Prompt: prompt(7, 13_000, 2_500, 1)}
		failed := plan(f, at(0), j)
		Expect(failed.Split()).To(BeTrue())
		f.JobFinished(at(2), j.ID)
		j.Exclude = func(engine string) bool { return engine == failed.PrefillEngine }
		Expect(plan(f, at(2), j).CachedTokens).To(BeZero())
		f.JobFinished(at(3), j.ID)
		again, _, ok := f.Plan(at(3), place.Job{ID: 3, Prompt: j.Prompt}, unhurried)
		Expect(ok).To(BeTrue())
		Expect(again.CachedTokens).To(BeZero())
	})

	// Guards against dropping a segment that was cached before: a later request that
	// shares it fails during its prefill.
	It("leaves what the engine had cached before", func() {
		f := calibratedFleet(1, 1)
		first := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(7, 13_000, 3_000, 1)})
		f.PrefillDone(at(200), 1)
		f.FirstToken(at(220), 1)
		f.JobFinished(at(300), 1)
		plan(f, at(400), place.Job{ID: 2, Prompt: prompt(7, 13_000, 3_000, 2)})
		f.JobFinished(at(402), 2)
		next := plan(f, at(500), place.Job{ID: 3, Prompt: prompt(7, 13_000, 3_000, 3)})
		Expect(next.PrefillEngine).To(Equal(first.PrefillEngine))
		Expect(next.CachedTokens).To(Equal(13_000))
	})

	// Guards against prefilling a segment on another engine because the reply to its
	// prefill was lost after the engine had finished it.
	It("leaves its segments cached if only the reply was lost", func() {
		f := calibratedFleet(1, 1)
		j := place.Job{ID: 1, Prompt: prompt(7, 13_000, 2_500, 1)}
		lost := plan(f, at(0), j)
		f.JobFinished(at(int(lost.ExpectedTTFT().Milliseconds())+50), j.ID)
		next, _, ok := f.Plan(at(1_000), place.Job{ID: 2, Prompt: prompt(7, 13_000, 2_500, 2)}, unhurried)
		Expect(ok).To(BeTrue())
		Expect(next.PrefillEngine).To(Equal(lost.PrefillEngine))
		Expect(next.CachedTokens).To(Equal(13_000))
	})
})

var _ = Describe("a request whose engine terminated", func() {
	// Guards against losing many answers: the next engine may terminate too,
	// with all answers that run there.
	It("goes to the engine with the fewest answers", func() {
		f := calibratedFleet(1, 3)
		for n := range 10 {
			f.AddPlacement(at(0), place.Placement{
				ID: place.JobID(100 + n), Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: []string{"e1", "e2"}[n%2]}, Remaining: time.Minute,
			})
			f.PrefillDone(at(0), place.JobID(100+n))
		}
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 1_000, 1), Suspect: true}
		f.AddCachedSegments("e1", j.Prompt.Segments)
		p, _, ok := f.Plan(at(10), j, unhurried)
		Expect(ok).To(BeTrue())
		Expect(p.DecodeEngine).To(Equal("e3"))
		j.Suspect = false
		p, _, _ = f.Plan(at(10), j, unhurried)
		Expect(p.DecodeEngine).To(Equal("e1"))
	})
})

var _ = Describe("software versions", func() {
	engine := func(id string, role backend.Role, software string) place.Engine {
		return place.Engine{
			ID: id, DataCentre: "z", Role: role, KVTokens: 100_000, Slots: 8,
			Version: streamversion.Of(backend.Server{Service: "llm", Version: software}),
		}
	}
	job := func(software string) place.Job {
		j := place.Job{ID: 1, DataCentre: "z", Prompt: request.Prompt{Tokens: 1000}}
		if software != "" {
			j.Version = streamversion.Only(streamversion.Of(backend.Server{Service: "llm", Version: software}))
		}
		return j
	}

	// Guards against streams that go on at another version, and against a constraint for
	// engines that only prefill.
	DescribeTable("limit the engine that generates the answer",
		func(software string, engines []place.Engine, want string) {
			f := place.NewFleet()
			f.SetEngines(engines)
			p, _, ok := f.Plan(at(0), job(software), unhurried)
			Expect(ok).To(Equal(want != ""))
			if !ok {
				return
			}
			Expect(p.DecodeEngine).To(Equal(want))
			other, found := f.AlternateDecodeEngine(at(0), job(software), unhurried, p)
			Expect(found).To(BeTrue())
			Expect(other.DecodeEngine).To(Equal(want))
		},
		Entry("decode engines", "v2", []place.Engine{engine("a", backend.Decode, "v1"), engine("b", backend.Decode, "v2")}, "b"),
		Entry("engines without roles", "v2", []place.Engine{engine("a", backend.NoRole, "v1"), engine("b", backend.NoRole, "v2")}, "b"),
		Entry("a prefill engine of another version", "v2", []place.Engine{engine("p", backend.Prefill, "v1"), engine("a", backend.Decode, "v1"), engine("b", backend.Decode, "v2")}, "b"),
		Entry("a prefill engine of the version, no other", "v2", []place.Engine{engine("p", backend.Prefill, "v2"), engine("a", backend.Decode, "v1")}, ""),
		Entry("no engine of the version", "v3", []place.Engine{engine("a", backend.Decode, "v1"), engine("b", backend.Decode, "v2")}, ""),
		Entry("a new stream", "", []place.Engine{engine("a", backend.Decode, "v1")}, "a"),
	)
})
