package soakproc_test

import (
	"os"
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/soakproc"
)

func TestSoakProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak of real processes")
}

// seeds are fixed. With seed 107, a gateway once appended a response that was no
// stream to the events of an engine whose stream had been truncated.
var seeds = []uint64{1, 2, 107}

var _ = Describe("Gateways as processes", Ordered, func() {
	var bin string
	met := map[string]int{}

	BeforeAll(func() {
		bin = GinkgoT().TempDir()
		build := exec.Command("go", "build", "-o", bin, "pistachioroad.dev/pistachioroad/cmd/pistachioroad-gateway")
		build.Stdout, build.Stderr = GinkgoWriter, GinkgoWriter
		build.Env = append(os.Environ(), "CGO_ENABLED=1")
		Expect(build.Run()).To(Succeed())
	})

	// Guards against a hold placed twice, a false "not run", and an answer that is
	// truncated or another caller's. Gateways are killed, paused and stopped, the
	// store and its connections fail, and servers lose, truncate and repeat
	// answers, one after the other and concurrently.
	for _, seed := range seeds {
		It("keep every guarantee under injected faults", func() {
			report, err := soakproc.Run(seed, bin, GinkgoT().TempDir())
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Violations).To(BeEmpty(), "seed %d", seed)
			Expect(report.Answers[200]).To(BeNumerically(">", 0))
			for name, n := range report.Faults {
				met[name] += n
			}
		})
	}

	It("were exposed to more than two thirds of the kinds of fault", func() {
		Expect(len(met)).To(BeNumerically(">", len(soakproc.FaultNames())*2/3))
	})
})
