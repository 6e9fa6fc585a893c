// Package e2e_test proves the promises with real processes behind a
// fault-injecting proxy. Every spec has a fleet of its own.
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

// soon bounds what happens by itself; it is no claim about speed.
const soon = 30 * time.Second

// bin is the folder of the programs built for this run.
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

// start starts the fleet of one spec and stops it at its end. A failed spec
// prints the end of each log.
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

// expectServing waits until the first plan of a new fleet is in force: before,
// no sidecar owns a key slot and keyed calls are refused.
func expectServing(f *fleet.Fleet) {
	GinkgoHelper()
	const probes = 32
	for _, entry := range f.Entries {
		for i := range probes {
			probe := fmt.Sprintf("probe-%d", i)
			Eventually(func() bool {
				return fleet.PlaceHold(f.URL(entry), probe, probe).OK()
			}, soon, "50ms").Should(BeTrue(), "%s through %s", probe, entry)
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

// hanbit is a small fleet of drafting engines and two booking services.
func hanbit() fleet.Options {
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
