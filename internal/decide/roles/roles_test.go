package roles_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
)

func TestRoles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roles")
}

// fleet returns engines distributed round-robin over data centres, the prefill engines first.
func fleet(prefill, decode, dataCentres int) []roles.Engine {
	var list []roles.Engine
	for i := range prefill + decode {
		e := roles.Engine{ID: "e" + strconv.Itoa(i), DataCentre: "z" + strconv.Itoa(i%dataCentres), Role: backend.Prefill}
		if i >= prefill {
			e.Role = backend.Decode
		}
		list = append(list, e)
	}
	return list
}

var _ = Describe("Decide", func() {
	It("brings the engines to the share, and then makes no more changes", func() {
		engines := fleet(5, 7, 4)
		changes := roles.Decide(engines, 0.4)
		Expect(changes).To(HaveLen(2))
		for _, m := range changes {
			for i := range engines {
				if engines[i].ID == m.ID {
					engines[i].Role = m.Role
				}
			}
		}
		Expect(roles.Decide(engines, 0.4)).To(BeEmpty())
	})

	It("changes roles in both directions", func() {
		changes := roles.Decide(fleet(11, 1, 4), 0.4)
		Expect(changes).To(HaveLen(4))
		Expect(changes[0].Role).To(Equal(backend.Decode))
	})

	It("selects the least busy engine of the data centre with the most engines of the role", func() {
		engines := []roles.Engine{
			{ID: "a", DataCentre: "z0", Role: backend.Decode, InFlight: 9},
			{ID: "b", DataCentre: "z0", Role: backend.Decode, InFlight: 1},
			{ID: "c", DataCentre: "z1", Role: backend.Decode},
			{ID: "d", DataCentre: "z1", Role: backend.Prefill},
		}
		Expect(roles.Decide(engines, 0.5)).To(Equal([]roles.RoleChange{{ID: "b", Role: backend.Prefill}}))
	})

	// Guards against a fleet without decode engines, or with a single one, after half of
	// the fleet is lost.
	DescribeTable("keeps two decode engines in a fleet of three or more",
		func(prefill, decode, want int) {
			Expect(roles.Decide(fleet(prefill, decode, 3), 0.1)).To(HaveLen(want))
		},
		Entry("none of three", 3, 0, 2),
		Entry("one of three", 2, 1, 1),
		Entry("no change in a fleet of two", 2, 0, 0),
		Entry("no engine", 0, 0, 0),
	)
})

var _ = Describe("LimitByDemand", func() {
	It("brings a fleet of fifty engines to the share before the first request", func() {
		engines := fleet(16, 34, 4)
		changes := roles.Decide(engines, 0.4)
		Expect(changes).To(HaveLen(14))
		Expect(roles.LimitByDemand(engines, changes, 0, 0)).To(Equal(changes))
	})

	// Guards against useless changes in a fleet of a thousand engines with few callers:
	// no answer gets faster, and each change makes an engine unavailable for seconds.
	It("limits the changes of a large fleet to what its requests justify", func() {
		engines := fleet(400, 600, 4)
		changes := roles.Decide(engines, 0.4)
		Expect(len(roles.LimitByDemand(engines, changes, 1_000, 0))).To(BeNumerically("<", 25))
		Expect(roles.LimitByDemand(engines, changes, 1_000, 30)).To(BeEmpty())
		Expect(roles.LimitByDemand(engines, changes, 100_000, 30)).To(Equal(changes))
	})

	// Guards against a deadlock when the last decode engines are lost in an hour of low load:
	// no prompt can be answered, so that no request is counted that would justify changes.
	It("never leaves a fleet without decode engines", func() {
		engines := fleet(20, 0, 4)
		changes := roles.Decide(engines, 0.4)
		Expect(roles.LimitByDemand(engines, changes, 0, 100)).To(HaveLen(2))
	})
})

var _ = Describe("LimitConcurrent", func() {
	concurrent := func(prefill, decode int, share float64) []roles.RoleChange {
		engines := fleet(prefill, decode, 4)
		return roles.LimitConcurrent(engines, roles.Decide(engines, share))
	}

	It("changes busy engines one at a time", func() {
		Expect(concurrent(5, 7, 0.4)).To(HaveLen(1))
		Expect(concurrent(7, 5, 0.4)).To(BeEmpty())
	})

	// Guards against a fleet lacking prefill engines for as long as several consecutive
	// changes take: its prefill engines were replaced by decode engines.
	It("changes a quarter of the engines while a role has at most half of its target", func() {
		Expect(concurrent(1, 7, 0.5)).To(HaveLen(2))
		Expect(concurrent(2, 6, 0.5)).To(HaveLen(2))
		Expect(concurrent(10, 50, 0.4)).To(HaveLen(15))
		Expect(concurrent(0, 3, 0.7)).To(HaveLen(1))
	})
})

var _ = Describe("Decide, for engines of different speeds", func() {
	withSlowdowns := func(slowdowns ...float64) []roles.Engine {
		list := fleet(0, len(slowdowns), 4)
		for i, s := range slowdowns {
			list[i].Speed = roles.Speed{Slowdown: s, RelativeError: 0.02}
		}
		return list
	}
	ids := func(changes []roles.RoleChange) []string {
		return lo.Map(changes, func(m roles.RoleChange, _ int) string { return m.ID })
	}

	// Guards against long answers that miss their deadlines: a decode engine must become a
	// prefill engine, and if the fastest changes, the long answers run on slow ones.
	It("keeps the fast engines in decode", func() {
		engines := withSlowdowns(1, 1.3, 1, 1, 1.3, 1)
		Expect(ids(roles.Decide(engines, 0.7))).To(ConsistOf("e1", "e4"))
	})

	It("selects the fastest engines for decode", func() {
		engines := withSlowdowns(1.3, 1.3, 1, 1.3, 1, 1.3)
		for i := range engines {
			engines[i].Role = backend.Prefill
		}
		Expect(ids(roles.Decide(engines, 0.4))).To(ConsistOf("e2", "e4"))
	})

	// Measured speeds of equal engines differ by chance.
	It("selects by load and data centre where the speed difference is within the error", func() {
		engines := withSlowdowns(1, 1.05, 1.02, 1, 1.04, 1)
		for i := range engines {
			engines[i].InFlight = 10 - i
		}
		Expect(ids(roles.Decide(engines, 0.8))).To(Equal([]string{"e4"}))
	})

	It("selects any engine while no speed is known", func() {
		Expect(roles.Decide(withSlowdowns(0, 0, 0, 0, 0, 0), 0.5)).To(HaveLen(3))
	})
})

var _ = Describe("DecodeShare", func() {
	share := func(decode int, a roles.AnswerStats) float64 {
		return roles.DecodeShare(fleet(10-decode, decode, 4), a)
	}

	// Guards against engines that are unavailable for a role change when the first long
	// answers are requested, right after the fleet has started.
	It("expects long answers where routes allow them", func() {
		Expect(share(5, roles.AnswerStats{MaxEvents: 59})).To(Equal(0.5))
		Expect(share(5, roles.AnswerStats{MaxEvents: 20})).To(Equal(roles.DefaultDecodeShare))
	})

	It("adds a decode engine while many answers are expected to miss their deadlines", func() {
		Expect(share(4, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.3})).To(Equal(0.5))
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.3})).To(Equal(0.5))
	})

	// Guards against an engine that changes its role after each burst of long answers and
	// back in the next one: it would be unavailable for a part of each burst.
	It("holds the share while the miss rate is between the two thresholds", func() {
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.15})).To(Equal(0.5))
		Expect(share(4, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.15})).To(Equal(0.4))
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.01})).To(Equal(roles.DefaultDecodeShare))
	})

	// Guards against too few prefill engines in a fleet of short answers that lost two of
	// them: with as many decode engines as before, prompts queue without end after the
	// next restart.
	It("returns to the default share where answers are short and few miss their deadlines", func() {
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.06, MaxEvents: 14})).To(Equal(0.4))
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.06, MaxEvents: 59})).To(Equal(0.5))
	})

	// Guards against a share outside these bounds after new engines have all joined in one
	// role while no orders could be given.
	It("is between the two shares for any roles of the engines", func() {
		for decode := range 11 {
			for _, misses := range []float64{0, 0.1, 0.5} {
				Expect(share(decode, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: misses})).To(And(BeNumerically(">=", 0.4), BeNumerically("<=", 0.5)))
			}
		}
		Expect(roles.DecodeShare(nil, roles.AnswerStats{})).To(Equal(roles.DefaultDecodeShare))
	})
})
