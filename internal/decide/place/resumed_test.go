package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
		p.fleet.Ended(p.now, n.id)
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

// Guards against answers that are resumed together being cut at all engines: those
// that cannot end delay the others, and what each has generated counts for nothing.
func TestResumedAnswersEndInTimeWhateverTheirLength(t *testing.T) {
	RegisterTestingT(t)
	for seed := range uint64(5) {
		p := &notePlay{
			fleet:    newFleet(5, 3),
			rng:      rand.New(rand.NewPCG(seed, 37)),
			slowness: map[string]float64{"e5": 1, "e6": 1.3, "e7": 1},
			readMS:   10,
		}
		p.play(usualRate)
		before := len(p.all) - len(p.running)
		p.playFor(10*time.Second, burstRate)
		p.lose()
		p.playFor(16*time.Second, usualRate)
		longest, all := wholeOf(p.all[before:])
		if longest < all/2 {
			t.Errorf("seed %d: of the longest tenth %.2f ended in time, of all %.2f", seed, longest, all)
		}
	}
}
