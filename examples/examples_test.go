// Package examples_test checks that the example settings and configurations are valid.
package examples_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/settings"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "examples")
}

// loadExample returns the settings files of an example by name, and its fleet
// configuration.
func loadExample(name string) (map[string]settings.Settings, fleetconfig.Config) {
	GinkgoHelper()
	files, err := filepath.Glob(filepath.Join(name, "*.yaml"))
	Expect(err).NotTo(HaveOccurred())
	all := map[string]settings.Settings{}
	for _, file := range files {
		all[filepath.Base(file)], err = settings.Load(file)
		Expect(err).NotTo(HaveOccurred())
	}
	data, err := os.ReadFile(filepath.Join(name, "fleetconfig.json"))
	Expect(err).NotTo(HaveOccurred())
	config, err := fleetconfig.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	return all, config
}

var _ = Describe("The examples", func() {
	It("are valid and have the settings of their sites", func() {
		hanbit, hanbitConfig := loadExample("hanbit")
		authority, authorityConfig := loadExample("authority")
		Expect(hanbit).To(HaveLen(4))
		Expect(authority).To(HaveLen(4))

		Expect(hanbit["entry.yaml"].Entry.Services).To(And(HaveKey("holds"), HaveKey("calendar")))
		Expect(authority["entry.yaml"].Entry.Services).To(And(HaveKey("registry"), HaveKey("lookups")))
		Expect(hanbit["sidecar-engine.yaml"].Sidecar.BackendServer.ChecksFencingToken).To(BeFalse())
		Expect(authority["sidecar-engine.yaml"].Sidecar.BackendServer.ChecksFencingToken).To(BeTrue())

		now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
		models := fleetconfig.Scope{Service: "models"}
		Expect(*hanbitConfig.EffectiveValues(models, now).RoleChangeCost).
			To(BeNumerically("<", *authorityConfig.EffectiveValues(models, now).RoleChangeCost))
	})

	It("have a sidecar in the entry's region for each service", func() {
		for _, name := range []string{"hanbit", "authority"} {
			all, _ := loadExample(name)
			entry := all["entry.yaml"]
			for file, s := range all {
				Expect(s.Process.Region).To(Equal(entry.Process.Region), file)
			}
			for service := range entry.Entry.Services {
				file := "sidecar-" + service + ".yaml"
				Expect(all).To(HaveKey(file))
				Expect(all[file].Sidecar.BackendServer.Service).To(Equal(service))
			}
		}
	})
})
