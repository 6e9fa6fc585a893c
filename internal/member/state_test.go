package member_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

var epoch = time.Unix(1_000_000, 0)

func config(version uint64) sharedstate.Object {
	value := fmt.Sprintf(`{"write_id":"w%d"}`, version)
	return sharedstate.Object{Name: "fleetconfig", Version: version, Value: []byte(value)}
}

func planObject(version uint64) sharedstate.Object {
	return sharedstate.Object{Name: "plan/seoul", Version: version, Value: []byte(`{"region":"seoul"}`)}
}

var _ = Describe("State", func() {
	// Guards against rejecting every caller: during an outage, the platform's VM list is
	// empty, which must not be mistaken for an empty fleet.
	It("keeps the last list when the list is empty or fails", func() {
		s := member.NewState("seoul", epoch)
		s.Step(epoch, member.VMListRead{VMs: []sharedstate.VM{entryVM(1)}})
		later := epoch.Add(time.Minute)
		s.Step(later, member.VMListRead{})
		s.Step(later, member.VMListRead{Err: errors.New("down")})
		Expect(s.Snapshot().VMs).To(HaveLen(1))
		Expect(s.Snapshot().ListAge(later)).To(Equal(time.Minute))
	})

	// Guards against an entry that rejects its callers for as long as an outage of the
	// platform lasts: it was replaced during the outage, and knows neither a backend
	// server nor a peer until a peer dials it and sends its list.
	It("takes the VM list of a peer while its own is missing or old", func() {
		replaced, peer := member.NewState("seoul", epoch), member.NewState("seoul", epoch)
		peer.Step(epoch, member.VMListRead{VMs: []sharedstate.VM{entryVM(1), entryVM(2)}})
		now := epoch.Add(4 * time.Second)
		request := versionsSent(replaced.Step(now, member.PeerUp{Peer: 1, Process: "peer"}))
		Expect(request.GetWantsList()).To(BeTrue())

		effects := peer.Step(now, member.PeerVersions{Peer: 1, Process: "fresh", WantsList: true})
		list := listSent(effects)
		Expect(list.GetVms()).To(HaveLen(2))
		replaced.Step(now, member.PeerVMList{VMs: []sharedstate.VM{entryVM(1), entryVM(2)}, Age: time.Duration(list.GetAgeMs()) * time.Millisecond})
		Expect(replaced.Snapshot().VMs).To(HaveLen(2))
		Expect(replaced.Snapshot().ListAge(now)).To(Equal(4 * time.Second))

		replaced.Step(now, member.VMListRead{VMs: []sharedstate.VM{entryVM(3)}})
		replaced.Step(now, member.PeerVMList{VMs: []sharedstate.VM{entryVM(1)}})
		Expect(replaced.Snapshot().VMs).To(ConsistOf(entryVM(3)))
	})

	// Guards against serving callers under a configuration that an operator has replaced:
	// a peer that was partitioned sends the objects that it held before.
	It("never goes back to an older object from a stale peer", func() {
		s := member.NewState("seoul", epoch)
		s.Step(epoch, member.StoreRead{Object: config(9)})
		s.Step(epoch, member.ObjectReceived{Peer: 1, Object: config(8)})
		Expect(s.Snapshot().ConfigVersion).To(Equal(uint64(9)))
		Expect(s.Snapshot().Config.WriteID).To(Equal("w9"))
	})

	// Guards against serving callers under a replaced configuration: a process starts
	// during an outage of the store, and its first peer has been partitioned for a while.
	It("is not ready after the announcement of a single stale peer", func() {
		s := member.NewState("seoul", epoch)
		s.Step(epoch, member.ObjectReceived{Object: config(3)})
		s.Step(epoch, member.PeerVersions{Process: "a", Versions: map[string]uint64{"fleetconfig": 3}})
		Expect(s.Snapshot().Ready).To(BeFalse())
		s.Step(epoch, member.PeerVersions{Process: "b", Versions: map[string]uint64{"fleetconfig": 5}})
		Expect(s.Snapshot().Ready).To(BeFalse())
		s.Step(epoch, member.ObjectReceived{Object: config(5)})
		Expect(s.Snapshot().Ready).To(BeTrue())
		Expect(s.Snapshot().Confirmed).To(BeTrue())
	})

	It("becomes ready without confirmation after a timeout", func() {
		s := member.NewState("seoul", epoch)
		s.Step(epoch.Add(4*time.Second), member.Tick{})
		Expect(s.Snapshot().Ready).To(BeFalse())
		s.Step(epoch.Add(5*time.Second), member.Tick{})
		Expect(s.Snapshot().Ready).To(BeTrue())
		Expect(s.Snapshot().Confirmed).To(BeFalse())
	})

	It("is ready as soon as all objects have been read from the store", func() {
		s := member.NewState("seoul", epoch)
		s.Step(epoch, member.StoreRead{Object: config(1)})
		Expect(s.Snapshot().Ready).To(BeFalse())
		s.Step(epoch, member.StoreRead{Object: sharedstate.Object{Name: "plan/seoul"}})
		Expect(s.Snapshot().Confirmed).To(BeTrue())
	})

	// Guards against serving callers without any configuration: a newer release writes an
	// object that this one cannot decode.
	It("keeps the active configuration when a newer one cannot be decoded", func() {
		s := member.NewState("seoul", epoch)
		s.Step(epoch, member.StoreRead{Object: config(1)})
		s.Step(epoch, member.StoreRead{Object: sharedstate.Object{Name: "fleetconfig", Version: 2, Value: []byte("{")}})
		Expect(s.Snapshot().ConfigVersion).To(Equal(uint64(1)))
		Expect(s.Snapshot().Versions().GetVersions()).To(HaveKeyWithValue("fleetconfig", uint64(2)))
	})
})

var _ = Describe("Watchers and Peers", func() {
	fleet := func(count int) []sharedstate.VM {
		return lo.Times(count, func(n int) sharedstate.VM {
			vm := entryVM(n)
			vm.DataCentre = fmt.Sprintf("dc-%d", n%6)
			vm.Region = fmt.Sprintf("region-%d", n%2)
			return vm
		})
	}

	It("has two watchers in each data centre and replaces a draining one", func() {
		vms := fleet(30)
		before := member.Watchers(vms, "dc-1")
		Expect(before).To(HaveLen(2))
		for n := range vms {
			vms[n].Draining = vms[n].Name == before[0]
		}
		after := member.Watchers(vms, "dc-1")
		Expect(after).To(HaveLen(2))
		Expect(after).To(ContainElement(before[1]))
		Expect(after).NotTo(ContainElement(before[0]))
	})

	DescribeTable("connects all entries by few links", func(count, limit int) {
		vms := fleet(count)
		links := map[string][]string{}
		for _, vm := range vms {
			peers := member.Peers(vms, vm.Name)
			Expect(len(peers)).To(BeNumerically("<=", limit))
			for _, p := range peers {
				links[vm.Name] = append(links[vm.Name], p.Name)
				links[p.Name] = append(links[p.Name], vm.Name)
			}
		}
		reached := map[string]bool{vms[0].Name: true}
		for next := []string{vms[0].Name}; len(next) > 0; next = next[1:] {
			for _, name := range links[next[0]] {
				if !reached[name] {
					reached[name] = true
					next = append(next, name)
				}
			}
		}
		Expect(reached).To(HaveLen(count))
	},
		Entry("a small full mesh", 4, 3),
		Entry("the largest full mesh", 8, 7),
		Entry("more entries", 30, 6),
		Entry("the target fleet size", 350, 6),
	)
})

// network connects States by links in virtual time.
type network struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	states []*member.State
	links  [][2]int
	cut    func(a, b int) bool
	// cutFor counts the seconds for which each link has been cut.
	cutFor      map[int]int
	frames      []frameInFlight
	frameCounts map[string]int
}

type frameInFlight struct {
	link int
	to   int
	ev   member.Event
	at   time.Time
}

func newNetwork(t *testing.T, seed uint64, vms []sharedstate.VM) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		cut: func(int, int) bool { return false }, cutFor: map[int]int{}, frameCounts: map[string]int{},
	}
	index := map[string]int{}
	for i, vm := range vms {
		index[vm.Name] = i
		n.states = append(n.states, member.NewState("seoul", epoch))
	}
	for i, vm := range vms {
		for _, peer := range member.Peers(vms, vm.Name) {
			n.links = append(n.links, [2]int{i, index[peer.Name]})
		}
	}
	for id, l := range n.links {
		for _, end := range l {
			n.step(end, member.PeerUp{Peer: member.PeerID(id + 1), Process: "p"})
		}
	}
	return n
}

func (n *network) step(at int, ev member.Event) {
	for _, e := range n.states[at].Step(n.now, ev) {
		if send, ok := e.(member.Send); ok {
			n.transmit(at, send)
		}
	}
}

// redial, called once a second, closes links that have been cut for 5 s and reopens them
// once they are no longer cut, as Member does.
func (n *network) redial() {
	const silentAfter = 5
	for id, l := range n.links {
		peer := member.PeerID(id + 1)
		switch {
		case n.cut(l[0], l[1]):
			n.cutFor[id]++
			if n.cutFor[id] == silentAfter {
				n.step(l[0], member.PeerDown{Peer: peer})
				n.step(l[1], member.PeerDown{Peer: peer})
			}
		case n.cutFor[id] >= silentAfter:
			n.cutFor[id] = 0
			n.step(l[0], member.PeerUp{Peer: peer, Process: "p"})
			n.step(l[1], member.PeerUp{Peer: peer, Process: "p"})
		default:
			n.cutFor[id] = 0
		}
	}
}

// transmit puts a frame in flight, unless the link is cut.
func (n *network) transmit(from int, send member.Send) {
	l := n.links[send.Peer-1]
	to := l[0] + l[1] - from
	if n.cut(from, to) {
		return
	}
	f := frameInFlight{
		link: int(send.Peer), to: to,
		at: n.now.Add(time.Duration(1+n.random.IntN(20)) * time.Millisecond),
	}
	switch {
	case send.Frame.GetVersions() != nil:
		f.ev = member.PeerVersions{
			Peer: send.Peer, Process: fmt.Sprint(from), Versions: send.Frame.GetVersions().GetVersions(),
		}
		n.frameCounts["versions"]++
	case send.Frame.GetObject() != nil:
		o := send.Frame.GetObject()
		f.ev = member.ObjectReceived{Peer: send.Peer, Object: sharedstate.Object{
			Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue(),
		}}
		n.frameCounts["objects"]++
	}
	n.frames = append(n.frames, f)
}

// run advances virtual time and delivers frames.
func (n *network) run(d time.Duration) {
	const tick = 5 * time.Millisecond
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(tick) {
		inFlight := n.frames
		n.frames = nil
		for _, f := range inFlight {
			if f.at.After(n.now) {
				n.frames = append(n.frames, f)
				continue
			}
			n.step(f.to, f.ev)
		}
		for i := range n.states {
			n.step(i, member.Tick{})
		}
		if n.now.Sub(epoch)%time.Second == 0 {
			n.redial()
		}
	}
}

func (n *network) holding(version uint64) int {
	return lo.CountBy(n.states, func(s *member.State) bool { return s.Snapshot().ConfigVersion == version })
}

// Guards against entries that keep serving under an old configuration: a change reaches
// one entry, or one side of a partition that heals later.
func TestChangeIsInForceEverywhere(t *testing.T) {
	vms := lo.Times(40, func(i int) sharedstate.VM {
		vm := entryVM(i)
		vm.DataCentre = fmt.Sprintf("dc-%d", i%6)
		vm.Region = fmt.Sprintf("region-%d", i%2)
		return vm
	})
	for seed := range uint64(8) {
		n := newNetwork(t, seed, vms)
		n.step(0, member.StoreRead{Object: config(1)})
		n.run(time.Second)
		if got := n.holding(1); got != len(vms) {
			t.Fatalf("seed %d: %d of %d entries hold the change after 1 s", seed, got, len(vms))
		}

		// A partition separates the two regions, and only one gets a change.
		n.cut = func(a, b int) bool { return a%2 != b%2 }
		n.run(10 * time.Second)
		n.step(1, member.StoreRead{Object: config(2)})
		n.run(time.Second)
		if got := n.holding(2); got != len(vms)/2 {
			t.Fatalf("seed %d: %d entries hold the change in its region", seed, got)
		}
		n.cut = func(int, int) bool { return false }
		n.run(4 * time.Second)
		if got := n.holding(2); got != len(vms) {
			t.Fatalf("seed %d: %d of %d entries hold the change 4 s after the partition", seed, got, len(vms))
		}
	}
}

// Guards against control traffic that exceeds its budget at each change: each entry has
// several peers that hold a new plan, and if each of them sent it, the plan of a large
// fleet would cross every link.
func TestObjectCrossesOnceToEachEntry(t *testing.T) {
	vms := lo.Times(60, entryVM)
	n := newNetwork(t, 1, vms)
	n.run(time.Second)
	n.step(0, member.StoreRead{Object: planObject(1)})
	n.run(4 * time.Second)
	if got := n.frameCounts["objects"]; got > len(vms)+len(vms)/10 {
		t.Fatalf("%d copies sent to %d entries", got, len(vms)-1)
	}
}

// versionsSent and listSent return the first message of their kind that a step sends.
func versionsSent(effects []member.Effect) *wire.Versions {
	return sent(effects, (*wire.Frame).GetVersions)
}

func listSent(effects []member.Effect) *wire.VMs { return sent(effects, (*wire.Frame).GetVms) }

func sent[T any](effects []member.Effect, body func(*wire.Frame) *T) *T {
	for _, e := range effects {
		if send, ok := e.(member.Send); ok && body(send.Frame) != nil {
			return body(send.Frame)
		}
	}
	return nil
}
