package planner

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.RapidOptions{})) }

func TestPlanner(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "planner")
}

const region = "seoul"

// fleet is a simulated fleet whose engines apply the plan immediately.
type fleet struct {
	now     time.Time
	view    View
	planner *Planner
}

func newFleet(engines, services int) *fleet {
	f := &fleet{
		now:     time.Unix(1000, 0),
		planner: New(region),
		view: View{
			Reports: map[string]LoadReport{},
			Slots:   map[string]int{"holds": 16},
		},
	}
	for i := range engines {
		role := engine.RoleDecode
		if i < engines/2 {
			role = engine.RolePrefill
		}
		f.addEngine(fmt.Sprintf("engine-%d", i), role)
	}
	for i := range services {
		f.addVM(fmt.Sprintf("holds-%d", i), "holds")
	}
	return f
}

func (f *fleet) addVM(name, service string) {
	f.view.VMs = append(f.view.VMs, sharedstate.VM{
		Name: name, Kind: sharedstate.VMBackend, Region: region, DataCentre: "mapo", Service: service,
	})
}

func (f *fleet) addEngine(name string, role engine.Role) {
	f.addVM(name, sharedstate.ServiceModels)
	f.view.Reports[name] = LoadReport{At: f.now, Load: &wire.Load{
		Role: string(role), Models: []string{"draft"}, Weights: "1", Admitting: true,
		PrefillRate: 10_000, DecodeRate: 1_000,
	}}
}

func (f *fleet) removeVM(name string) {
	f.view.VMs = lo.Reject(f.view.VMs, func(vm sharedstate.VM, _ int) bool { return vm.Name == name })
}

// step advances the time, applies the plan to the engines and makes a new plan. The
// rates of requested work are per engine.
func (f *fleet) step(d time.Duration, prefillRate, outputRate float64) []Change {
	f.now = f.now.Add(d)
	for name, report := range f.view.Reports {
		load := proto.CloneOf(report.Load)
		if row, ok := f.view.Plan.Engines[name]; ok {
			load.Role, load.Weights, load.Generation = string(row.Role), row.Weights, row.Generation
		}
		f.view.Reports[name] = LoadReport{At: f.now, Load: load}
	}
	engines := float64(len(f.view.Reports))
	f.view.Demand = map[string]shift.Demand{"draft": {
		PrefillTokens: prefillRate * engines,
		DecodeTokens:  outputRate * engines,
	}}
	next, changes := f.planner.Propose(f.now, f.view)
	f.view.Plan = next
	return changes
}

func (f *fleet) roles() map[engine.Role]int {
	return lo.CountValuesBy(lo.Values(f.view.Plan.Engines), func(e plan.Engine) engine.Role { return e.Role })
}

var _ = Describe("Planner", func() {
	It("adopts engines in their current state", func() {
		f := newFleet(4, 0)
		f.step(time.Second, 0, 0)
		Expect(f.roles()).To(Equal(map[engine.Role]int{engine.RolePrefill: 2, engine.RoleDecode: 2}))
		Expect(f.step(time.Second, 0, 0)).To(BeEmpty())
	})

	// Guards against fixed roles under a lasting shift to long prompts: prompts would
	// queue at a few prefill engines while decode engines idle, and requests would
	// miss their deadlines.
	It("moves engines to the overloaded role, and leaves some in each", func() {
		f := newFleet(8, 0)
		for range 600 {
			f.step(time.Second, 9_000, 50)
		}
		Expect(f.roles()[engine.RolePrefill]).To(BeNumerically(">", 4))
		Expect(f.roles()[engine.RoleDecode]).To(BeNumerically(">=", 1))
	})

	// Guards against planning on stale data: when links are down, the demand of the
	// last reports may be over.
	It("changes no role while most reports are old", func() {
		f := newFleet(8, 0)
		f.step(time.Second, 0, 0)
		before := f.roles()
		for range 100 {
			f.now = f.now.Add(time.Second)
			next, _ := f.planner.Propose(f.now.Add(maxReportAge), f.view)
			f.view.Plan = next
		}
		Expect(f.roles()).To(Equal(before))
	})

	// Guards against an outage when new weights are set for the whole fleet: if all
	// engines loaded them concurrently, none would be available meanwhile.
	It("rolls weights out a few engines at a time", func() {
		f := newFleet(8, 0)
		f.step(time.Second, 0, 0)
		f.view.Config.Defaults.Weights = lo.ToPtr("2")
		for range 60 {
			changes := f.step(time.Second, 0, 0)
			Expect(len(changes)).To(BeNumerically("<=", 1))
		}
		for _, row := range f.view.Plan.Engines {
			Expect(row.Weights).To(Equal("2"))
		}
	})

	// Guards against reused generations: a backend server is removed and rejoins
	// under its name, with its engine unchanged. The engine would reject a new row
	// that starts at 1 again, as it has seen a higher generation.
	It("gives a rejoining engine a generation above all earlier ones", func() {
		f := newFleet(2, 0)
		f.step(time.Second, 0, 0)
		f.view.Config.Defaults.Weights = lo.ToPtr("2")
		for range 20 {
			f.step(time.Second, 0, 0)
		}
		highest := f.view.Plan.Engines["engine-1"].Generation
		f.removeVM("engine-1")
		f.step(time.Second, 0, 0)
		f.step(removeAfter, 0, 0)
		Expect(f.view.Plan.Engines).NotTo(HaveKey("engine-1"))

		f.addEngine("engine-1", engine.RoleDecode)
		f.step(time.Second, 0, 0)
		Expect(f.view.Plan.Engines["engine-1"].Generation).To(BeNumerically(">", highest))
	})

	// Guards against a VM list that is briefly empty or incomplete: if rows were
	// removed immediately, the whole fleet would look new.
	It("keeps its rows when the VM list is empty", func() {
		f := newFleet(4, 2)
		f.step(time.Second, 0, 0)
		before := f.view.Plan
		f.view.VMs = nil
		f.step(2*removeAfter, 0, 0)
		Expect(f.view.Plan).To(Equal(before))
	})

	// Guards against needless slot moves, which delay calls, and against a changed
	// number of slots: a key would map to an owner that does not know its claim, and
	// the call would run twice. Owners join and leave in random order.
	It("keeps slots with owners that stay, in random runs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(0, 3)
			f.step(time.Second, 0, 0)
			joined := 3
			t.Repeat(map[string]func(*rapid.T){
				"join": func(*rapid.T) {
					f.addVM(fmt.Sprintf("holds-%d", joined), "holds")
					joined++
				},
				"leave": func(t *rapid.T) {
					if len(f.view.VMs) > 1 {
						f.removeVM(rapid.SampledFrom(f.view.VMs).Draw(t, "vm").Name)
					}
				},
				"": func(t *rapid.T) {
					before := f.view.Plan.Slots["holds"].Owners
					f.step(time.Second, 0, 0)
					checkSlots(t, f, before)
				},
			})
		})
	})
})

func checkSlots(t *rapid.T, f *fleet, before []string) {
	after := f.view.Plan.Slots["holds"].Owners
	present := lo.Map(f.view.VMs, func(vm sharedstate.VM, _ int) string { return vm.Name })
	moved := 0
	for slot, owner := range after {
		if !lo.Contains(present, owner) {
			t.Fatalf("slot %d is owned by %s, which has left", slot, owner)
		}
		if owner != before[slot] && lo.Contains(present, before[slot]) {
			moved++
		}
	}
	if len(after) != len(before) || moved > maxRebalancedSlots {
		t.Fatalf("slot count was %d and is %d; %d slots of present owners moved", len(before), len(after), moved)
	}
}

var _ = Describe("lease", func() {
	object := func(version uint64, holder string) sharedstate.Object {
		data, err := json.Marshal(leaseValue{Holder: holder, Term: 1})
		Expect(err).NotTo(HaveOccurred())
		return sharedstate.Object{Name: leaseName(region), Version: version, Value: data}
	}

	It("is acquired only after it was not renewed for its term", func() {
		now := time.Unix(1000, 0)
		l := newLease("b")
		l.observe(now, object(1, "a"))
		_, ok := l.next(now.Add(leaseTerm-time.Second), "w")
		Expect(ok).To(BeFalse())
		l.observe(now.Add(leaseTerm-time.Second), object(2, "a"))
		_, ok = l.next(now.Add(leaseTerm), "w")
		Expect(ok).To(BeFalse())
		next, ok := l.next(now.Add(2*leaseTerm), "w")
		Expect(ok).To(BeTrue())
		Expect(next.Term).To(BeEquivalentTo(2))
	})

	// Guards against two planners: if a holder went on planning after a pause longer
	// than its term, two entries would plan concurrently and undo each other's work.
	It("is not held after a pause", func() {
		now := time.Unix(1000, 0)
		l := newLease("a")
		l.observe(now, sharedstate.Object{})
		value, ok := l.next(now, "w")
		Expect(ok).To(BeTrue())
		l.writeApplied(now, object(1, "a"), value)
		Expect(l.held(now.Add(time.Second))).To(BeTrue())
		Expect(l.held(now.Add(leaseTerm))).To(BeFalse())
		l.observe(now.Add(leaseTerm), object(2, "b"))
		Expect(l.held(now.Add(leaseTerm))).To(BeFalse())
	})
})
