package place_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/request"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

var start = time.Unix(1_000_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// prompt shares part id with others and has own tokens of its own.
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

// patient callers are let in whatever the wait.
var patient = place.Constraints{Objective: time.Hour, Remaining: time.Hour}

func plan(f *place.Fleet, now time.Time, j place.Job) place.Plan {
	p, _, ok := f.Plan(now, j, patient)
	Expect(ok).To(BeTrue())
	f.AddPlacement(now, place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
	return p
}

var _ = Describe("Plan", func() {
	// Every draft about one portfolio shares thirteen thousand tokens. Sent to
	// whichever engine is free, each engine reads them once more, and prompts
	// wait behind work that was done already.
	It("goes where the shared part is kept", func() {
		f := taught(4, 4)
		first := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(7, 13_000, 3_000, 1)})
		f.PrefillDone(at(200), 1)
		second := plan(f, at(300), place.Job{ID: 2, Prompt: prompt(7, 13_000, 3_000, 2)})
		Expect(second.PrefillEngine).To(Equal(first.PrefillEngine))
		Expect(second.CachedTokens).To(Equal(13_000))
		Expect(second.PrefillTime).To(BeNumerically("<", first.PrefillTime/3))
	})

	// One portfolio is asked for by everybody. Were its home the only one to
	// read it, all would queue there while other engines are idle.
	It("spreads a popular part once its home is behind", func() {
		f := newFleet(4, 4)
		readers := map[string]bool{}
		for i := range 40 {
			p := plan(f, at(i), place.Job{ID: place.JobID(i + 1), Prompt: prompt(7, 13_000, 3_000, uint64(i))})
			readers[p.PrefillEngine] = true
		}
		Expect(len(readers)).To(BeNumerically(">", 2))
	})

	// Prompts of fifty thousand tokens come among short ones. By the number of
	// requests both look alike, and short ones wait behind long ones.
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
		p, _, ok := f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 100, 100, 1), Exclude: exclude}, patient)
		Expect(ok).To(BeTrue())
		Expect(p.PrefillEngine).To(Equal("e1"))
		_, _, ok = f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 100, 100, 1), Exclude: func(string) bool { return true }}, patient)
		Expect(ok).To(BeFalse())
	})

	// An engine that changes its role refuses all work, and so has nothing to
	// do. By its load it is the best of all, and every request loses a try there
	// until the budget of tries is used up and callers are refused.
	It("leaves engines alone that refuse work, unless there is no other", func() {
		f := newFleet(0, 3)
		f.Avoid("e0", at(500))
		for i := range 20 {
			p := plan(f, at(i), place.Job{ID: place.JobID(i + 1), Prompt: prompt(uint64(i), 0, 5_000, uint64(i))})
			Expect(p.PrefillEngine).NotTo(Equal("e0"))
		}
		f.Avoid("e1", at(500))
		f.Avoid("e2", at(500))
		_, _, ok := f.Plan(at(100), place.Job{ID: 100, Prompt: prompt(1, 100, 100, 1)}, patient)
		Expect(ok).To(BeTrue())
	})

	It("has no plan where only engines that cannot decode are left", func() {
		f := newFleet(3, 0)
		_, _, ok := f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 100, 100, 1)}, patient)
		Expect(ok).To(BeFalse())
	})

	// All gateways are killed and start again. The engines still keep what they
	// read; not knowing it, gateways would have all of it read again elsewhere.
	It("counts on what engines say they keep", func() {
		f := newFleet(3, 1)
		f.AddCachedSegments("e2", []request.Segment{{ID: 7, Tokens: 13_000}})
		p := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(7, 13_000, 3_000, 1)})
		Expect(p.PrefillEngine).To(Equal("e2"))
		Expect(p.CachedTokens).To(Equal(13_000))
	})

	// An engine crashes and starts again under its id. What it kept is gone;
	// sent there for its cache, prompts would be read whole.
	It("does not count on the cache of an engine's earlier start", func() {
		f := newFleet(2, 1)
		p := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(7, 13_000, 3_000, 1)})
		f.PrefillDone(at(200), 1)
		list := engines(2, 1)
		for i := range list {
			list[i].Incarnation = 2
		}
		f.SetEngines(list)
		again, _, _ := f.Plan(at(300), place.Job{ID: 2, Prompt: prompt(7, 13_000, 3_000, 2)}, patient)
		Expect(again.CachedTokens).To(BeZero())
		Expect(p.PrefillEngine).NotTo(BeEmpty())
	})
})

var _ = Describe("Belief", func() {
	It("tells operators what was learned of an engine", func() {
		b, ok := taught(1, 1).EngineEstimate(at(0), "e0")
		Expect(ok).To(BeTrue())
		Expect(b.Reads).To(BeNumerically(">", 50))
		Expect(b.TokensPerMS).To(BeNumerically("~", 112, 25))
		Expect(b.LatencyMS).To(BeNumerically("~", 36, 10))
		Expect(b.Slowness).To(BeNumerically("~", 1, 0.2))
		Expect(b.WaitMS).To(BeZero())
		_, ok = taught(1, 1).EngineEstimate(at(0), "e9")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("an engine that falls silent", func() {
	// An engine stops in the middle of its reads with all connections open. It
	// looks as busy as the others; each gateway would go on to send it prompts,
	// and their callers wait until they leave.
	It("gets nothing more once its longest read is overdue", func() {
		f := taught(2, 1)
		exclude := func(engine string) bool { return engine == "e1" }
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 9_000, 1), Exclude: exclude}
		p, _, _ := f.Plan(at(0), j, patient)
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

var _ = Describe("an engine that generates", func() {
	// Prompts come faster than the engines that read can take them. Those that
	// generate help; were they to read all the time, their streams would run at a
	// quarter of their pace and answers of minutes miss their deadline.
	It("reads for a bounded part of its time while others only read", func() {
		f := taught(1, 1)
		var own time.Duration
		const seconds = 5
		for ms := 0; ms < seconds*1_000; ms += 5 {
			j := place.Job{ID: place.JobID(ms + 1), Prompt: prompt(uint64(ms), 0, 4_000, uint64(ms))}
			p, _, _ := f.Plan(at(ms), j, patient)
			f.AddPlacement(at(ms), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
			if !p.Split() {
				own += p.PrefillTime
			}
		}
		Expect(own).To(BeNumerically(">", seconds*time.Second/5))
		Expect(own).To(BeNumerically("<", seconds*time.Second*6/10))
	})

	// An engine that generates is told to read for others, and later to generate
	// again. What it read in between is no reason to leave its reading idle.
	It("reads its part from the moment on at which it generates again", func() {
		f := taught(1, 2)
		as := func(role backend.Role) {
			list := engines(1, 2)
			list[1].Role = role
			f.SetEngines(list)
		}
		var id place.JobID
		read := func(ms int, exclude func(string) bool) place.Plan {
			id++
			j := place.Job{ID: id, Prompt: prompt(uint64(id), 0, 4_000, uint64(id)), Exclude: exclude}
			p, _, _ := f.Plan(at(ms), j, patient)
			f.AddPlacement(at(ms), place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
			return p
		}
		read(0, nil)
		as(backend.Prefill)
		for n := range 200 {
			read(n, func(engine string) bool { return engine == "e0" })
			f.JobFinished(at(n), id)
		}
		as(backend.Decode)
		own := 0
		for n := range 100 {
			if p := read(1_000+10*n, nil); p.PrefillEngine == "e1" {
				own++
			}
		}
		Expect(own).To(BeNumerically(">", 5))
	})

	It("reads all prompts where no other engine can", func() {
		f := taught(0, 2)
		for n := range 50 {
			p := plan(f, at(n), place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 4_000, uint64(n))})
			Expect(p.Split()).To(BeFalse())
		}
	})
})

var _ = Describe("an answer that is handed over", func() {
	// Engines that generate put it before the prompts that they read themselves. By
	// an expectation that counts those in full, engines that only read stand idle
	// while callers are refused as too late.
	It("is expected as it was seen, whatever its engine has to read", func() {
		const seen = 25 * time.Millisecond
		f := taught(1, 1)
		notReader := func(engine string) bool { return engine == "e0" }
		id := place.JobID(0)
		ask := func(ms int, exclude func(string) bool) place.Plan {
			id++
			return plan(f, at(ms), place.Job{ID: id, Prompt: prompt(uint64(id), 0, 3_000, uint64(id)), Exclude: exclude})
		}
		var last place.Plan
		for n := range 200 {
			ms := 500 * n
			var own []place.JobID
			for range 4 {
				ask(ms, notReader)
				own = append(own, id)
			}
			if last = ask(ms, nil); last.Split() {
				read := at(ms).Add(readTime(true, 3_000))
				f.PrefillDone(read, id)
				f.FirstToken(read.Add(seen), id)
				f.JobFinished(read.Add(seen), id)
			}
			for n, id := range own {
				ended := at(ms).Add(readTime(false, 3_000*(n+1)))
				f.PrefillDone(ended, id)
				f.JobFinished(ended, id)
			}
		}
		Expect(last.Split()).To(BeTrue())
		Expect(last.ExpectedTTFT()).To(BeNumerically("~", readTime(true, 3_000)+seen, 30*time.Millisecond))
	})
})

var _ = Describe("groups", func() {
	It("are one where a few dozen gateways can hear of everything", func() {
		Expect(place.GroupCount(20, 12)).To(BeEquivalentTo(1))
		Expect(place.GroupCount(63, 1_000)).To(BeEquivalentTo(1))
		Expect(place.GroupCount(350, 600)).To(BeEquivalentTo(10))
	})

	It("have engines of both roles each", func() {
		Expect(place.GroupCount(350, 12)).To(BeEquivalentTo(1))
		Expect(place.GroupCount(350, 100)).To(BeEquivalentTo(4))
	})

	It("place on engines of their own, which no other group does", func() {
		f := newFleet(60, 40)
		users := map[string]map[uint64]bool{}
		for n := range 1_000 {
			group := place.Group{Index: uint64(n) % 4, Count: 4}
			p := plan(f, at(n), place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 5_000, uint64(n)), Group: group})
			for _, id := range []string{p.PrefillEngine, p.DecodeEngine} {
				if users[id] == nil {
					users[id] = map[uint64]bool{}
				}
				users[id][group.Index] = true
			}
		}
		Expect(len(users)).To(BeNumerically(">", 80))
		for _, groups := range users {
			Expect(groups).To(HaveLen(1))
		}
	})

	// All engines of a group are lost with a rack, or change their roles. Its
	// gateways would refuse everybody while the other groups' engines are idle.
	It("use others' engines when their own fail", func() {
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

var _ = Describe("the work at an engine", func() {
	It("shrinks as time passes and ends with the read", func() {
		f := newFleet(1, 1)
		p := plan(f, at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 50_000, 1)})
		waiting := func(ms int) time.Duration {
			q, _, _ := f.Plan(at(ms), place.Job{ID: 2, Prompt: prompt(2, 0, 60_000, 2), Exclude: func(id string) bool { return false }}, patient)
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

	// The gateway that sent a prompt is killed and never tells its end. The
	// others would take the engine for busy for good.
	It("is forgotten when nobody tells its end", func() {
		f := newFleet(1, 1)
		plan(f, at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 50_000, 1)})
		q, _, _ := f.Plan(at(10_000), place.Job{ID: 2, Prompt: prompt(2, 0, 1_000, 2)}, patient)
		Expect(q.QueueDelay).To(BeZero())
	})

	// The datagram that tells the end of an answer is lost, on a bad day one in
	// twenty. Each would count at its decoder for good: after some minutes the
	// engines that answer most seem the slowest, and prompts avoid them.
	It("holds no answer for longer than its caller waits", func() {
		f := newFleet(1, 1)
		for i := range 20 {
			j := place.Job{ID: place.JobID(i + 1), Prompt: prompt(1, 0, 1_000, uint64(i))}
			p, _, _ := f.Plan(at(i), j, patient)
			f.AddPlacement(at(i), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: 5 * time.Second})
			f.PrefillDone(at(i+1), j.ID)
		}
		f.Plan(at(4_000), place.Job{ID: 100, Prompt: prompt(2, 0, 1_000, 2)}, patient)
		Expect(f.InFlight("e1")).To(Equal(20))
		f.Plan(at(9_000), place.Job{ID: 100, Prompt: prompt(2, 0, 1_000, 2)}, patient)
		Expect(f.InFlight("e1")).To(BeZero())
	})

	// An engine crashes with an answer running and starts again under its id.
	// The end of that answer is told late; taken off the new start's answers, the
	// engine would seem idle while it works.
	It("keeps the answers of two starts of an engine apart", func() {
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

	// The decoder that a plan named refuses and another takes the answer. Were
	// it still counted at the first, the one that generates would seem idle.
	It("moves with an answer to another decoder", func() {
		f := newFleet(1, 2)
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 1_000, 1)}
		p := plan(f, at(0), j)
		f.PrefillDone(at(10), 1)
		refused := p.DecodeEngine
		j.Exclude = func(id string) bool { return id == refused }
		other, ok := f.AlternateDecodeEngine(at(20), j, patient, p)
		Expect(ok).To(BeTrue())
		f.SetDecodeEngine(at(20), 1, other.DecodeEngine)
		Expect(f.InFlight(refused)).To(BeZero())
		Expect(f.InFlight(other.DecodeEngine)).To(Equal(1))
		f.JobFinished(at(30), 1)
		Expect(f.InFlight(other.DecodeEngine)).To(BeZero())
	})
})

// readTime is how long the engines of these tests take to read a prompt that
// they do not keep, when idle. Those that generate read at half the speed.
func readTime(split bool, tokens int) time.Duration {
	const latency, perToken = 36 * time.Millisecond, time.Millisecond / 112
	if !split {
		tokens *= 2
	}
	return latency + time.Duration(tokens)*perToken
}

// taught is a fleet that has seen its engines read prompts of many lengths, one
// at a time, for some minutes before the tests' time begins.
func taught(prefill, decode int) *place.Fleet {
	f := newFleet(prefill, decode)
	for n := range 400 {
		now := at(1_000*n - 1_000_000)
		id := place.JobID(1<<50 + n)
		exclude := func(engine string) bool { return engine != "e"+strconv.Itoa(n%(prefill+decode)) && n%2 == 0 }
		j := place.Job{ID: id, Prompt: prompt(1<<60+uint64(n), 0, 500+n*150, 1<<50+uint64(n)), Exclude: exclude}
		p, _, ok := f.Plan(now, j, patient)
		if !ok {
			continue
		}
		f.AddPlacement(now, place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
		read := now.Add(readTime(p.Split(), j.Prompt.Tokens))
		f.PrefillDone(read, id)
		f.JobFinished(read, id)
	}
	return f
}

var _ = Describe("admission", func() {
	urgent := place.Constraints{Objective: 500 * time.Millisecond, Remaining: 5 * time.Second}

	// A gateway has just started and has seen no engine at work. Refused by what
	// it guesses, callers would be sent away from an idle fleet; and as nothing
	// is read, it would never learn better.
	It("refuses nobody by an expectation that rests on nothing", func() {
		f := newFleet(1, 1)
		for n := range 30 {
			j := place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 100_000, uint64(n))}
			p, a, ok := f.Plan(at(n), j, urgent)
			Expect(ok).To(BeTrue())
			Expect(a.Admit).To(BeTrue())
			f.AddPlacement(at(n), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
		}
	})

	// All gateways are restarted, and the engines that generate have work of which
	// nobody knows any more. The first prompts sent there hang, what comes after
	// them is late too, and nothing was learned from reads that are late for
	// another reason than their engine's speed. Unknown, the engines were given any
	// number of prompts and stayed behind; half of all callers waited until they
	// left, to the end of the day.
	It("ends the trust in engines that it does not know once their reads are late", func() {
		const (
			first = 500 // ms
			every = 10  // ms
			late  = 1_000
			reads = 400
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
		ask(reads+1, 0)
		ask(reads+2, 0)
		expectedInTime := 0
		for n := range reads {
			ms := first + every*n
			if a := ask(n, ms); n > reads/2 && a.Admit && a.Priority == place.OnTimePriority {
				expectedInTime++
			}
			f.PrefillDone(at(ms), place.JobID(n-late/every))
			f.JobFinished(at(ms), place.JobID(n-late/every))
		}
		Expect(expectedInTime).To(BeZero())
	})

	It("lets in what can be in time, whatever waits elsewhere", func() {
		_, a, _ := newFleet(2, 2).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 5_000, 1)}, urgent)
		Expect(a.Admit).To(BeTrue())
		Expect(a.Priority).To(Equal(place.OnTimePriority))
	})

	// A prompt of fifty thousand tokens cannot be in time on an idle engine.
	// Its caller still wants the answer, and nobody else waits.
	It("lets a prompt in that is late by its own length, if it need not wait", func() {
		_, a, _ := taught(1, 1).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 60_000, 1)}, urgent)
		Expect(a.Admit).To(BeTrue())
		Expect(a.Priority).To(Equal(place.LatePriority))
	})

	// In a burst of long prompts every engine has a queue, and notes of two hundred
	// tokens come too, which cannot be in time any more. Behind all others they are
	// never read, as long as the burst lasts, and their callers, who would wait
	// fifteen seconds for the answer but only two for its first token, leave.
	It("does not put a short prompt behind long ones because it is late", func() {
		f := taught(0, 1)
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

	// Three times what the fleet can read comes for ten seconds. Were all let
	// in, every one would be late from the second second on and for long after;
	// most must be answered in time, the others told at once when to return.
	It("keeps most of those let in on time in saturation, and ends with the burst", func() {
		f := taught(7, 5)
		type running struct{ done time.Time }
		inTime, let, refused := 0, 0, 0
		ends := map[place.JobID]running{}
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
				// The engines work on after the last caller has come.
				continue
			}
			id := place.JobID(ms + 1)
			j := place.Job{ID: id, Prompt: prompt(uint64(ms), 0, 9_000, uint64(ms))}
			p, a, ok := f.Plan(now, j, urgent)
			Expect(ok).To(BeTrue())
			if !a.Admit {
				refused++
				Expect(a.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
				Expect(a.RetryAfter).To(BeNumerically("<=", urgent.Remaining/3))
				continue
			}
			let++
			f.AddPlacement(now, place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: urgent.Remaining})
			ends[id] = running{done: now.Add(p.ExpectedTTFT())}
			if p.ExpectedTTFT() <= urgent.Objective {
				inTime++
			}
		}
		Expect(refused).To(BeNumerically(">", 1_000))
		Expect(let).To(BeNumerically(">", 600))
		Expect(float64(inTime)).To(BeNumerically(">", 0.9*float64(let)))
		_, a, _ := f.Plan(at(11_000), place.Job{ID: 1 << 40, Prompt: prompt(1, 0, 9_000, 1)}, urgent)
		Expect(a.Priority).To(Equal(place.OnTimePriority))
	})

	// More is asked for than the engines read, for seconds. Told to return in a
	// tenth of a second, all who are refused come back within the same burst and
	// are refused for good; told so when a queue is too long for a moment only,
	// they would miss the time in which they could still be answered well.
	It("asks callers back the later the more of them are refused", func() {
		f := taught(1, 1)
		for n := range 10 {
			j := place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 9_000, uint64(n))}
			p, _, _ := f.Plan(at(0), j, patient)
			f.AddPlacement(at(0), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
		}
		var waits []time.Duration
		for n := range 60 {
			_, a, _ := f.Plan(at(1), place.Job{ID: place.JobID(100 + n), Prompt: prompt(9, 0, 9_000, 9)}, urgent)
			Expect(a.Admit).To(BeFalse())
			waits = append(waits, a.RetryAfter)
		}
		Expect(waits[0]).To(BeNumerically("<", 700*time.Millisecond))
		Expect(waits[59]).To(Equal(urgent.Remaining / 3))
	})

	It("refuses at once what its deadline would cut", func() {
		_, a, _ := taught(1, 1).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 53_000, 1)},
			place.Constraints{Objective: 100 * time.Millisecond, Remaining: 300 * time.Millisecond})
		Expect(a.Admit).To(BeFalse())
	})
})

var _ = Describe("an entry whose own link is full", func() {
	// Requests and answers of one entry wait at its link for a quarter of a second.
	// By the engines alone its callers seem to be in time; they all are late, while
	// other entries would serve them.
	It("refuses callers that it would answer late", func() {
		urgent := place.Constraints{Objective: 500 * time.Millisecond, Remaining: 5 * time.Second}
		type end struct {
			id place.JobID
			at time.Time
		}
		admitted := func(linkWait time.Duration) int {
			f := taught(4, 4)
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
				read := now.Add(readTime(p.Split(), j.Prompt.Tokens))
				if n%2 == 0 {
					f.PrefillDone(read, j.ID)
					f.JobFinished(read, j.ID)
					continue
				}
				ends = append(ends, end{id: j.ID, at: read.Add(linkWait)})
				if n > 100 && a.Admit {
					admitted++
				}
			}
			return admitted
		}
		Expect(admitted(0)).To(Equal(50))
		Expect(admitted(900 * time.Millisecond)).To(BeNumerically("<", 25))
	})

	// Guards against entries that all refuse everybody while the engines are idle, each
	// as its own link seems full: after a restart reads waited behind work of which
	// nobody knew.
	It("does not take for its own what delays the reads of all", func() {
		f := taught(4, 4)
		const reads, late = 40, 1_000
		for n := range reads {
			j := place.Job{ID: place.JobID(n + 1), Prompt: prompt(uint64(n), 0, 1_000, uint64(n))}
			plan(f, at(10*n), j)
		}
		for n := range reads {
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

var _ = Describe("a read that fails", func() {
	// Engines that read are lost, and sends to them fail within milliseconds. The
	// engines that were to generate seem to keep the prompts, though nothing was
	// handed over: each request is then sent there, read whole between the tokens
	// of others, and first tokens there take seconds.
	It("leaves nothing kept at the engines of its plan", func() {
		f := taught(1, 1)
		j := place.Job{ID: 1, Prompt: prompt(7, 13_000, 2_500, 1)}
		failed := plan(f, at(0), j)
		Expect(failed.Split()).To(BeTrue())
		f.JobFinished(at(2), j.ID)
		j.Exclude = func(engine string) bool { return engine == failed.PrefillEngine }
		Expect(plan(f, at(2), j).CachedTokens).To(BeZero())
		f.JobFinished(at(3), j.ID)
		again, _, ok := f.Plan(at(3), place.Job{ID: 3, Prompt: j.Prompt}, patient)
		Expect(ok).To(BeTrue())
		Expect(again.CachedTokens).To(BeZero())
	})

	// One of two requests for the same portfolio fails while the other is read.
	It("leaves what the engine kept before", func() {
		f := taught(1, 1)
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

	// The answer to a read is lost after the engine made it. The next prompt with the
	// same part would be read by another engine once more.
	It("is kept if only its answer was lost", func() {
		f := taught(1, 1)
		j := place.Job{ID: 1, Prompt: prompt(7, 13_000, 2_500, 1)}
		lost := plan(f, at(0), j)
		f.JobFinished(at(int(lost.ExpectedTTFT().Milliseconds())+50), j.ID)
		next, _, ok := f.Plan(at(1_000), place.Job{ID: 2, Prompt: prompt(7, 13_000, 2_500, 2)}, patient)
		Expect(ok).To(BeTrue())
		Expect(next.PrefillEngine).To(Equal(lost.PrefillEngine))
		Expect(next.CachedTokens).To(Equal(13_000))
	})
})

var _ = Describe("a request under which an engine ended", func() {
	// The next engine may end as well, and break off all that runs there.
	It("goes to the engine with the fewest answers", func() {
		f := taught(1, 3)
		for n := range 10 {
			f.AddPlacement(at(0), place.Placement{
				ID: place.JobID(100 + n), Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: []string{"e1", "e2"}[n%2]}, Remaining: time.Minute,
			})
			f.PrefillDone(at(0), place.JobID(100+n))
		}
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 1_000, 1), Suspect: true}
		f.AddCachedSegments("e1", j.Prompt.Segments)
		p, _, ok := f.Plan(at(10), j, patient)
		Expect(ok).To(BeTrue())
		Expect(p.DecodeEngine).To(Equal("e3"))
		j.Suspect = false
		p, _, _ = f.Plan(at(10), j, patient)
		Expect(p.DecodeEngine).To(Equal("e1"))
	})
})
