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
	// Guards against running the work twice: the first attempt is lost on an
	// unresponsive link and the second is rejected. With the verdict "not run", the
	// caller would retry.
	It("returns the verdict of the attempt that may have run", func() {
		Expect(verdict.Worst(verdict.MayHaveRun, verdict.NotRun)).To(Equal(verdict.MayHaveRun))
		Expect(verdict.Worst(verdict.NotRun, verdict.Ran)).To(Equal(verdict.Ran))
	})
})

var _ = Describe("Of", func() {
	It("finds a wrapped error", func() {
		rejected := verdict.NewRejection(verdict.CodeOverloaded, "full", 1)
		Expect(verdict.Of(eris.Wrap(rejected, "send"))).To(BeIdenticalTo(rejected))
	})

	It("returns MayHaveRun for an error without a verdict", func() {
		Expect(verdict.Of(errors.New("reset")).Verdict).To(Equal(verdict.MayHaveRun))
	})
})
