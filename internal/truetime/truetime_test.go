package truetime_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/truetime"
)

func TestTrueTime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "truetime")
}

const (
	tick       = 250 * time.Millisecond
	references = 3
	// tolerance is how far an estimate may be from the true time.
	tolerance = 30 * time.Millisecond
)

// fleet are gateways whose clocks differ. The first ones hear the clocks of all others,
// and all hear the estimates of these.
type fleet struct {
	now        time.Time
	booted     []time.Duration
	errors     []time.Duration
	estimators []*truetime.Estimator
}

func newFleet(count int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0)}
	for n := range count {
		f.booted = append(f.booted, time.Duration(n*n)*time.Minute)
		f.errors = append(f.errors, time.Duration(n%5-2)*4*time.Millisecond)
		f.estimators = append(f.estimators, nil)
		f.restart(n)
	}
	return f
}

func (f *fleet) boot(n int) time.Duration { return time.Duration(f.now.UnixNano()) - f.booted[n] }

func (f *fleet) clock(n int) time.Time { return f.now.Add(f.errors[n]) }

func (f *fleet) restart(n int) { f.estimators[n] = truetime.New(f.boot(n), f.clock(n)) }

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for n, e := range f.estimators {
			for other := range f.estimators {
				if other == n {
					continue
				}
				if n < references {
					e.ObserveClock(uint32(other), f.clock(other), f.boot(n))
				}
				if other >= references {
					continue
				}
				if t, ok := f.estimators[other].Anchored(f.boot(other)); ok {
					e.ObserveEstimate(uint32(other), t, f.boot(n))
				}
			}
			e.Update(f.boot(n), f.clock(n))
		}
	}
}

// expectExact checks the estimates of all gateways.
func (f *fleet) expectExact() {
	GinkgoHelper()
	for n, e := range f.estimators {
		t, ok := e.Anchored(f.boot(n))
		Expect(ok).To(BeTrue(), "gateway %d", n)
		Expect(t).To(BeTemporally("~", f.now, tolerance), "gateway %d", n)
		Expect(e.At(f.clock(n))).To(BeTemporally("~", f.now, tolerance), "gateway %d", n)
	}
}

var _ = Describe("the estimate of the true time", func() {
	It("is the same at all gateways within seconds after they started together", func() {
		f := newFleet(12)
		f.run(5 * time.Second)
		f.expectExact()
	})

	// Guards against requests that are counted in the wrong window while the time of day of
	// some VMs is wrong.
	DescribeTable("is not moved by clocks that are stepped",
		func(share int, step time.Duration) {
			f := newFleet(12)
			f.run(5 * time.Second)
			for n := range f.errors {
				if n%share == 0 {
					f.errors[n] += step
				}
			}
			f.run(8 * time.Second)
			f.expectExact()
			f.restart(0)
			f.restart(4)
			f.run(2 * time.Second)
			f.expectExact()
			for n := range f.errors {
				if n%share == 0 {
					f.errors[n] -= step
				}
			}
			f.run(8 * time.Second)
			f.expectExact()
		},
		Entry("a third, ahead", 3, 5*time.Second),
		Entry("a third, back", 3, -5*time.Second),
		Entry("half, ahead", 2, 5*time.Second),
		Entry("half, back", 2, -5*time.Second),
	)

	It("of a gateway without others relies on its own clock after a while", func() {
		f := newFleet(1)
		f.run(5 * time.Second)
		_, ok := f.estimators[0].Anchored(f.boot(0))
		Expect(ok).To(BeFalse())
		f.run(6 * time.Second)
		f.expectExact()
	})

	// Guards against an estimate that is late by the delay of the datagrams.
	It("uses the sample with the least delay", func() {
		f := newFleet(1)
		e := f.estimators[0]
		for _, delay := range []time.Duration{300 * time.Millisecond, time.Millisecond, 200 * time.Millisecond} {
			e.ObserveEstimate(7, f.now.Add(-delay), f.boot(0))
		}
		e.Update(f.boot(0), f.clock(0))
		t, _ := e.Anchored(f.boot(0))
		Expect(t).To(BeTemporally("~", f.now, 2*time.Millisecond))
	})
})
