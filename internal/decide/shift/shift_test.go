package shift_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

func TestShift(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shift")
}

var start = time.Unix(1_000_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var capacity = shift.Capacity{PrefillTokens: 10_000, DecodeTokens: 2_000}

// fleet is a small player of its own: it obeys at once and takes the change
// time to be ready.
type fleet struct {
	engines []shift.Engine
	readyAt map[string]time.Duration
	changes int
}

func newFleet(prefills, decodes int) *fleet {
	f := &fleet{readyAt: make(map[string]time.Duration)}
	for i := range prefills + decodes {
		role := shift.Decode
		if i < prefills {
			role = shift.Prefill
		}
		f.engines = append(f.engines, shift.Engine{Name: fmt.Sprintf("runner-%02d", i), Role: role, Movable: true})
	}
	return f
}

func (f *fleet) play(p *shift.Planner, from, to time.Duration, demand func(t time.Duration) shift.Demand) {
	for t := from; t < to; t += time.Second {
		for i, e := range f.engines {
			f.engines[i].Changing = e.Changing && t < f.readyAt[e.Name]
		}
		d := p.Step(at(t), shift.Fleet{Engines: f.engines, Demand: demand(t), Capacity: capacity})
		for _, c := range d.Changes {
			f.obey(c, t)
		}
	}
}

func (f *fleet) obey(c shift.Change, t time.Duration) {
	f.changes++
	for i, e := range f.engines {
		if e.Name == c.Name {
			f.engines[i].Role, f.engines[i].Changing, f.engines[i].RoleSince = c.To, true, at(t)
			f.readyAt[e.Name] = t + shift.DefaultChangeTime
		}
	}
}

func (f *fleet) prefills() int {
	n := 0
	for _, e := range f.engines {
		if e.Role == shift.Prefill {
			n++
		}
	}
	return n
}

// engines is a demand in engines.
func engines(prefill, decode float64) shift.Demand {
	return shift.Demand{PrefillTokens: prefill * capacity.PrefillTokens, DecodeTokens: decode * capacity.DecodeTokens}
}

func always(d shift.Demand) func(time.Duration) shift.Demand {
	return func(time.Duration) shift.Demand { return d }
}

var _ = Describe("Planner", func() {
	It("changes nothing while each role has what it needs", func() {
		f := newFleet(6, 6)
		f.play(shift.New(shift.Config{}), 0, 10*time.Minute, always(engines(4.5, 4.5)))
		Expect(f.changes).To(BeZero())
	})

	// The day's portfolio reads begin and stay. Half of the fleet idles while
	// drafts are late.
	It("follows a mix that stays", func() {
		f := newFleet(6, 6)
		f.play(shift.New(shift.Config{}), 0, 5*time.Minute, always(engines(8, 2)))
		Expect(f.prefills()).To(BeNumerically(">=", 8))
		Expect(f.changes).To(BeNumerically("<=", 4))
	})

	// The mix flickers. Each change takes an engine away for seconds and is
	// undone at once, so that callers see less done than with fixed roles.
	It("sits out swings that are shorter than a change pays for", func() {
		f := newFleet(6, 6)
		f.play(shift.New(shift.Config{RoleChangeCost: 3}), 0, 10*time.Minute, func(t time.Duration) shift.Demand {
			if int(t.Seconds())/5%2 == 0 {
				return engines(6.5, 4)
			}
			return engines(4, 6.5)
		})
		Expect(f.changes).To(BeNumerically("<=", 2))
	})

	It("changes later where operators put a higher cost on it", func() {
		swing := func(t time.Duration) shift.Demand {
			if int(t.Seconds())/20%2 == 0 {
				return engines(8, 3)
			}
			return engines(3, 8)
		}
		low, high := newFleet(6, 6), newFleet(6, 6)
		low.play(shift.New(shift.Config{RoleChangeCost: 1}), 0, 10*time.Minute, swing)
		high.play(shift.New(shift.Config{RoleChangeCost: 4}), 0, 10*time.Minute, swing)
		Expect(high.changes).To(BeNumerically("<", low.changes))
	})

	// A burst of short prompts meets too few prefill engines. Decode engines
	// with time to spare could take them, at no price.
	It("lets decode engines take short prefills before it changes a role", func() {
		p := shift.New(shift.Config{})
		d := engines(4.3, 4)
		d.ShortPrefillTokens = d.PrefillTokens
		out := p.Step(start, shift.Fleet{Engines: newFleet(4, 8).engines, Demand: d, Capacity: capacity})
		Expect(out.Changes).To(BeEmpty())
		Expect(out.Spillover.MaxPromptTokens).To(Equal(shift.DefaultMaxSpilloverPrompt))
		Expect(out.Spillover.MaxTimeShare).To(And(BeNumerically(">", 0), BeNumerically("<=", shift.DefaultMaxSpilloverShare)))
	})

	// Reports go wrong and say that nobody decodes. With the last decode
	// engine gone, no draft could be finished for as long as a change takes.
	It("leaves an engine in each role and takes no more away at once than it may", func() {
		f := newFleet(6, 6)
		p := shift.New(shift.Config{})
		for t := time.Duration(0); t < 20*time.Minute; t += time.Second {
			f.play(p, t, t+time.Second, always(engines(30, 0.01)))
			changing := 0
			for _, e := range f.engines {
				if e.Changing {
					changing++
				}
			}
			Expect(changing).To(BeNumerically("<=", shift.DefaultMaxInFlight))
		}
		Expect(f.prefills()).To(BeNumerically("<=", 11))
	})

	// An engine that throttles is idle, because routing spares it. As the
	// idlest it would be moved first, and make late whatever it gets there.
	It("moves a slow engine last", func() {
		f := newFleet(6, 6)
		f.engines[0].Speed = 0.3
		for i := 1; i < 6; i++ {
			f.engines[i].QueuedTokens = 10_000
		}
		f.play(shift.New(shift.Config{}), 0, 5*time.Minute, always(engines(2, 8)))
		Expect(f.changes).To(BeNumerically(">", 0))
		Expect(f.engines[0].Role).To(Equal(shift.Prefill))
	})

	It("never touches an engine that operators hold", func() {
		f := newFleet(6, 6)
		for i := range f.engines {
			f.engines[i].Movable = false
		}
		f.play(shift.New(shift.Config{}), 0, 5*time.Minute, always(engines(10, 1)))
		Expect(f.changes).To(BeZero())
	})

	// The store was out for ten minutes and the planner did not step. What
	// happened meanwhile is not known and must not count as ten minutes' loss.
	It("sums up nothing for a time that it did not see", func() {
		p := shift.New(shift.Config{})
		f := shift.Fleet{Engines: newFleet(6, 6).engines, Demand: engines(6.5, 3), Capacity: capacity}
		p.Step(start, f)
		Expect(p.Step(at(10*time.Minute), f).Changes).To(BeEmpty())
	})
})
