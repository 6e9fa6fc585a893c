package configcheck_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/configcheck"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/platform"
)

func TestConfigCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configcheck")
}

const clean = `{"version":7,"routes":[
{"name":"a","hostname":"h.example","pathPrefix":"/p/","routeType":"streaming","timeoutMs":3000,"latencyGoalMs":500,"gapAimMs":100,
 "priority":1,"serviceName":"llm","maxAttempts":2,"affinity":true,"resumable":true},
{"name":"b","hostname":"h.example","pathPrefix":"/p/q/","routeType":"unsafe","timeoutMs":800,"latencyGoalMs":120,
 "weightedServices":[{"serviceName":"x","weight":90},{"serviceName":"y","weight":10}],"maxAttempts":1}],
"services":[{"name":"llm","healthPath":"/health","maxConns":1240,"engine":{"capacity":128,"kvCapacity":809752,
 "kvTokenBytes":18432,"linkMbps":350000,"handleTtlS":5,"stageSwitchS":3}},{"name":"x"},{"name":"y"}],
"tenants":[{"name":"c","apiKeys":["secret-1"]},{"name":"d","apiKeys":["secret-2"],"priority":1}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// change replaces text that must occur in the clean document.
func change(pairs ...string) string {
	GinkgoHelper()
	text := clean
	for i := 0; i < len(pairs); i += 2 {
		Expect(text).To(ContainSubstring(pairs[i]))
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

func decode(text string) configcheck.Document {
	GinkgoHelper()
	d, finding := platform.ConfigDocument([]byte(text))
	Expect(finding).To(BeNil())
	return d
}

// lines returns findings as severity, place and text.
func lines(findings []configcheck.Finding) []string {
	return lo.Map(findings, func(f configcheck.Finding, _ int) string {
		return string(f.Severity) + " " + f.Place + " " + f.Text
	})
}

// check returns the findings of a document. Each document that gateways reject must have an
// error: an operator would send it otherwise.
func check(text string) []string {
	GinkgoHelper()
	findings := configcheck.Check(decode(text))
	if _, err := platform.DecodeConfig(store.Object{Spec: []byte(text)}); err != nil {
		Expect(findings).To(ContainElement(HaveField("Severity", configcheck.Error)), err.Error())
	}
	return lines(findings)
}

var _ = Describe("Check", func() {
	// Guards against false findings, which operators would learn to ignore.
	It("finds nothing in a clean document, also as an object of the store", func() {
		Expect(check(clean)).To(BeEmpty())
		stored := decode(`{"metadata":{"name":"main","revision":9},"spec":` + clean + `}`)
		Expect(stored).To(Equal(decode(clean)))
	})

	It("accepts a key that is repeated within an account, as gateways do", func() {
		Expect(check(change(`["secret-1"]`, `["secret-1","secret-1"]`))).To(BeEmpty())
	})

	// Guards against a broken document that is sent because a check missed the fault.
	DescribeTable("finds a fault at its place, and nothing else",
		func(want string, pairs ...string) {
			found := check(change(pairs...))
			Expect(found).To(HaveLen(1))
			Expect(found[0]).To(HavePrefix(want))
		},
		Entry("unknown type", `error routes[1].routeType is "keyed", expected safe, streaming, unsafe`, `"unsafe"`, `"keyed"`),
		Entry("route without name", `warning routes[0].name is missing`, `"name":"a",`, ``),
		Entry("duplicate route", `warning routes[1].name is "a" like routes[0]`, `"name":"b"`, `"name":"a"`),
		Entry("service without name", `error services[3].name is missing`, `{"name":"y"}`, `{"name":"y"},{}`),
		Entry("duplicate service", `error services[3].name is "x" like services[1]`, `{"name":"y"}`, `{"name":"y"},{"name":"x"}`),
		Entry("unused service", `warning services[3] "z" is not used`, `{"name":"y"}`, `{"name":"y"},{"name":"z"}`),
		Entry("unknown service", `error routes[1].weightedServices[1].serviceName is "y", expected a service of services`, `,{"name":"y"}`, ``),
		Entry("no target", `error routes[2].serviceName is missing`, `"maxAttempts":1}]`,
			`"maxAttempts":1},{"name":"n","hostname":"h","pathPrefix":"/","routeType":"safe","timeoutMs":9,"latencyGoalMs":5}]`),
		Entry("two forms of targets", `warning routes[1].serviceName is "x", which weightedServices replaces`, `"maxAttempts":1}`, `"serviceName":"x"}`),
		Entry("no host", `error routes[0].hostname is missing`, `"hostname":"h.example",`, ``),
		Entry("wildcard", `error routes[0].hostname is "*.example", which can never match`, `h.example`, `*.example`),
		Entry("prefix without first slash", `error routes[0].pathPrefix is "p/", which can never match`, `"/p/"`, `"p/"`),
		Entry("prefix without last slash", `error routes[0].pathPrefix is "/p", which also matches`, `"/p/"`, `"/p"`),
		Entry("empty prefix", `warning routes[0].pathPrefix is missing`, `"/p/"`, `""`),
		Entry("prefix with query", `error routes[0].pathPrefix is "/p?x/", which can never match`, `"/p/"`, `"/p?x/"`),
		Entry("shadowed route", `error routes[1] can never match: routes[0] has the same host`, `"h.example","pathPrefix":"/p/q/"`, `"H.example","pathPrefix":"/p/"`),
		Entry("negative weight", `error routes[1].weightedServices[0].weight is negative`, `90`, `-10`),
		Entry("weights of 0", `error routes[1].weightedServices has weights that add up to 0`, `90`, `0`, `10}`, `0}`),
		Entry("negative time-out", `error routes[0].timeoutMs is -3s`, `3000`, `-3000`),
		Entry("no time-out", `warning routes[0].timeoutMs is missing or 0`, `3000`, `0`),
		Entry("objective above time-out", `warning routes[1].latencyGoalMs is 1s, expected at most the time-out of the route, 800ms`, `120`, `1000`),
		Entry("no objective", `warning routes[1].latencyGoalMs is missing or 0`, `120`, `0`),
		Entry("negative objective", `error routes[1].latencyGoalMs is -1ms`, `120`, `-1`),
		Entry("inter-event objective that does not fit", `warning routes[0].gapAimMs is 2.6s, which leaves no time`, `"gapAimMs":100`, `"gapAimMs":2600`),
		Entry("negative inter-event objective", `error routes[0].gapAimMs is -100ms`, `"gapAimMs":100`, `"gapAimMs":-100`),
		Entry("inter-event objective of no stream", `warning routes[1].gapAimMs is 9ms, which has no effect`, `"maxAttempts":1`, `"gapAimMs":9`),
		Entry("attempts of an unsafe route", `warning routes[1].maxAttempts is 3, expected 1`, `"maxAttempts":1`, `"maxAttempts":3`),
		Entry("attempts of a stream that is not resumable", `warning routes[0].maxAttempts is 2, expected 1`, `,"resumable":true`, ``),
		Entry("negative attempts", `error routes[1].maxAttempts is -1`, `"maxAttempts":1`, `"maxAttempts":-1`),
		Entry("resumable without stream", `warning routes[1].resumable is set`, `"maxAttempts":1`, `"resumable":true`),
		Entry("model route without engines", `error routes[1].weightedServices[0].serviceName is "x", which has no engines`,
			`"maxAttempts":1`, `"affinity":true`, `{"serviceName":"x","weight":90},{"serviceName":"y","weight":10}`, `{"serviceName":"x","weight":9}`,
			`,{"name":"y"}`, ``),
		Entry("engine without slots", `error services[0].engine.capacity is 0`, `"capacity":128,`, ``),
		Entry("engine without memory", `error services[0].engine.kvCapacity is -1`, `809752`, `-1`),
		Entry("engine without size of tokens", `warning services[0].engine.kvTokenBytes is 0`, `18432`, `0`),
		Entry("engine without link", `warning services[0].engine.linkMbps is 0`, `350000`, `0`),
		Entry("negative time to live", `error services[0].engine.handleTtlS is -5s`, `"handleTtlS":5`, `"handleTtlS":-5`),
		Entry("negative switch time", `error services[0].engine.stageSwitchS is -3s`, `"stageSwitchS":3`, `"stageSwitchS":-3`),
		Entry("fewer connections than slots", `warning services[0].maxConns is 100, expected at least the 128 slots`, `1240`, `100`),
		Entry("negative connections", `error services[0].maxConns is -1`, `1240`, `-1`),
		Entry("no header limit", `warning limits.maxHeaderBytes is missing or 0`, `16384`, `0`),
		Entry("negative body limit", `error limits.maxBodyBytes is -1`, `4194304`, `-1`),
		Entry("header time-out above idle time-out", `warning limits.headerTimeoutMs is 30s, expected at most idleTimeoutMs, 15s`, `"headerTimeoutMs":3000`, `"headerTimeoutMs":30000`),
		Entry("account without keys", `warning tenants[0].apiKeys is missing or empty`, `["secret-1"]`, `[]`),
		Entry("one key at two accounts", `error tenants[1].apiKeys[0] is also a key of tenants[0]`, `secret-2`, `secret-1`),
		Entry("empty key", `error tenants[0].apiKeys[0] is empty`, `secret-1`, ``),
		Entry("duplicate account", `error tenants[1].name is "c" like tenants[0]`, `"name":"d"`, `"name":"c"`),
		Entry("account name of no header", `error tenants[0].name is " c"`, `"name":"c"`, `"name":" c"`),
		Entry("route that needs a key where there are none", `error routes[0] needs a key`,
			`{"name":"c","apiKeys":["secret-1"]},{"name":"d","apiKeys":["secret-2"],"priority":1}`, ``, `"maxAttempts":1`, `"keyless":true`),
	)

	It("finds that an empty document serves nobody", func() {
		Expect(check(`{}`)).To(ContainElement(HavePrefix("error routes has no entry")))
	})

	// Guards against an operator who searches a long file for the fault, and against keys in
	// messages.
	DescribeTable("names line and column of what cannot be decoded",
		func(text, place, want string) {
			_, finding := platform.ConfigDocument([]byte(text))
			Expect(finding).NotTo(BeNil())
			Expect(finding.Severity).To(Equal(configcheck.Error))
			Expect(finding.Place).To(Equal(place))
			Expect(finding.Text).To(HavePrefix(want))
			Expect(finding.Text).NotTo(ContainSubstring("4711"))
		},
		Entry("syntax", "{\"version\":1,\n \"é\":1,]}", "line 2, column 8", "is not JSON: invalid character ']'"),
		Entry("end", `{"version":1`, "line 1, column 12", "is not JSON: unexpected end"),
		Entry("empty", ``, "line 1, column 1", "is not JSON: unexpected end"),
		Entry("type", "{\"routes\":[\n{\"timeoutMs\":\"3s\"}]}", "line 2, column 17", "routes.timeoutMs has a value of type string, expected a number"),
		Entry("list", `[]`, "line 1, column 1", "the document has a value of type array, expected an object"),
		Entry("key", `{"tenants":[{"apiKeys":[4711]}]}`, "document", "an API key is not a string"),
	)
})

var _ = Describe("Compare", func() {
	compare := func(text string) ([]configcheck.Difference, []string) {
		GinkgoHelper()
		differences, findings := configcheck.Compare(decode(clean), decode(text))
		return differences, lines(findings)
	}

	It("finds nothing in the version in force", func() {
		differences, findings := compare(clean)
		Expect(differences).To(BeEmpty())
		Expect(findings).To(BeEmpty())
	})

	// Guards against a change that is sent unnoticed with an intended one.
	It("shows each field that differs, without keys", func() {
		differences, findings := compare(change(`"version":7`, `"version":8`, `"timeoutMs":800`, `"timeoutMs":900`, `"weight":90`, `"weight":80`,
			`"kvCapacity":809752`, `"kvCapacity":9`, `"secret-1"`, `"secret-3"`, `16384`, `8192`))
		Expect(findings).To(BeEmpty())
		changed := func(section, name, field, before, after string) configcheck.Difference {
			return configcheck.Difference{Change: configcheck.Changed, Section: section, Name: name, Field: field, Old: before, New: after}
		}
		Expect(differences).To(Equal([]configcheck.Difference{
			changed("version", "", "version", "7", "8"),
			changed("routes", "b", "timeoutMs", "800ms", "900ms"),
			changed("routes", "b", "serviceName", "x:90 y:10", "x:80 y:10"),
			changed("services", "llm", "engine.kvCapacity", "809752", "9"),
			changed("tenants", "c", "apiKeys", "1 keys", "1 keys, others"),
			changed("limits", "", "maxHeaderBytes", "16384", "8192"),
		}))
	})

	It("shows added and removed entries, and the routes of a removed service", func() {
		differences, findings := compare(change(`"version":7`, `"version":8`, `"name":"a"`, `"name":"n"`, `,{"name":"y"}`, ``))
		Expect(differences[1:]).To(Equal([]configcheck.Difference{
			{Change: configcheck.Removed, Section: "routes", Name: "a"},
			{Change: configcheck.Added, Section: "routes", Name: "n"},
			{Change: configcheck.Removed, Section: "services", Name: "y"},
		}))
		Expect(findings).To(ConsistOf(ContainSubstring(`service "y" is removed, but the version in force uses it in the routes b`)))
	})

	It("finds a version that does not increase, and accounts that come or go", func() {
		_, findings := compare(change(`"version":7`, `"version":6`))
		Expect(findings).To(ConsistOf("warning version is 6, expected more than 7, the version in force"))
		_, findings = compare(change(`16384`, `8192`))
		Expect(findings).To(ConsistOf(HavePrefix("warning version is 7, expected more than 7")))
		open := decode(change(`"tenants"`, `"others"`, `"version":7`, `"version":8`))
		_, gone := configcheck.Compare(decode(clean), open)
		Expect(lines(gone)).To(ConsistOf(HavePrefix("warning tenants is removed")))
		open.Version = 6
		_, added := configcheck.Compare(open, decode(clean))
		Expect(lines(added)).To(ConsistOf(HavePrefix("warning tenants is new")))
	})
})
