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

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.Rapid{})) }

func TestPlanner(t *testing.T) {
	invariant.PanicOnBreach()
	RegisterFailHandler(Fail)
	RunSpecs(t, "planner")
}

const region = "seoul"

// fleet is a picture that follows its plan at once.
type fleet struct {
	now     time.Time
	picture View
	planner *Planner
}

func newFleet(engines, services int) *fleet {
	f := &fleet{
		now:     time.Unix(1000, 0),
		planner: New(region),
		picture: View{
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
	f.picture.VMs = append(f.picture.VMs, sharedstate.VM{
		Name: name, Kind: sharedstate.VMBackend, Region: region, DataCentre: "mapo", Service: service,
	})
}

func (f *fleet) addEngine(name string, role engine.Role) {
	f.addVM(name, sharedstate.ServiceModels)
	f.picture.Reports[name] = LoadReport{At: f.now, Load: &wire.Load{
		Role: string(role), Models: []string{"draft"}, Weights: "1", Admitting: true,
		PrefillRate: 10_000, DecodeRate: 1_000,
	}}
}

func (f *fleet) removeVM(name string) {
	f.picture.VMs = lo.Reject(f.picture.VMs, func(vm sharedstate.VM, _ int) bool { return vm.Name == name })
}

// step passes time, lets each engine follow its row, and plans for the rates of
// offered work, which are for each engine.
func (f *fleet) step(d time.Duration, prefillRate, outputRate float64) []Change {
	f.now = f.now.Add(d)
	for name, report := range f.picture.Reports {
		load := proto.CloneOf(report.Load)
		if row, ok := f.picture.Plan.Engines[name]; ok {
			load.Role, load.Weights, load.Generation = string(row.Role), row.Weights, row.Generation
		}
		f.picture.Reports[name] = LoadReport{At: f.now, Load: load}
	}
	engines := float64(len(f.picture.Reports))
	f.picture.Demand = map[string]shift.Demand{"draft": {
		PrefillTokens: prefillRate * engines,
		DecodeTokens:  outputRate * engines,
	}}
	next, changes := f.planner.Propose(f.now, f.picture)
	f.picture.Plan = next
	return changes
}

func (f *fleet) roles() map[engine.Role]int {
	return lo.CountValuesBy(lo.Values(f.picture.Plan.Engines), func(e plan.Engine) engine.Role { return e.Role })
}

var _ = Describe("Planner", func() {
	It("adopts engines as they are", func() {
		f := newFleet(4, 0)
		f.step(time.Second, 0, 0)
		Expect(f.roles()).To(Equal(map[engine.Role]int{engine.RolePrefill: 2, engine.RoleDecode: 2}))
		Expect(f.step(time.Second, 0, 0)).To(BeEmpty())
	})

	// The mix turns to long prompts and stays there: prompts wait before a few
	// prefill engines while decode engines idle, and drafts miss their call.
	It("moves engines to the role that is short, and leaves some in each", func() {
		f := newFleet(8, 0)
		for range 600 {
			f.step(time.Second, 9_000, 50)
		}
		Expect(f.roles()[engine.RolePrefill]).To(BeNumerically(">", 4))
		Expect(f.roles()[engine.RoleDecode]).To(BeNumerically(">=", 1))
	})

	// Reports stop, as when links are cut. Planning on the last ones would
	// answer a mix that may be over.
	It("changes no role while most reports are old", func() {
		f := newFleet(8, 0)
		f.step(time.Second, 0, 0)
		before := f.roles()
		for range 100 {
			f.now = f.now.Add(time.Second)
			next, _ := f.planner.Propose(f.now.Add(freshFor), f.picture)
			f.picture.Plan = next
		}
		Expect(f.roles()).To(Equal(before))
	})

	// New weights are set for the whole fleet. Loaded everywhere at once, they
	// would take all engines away for as long as the loads last.
	It("rolls weights out a few engines at a time", func() {
		f := newFleet(8, 0)
		f.step(time.Second, 0, 0)
		f.picture.Config.Defaults.Weights = lo.ToPtr("2")
		for range 60 {
			changes := f.step(time.Second, 0, 0)
			Expect(len(changes)).To(BeNumerically("<=", 1))
		}
		for _, row := range f.picture.Plan.Engines {
			Expect(row.Weights).To(Equal("2"))
		}
	})

	// A backend server leaves for long and comes back under its name, its
	// engine as it was. A row that began at 1 again would be refused by an
	// engine that has taken a higher generation.
	It("orders a returned engine above every earlier generation", func() {
		f := newFleet(2, 0)
		f.step(time.Second, 0, 0)
		f.picture.Config.Defaults.Weights = lo.ToPtr("2")
		for range 20 {
			f.step(time.Second, 0, 0)
		}
		highest := f.picture.Plan.Engines["engine-1"].Generation
		f.removeVM("engine-1")
		f.step(time.Second, 0, 0)
		f.step(forgetAfter, 0, 0)
		Expect(f.picture.Plan.Engines).NotTo(HaveKey("engine-1"))

		f.addEngine("engine-1", engine.RoleDecode)
		f.step(time.Second, 0, 0)
		Expect(f.picture.Plan.Engines["engine-1"].Generation).To(BeNumerically(">", highest))
	})

	// The VM list is empty or short for a moment. Rows dropped at once would
	// make the whole fleet look new.
	It("keeps its rows when the VM list comes back empty", func() {
		f := newFleet(4, 2)
		f.step(time.Second, 0, 0)
		before := f.picture.Plan
		f.picture.VMs = nil
		f.step(2*forgetAfter, 0, 0)
		Expect(f.picture.Plan).To(Equal(before))
	})

	// Owners join and leave in any order. A slot that moved without need holds
	// its calls back, and a changed count sends a key to where its claim is
	// not known, so that the call runs twice.
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
					if len(f.picture.VMs) > 1 {
						f.removeVM(rapid.SampledFrom(f.picture.VMs).Draw(t, "vm").Name)
					}
				},
				"": func(t *rapid.T) {
					before := f.picture.Plan.Slots["holds"].Owners
					f.step(time.Second, 0, 0)
					checkSlots(t, f, before)
				},
			})
		})
	})
})

func checkSlots(t *rapid.T, f *fleet, before []string) {
	after := f.picture.Plan.Slots["holds"].Owners
	present := lo.Map(f.picture.VMs, func(vm sharedstate.VM, _ int) string { return vm.Name })
	moved := 0
	for slot, owner := range after {
		if !lo.Contains(present, owner) {
			t.Fatalf("slot %d belongs to %s, which is gone", slot, owner)
		}
		if owner != before[slot] && lo.Contains(present, before[slot]) {
			moved++
		}
	}
	if len(after) != len(before) || moved > movesPerProposal {
		t.Fatalf("%d slots became %d, %d moved without need", len(before), len(after), moved)
	}
}

var _ = Describe("lease", func() {
	object := func(version uint64, holder string) sharedstate.Object {
		data, err := json.Marshal(leaseValue{Holder: holder, Term: 1})
		Expect(err).NotTo(HaveOccurred())
		return sharedstate.Object{Name: leaseName(region), Version: version, Value: data}
	}

	It("is taken only after it stood still for its term", func() {
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

	// The holder is paused for longer than its term and wakes up. If it went
	// on planning, two entries would plan at once and undo each other's work.
	It("is not held after a pause", func() {
		now := time.Unix(1000, 0)
		l := newLease("a")
		l.observe(now, sharedstate.Object{})
		value, ok := l.next(now, "w")
		Expect(ok).To(BeTrue())
		l.written(now, object(1, "a"), value)
		Expect(l.held(now.Add(time.Second))).To(BeTrue())
		Expect(l.held(now.Add(leaseTerm))).To(BeFalse())
		l.observe(now.Add(leaseTerm), object(2, "b"))
		Expect(l.held(now.Add(leaseTerm))).To(BeFalse())
	})
})
