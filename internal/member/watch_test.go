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

// countedPlatform counts calls by the tenth of a second, and can let watches go
// silent.
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

// busiest returns the most calls in a tenth of a second.
func (p *countedPlatform) busiest() int {
	p.counting.Lock()
	defer p.counting.Unlock()
	most := 0
	for _, n := range p.calls {
		most = max(most, n)
	}
	return most
}

// startWatchers runs entries that all watch: two in each data centre. They have
// no link addresses, so that the store is all they hear of.
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

// The watchers' connections go silent, as if nothing changed. An operator's
// change would wait until somebody notices that it is not in force.
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

// The store comes back after an outage in which an operator's change was made
// through another path. All watchers at once would push it over its rate and
// bring the outage back; too slow a return leaves callers under the old
// configuration.
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
		// Two objects each: 80 calls if all came together.
		g.Expect(p.busiest()).To(BeNumerically("<", watchers/2))
		for _, m := range members {
			g.Expect(m.Snapshot().VMs).To(HaveLen(watchers))
			g.Expect(m.Status().Watching).To(BeTrue())
		}
	})
}

// Both watchers of a data centre are gone and the list still shows them. The
// other entries must not wait for them for ever.
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
