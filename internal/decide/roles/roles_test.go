package roles_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
			{ID: "a", DataCentre: "z0", Role: backend.Decode, Work: 9},
			{ID: "b", DataCentre: "z0", Role: backend.Decode, Work: 1},
			{ID: "c", DataCentre: "z1", Role: backend.Decode},
			{ID: "d", DataCentre: "z1", Role: backend.Prefill},
		}
		Expect(roles.Decide(engines, 0.5)).To(Equal([]roles.Move{{ID: "b", Role: backend.Prefill}}))
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
