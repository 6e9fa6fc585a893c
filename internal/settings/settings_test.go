package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const sidecarFile = `process:
  name: gangnam-m1
  role: sidecar
  region: seoul
  data_centre: gangnam
listen:
  links: 10.1.0.5:7001
  operators: 10.1.0.5:7002
  operator_token_file: /run/pistachioroad/token
platform:
  address: 10.1.0.2:7000
sidecar:
  backend_server:
    service: models
    address: 10.1.0.5:9000
  resume_wait: 1s
`

// problems returns the lines of the error for sidecarFile with old replaced, or
// nil if there is no error.
func problems(old, replacement string) []string {
	GinkgoHelper()
	Expect(sidecarFile).To(ContainSubstring(old))
	_, err := settings.Parse([]byte(strings.Replace(sidecarFile, old, replacement, 1)))
	if err == nil {
		return nil
	}
	Expect(errors.As(err, &settings.Problems{})).To(BeTrue())
	return strings.Split(err.Error(), "\n")
}

var _ = Describe("Parse", func() {
	It("fills in defaults for missing keys", func() {
		s, err := settings.Parse([]byte(sidecarFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Entry).To(BeNil())
		Expect(s.Sidecar.QueueLength).To(Equal(256))
		Expect(s.Sidecar.ResumeWait).To(Equal(time.Second))
		Expect(s.Platform.VMListInterval).To(Equal(time.Second))
	})

	It("accepts keys in quotes", func() {
		Expect(problems("platform:", `"platform":`)).To(BeEmpty())
	})

	It("reads encoded Settings, with null, 0 and empty for values that are not set", func() {
		want, err := settings.Parse([]byte(sidecarFile))
		Expect(err).NotTo(HaveOccurred())
		written := want
		written.Sidecar = &settings.Sidecar{
			BackendServer: settings.BackendServer{Service: "models", Address: "10.1.0.5:9000"},
			ResumeWait:    time.Second,
		}
		data, err := yaml.Marshal(written)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Parse(data)).To(Equal(want))
	})

	// Guards against reporting only the first error: an operator who fixes a
	// file with five errors would need five starts of the process.
	It("reports all errors together, each with its line", func() {
		file := strings.NewReplacer(
			"role: sidecar", "role: entry",
			"10.1.0.5:7001", "gangnam-m1:7001",
			"1s", "5",
			"platform:", "plattform:",
		).Replace(sidecarFile)
		_, err := settings.Parse([]byte(file))
		Expect(strings.Split(err.Error(), "\n")).To(ConsistOf(
			`settings:1: entry: found nothing, expected the section of a process whose role is entry`,
			`settings:1: platform.address: found nothing, expected an IP number and a port to connect to, such as 10.1.0.5:8080`,
			`settings:6: listen.callers: found nothing, expected an IP number and a port, such as 10.1.0.5:8080`,
			`settings:7: listen.links: found "gangnam-m1:7001", expected an IP number and a port, such as 10.1.0.5:8080`,
			`settings:10: found unknown key "plattform", expected one of entry, listen, log, platform, process, sidecar`,
			`settings:12: sidecar: found a section, expected none, because the role is entry`,
			`settings:16: sidecar.resume_wait: found "5", expected a duration with its unit, such as 500ms, 2s or 1m30s`,
		))
	})

	DescribeTable("reports", func(old, replacement, want string) {
		Expect(problems(old, replacement)).To(ConsistOf(ContainSubstring(want)))
	},
		Entry("a number for a string", "gangnam-m1", "7", `settings:2: process.name: found "7", expected a string`),
		Entry("a bad name", "region: seoul", "region: Seoul", `settings:4: process.region: found "Seoul", expected a name`),
		Entry("a port of 0", "10.1.0.5:9000", "10.1.0.5:0", `settings:15: sidecar.backend_server.address`),
		Entry("a list for a mapping", "  address: 10.1.0.2:7000", "  - x", `settings:11: platform: found a list, expected a mapping`),
		Entry("one address twice", "10.1.0.5:7002", "10.1.0.5:7001", `an address other than that of listen.links`),
		Entry("a number out of its range", "resume_wait: 1s", "queue_length: -1", `sidecar.queue_length: found -1, expected 1 to 100000`),
		Entry("a negative duration", "resume_wait: 1s", "resume_wait: -1s", `found -1s, expected 0s to 1m0s`),
		Entry("callers of a sidecar", "listen:\n", "listen:\n  callers: 10.1.0.5:80\n", `listen.callers`),
		Entry("a key twice", "listen:\n", "listen:\n  links: 10.1.0.5:80\n", `each key once`),
		Entry("no YAML", "role: sidecar", "role: [", `expected valid YAML`),
		Entry("two documents", "listen:\n", "---\nlisten:\n", `found 2 YAML documents, expected one`),
	)
})

var _ = Describe("Load", func() {
	It("names the file in each error", func() {
		path := filepath.Join(GinkgoT().TempDir(), "sidecar.yaml")
		Expect(os.WriteFile(path, []byte("process: 1\n"), 0o600)).To(Succeed())
		_, err := settings.Load(path)
		Expect(err).To(MatchError(HavePrefix(path + ":1: ")))
	})

	It("reports a missing file", func() {
		_, err := settings.Load("/does/not/exist")
		Expect(err).To(MatchError(os.ErrNotExist))
	})
})

// FuzzParse checks that Parse reports problems and does not panic on any content:
// settings files are written by hand.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sidecarFile))
	f.Add([]byte("entry:\n  services:\n    holds: {slots: 8, key_required: true}\n"))
	f.Add([]byte("a: &a [1]\nb: *a\n<<: *a\n"))
	f.Add([]byte("log: |\n  text\n---\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse(data)
		var problems settings.Problems
		if err != nil && (!errors.As(err, &problems) || len(problems) == 0) {
			t.Fatalf("error without problems: %v", err)
		}
	})
}
