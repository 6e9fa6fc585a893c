package member_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

func TestMember(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// fakePlatform holds objects and the VM list in memory.
type fakePlatform struct {
	mu      sync.Mutex
	down    bool
	vms     []sharedstate.VM
	objects map[string]sharedstate.Object
	changed chan struct{}
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: map[string]sharedstate.Object{}, changed: make(chan struct{})}
}

func (p *fakePlatform) set(name string, version uint64, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = sharedstate.Object{Name: name, Version: version, Value: []byte(value)}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *fakePlatform) lookUp(name string) (sharedstate.Object, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return sharedstate.Object{Name: name}, nil, sharedstate.ErrUnavailable
	}
	o := p.objects[name]
	o.Name = name
	return o, p.changed, nil
}

func (p *fakePlatform) Get(_ context.Context, name string) (sharedstate.Object, error) {
	o, _, err := p.lookUp(name)
	return o, err
}

func (p *fakePlatform) Put(context.Context, string, uint64, []byte) (uint64, error) {
	return 0, sharedstate.ErrNotSent
}

func (p *fakePlatform) Watch(ctx context.Context, name string, after uint64) (sharedstate.Object, error) {
	for {
		o, changed, err := p.lookUp(name)
		if err != nil || o.Version > after {
			return o, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return o, sharedstate.ErrUnavailable
		}
	}
}

func (p *fakePlatform) VMs(context.Context) ([]sharedstate.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, errors.New("down")
	}
	return p.vms, nil
}

func entryVM(n int) sharedstate.VM {
	return sharedstate.VM{
		Name: fmt.Sprintf("entry-%03d", n), Kind: sharedstate.VMEntry, Region: "seoul", DataCentre: "gangnam",
	}
}

// add appends a VM to the list.
func (p *fakePlatform) add(vm sharedstate.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(slices.Clone(p.vms), vm)
}

// runningEntry is an entry that listens on the loopback address.
type runningEntry struct {
	*member.Member

	vm sharedstate.VM
}

// startOne runs an entry without adding it to the VM list.
func startOne(p *fakePlatform, vm sharedstate.VM) runningEntry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	vm.LinkAddress = listener.Addr().String()
	m := member.New(member.Config{
		Process: vm.Name, Region: vm.Region, DataCentre: vm.DataCentre,
		Entry: true, PeerListener: listener, ListInterval: 50 * time.Millisecond,
	}, p, p)
	supervisor := suture.NewSimple("test")
	for _, s := range m.Services() {
		supervisor.Add(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := supervisor.ServeBackground(ctx)
	DeferCleanup(func() {
		cancel()
		<-ended
	})
	return runningEntry{Member: m, vm: vm}
}

// start runs entries of one data centre on loopback and adds them to the VM list.
func start(p *fakePlatform, count int) []runningEntry {
	entries := []runningEntry{}
	for n := range count {
		e := startOne(p, entryVM(n))
		p.add(e.vm)
		entries = append(entries, e)
	}
	return entries
}

var _ = Describe("Member", func() {
	// Guards against half of the callers being served under an old configuration:
	// entries that do not watch the store must get a change from those that do.
	It("applies a change at every entry", func() {
		p := newFakePlatform()
		p.set("fleetconfig", 1, `{"write_id":"a"}`)
		members := start(p, 5)
		applied := func(version uint64) func() int {
			return func() int {
				count := 0
				for _, m := range members {
					if m.Snapshot().ConfigVersion >= version {
						count++
					}
				}
				return count
			}
		}
		Eventually(applied(1), 10*time.Second).Should(Equal(5))
		p.set("fleetconfig", 2, `{"write_id":"b"}`)
		Eventually(applied(2), 10*time.Second).Should(Equal(5))
	})

	// Guards against a lost change: an operator makes it at one entry just before the
	// store and the VM list fail, and the other entries must still get it.
	It("spreads an offered object while the platform is down", func() {
		p := newFakePlatform()
		members := start(p, 4)
		for _, m := range members {
			Eventually(func() int { return len(m.Snapshot().VMs) }, 10*time.Second).Should(Equal(4))
			Eventually(func() bool { return m.Snapshot().Ready }, 10*time.Second).Should(BeTrue())
		}
		p.setDown(true)
		members[0].Offer(sharedstate.Object{Name: "fleetconfig", Version: 7, Value: []byte(`{}`)})
		Eventually(func() uint64 { return members[3].Snapshot().ConfigVersion }, 10*time.Second).
			Should(Equal(uint64(7)))
		Expect(members[3].Snapshot().VMs).To(HaveLen(4))
	})

	// Guards against an entry that serves its callers without any configuration: it is
	// restarted during an outage of the platform, with neither the store nor the VM list,
	// and only the other entries can dial it.
	It("gets the objects from its peers when it starts in an outage", func() {
		p := newFakePlatform()
		p.set("fleetconfig", 3, `{"write_id":"a"}`)
		members := start(p, 4)
		for _, m := range members {
			Eventually(func() int { return len(m.Snapshot().VMs) }, 10*time.Second).Should(Equal(4))
			Eventually(func() uint64 { return m.Snapshot().ConfigVersion }, 10*time.Second).Should(Equal(uint64(3)))
		}
		down := newFakePlatform()
		down.setDown(true)
		vm := entryVM(0)
		vm.Name = "entry-0"
		restarted := startOne(down, vm)
		p.add(restarted.vm)
		Eventually(func() uint64 { return restarted.Snapshot().ConfigVersion }, 10*time.Second).Should(Equal(uint64(3)))
		Eventually(func() bool { return restarted.Snapshot().Confirmed }, 10*time.Second).Should(BeTrue())
	})
})
