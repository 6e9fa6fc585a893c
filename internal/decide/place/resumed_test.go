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
	// downTime is for how long no gateway takes requests, backWithin the time within
	// which the callers of broken answers are back.
	downTime   = 2 * time.Second
	backWithin = 250 * time.Millisecond
	// usualRate and burstRate are answers a second.
	usualRate = 14
	burstRate = 24
)

// lose breaks off all running answers, as the loss of all gateways does. Their
// callers resume them together once the gateways are back.
func (p *notePlay) lose() {
	lost := p.running
	p.running = nil
	for _, n := range lost {
		p.fleet.JobFinished(p.now, n.id)
	}
	p.now = p.now.Add(downTime)
	p.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, n := range lost {
		p.now = p.now.Add(backWithin / time.Duration(len(lost)))
		n.made = float64(int(n.made))
		if n.ended = p.now.After(n.deadline); !n.ended {
			p.run(p.now, n)
		}
	}
}

// playLoss plays a burst of answers at eight engines of which four generated, the loss
// of all gateways, and what follows. It returns which part of the longest tenth and of
// all of the answers ended before their deadlines.
func playLoss(seed uint64) (longest, all float64) {
	var list []roles.Engine
	for _, e := range engines(4, 4) {
		list = append(list, roles.Engine{ID: e.ID, DataCentre: e.DataCentre, Role: e.Role})
	}
	share := roles.DecodeShare(list, roles.AnswerStats{MaxEvents: int(answerDeadline / (250 * time.Millisecond))})
	decoders := 4
	for _, m := range roles.Decide(list, share) {
		if m.Role == backend.Prefill {
			decoders--
		}
	}
	p := &notePlay{
		fleet:    newFleet(8-decoders, decoders),
		rng:      rand.New(rand.NewPCG(seed, 37)),
		slowness: map[string]float64{"e4": 1, "e5": 1, "e6": 1.3, "e7": 1},
		readMS:   10,
	}
	if decoders < 4 {
		delete(p.slowness, "e4")
	}
	p.play(usualRate)
	before := len(p.all) - len(p.running)
	p.playFor(10*time.Second, burstRate)
	p.lose()
	p.playFor(16*time.Second, usualRate)
	return wholeOf(p.all[before:])
}

// Guards against answers that are resumed together being cut at all engines: those
// that cannot end delay the others, and what each has generated counts for nothing.
func TestResumedAnswersEndInTimeWhateverTheirLength(t *testing.T) {
	RegisterTestingT(t)
	for seed := range uint64(5) {
		longest, all := playLoss(seed)
		if longest < all/2 {
			t.Errorf("seed %d: of the longest tenth %.2f ended in time, of all %.2f", seed, longest, all)
		}
	}
}

var _ = Describe("an answer that its caller resumes", func() {
	// answers knows answers of a hundred events and of 50 ms between two.
	answers := func() *place.Fleet {
		f := taught(1, 1)
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
		j.Prompt.Output, j.Prompt.Done = 20_000, done
		return j
	}

	It("has what was generated read again", func() {
		f := answers()
		fresh, _, _ := f.Plan(at(0), resumed(0), patient)
		again, _, _ := f.Plan(at(0), resumed(10_000), patient)
		Expect(again.PrefillTime).To(BeNumerically(">", 2*fresh.PrefillTime))
	})

	// Begun all the same, it holds a place until its caller leaves, and delays answers
	// that can end.
	It("is refused at once if it cannot end before its deadline", func() {
		f := answers()
		second := place.Constraints{Objective: time.Second, Remaining: time.Second}
		_, a, ok := f.Plan(at(0), resumed(10_000), second)
		Expect(ok).To(BeTrue())
		Expect(a.Admit).To(BeFalse())
		Expect(a.RetryAfter).To(BeNumerically("<=", time.Second/3))
		_, a, _ = f.Plan(at(0), resumed(10_000), patient)
		Expect(a.Admit).To(BeTrue())
	})

	// It may have run, so that its caller can only be told that it failed.
	It("is not refused once a part of it came from this entry", func() {
		u := place.Constraints{Objective: time.Second, Remaining: time.Second, Committed: true}
		_, a, _ := answers().Plan(at(0), resumed(10_000), u)
		Expect(a.Admit).To(BeTrue())
	})
})

// Guards against the wrong belief of one entry, that reads take no time, becoming that
// of all which start after it.
func TestWhatIsBelievedOfReadsIsNotTakenOver(t *testing.T) {
	RegisterTestingT(t)
	wrong := newFleet(1, 1)
	for n := range 500 {
		id := place.JobID(n)
		wrong.AddPlacement(at(n), place.Placement{
			ID: id, Prompt: prompt(uint64(n), 0, 5_000, uint64(n)), Plan: place.Plan{PrefillEngine: "e0", DecodeEngine: "e1"}, Remaining: time.Minute,
		})
		wrong.PrefillDone(at(n), id)
		wrong.ObserveInterEventTime(at(n), id, 50*time.Millisecond)
		wrong.ObserveAnswerLength(100, 100)
		wrong.JobFinished(at(n), id)
	}
	state, ok := wrong.Snapshot()
	Expect(ok).To(BeTrue())
	before, _, _ := newFleet(1, 1).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 5_000, 1)}, patient)
	f := newFleet(1, 1)
	Expect(f.Restore(state)).To(Succeed())
	after, _, _ := f.Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 5_000, 1)}, patient)
	Expect(after.PrefillTime).To(Equal(before.PrefillTime))
	Expect(after.Calibrated).To(BeFalse())
}
