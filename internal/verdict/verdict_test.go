package verdict_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

func TestVerdict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "verdict")
}

var _ = Describe("Worst", func() {
	// A first attempt is lost on a silent link and a second one is refused.
	// A caller who is told "not run" asks again and the work runs twice.
	It("keeps the verdict of the attempt that may have run", func() {
		Expect(verdict.Worst(verdict.MayHaveRun, verdict.NotRun)).To(Equal(verdict.MayHaveRun))
		Expect(verdict.Worst(verdict.NotRun, verdict.Ran)).To(Equal(verdict.Ran))
	})
})

var _ = Describe("Of", func() {
	It("finds a wrapped error", func() {
		refused := verdict.NewRejection(verdict.CodeOverloaded, "full", 1)
		Expect(verdict.Of(eris.Wrap(refused, "send"))).To(BeIdenticalTo(refused))
	})

	It("promises nothing about an error without a verdict", func() {
		Expect(verdict.Of(errors.New("reset")).Verdict).To(Equal(verdict.MayHaveRun))
	})
})
