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

// fleet is a simulated fleet. It applies changes immediately; an engine is then in
// transition for the change time.
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

func (f *fleet) simulate(p *shift.Planner, from, to time.Duration, demand func(t time.Duration) shift.Demand) {
	for t := from; t < to; t += time.Second {
		for i, e := range f.engines {
			f.engines[i].Changing = e.Changing && t < f.readyAt[e.Name]
		}
		d := p.Step(at(t), shift.Fleet{Engines: f.engines, Demand: demand(t), Capacity: capacity})
		for _, c := range d.Changes {
			f.apply(c, t)
		}
	}
}

func (f *fleet) apply(c shift.Change, t time.Duration) {
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

// engines returns the demand that keeps the given numbers of engines busy.
func engines(prefill, decode float64) shift.Demand {
	return shift.Demand{PrefillTokens: prefill * capacity.PrefillTokens, DecodeTokens: decode * capacity.DecodeTokens}
}

func constant(d shift.Demand) func(time.Duration) shift.Demand {
	return func(time.Duration) shift.Demand { return d }
}

var _ = Describe("Planner", func() {
	It("changes nothing while each role has enough engines", func() {
		f := newFleet(6, 6)
		f.simulate(shift.New(shift.Config{}), 0, 10*time.Minute, constant(engines(4.5, 4.5)))
		Expect(f.changes).To(BeZero())
	})

	// Guards against fixed roles: after a lasting shift to prefill, half of the
	// fleet would be idle while requests are late.
	It("follows a lasting shift of the demand", func() {
		f := newFleet(6, 6)
		f.simulate(shift.New(shift.Config{}), 0, 5*time.Minute, constant(engines(8, 2)))
		Expect(f.prefills()).To(BeNumerically(">=", 8))
		Expect(f.changes).To(BeNumerically("<=", 4))
	})

	// Guards against following short swings: each change makes an engine
	// unavailable for seconds and is soon undone, so that goodput is lower than
	// with fixed roles.
	It("ignores swings that are too short for a change to pay off", func() {
		f := newFleet(6, 6)
		f.simulate(shift.New(shift.Config{RoleChangeCost: 3}), 0, 10*time.Minute, func(t time.Duration) shift.Demand {
			if int(t.Seconds())/5%2 == 0 {
				return engines(6.5, 4)
			}
			return engines(4, 6.5)
		})
		Expect(f.changes).To(BeNumerically("<=", 2))
	})

	It("makes fewer changes if their cost is set higher", func() {
		swing := func(t time.Duration) shift.Demand {
			if int(t.Seconds())/20%2 == 0 {
				return engines(8, 3)
			}
			return engines(3, 8)
		}
		low, high := newFleet(6, 6), newFleet(6, 6)
		low.simulate(shift.New(shift.Config{RoleChangeCost: 1}), 0, 10*time.Minute, swing)
		high.simulate(shift.New(shift.Config{RoleChangeCost: 4}), 0, 10*time.Minute, swing)
		Expect(high.changes).To(BeNumerically("<", low.changes))
	})

	// Guards against needless role changes: decode engines with spare time can
	// take a burst of short prompts at no cost.
	It("lets decode engines take short prefills before it changes a role", func() {
		p := shift.New(shift.Config{})
		d := engines(4.3, 4)
		d.ShortPrefillTokens = d.PrefillTokens
		out := p.Step(start, shift.Fleet{Engines: newFleet(4, 8).engines, Demand: d, Capacity: capacity})
		Expect(out.Changes).To(BeEmpty())
		Expect(out.Spillover.MaxPromptTokens).To(Equal(shift.DefaultMaxSpilloverPrompt))
		Expect(out.Spillover.MaxTimeShare).To(And(BeNumerically(">", 0), BeNumerically("<=", shift.DefaultMaxSpilloverShare)))
	})

	// Guards against wrong reports that show no decode demand: without a decode
	// engine, no request could complete for the duration of a change.
	It("leaves an engine in each role and limits concurrent changes", func() {
		f := newFleet(6, 6)
		p := shift.New(shift.Config{})
		for t := time.Duration(0); t < 20*time.Minute; t += time.Second {
			f.simulate(p, t, t+time.Second, constant(engines(30, 0.01)))
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

	// Guards against moving a throttled engine: it is idle because routing avoids
	// it. Moved first as the least loaded, it would delay its new requests.
	It("moves a slow engine last", func() {
		f := newFleet(6, 6)
		f.engines[0].Speed = 0.3
		for i := 1; i < 6; i++ {
			f.engines[i].QueuedTokens = 10_000
		}
		f.simulate(shift.New(shift.Config{}), 0, 5*time.Minute, constant(engines(2, 8)))
		Expect(f.changes).To(BeNumerically(">", 0))
		Expect(f.engines[0].Role).To(Equal(shift.Prefill))
	})

	It("does not change engines that are not movable", func() {
		f := newFleet(6, 6)
		for i := range f.engines {
			f.engines[i].Movable = false
		}
		f.simulate(shift.New(shift.Config{}), 0, 5*time.Minute, constant(engines(10, 1)))
		Expect(f.changes).To(BeZero())
	})

	// Guards against counting unobserved time: after an outage of the store of ten
	// minutes without steps, the demand in between is unknown and must not count
	// as ten minutes of loss.
	It("accumulates no loss over a long gap between steps", func() {
		p := shift.New(shift.Config{})
		f := shift.Fleet{Engines: newFleet(6, 6).engines, Demand: engines(6.5, 3), Capacity: capacity}
		p.Step(start, f)
		Expect(p.Step(at(10*time.Minute), f).Changes).To(BeEmpty())
	})
})
