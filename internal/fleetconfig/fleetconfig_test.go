package fleetconfig_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/test/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.RapidOptions{})) }

func TestFleetConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetconfig")
}

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func stamp(editID string) fleetconfig.EditMetadata {
	return fleetconfig.EditMetadata{Author: "kim", At: start, EditID: editID, WriteID: "w-" + editID}
}

func values(pairs ...string) fleetconfig.Values {
	GinkgoHelper()
	v, err := fleetconfig.ParseValues(pairs)
	Expect(err).NotTo(HaveOccurred())
	return v
}

func apply(c fleetconfig.Config, editID string, changes ...fleetconfig.Change) fleetconfig.Config {
	GinkgoHelper()
	c, err := fleetconfig.Apply(c, stamp(editID), changes...)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func addException(scope fleetconfig.Scope, reason string, pairs ...string) fleetconfig.Change {
	GinkgoHelper()
	return fleetconfig.Change{AddException: &fleetconfig.NewException{
		Scope: scope, Values: values(pairs...), Reason: reason,
	}}
}

var _ = Describe("ParseValues", func() {
	It("reads each kind of value", func() {
		v := values("role_change_cost=5", "deadline=2s", "class=batch", "idempotent=true", "weights=7", "adapters=a,b")
		Expect(v.String()).To(Equal("adapters=a,b class=batch deadline=2s idempotent=true role_change_cost=5 weights=7"))
	})

	DescribeTable("rejects", func(pair, want string) {
		_, err := fleetconfig.ParseValues([]string{pair})
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("an unknown key", "dedline=2s", "not KEY=VALUE"),
		Entry("no value", "deadline", "not KEY=VALUE"),
		Entry("a bad duration", "deadline=2", "not a value of this key"),
		Entry("too many retries", "retry_share=0.2", "expected 0 to 0.1"),
		Entry("NaN", "retry_share=NaN", "not a value of this key"),
		Entry("an unknown class", "class=urgent", "expected one of"),
		Entry("a negative cost", "role_change_cost=-1", "expected 0 to 3600"),
	)
})

var _ = Describe("Apply", func() {
	It("sets and unsets defaults and records both in the history", func() {
		c := apply(fleetconfig.Config{}, "e1", fleetconfig.Change{SetDefaults: ptr(values("role_change_cost=5", "class=batch"))})
		Expect(*c.EffectiveValues(fleetconfig.Scope{}, start).RoleChangeCost).To(Equal(5.0))
		c = apply(c, "e2", fleetconfig.Change{UnsetDefaults: []string{"role_change_cost"}})
		Expect(c.Defaults.String()).To(Equal("class=batch"))
		Expect(c.History).To(HaveLen(2))
		Expect(c.HasEdit("e1")).To(BeTrue())
		Expect(c.WriteID).To(Equal("w-e2"))
	})

	It("drains and undrains a backend server without changing its other exceptions", func() {
		m1 := fleetconfig.Scope{BackendServer: "gangnam-m1"}
		c := apply(fleetconfig.Config{}, "e1", addException(m1, "slow disk", "drain_timeout=9s"))
		c = apply(c, "e2", fleetconfig.Change{Drain: &fleetconfig.Drain{BackendServer: "gangnam-m1", Reason: "new GPU"}})
		Expect(*c.EffectiveValues(m1, start).Drained).To(BeTrue())
		c = apply(c, "e3", fleetconfig.Change{Undrain: "gangnam-m1"})
		Expect(*c.EffectiveValues(m1, start).Drained).To(BeFalse())
		Expect(c.Exceptions).To(HaveLen(1))
		_, err := fleetconfig.Apply(c, stamp("e4"), fleetconfig.Change{Undrain: "gangnam-m1"})
		Expect(err).To(MatchError(fleetconfig.ErrInvalidChange))
	})

	It("removes expired exceptions and records it in the history", func() {
		c := apply(fleetconfig.Config{}, "e1", fleetconfig.Change{AddException: &fleetconfig.NewException{
			Scope: fleetconfig.Scope{Service: "holds"}, Values: values("deadline=9s"),
			Reason: "fair week", Expires: ptr(start.Add(time.Hour)),
		}})
		later := stamp("e2")
		later.At = start.Add(2 * time.Hour)
		c, err := fleetconfig.Apply(c, later, fleetconfig.Change{SetDefaults: ptr(values("class=batch"))})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Exceptions).To(BeEmpty())
		Expect(c.History[1].What).To(ContainSubstring("has expired"))
	})

	It("bounds the history", func() {
		c := fleetconfig.Config{}
		for i := range fleetconfig.MaxHistory + 5 {
			c = apply(c, fmt.Sprint("e", i), fleetconfig.Change{SetDefaults: ptr(values("class=batch"))})
		}
		Expect(c.History).To(HaveLen(fleetconfig.MaxHistory))
		Expect(c.HasEdit("e0")).To(BeFalse())
	})

	// Guards against exceptions that are too many to review, give no reason or
	// have no effect.
	DescribeTable("rejects and leaves the configuration unchanged", func(change fleetconfig.Change, want string) {
		before := fleetconfig.Config{}
		for i := range fleetconfig.MaxExceptions {
			before = apply(before, fmt.Sprintf("%08d", i), addException(fleetconfig.Scope{Service: "s"}, "r", "class=batch"))
		}
		after, err := fleetconfig.Apply(before, stamp("e"), change)
		Expect(err).To(MatchError(fleetconfig.ErrInvalidChange))
		Expect(err).To(MatchError(ContainSubstring(want)))
		Expect(after).To(Equal(before))
	},
		Entry("one exception too many", addException(fleetconfig.Scope{Service: "s"}, "r", "class=batch"), "at most 64"),
		Entry("a blank reason", addException(fleetconfig.Scope{Service: "s"}, "  ", "class=batch"), "a reason of 1 to 500"),
		Entry("a long reason", addException(fleetconfig.Scope{Service: "s"}, strings.Repeat("r", 501), "class=batch"), "a reason of"),
		Entry("an empty scope", addException(fleetconfig.Scope{}, "r", "class=batch"), "change the defaults instead"),
		Entry("no value", addException(fleetconfig.Scope{Service: "s"}, "r"), "it sets no value"),
		Entry("a value without effect", addException(fleetconfig.Scope{DataCentre: "mapo"}, "r", "deadline=1s", "drained=true"), "deadline has no effect"),
		Entry("draining a service", addException(fleetconfig.Scope{Service: "s"}, "r", "drained=true"), "needs the scope"),
		Entry("draining all", fleetconfig.Change{SetDefaults: &fleetconfig.Values{Drained: ptr(true)}}, "the whole fleet"),
		Entry("an unknown exception", fleetconfig.Change{RemoveException: "x1"}, "no exception"),
		Entry("an unknown default", fleetconfig.Change{UnsetDefaults: []string{"x"}}, "no default"),
		Entry("two kinds in one", fleetconfig.Change{RemoveException: "x1", Undrain: "m1"}, "exactly one kind"),
		Entry("no kind", fleetconfig.Change{}, "exactly one kind"),
		Entry("an expired exception", fleetconfig.Change{AddException: &fleetconfig.NewException{
			Scope: fleetconfig.Scope{Service: "s"}, Values: fleetconfig.BuiltIn(), Reason: "r", Expires: ptr(start),
		}}, "expired already"),
	)
})

var _ = Describe("EffectiveValues", func() {
	// Guards against a field that is missing in overlay: it could be set and
	// listed but would never take effect.
	It("applies every field of an exception over the defaults", func() {
		defaults := values("role_change_cost=1", "max_changes_in_flight=1", "change_dwell=1s", "deadline=1s",
			"class=normal", "idempotent=false", "retry_share=0.01", "account_tokens_per_second=1",
			"claim_retention=1m", "drain_timeout=1s", "weights=a", "adapters=a", "drained=false")
		special := values("role_change_cost=2", "max_changes_in_flight=2", "change_dwell=2s", "deadline=2s",
			"class=batch", "idempotent=true", "retry_share=0.02", "account_tokens_per_second=2",
			"claim_retention=2m", "drain_timeout=2s", "weights=b", "adapters=b", "drained=true")
		for _, key := range fleetconfig.Keys() {
			Expect(special.Text(key)).NotTo(Or(BeEmpty(), Equal(defaults.Text(key))), key)
		}
		c := fleetconfig.Config{Defaults: defaults, Exceptions: []fleetconfig.Exception{
			{Scope: fleetconfig.Scope{BackendServer: "m1"}, Values: special},
			{Scope: fleetconfig.Scope{Service: "models", DataCentre: "mapo"}, Values: defaults},
		}}
		Expect(c.EffectiveValues(fleetconfig.Scope{Service: "models", DataCentre: "mapo", BackendServer: "m1"}, start)).To(Equal(special))
		Expect(c.EffectiveValues(fleetconfig.Scope{Service: "models", BackendServer: "m2"}, start)).To(Equal(defaults))
	})
})

var _ = Describe("Compare", func() {
	It("returns the requested and the current value for each kind of change", func() {
		c := apply(fleetconfig.Config{}, "e1",
			fleetconfig.Change{SetDefaults: ptr(values("role_change_cost=5"))},
			fleetconfig.Change{Drain: &fleetconfig.Drain{BackendServer: "m1", Reason: "new GPU"}})
		Expect(fleetconfig.Compare(c, []fleetconfig.Change{
			{SetDefaults: ptr(values("role_change_cost=9", "class=batch"))},
			{UnsetDefaults: []string{"role_change_cost"}},
			{Undrain: "m1"},
			{RemoveException: "x1"},
		})).To(Equal([]fleetconfig.Difference{
			{Key: "class", Yours: "batch", Current: "normal (built in)"},
			{Key: "role_change_cost", Yours: "9", Current: "5"},
			{Key: "role_change_cost", Yours: "1 (built in)", Current: "5"},
			{Key: "exceptions for backend_server=m1", Yours: "removed", Current: "xe1 drained=true (kim: new GPU)"},
			{Key: "exception x1", Yours: "removed", Current: "none"},
		}))
	})
})

var _ = Describe("Parse", func() {
	It("decodes what Encode returned", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := fleetconfig.Config{}
			for i := range rapid.IntRange(0, 8).Draw(t, "edits") {
				edited, err := fleetconfig.Apply(c, stamp(fmt.Sprintf("%08d", i)), drawChange(t))
				if err == nil {
					c = edited
				}
			}
			data, err := c.Encode()
			Expect(err).NotTo(HaveOccurred())
			back, err := fleetconfig.Parse(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(back.Encode()).To(Equal(data))
		})
	})

	// Guards against applying part of a configuration that a newer release wrote
	// with an additional field: nobody intended that part alone.
	It("rejects an unknown field", func() {
		_, err := fleetconfig.Parse([]byte(`{"write_id":"w","defaults":{"speed":1}}`))
		Expect(err).To(MatchError(ContainSubstring("speed")))
	})
})

func drawChange(t *rapid.T) fleetconfig.Change {
	backendServer := rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "backend server")
	reason := rapid.StringMatching(`[a-z ]{0,8}`).Draw(t, "reason")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		cost := rapid.Float64Range(-1, 100).Draw(t, "cost")
		return fleetconfig.Change{SetDefaults: &fleetconfig.Values{RoleChangeCost: &cost}}
	case 1:
		return fleetconfig.Change{UnsetDefaults: []string{"role_change_cost"}}
	case 2:
		return fleetconfig.Change{Drain: &fleetconfig.Drain{BackendServer: backendServer, Reason: reason}}
	default:
		return fleetconfig.Change{Undrain: backendServer}
	}
}

func ptr[T any](v T) *T { return &v }

// FuzzParse checks that an accepted configuration stays the same when it is
// encoded and parsed again. The object is written by other processes, possibly of
// another release.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"write_id":"w","defaults":{"class":"batch","deadline":"2s","adapters":["a"]}}`))
	f.Add([]byte(`{"write_id":"w","defaults":{},"exceptions":[{"id":"x1","scope":{"service":"s"},` +
		`"values":{"drained":false},"reason":"r","author":"a","at":"2026-03-01T09:00:00Z"}]}`))
	f.Add([]byte(`{"history":[{"at":"2026-03-01T09:00:00Z","author":"a","what":"w"}]} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := fleetconfig.Parse(data)
		if err != nil {
			return
		}
		first, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := fleetconfig.Parse(first)
		if err != nil {
			t.Fatalf("%s is rejected: %v", first, err)
		}
		if second, _ := again.Encode(); string(first) != string(second) {
			t.Fatalf("%s was encoded again as %s", first, second)
		}
	})
}
