package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/contention"
)

// maxAnnouncedAge is the age of a report up to which it is announced: messages have no room
// for the age itself.
const maxAnnouncedAge = 50 * time.Millisecond

// ObserveContention records the contention that an engine has reported to this gateway. It
// returns false if the engine is unknown.
func (f *Fleet) ObserveContention(now time.Time, id string, r contention.Report) bool {
	e, ok := f.engines[id]
	if ok {
		e.contention.Add(now, r, &e.usualContention)
	}
	return ok
}

// ObserveJobContention records the contention that the engine which prefills a job has
// reported to another gateway.
func (f *Fleet) ObserveJobContention(now time.Time, id JobID, r contention.Report) {
	if j, ok := f.jobs[id]; ok && j.prefilling {
		j.prefillEngine.contention.Add(now, r, &j.prefillEngine.usualContention)
	}
}

// contended returns the contention by which an engine is slower than usual. One that reports
// less than usual counts as usual: after a start, when little else is known, all gateways
// would send their requests to the engine that reported it last.
func (e *engine) contended(now time.Time) contention.Sample {
	s := e.contention.At(now)
	s.Factor = max(1, s.Factor)
	return s
}

// PrefillContention returns the factor to announce with the end of a job's prefill, 0 if its
// engine has not just reported one.
func (f *Fleet) PrefillContention(now time.Time, id JobID) float64 {
	j, ok := f.jobs[id]
	if !ok {
		return 0
	}
	if last := j.prefillEngine.contention.Last(); now.Sub(last.At) <= maxAnnouncedAge {
		return last.Factor
	}
	return 0
}

// Contention returns the last report of an engine, with Factor 0 if there is none.
func (f *Fleet) Contention(id string) contention.Report {
	e, ok := f.engines[id]
	if !ok {
		return contention.Report{}
	}
	return e.contention.Last()
}
