package place_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/locality"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

// enginesOf returns prefill and decode engines in each data centre.
func enginesOf(dataCentres ...string) []place.Engine {
	var list []place.Engine
	for _, dc := range dataCentres {
		for i := range 6 {
			e := place.Engine{ID: dc + strconv.Itoa(i), DataCentre: dc, Role: backend.Prefill, KVTokens: 800_000, Slots: 64}
			if i >= 4 {
				e.Role = backend.Decode
			}
			list = append(list, e)
		}
	}
	return list
}

const distancePrice = locality.Price(2 * time.Second)

func pricedFleet(price locality.Price, dataCentres ...string) *place.Fleet {
	f := place.NewFleet()
	f.SetEngines(enginesOf(dataCentres...))
	f.SetKVTransferTime(time.Microsecond / 2)
	f.SetDistancePrice(price)
	return f
}

func homeJob(id int, dataCentre string) place.Job {
	return place.Job{ID: place.JobID(id), Prompt: prompt(uint64(id%40), 6_000, 3_000, uint64(id)), DataCentre: dataCentre, Bytes: 9_000}
}

var _ = Describe("distance", func() {
	// Guards against traffic between data centres for the sake of a random tie.
	It("keeps a request at home while its engines are idle", func() {
		f := pricedFleet(distancePrice, "a", "b", "c")
		for i := range 12 {
			p, _, _ := f.Plan(at(i), homeJob(i, "c"), unhurried)
			Expect(p.Crossings).To(BeZero())
			Expect(p.PrefillEngine + p.DecodeEngine).NotTo(ContainSubstring("a"))
		}
	})

	// Guards against rejections because a data centre has lost its own engines.
	It("sends all requests elsewhere if there are no engines at home", func() {
		f := pricedFleet(distancePrice, "a", "b")
		p, admission, ok := f.Plan(at(0), homeJob(1, "c"), unhurried)
		Expect(ok && admission.Admit).To(BeTrue())
		Expect(p.Crossings).To(Equal(2))
	})

	// Guards against gateways that leave a full data centre all at once: each of them sees
	// the same queues, and what the others send only later.
	It("sends a share that grows with the queues at home", func() {
		leaving := func(queued int) (n int) {
			f := pricedFleet(distancePrice, "a", "b")
			for i := range queued {
				p, _, _ := f.Plan(at(0), homeJob(i, "a"), unhurried)
				p.PrefillEngine, p.DecodeEngine = "a"+strconv.Itoa(i%4), "a4"
				f.AddPlacement(at(0), place.Placement{ID: place.JobID(i), Prompt: homeJob(i, "a").Prompt, Plan: p, Remaining: time.Minute})
			}
			for i := range 200 {
				if p, _, _ := f.Plan(at(1), homeJob(1_000+i, "a"), unhurried); p.Crossings > 0 {
					n++
				}
			}
			return n
		}
		Expect(leaving(0)).To(BeZero())
		Expect(leaving(4)).To(BeNumerically("<", 200))
		Expect(leaving(40)).To(BeNumerically(">", 150))
	})

	// Guards against a price that makes callers late: one data centre gets twice as many
	// requests as its engines can prefill, the others half.
	It("saves most crossings of balanced load and none that callers need", func() {
		even := map[string]int{"a": 20, "b": 20, "c": 20}
		free, priced := playDistance(0, even), playDistance(distancePrice, even)
		Expect(priced.crossings).To(BeNumerically("<=", free.crossings/2))
		Expect(priced.late).To(BeNumerically("<=", free.late+0.01))

		uneven := map[string]int{"a": 44, "b": 8, "c": 8}
		free, priced = playDistance(0, uneven), playDistance(distancePrice, uneven)
		Expect(priced.crossings).To(BeNumerically("<", free.crossings))
		Expect(priced.late).To(BeNumerically("<=", free.late+0.01))
		Expect(priced.swings).To(BeNumerically("<=", free.swings))
	})
})

type distancePlay struct {
	// crossings is the number of transfers between data centres, late the fraction of first
	// tokens after the objective, and swings by how much the crossings of successive
	// half-seconds differ.
	crossings, swings int
	late              float64
}

// playDistance plays eight seconds of requests, by data centre and second, at two gateways
// in each of three data centres that learn of each other's placements 15 ms later.
// Engines prefill one prompt at a time, in 90 ms.
func playDistance(price locality.Price, perSecond map[string]int) distancePlay {
	const (
		seconds = 8
		delay   = 15 * time.Millisecond
		prefill = 90 * time.Millisecond
	)
	type event struct {
		at time.Time
		do func(now time.Time)
	}
	var events []event
	push := func(t time.Time, do func(time.Time)) {
		i, _ := slices.BinarySearchFunc(events, t, func(e event, t time.Time) int {
			return cmp.Or(e.at.Compare(t), -1)
		})
		events = slices.Insert(events, i, event{t, do})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	fleets := make(map[string][]*place.Fleet)
	var all []*place.Fleet
	dataCentres := []string{"a", "b", "c"}
	for _, dc := range dataCentres {
		fleets[dc] = []*place.Fleet{pricedFleet(price, dataCentres...), pricedFleet(price, dataCentres...)}
		all = append(all, fleets[dc]...)
	}
	free := make(map[string]time.Time)
	limits := place.Constraints{Objective: 500 * time.Millisecond, Remaining: 5 * time.Second, Committed: true}
	result, served, halfSeconds := distancePlay{}, 0, make([]int, 2*seconds)
	arrive := func(own *place.Fleet, j place.Job) func(time.Time) {
		return func(now time.Time) {
			p, _, _ := own.Plan(now, j, limits)
			result.crossings += p.Crossings
			halfSeconds[int(now.Sub(start)/(time.Second/2))] += p.Crossings
			done := now.Add(prefill)
			if f := free[p.PrefillEngine]; f.After(now) {
				done = f.Add(prefill)
			}
			free[p.PrefillEngine] = done
			placement := place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: limits.Remaining}
			own.AddPlacement(now, placement)
			push(now.Add(delay), func(now time.Time) {
				for _, f := range all {
					if f != own {
						f.AddPlacement(now, placement)
					}
				}
			})
			push(done, func(now time.Time) { own.LocalPrefillDone(now, j.ID) })
			push(done.Add(delay), func(now time.Time) {
				for _, f := range all {
					f.PrefillDone(now, j.ID)
					f.JobFinished(now, j.ID)
				}
			})
			served++
			if done.Sub(now) > limits.Objective {
				result.late++
			}
		}
	}
	id := 0
	for _, dc := range dataCentres {
		for t := time.Duration(0); t < seconds*time.Second; t += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(perSecond[dc])) {
			id++
			push(start.Add(t), arrive(fleets[dc][id%2], homeJob(id, dc)))
		}
	}
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		e.do(e.at)
	}
	result.late /= float64(served)
	for i := 2; i < len(halfSeconds); i++ {
		result.swings += max(halfSeconds[i]-halfSeconds[i-1], halfSeconds[i-1]-halfSeconds[i])
	}
	return result
}
