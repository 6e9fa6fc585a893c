package place_test

import (
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

// One placement among a thousand engines. With a pass over the decoders for each
// reader it took 10.5 ms, with one for all readers it takes 0.15 ms.
func BenchmarkPlanThousandEngines(b *testing.B) {
	f := newFleet(600, 400)
	for i := range 2_000 {
		j := place.Job{ID: place.JobID(i + 1), Prompt: prompt(uint64(i%300), 13_000, 3_000, uint64(i))}
		p, _, _ := f.Plan(at(i), j, patient)
		f.AddPlacement(at(i), place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: time.Minute})
	}
	for b.Loop() {
		f.Plan(at(2_000), place.Job{ID: 1 << 40, Prompt: prompt(7, 13_000, 3_000, 1)}, patient)
	}
}
