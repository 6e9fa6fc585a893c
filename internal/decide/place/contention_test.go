package place_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

const (
	contentionEngines  = 8
	contentionGateways = 4
	contentionPeriod   = 600 // ms
	contentionLatency  = 3   // ms, of announcements
)

// contentionSim simulates engines whose machines are contended 15% of the time, for 600 ms
// at a time, and gateways that learn late of each other's prompts. A step is 1 ms.
type contentionSim struct {
	rng      *rand.Rand
	fleets   []*place.Fleet
	factors  [contentionEngines]float64
	prompts  [contentionEngines][]*simPrompt
	messages map[int][]func(*place.Fleet)
	// reported is false if engines report no contention, lost the fraction of announcements
	// that get lost, and falsely, if set, returns what the first engine reports.
	reported bool
	lost     float64
	falsely  func(ms int) float64
	ttfts    []time.Duration
}

type simPrompt struct {
	id      place.JobID
	gateway int
	sent    int
	work    float64 // ms
}

func newContentionSim(reported bool, lost float64) *contentionSim {
	s := &contentionSim{rng: rand.New(rand.NewPCG(7, 7)), messages: map[int][]func(*place.Fleet){}, reported: reported, lost: lost}
	for range contentionGateways {
		s.fleets = append(s.fleets, newFleet(contentionEngines, 1))
	}
	for i := range s.factors {
		s.factors[i] = 1
	}
	return s
}

func (s *contentionSim) announce(ms, from int, handle func(*place.Fleet)) {
	for to, f := range s.fleets {
		if to != from && s.rng.Float64() >= s.lost {
			s.messages[ms+contentionLatency] = append(s.messages[ms+contentionLatency], func(*place.Fleet) { handle(f) })
		}
	}
}

func (s *contentionSim) send(ms int) {
	from, id := s.rng.IntN(contentionGateways), place.JobID(ms+1)
	j := place.Job{ID: id, Prompt: prompt(uint64(id), 0, 2_000+s.rng.IntN(10_000), uint64(id))}
	p, _, ok := s.fleets[from].Plan(at(ms), j, unhurried)
	Expect(ok).To(BeTrue())
	if !p.Split() {
		return
	}
	placement := place.Placement{ID: id, Prompt: j.Prompt, Plan: p, Remaining: time.Minute}
	s.fleets[from].AddPlacement(at(ms), placement)
	s.announce(ms, from, func(f *place.Fleet) { f.AddPlacement(at(ms+contentionLatency), placement) })
	engine, err := strconv.Atoi(p.PrefillEngine[1:])
	Expect(err).NotTo(HaveOccurred())
	s.prompts[engine] = append(s.prompts[engine], &simPrompt{id: id, gateway: from, sent: ms, work: float64(j.Prompt.Tokens) / 112})
}

func (s *contentionSim) done(ms, engine int, p *simPrompt) {
	own := s.fleets[p.gateway]
	r := contention.Report{Factor: s.factors[engine], At: at(ms)}
	if engine == 0 && s.falsely != nil {
		r.Factor = s.falsely(ms)
	}
	if s.reported {
		own.ObserveContention(at(ms), "e"+strconv.Itoa(engine), r)
	}
	r.Factor = contention.Decode(contention.Encode(own.PrefillContention(at(ms), p.id)))
	own.LocalPrefillDone(at(ms), p.id)
	own.JobFinished(at(ms), p.id)
	s.announce(ms, p.gateway, func(f *place.Fleet) {
		f.ObserveJobContention(at(ms+contentionLatency), p.id, r)
		f.PrefillDone(at(ms+contentionLatency), p.id)
		f.JobFinished(at(ms+contentionLatency), p.id)
	})
	s.ttfts = append(s.ttfts, at(ms).Sub(at(p.sent)))
}

// run returns the median and the 95th percentile of the times to first token.
func (s *contentionSim) run(seconds, perSecond int) (p50, p95 time.Duration) {
	for ms := range seconds * 1_000 {
		for engine := range s.factors {
			if (ms+engine*contentionPeriod/contentionEngines)%contentionPeriod == 0 {
				s.factors[engine] = 1
				if s.rng.Float64() < 0.15 {
					s.factors[engine] = 2.5
				}
			}
			if len(s.prompts[engine]) == 0 {
				continue
			}
			head := s.prompts[engine][0]
			if head.work -= 1 / s.factors[engine]; head.work <= 0 {
				s.prompts[engine] = s.prompts[engine][1:]
				s.done(ms, engine, head)
			}
		}
		for _, handle := range s.messages[ms] {
			handle(nil)
		}
		delete(s.messages, ms)
		if s.rng.IntN(1_000) < perSecond {
			s.send(ms)
		}
	}
	times := s.ttfts[len(s.ttfts)/5:]
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*95/100]
}

// spread returns the ratio of the slowest to the fastest engine as learned; they are equal.
func (s *contentionSim) spread() float64 {
	least, most := 100.0, 0.0
	for i := range contentionEngines {
		slowdown := s.fleets[0].Speed("e" + strconv.Itoa(i)).Slowdown
		if slowdown == 0 {
			continue // too few samples
		}
		least, most = min(least, slowdown), max(most, slowdown)
	}
	return most / least
}

var _ = Describe("contention", func() {
	// Guards against prompts that queue at contended engines while others are free, and
	// against contention that is learned as the speed of an engine.
	It("shortens the wait of callers and is not learned as speed", func() {
		for _, perSecond := range []int{30, 50, 65} {
			without := newContentionSim(false, 0)
			with := newContentionSim(true, 0)
			lossy := newContentionSim(true, 0.3)
			lossyWithout := newContentionSim(false, 0.3)
			a50, a95 := without.run(60, perSecond)
			b50, b95 := with.run(60, perSecond)
			c50, c95 := lossy.run(60, perSecond)
			d50, d95 := lossyWithout.run(60, perSecond)
			GinkgoWriter.Println(perSecond, "without", a50, a95, without.spread(), "with", b50, b95, with.spread(), "lossy", c50, c95, "lossy without", d50, d95)
			Expect(b50).To(BeNumerically("<=", a50))
			Expect(b95).To(BeNumerically("<", a95))
			Expect(c95).To(BeNumerically("<", d95))
			Expect(with.spread()).To(BeNumerically("<", without.spread()))
		}
	})

	// Guards against an engine that attracts or loses all prompts by false reports. What is
	// false for long is made up for by the speed that is learned.
	It("does not harm callers much if one engine reports nonsense", func() {
		without50, without95 := newContentionSim(false, 0).run(60, 50)
		for name, falsely := range map[string]func(ms int) float64{
			"low":      func(int) float64 { return 0.001 },
			"as usual": func(int) float64 { return 1 },
			"huge":     func(int) float64 { return 1e9 },
			"swinging": func(ms int) float64 { return []float64{0.001, 1e9}[ms/500%2] },
		} {
			s := newContentionSim(true, 0)
			s.falsely = falsely
			p50, p95 := s.run(60, 50)
			GinkgoWriter.Println("first engine", name, p50, p95, "without", without50, without95)
			Expect(p50).To(BeNumerically("<=", without50), name)
			Expect(p95).To(BeNumerically("<=", without95), name)
		}
	})

	// Guards against engines that are used differently where nothing is reported, or only
	// what is usual, and against a report that outlives its engine.
	It("changes nothing where none is reported, or the usual one", func() {
		plain, usual := calibratedFleet(2, 2), calibratedFleet(2, 2)
		usual.ObserveContention(at(0), "e0", contention.Report{Factor: 1, At: at(0)})
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 9_000, 1)}
		Expect(plan(usual, at(10), j)).To(Equal(plan(plain, at(10), j)))
	})

	It("multiplies the expected times of an engine, until it fades", func() {
		const reported, relative = 1.5, 1.465 // the mean so far is 1.024
		f := calibratedFleet(1, 1)
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 9_000, 1)}
		before, _, _ := f.Plan(at(0), j, unhurried)
		Expect(before.PrefillEngine).To(Equal("e0"))
		f.ObserveContention(at(0), "e0", contention.Report{Factor: reported, At: at(0)})
		contended := plan(f, at(0), j)
		Expect(contended.PrefillEngine).To(Equal("e0"))
		Expect(float64(contended.PrefillTime)).To(BeNumerically("~", relative*float64(before.PrefillTime), 0.01*float64(before.PrefillTime)))
		estimate, _ := f.EngineEstimate(at(0), "e0")
		Expect(estimate.QueueDelayMS).To(BeNumerically("~", contended.PrefillTime.Seconds()*1_000, 0.01))
		f.JobFinished(at(1), 1)
		faded, _, _ := f.Plan(at(300), j, unhurried)
		Expect(faded.PrefillTime).To(Equal(before.PrefillTime))
		f.SetEngines([]place.Engine{{ID: "e0", Role: backend.Prefill, Incarnation: 2}})
		Expect(f.Contention("e0")).To(BeZero())
	})
})
