package place_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

var _ = Describe("Plan with engines that fail more often than their peers", func() {
	job := func(id int, rate float64, repeatable bool) place.Job {
		return place.Job{
			ID: place.JobID(id), Prompt: prompt(uint64(id), 0, 9_000, uint64(id)),
			FailureRates: map[string]float64{"e0": rate}, Repeatable: repeatable,
		}
	}
	// placements returns how many of 200 jobs that arrive at the same time are placed on e0.
	placements := func(f *place.Fleet, rate float64, repeatable bool) (count int) {
		for i := range 200 {
			if plan(f, at(0), job(i+1, rate, repeatable)).DecodeEngine == "e0" {
				count++
			}
		}
		return count
	}

	// Guards against idle engines that attract requests, and against leaving an engine unused
	// where the wait at the others costs more than its failures.
	It("sends them fewer requests, in the order of their failures and of what a failure costs", func() {
		sound := placements(newFleet(0, 4), 0, false)
		repeatable := placements(newFleet(0, 4), 0.4, true)
		once := placements(newFleet(0, 4), 0.4, false)
		Expect(sound).To(Equal(50))
		Expect(repeatable).To(BeNumerically("<", sound))
		Expect(once).To(BeNumerically("<", repeatable))
		Expect(once).To(BeNumerically(">", 0))
		Expect(placements(newFleet(0, 4), 0.1, false)).To(BeNumerically(">", once))
	})

	It("does not choose a failing engine for prefills or as the other decode engine", func() {
		f := newFleet(2, 2)
		for _, engine := range []string{"e0", "e2"} {
			j := job(1, 0, false)
			j.FailureRates = map[string]float64{engine: 0.5}
			p, _, ok := f.Plan(at(0), j, unhurried)
			Expect(ok).To(BeTrue())
			Expect([]string{p.PrefillEngine, p.DecodeEngine}).NotTo(ContainElement(engine))
			p, ok = f.AlternateDecodeEngine(at(0), j, unhurried, p)
			Expect(ok).To(BeTrue())
			Expect(p.DecodeEngine).NotTo(Equal(engine))
		}
	})
})
