package peers

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/store"
)

// Kind is the kind of the objects by which gateways discover each other.
const Kind = "pistachioroad-gateways"

const (
	// listInterval is how often the other gateways are listed. A stale read suffices: a
	// gateway that is discovered late only misses announcements until then.
	listInterval = 3 * time.Second
	// startupListInterval is used for the first startupRounds lists, while all gateways
	// of a deployment start.
	startupListInterval = 500 * time.Millisecond
	startupRounds       = 6
	// listSettleTime is the time from the start of a process after which a list has all
	// gateways that started at the same time. Stale reads may be seconds old.
	listSettleTime = 6 * time.Second
)

// registration is the content of a gateway's object.
type registration struct {
	Address string `json:"address"`
}

// Register stores this gateway's address and discovers the others until ctx is done. It stores
// the address again in each era of the store, whose copy may lack it.
func (p *Peers) Register(ctx context.Context, s store.Store) error {
	registered, registeredIn := false, store.Era(0)
	for round := 0; ; round++ {
		if era := store.ErasOf(s).Newest(); !registered || era > registeredIn {
			registered, registeredIn = p.register(ctx, s), era
		}
		p.listPeers(ctx, s)
		p.announcePresence(round)
		wait := listInterval
		if round < startupRounds {
			wait = startupListInterval
		}
		if !pause.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
}

// register writes this gateway's object and reports whether it succeeded. The write is
// idempotent: a VM has one gateway, and its address does not change while it runs.
func (p *Peers) register(ctx context.Context, s store.Store) bool {
	value := registration{Address: p.conn.LocalAddr().String()}
	_, err := s.Create(ctx, Kind, p.name, value)
	existed := errors.Is(err, store.ErrConflict)
	if existed {
		err = p.updateRegistration(ctx, s, value)
	}
	if err != nil {
		log.WithField("error", err.Error()).Warn("gateway registration failed, retrying")
		return false
	}
	p.mu.Lock()
	if !p.registered {
		// A store that names eras may have lost the object of an earlier process.
		p.firstProcess, p.registered = !existed && store.ErasOf(s).Newest() == 0, true
	}
	p.mu.Unlock()
	log.WithField("address", value.Address).WithField("existed", existed).Info("gateway registered")
	return true
}

func (p *Peers) updateRegistration(ctx context.Context, s store.Store, value registration) error {
	o, err := s.Get(ctx, Kind, p.name)
	if err != nil {
		return err
	}
	var stored registration
	if json.Unmarshal(o.Spec, &stored) == nil && stored == value {
		return nil
	}
	_, err = s.Update(ctx, Kind, p.name, o.Revision, value)
	return err
}

// listPeers lists the gateways and sets them to those of the recent lists.
func (p *Peers) listPeers(ctx context.Context, s store.Store) {
	l, err := s.List(ctx, Kind, store.Stale)
	if err != nil {
		log.WithField("error", err.Error()).Debug("listing gateways failed, keeping the known ones")
		return
	}
	gateways := make(map[string]netip.AddrPort, len(l.Objects))
	for _, o := range l.Objects {
		address, err := decodeRegistration(o)
		if err != nil {
			p.logInvalid(o, err)
			continue
		}
		gateways[o.Name] = address
	}
	p.setUnreadable(len(l.Objects) - len(gateways))
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setPeers(p.recent.add(now, gateways), now-p.startedAt >= listSettleTime)
}

// logInvalid logs an object that cannot be decoded, once for each of its revisions.
func (p *Peers) logInvalid(o store.Object, err error) {
	if p.invalid[o.Name] == o.Position() {
		return
	}
	p.invalid[o.Name] = o.Position()
	log.WithFields(log.Fields{"object": o.Name, "revision": o.Revision, "error": err.Error()}).Warn("gateway object is invalid, ignored")
}

func decodeRegistration(o store.Object) (netip.AddrPort, error) {
	var r registration
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(r.Address)
}

func (p *Peers) setUnreadable(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreadable = n
}
