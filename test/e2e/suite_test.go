// Package e2e_test tests the guarantees of the system with real processes behind
// fault-injecting proxies. Every spec starts its own fleet.
package e2e_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"pistachioroad.dev/pistachioroad/test/fleet"
)

// eventuallyTimeout bounds the wait for asynchronous changes. It is generous and
// no performance requirement.
const eventuallyTimeout = 30 * time.Second

// bin is the directory of the programs built for this run.
var bin string

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	for program, path := range map[string]string{
		"pistachioroadd": "pistachioroad.dev/pistachioroad/cmd/pistachioroadd",
		"pistachioroad":  "pistachioroad.dev/pistachioroad/cmd/pistachioroad",
		"standin":        "pistachioroad.dev/pistachioroad/test/cmd/standin",
	} {
		built, err := gexec.Build(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.Symlink(built, filepath.Join(bin, program))).To(Succeed())
	}
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// start starts the fleet of one spec and stops it at the end of the spec. If the
// spec fails, the end of each log is printed.
func start(o fleet.Options) *fleet.Fleet {
	o.Bin, o.Dir = bin, GinkgoT().TempDir()
	o.Proxied = true
	f, err := fleet.Start(context.Background(), o)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			printLogs(o.Dir)
		}
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Stop)
	expectServing(f)
	return f
}

// expectServing waits until the first plan of a new fleet is active. Until then no
// sidecar owns a key slot, and calls with an idempotency key are rejected.
func expectServing(f *fleet.Fleet) {
	GinkgoHelper()
	const probes = 32
	for _, entry := range f.Entries {
		for i := range probes {
			probe := fmt.Sprintf("probe-%d", i)
			Eventually(func() bool {
				return fleet.PlaceHold(f.URL(entry), probe, probe).OK()
			}, eventuallyTimeout, "50ms").Should(BeTrue(), "%s through %s", probe, entry)
		}
	}
}

func printLogs(dir string) {
	const tail = 3000
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		if len(data) > 0 {
			GinkgoWriter.Printf("--- %s\n%s\n", filepath.Base(path), data[max(0, len(data)-tail):])
		}
	}
}

// smallFleet returns a fleet of two entries, three engines for one model and a
// plain service with two backend servers.
func smallFleet() fleet.Options {
	return fleet.Options{
		Entries: 2,
		Engines: []fleet.Engine{
			{Role: "mixed", Model: "draft", Fencing: true},
			{Role: "mixed", Model: "draft"},
			{Role: "mixed", Model: "draft", Fencing: true},
		},
		Services: map[string]int{"holds": 2},
	}
}
