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

// fleet has engines in data centres by turns, the first ones in prefill.
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
	It("moves to the share, and then nothing more", func() {
		engines := fleet(5, 7, 4)
		moves := roles.Decide(engines, 0.4)
		Expect(moves).To(HaveLen(2))
		for _, m := range moves {
			for i := range engines {
				if engines[i].ID == m.ID {
					engines[i].Role = m.Role
				}
			}
		}
		Expect(roles.Decide(engines, 0.4)).To(BeEmpty())
	})

	It("works both ways", func() {
		moves := roles.Decide(fleet(11, 1, 4), 0.4)
		Expect(moves).To(HaveLen(4))
		Expect(moves[0].Role).To(Equal(backend.Decode))
	})

	It("takes from the data centre that has most, and the least busy engine there", func() {
		engines := []roles.Engine{
			{ID: "a", DataCentre: "z0", Role: backend.Decode, InFlight: 9},
			{ID: "b", DataCentre: "z0", Role: backend.Decode, InFlight: 1},
			{ID: "c", DataCentre: "z1", Role: backend.Decode},
			{ID: "d", DataCentre: "z1", Role: backend.Prefill},
		}
		Expect(roles.Decide(engines, 0.5)).To(Equal([]roles.RoleChange{{ID: "b", Role: backend.Prefill}}))
	})

	// Half of the fleet is lost. Whatever is left, answers must be generated
	// somewhere, and by more than one engine.
	DescribeTable("keeps two engines that generate while it has three",
		func(prefill, decode, want int) {
			Expect(roles.Decide(fleet(prefill, decode, 3), 0.1)).To(HaveLen(want))
		},
		Entry("none of three", 3, 0, 2),
		Entry("one of three", 2, 1, 1),
		Entry("two engines stay as they are", 2, 0, 0),
		Entry("no engine", 0, 0, 0),
	)
})

var _ = Describe("Afford", func() {
	It("lets a fleet of fifty engines have its share before the first request", func() {
		engines := fleet(16, 34, 4)
		moves := roles.Decide(engines, 0.4)
		Expect(moves).To(HaveLen(14))
		Expect(roles.LimitByDemand(engines, moves, 0, 0)).To(Equal(moves))
	})

	// A thousand engines wait for few callers. Nobody gains from another role,
	// and each change takes an engine away for seconds.
	It("lets a large fleet change no further than its requests pay for", func() {
		engines := fleet(400, 600, 4)
		moves := roles.Decide(engines, 0.4)
		Expect(len(roles.LimitByDemand(engines, moves, 1_000, 0))).To(BeNumerically("<", 25))
		Expect(roles.LimitByDemand(engines, moves, 1_000, 30)).To(BeEmpty())
		Expect(roles.LimitByDemand(engines, moves, 100_000, 30)).To(Equal(moves))
	})

	// The last engines that generate are lost in a quiet hour. Prompts cannot be
	// answered at all, so that no request is counted that would pay for others.
	It("never leaves a fleet without engines that generate", func() {
		engines := fleet(20, 0, 4)
		moves := roles.Decide(engines, 0.4)
		Expect(roles.LimitByDemand(engines, moves, 0, 100)).To(HaveLen(2))
	})
})

var _ = Describe("AtOnce", func() {
	atOnce := func(prefill, decode int, share float64) []roles.RoleChange {
		engines := fleet(prefill, decode, 4)
		return roles.LimitConcurrent(engines, roles.Decide(engines, share))
	}

	It("changes busy engines one at a time", func() {
		Expect(atOnce(5, 7, 0.4)).To(HaveLen(1))
		Expect(atOnce(7, 5, 0.4)).To(BeEmpty())
	})

	// Guards against a fleet whose readers were replaced by engines that generate
	// being short of them for as long as several changes take one after the other.
	It("changes a quarter of them while a role has at most half of its engines", func() {
		Expect(atOnce(1, 7, 0.5)).To(HaveLen(2))
		Expect(atOnce(2, 6, 0.5)).To(HaveLen(2))
		Expect(atOnce(10, 50, 0.4)).To(HaveLen(15))
		Expect(atOnce(0, 3, 0.7)).To(HaveLen(1))
	})
})

var _ = Describe("Decide, on engines that differ", func() {
	paced := func(slowness ...float64) []roles.Engine {
		list := fleet(0, len(slowness), 4)
		for i, s := range slowness {
			list[i].Speed = roles.Speed{Slowdown: s, RelativeError: 0.02}
		}
		return list
	}
	chosen := func(moves []roles.RoleChange) []string {
		return lo.Map(moves, func(m roles.RoleChange, _ int) string { return m.ID })
	}

	// An engine is lost, and one that generates has to read. If the fastest changes,
	// the longest answers are left to slow ones and miss their deadlines.
	It("keeps the fast ones generating", func() {
		engines := paced(1, 1.3, 1, 1, 1.3, 1)
		Expect(chosen(roles.Decide(engines, 0.7))).To(ConsistOf("e1", "e4"))
	})

	It("has the fastest ones generate", func() {
		engines := paced(1.3, 1.3, 1, 1.3, 1, 1.3)
		for i := range engines {
			engines[i].Role = backend.Prefill
		}
		Expect(chosen(roles.Decide(engines, 0.4))).To(ConsistOf("e2", "e4"))
	})

	// Two readings of equal engines differ by chance.
	It("goes by work and place where the difference may be chance", func() {
		engines := paced(1, 1.05, 1.02, 1, 1.04, 1)
		for i := range engines {
			engines[i].InFlight = 10 - i
		}
		Expect(chosen(roles.Decide(engines, 0.8))).To(Equal([]string{"e4"}))
	})

	It("changes any engine while none is known", func() {
		Expect(roles.Decide(paced(0, 0, 0, 0, 0, 0), 0.5)).To(HaveLen(3))
	})
})

var _ = Describe("DecodeShare", func() {
	share := func(decode int, a roles.AnswerStats) float64 {
		return roles.DecodeShare(fleet(10-decode, decode, 4), a)
	}

	// Callers of long answers come as soon as the fleet has started. An engine that
	// changes its role by then is away for seconds.
	It("expects long answers where routes let them last", func() {
		Expect(share(5, roles.AnswerStats{MaxEvents: 59})).To(Equal(0.5))
		Expect(share(5, roles.AnswerStats{MaxEvents: 20})).To(Equal(roles.DefaultDecodeShare))
	})

	It("has one more engine generate while many answers are expected to miss their deadlines", func() {
		Expect(share(4, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.3})).To(Equal(0.5))
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.3})).To(Equal(0.5))
	})

	// A burst of long answers is over. Were the engine told to read at once, and to
	// generate in the next burst, it would be away for a part of each.
	It("stays between many misses and some", func() {
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.15})).To(Equal(0.5))
		Expect(share(4, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.15})).To(Equal(0.4))
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.01})).To(Equal(roles.DefaultDecodeShare))
	})

	// Two engines that read have left a fleet of short answers. With as many that
	// generate as before, too few read, and after the next restart prompts wait for good.
	It("gives the engines back where answers are short and few are missed", func() {
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.06, MaxEvents: 14})).To(Equal(0.4))
		Expect(share(5, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: 0.06, MaxEvents: 59})).To(Equal(0.5))
	})

	// New engines joined in one role while no orders could be given.
	It("is between the two shares whatever the engines do", func() {
		for decode := range 11 {
			for _, misses := range []float64{0, 0.1, 0.5} {
				Expect(share(decode, roles.AnswerStats{MissRateKnown: true, ExpectedMissRate: misses})).To(And(BeNumerically(">=", 0.4), BeNumerically("<=", 0.5)))
			}
		}
		Expect(roles.DecodeShare(nil, roles.AnswerStats{})).To(Equal(roles.DefaultDecodeShare))
	})
})
