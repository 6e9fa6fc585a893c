package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// countedPlatform counts the calls in each tenth of a second, and can make watches hang.
type countedPlatform struct {
	*fakePlatform

	counting sync.Mutex
	silent   bool
	calls    map[int64]int
}

func (p *countedPlatform) count() bool {
	p.counting.Lock()
	defer p.counting.Unlock()
	p.calls[time.Now().UnixMilli()/100]++
	return p.silent
}

func (p *countedPlatform) Get(ctx context.Context, name string) (sharedstate.Object, error) {
	p.count()
	return p.fakePlatform.Get(ctx, name)
}

func (p *countedPlatform) Watch(ctx context.Context, name string, after uint64) (sharedstate.Object, error) {
	if p.count() {
		<-ctx.Done()
		return sharedstate.Object{Name: name}, sharedstate.ErrUnavailable
	}
	return p.fakePlatform.Watch(ctx, name, after)
}

func (p *countedPlatform) setSilent(silent bool) {
	p.counting.Lock()
	defer p.counting.Unlock()
	p.silent = silent
}

func (p *countedPlatform) reset() {
	p.counting.Lock()
	defer p.counting.Unlock()
	p.calls = map[int64]int{}
}

// busiest returns the maximum number of calls in a tenth of a second.
func (p *countedPlatform) busiest() int {
	p.counting.Lock()
	defer p.counting.Unlock()
	highest := 0
	for _, n := range p.calls {
		highest = max(highest, n)
	}
	return highest
}

// startWatchers runs entries that all watch: two in each data centre. They have no link
// addresses, so that the store is their only source.
func startWatchers(ctx context.Context, p *countedPlatform, count int) []*member.Member {
	members := []*member.Member{}
	for n := range count {
		vm := entryVM(n)
		vm.DataCentre = fmt.Sprint("dc-", n/2)
		p.vms = append(p.vms, vm)
		members = append(members, member.New(member.Config{
			Process: vm.Name, Region: vm.Region, DataCentre: vm.DataCentre, Entry: true,
			Random: rand.New(rand.NewPCG(uint64(n), 1)),
		}, p, p))
	}
	for _, m := range members {
		for _, s := range m.Services() {
			go func() { _ = s.Serve(ctx) }()
		}
	}
	return members
}

func inBubble(t *testing.T, test func(ctx context.Context, g Gomega, p *countedPlatform)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &countedPlatform{fakePlatform: newFakePlatform(), calls: map[int64]int{}}
		p.set("fleetconfig", 1, `{"write_id":"a"}`)
		test(ctx, NewWithT(t), p)
		cancel()
		synctest.Wait()
	})
}

func versions(members []*member.Member) []uint64 {
	held := []uint64{}
	for _, m := range members {
		held = append(held, m.Snapshot().ConfigVersion)
	}
	return held
}

// Guards against a change that is never applied: the watchers' connections are dead,
// which looks the same as if nothing changed.
func TestSilentWatchIsReplaced(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, p *countedPlatform) {
		p.setSilent(true)
		members := startWatchers(ctx, p, 2)
		time.Sleep(10 * time.Second)
		p.set("fleetconfig", 2, `{"write_id":"b"}`)
		p.setSilent(false)
		time.Sleep(4 * time.Second)
		g.Expect(versions(members)).To(HaveEach(uint64(2)))
	})
}

// Guards against a thundering herd after an outage of the store, during which an operator
// made a change on another path: if all watchers retried together, they would exceed the
// store's call rate and cause another outage; if they retried too slowly, callers would be
// served under the old configuration.
func TestWatchersResumeWithoutStampede(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, p *countedPlatform) {
		const watchers = 40
		members := startWatchers(ctx, p, watchers)
		time.Sleep(10 * time.Second)
		p.setDown(true)
		time.Sleep(time.Minute)
		p.reset()
		p.set("fleetconfig", 2, `{"write_id":"b"}`)
		p.setDown(false)
		time.Sleep(4 * time.Second)
		g.Expect(versions(members)).To(HaveEach(uint64(2)))
		// Two objects each: 80 calls if all retried together.
		g.Expect(p.busiest()).To(BeNumerically("<", watchers/2))
		for _, m := range members {
			g.Expect(m.Snapshot().VMs).To(HaveLen(watchers))
			g.Expect(m.Status().Watching).To(BeTrue())
		}
	})
}

// Guards against entries that never learn of a change: both watchers of their data centre
// are gone while the VM list still shows them.
func TestEntriesThatDoNotWatchReadNowAndThen(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega, p *countedPlatform) {
		p.vms = []sharedstate.VM{}
		for n := range 3 {
			p.vms = append(p.vms, entryVM(n))
		}
		chosen := member.Watchers(p.vms, "gangnam")
		for _, vm := range p.vms {
			if vm.Name == chosen[0] || vm.Name == chosen[1] {
				continue
			}
			m := member.New(member.Config{
				Process: vm.Name, Region: vm.Region, DataCentre: vm.DataCentre, Entry: true,
			}, p, p)
			for _, s := range m.Services() {
				go func() { _ = s.Serve(ctx) }()
			}
			time.Sleep(10 * time.Second)
			p.set("fleetconfig", 2, `{"write_id":"b"}`)
			time.Sleep(time.Minute)
			g.Expect(m.Snapshot().ConfigVersion).To(Equal(uint64(2)))
		}
	})
}
