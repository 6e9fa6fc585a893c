package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
)

const (
	// gatewayDowntime is how long no gateway takes requests, and resumeWindow the time
	// within which the callers of interrupted answers resume them.
	gatewayDowntime = 2 * time.Second
	resumeWindow    = 250 * time.Millisecond
	// usualRate and burstRate are in answers per second.
	usualRate = 14
	burstRate = 24
)

// loseGateways interrupts all running answers, as the loss of all gateways does. Their
// callers resume them together once the gateways are back.
func (s *answerSim) loseGateways() {
	lost := s.running
	s.running = nil
	for _, a := range lost {
		s.fleet.JobFinished(s.now, a.id)
	}
	s.now = s.now.Add(gatewayDowntime)
	s.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, a := range lost {
		s.now = s.now.Add(resumeWindow / time.Duration(len(lost)))
		a.generated = float64(int(a.generated))
		if a.finished = s.now.After(a.deadline); !a.finished {
			s.placeAnswer(s.now, a)
		}
	}
}

// simulateGatewayLoss simulates a burst of answers on eight engines of which four
// generated, the loss of all gateways, and what follows. It returns the fractions of
// the longest tenth and of all answers that were completed before their deadlines.
func simulateGatewayLoss(seed uint64) (longest, all float64) {
	var list []roles.Engine
	for _, e := range engines(4, 4) {
		list = append(list, roles.Engine{ID: e.ID, DataCentre: e.DataCentre, Role: e.Role})
	}
	share := roles.DecodeShare(list, roles.AnswerStats{MaxEvents: int(answerDeadline / (250 * time.Millisecond))})
	decodeEngines := 4
	for _, m := range roles.Decide(list, share) {
		if m.Role == backend.Prefill {
			decodeEngines--
		}
	}
	s := &answerSim{
		fleet:     newFleet(8-decodeEngines, decodeEngines),
		rng:       rand.New(rand.NewPCG(seed, 37)),
		slowdown:  map[string]float64{"e4": 1, "e5": 1, "e6": 1.3, "e7": 1},
		prefillMS: 10,
	}
	if decodeEngines < 4 {
		delete(s.slowdown, "e4")
	}
	s.run(usualRate)
	before := len(s.all) - len(s.running)
	s.runFor(10*time.Second, burstRate)
	s.loseGateways()
	s.runFor(16*time.Second, usualRate)
	return completionRates(s.all[before:])
}

// Guards against cutting off answers that are resumed together, at all engines: those
// that cannot complete delay the others, and what each has generated is wasted.
func TestResumedAnswersCompleteInTimeWhateverTheirLength(t *testing.T) {
	RegisterTestingT(t)
	for seed := range uint64(5) {
		longest, all := simulateGatewayLoss(seed)
		if longest < all/2 {
			t.Errorf("seed %d: completed in time: %.2f of the longest tenth, %.2f of all", seed, longest, all)
		}
	}
}

var _ = Describe("an answer that its caller resumes", func() {
	// answers returns a fleet that has learned from answers of a hundred events with 50
	// ms between two events.
	answers := func() *place.Fleet {
		f := calibratedFleet(1, 1)
		for n := range 200 {
			f.ObserveAnswerLength(100, 90+n%20)
			id := place.JobID(1<<40 + n)
			f.AddPlacement(at(0), place.Placement{ID: id, Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: "e1"}, Remaining: time.Minute})
			f.PrefillDone(at(0), id)
			f.ObserveInterEventTime(at(0), id, 50*time.Millisecond)
			f.JobFinished(at(0), id)
		}
		return f
	}
	resumed := func(done int) place.Job {
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 200, 1)}
		j.Prompt.ExpectedOutputTokens, j.Prompt.DeliveredEvents = 20_000, done
		return j
	}

	It("prefills what was already generated", func() {
		f := answers()
		fresh, _, _ := f.Plan(at(0), resumed(0), unhurried)
		again, _, _ := f.Plan(at(0), resumed(10_000), unhurried)
		Expect(again.PrefillTime).To(BeNumerically(">", 2*fresh.PrefillTime))
	})

	// If it were started anyway, it would hold a slot until its caller times out, and
	// delay answers that can complete.
	It("is rejected immediately if it cannot complete before its deadline", func() {
		f := answers()
		oneSecond := place.Constraints{Objective: time.Second, Remaining: time.Second}
		_, a, ok := f.Plan(at(0), resumed(10_000), oneSecond)
		Expect(ok).To(BeTrue())
		Expect(a.Admit).To(BeFalse())
		Expect(a.RetryAfter).To(BeNumerically("<=", time.Second/3))
		_, a, _ = f.Plan(at(0), resumed(10_000), unhurried)
		Expect(a.Admit).To(BeTrue())
	})

	// It may have run, so that its caller could only be told that it failed.
	It("is not rejected once some of it came from this gateway", func() {
		committed := place.Constraints{Objective: time.Second, Remaining: time.Second, Committed: true}
		_, a, _ := answers().Plan(at(0), resumed(10_000), committed)
		Expect(a.Admit).To(BeTrue())
	})
})

// Guards against the wrong estimate of one gateway, that prefills take no time,
// becoming that of all gateways that start after it.
func TestRestoreIgnoresPrefillEstimates(t *testing.T) {
	RegisterTestingT(t)
	source := newFleet(1, 1)
	for n := range 500 {
		id := place.JobID(n)
		source.AddPlacement(at(n), place.Placement{
			ID: id, Prompt: prompt(uint64(n), 0, 5_000, uint64(n)), Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: "e1"}, Remaining: time.Minute,
		})
		source.PrefillDone(at(n), id)
		source.ObserveInterEventTime(at(n), id, 50*time.Millisecond)
		source.ObserveAnswerLength(100, 100)
		source.JobFinished(at(n), id)
	}
	snapshot, ok := source.Snapshot()
	Expect(ok).To(BeTrue())
	before, _, _ := newFleet(1, 1).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 5_000, 1)}, unhurried)
	f := newFleet(1, 1)
	Expect(f.Restore(snapshot)).To(Succeed())
	after, _, _ := f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 5_000, 1)}, unhurried)
	Expect(after.PrefillTime).To(Equal(before.PrefillTime))
	Expect(after.Calibrated).To(BeFalse())
}
