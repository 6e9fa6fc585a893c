package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/platform"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// fleet polls the VM list.
type fleet struct {
	list     platform.VMList
	interval time.Duration
	current  atomic.Pointer[view.View]

	mu      sync.Mutex
	objects *member.Objects
}

func newFleet(list platform.VMList, interval time.Duration) *fleet {
	f := &fleet{list: list, interval: interval, objects: member.NewObjects()}
	f.current.Store(&view.View{})
	return f
}

// View implements view.Source.
func (f *fleet) View() *view.View { return f.current.Load() }

// Serve polls until ctx ends.
func (f *fleet) Serve(ctx context.Context) error {
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// poll keeps the last list when the platform does not answer.
func (f *fleet) poll(ctx context.Context) {
	vms, err := f.list.VMs(ctx)
	if err != nil {
		log.WithError(err).Warn("VM list not read")
		return
	}
	next := *f.current.Load()
	next.VMs = vms
	f.current.Store(&next)
}

// Versions implements links.Objects.
func (f *fleet) Versions() *wire.Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects.Versions()
}

// Newer implements links.Objects.
func (f *fleet) Newer(peer *wire.Versions) []*wire.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects.Newer(peer)
}

// Offer implements links.Objects.
func (f *fleet) Offer(o platform.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects.Offer(o)
}
