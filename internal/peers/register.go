package peers

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/store"
)

// Kind is the kind of the objects by which gateways find each other.
const Kind = "pistachioroad-gateways"

const (
	// listEvery is how often the others are looked for; a stale read does, for
	// a gateway that is found late is only not told anything until then.
	listEvery = 3 * time.Second
	// listSoon is used at first, while all gateways of a deployment start.
	listSoon  = 500 * time.Millisecond
	soonUntil = 6
)

// entry is the value of a gateway's object.
type entry struct {
	Address string `json:"address"`
}

// Register tells the store this gateway's address and looks for the others
// until ctx ends.
func (p *Peers) Register(ctx context.Context, s store.Store) error {
	registered := false
	for round := 0; ; round++ {
		if !registered {
			registered = p.register(ctx, s)
		}
		p.look(ctx, s)
		wait := listEvery
		if round < soonUntil {
			wait = listSoon
		}
		if !pause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// register writes this gateway's object. The write is idempotent: a VM has one
// gateway, and its address does not change while it runs.
func (p *Peers) register(ctx context.Context, s store.Store) bool {
	value := entry{Address: p.conn.LocalAddr().String()}
	_, err := s.Create(ctx, Kind, p.name, value)
	if errors.Is(err, store.ErrConflict) {
		err = p.replace(ctx, s, value)
	}
	if err != nil {
		log.WithField("error", err.Error()).Warn("gateway not registered, trying again")
		return false
	}
	log.WithField("address", value.Address).Info("gateway registered")
	return true
}

func (p *Peers) replace(ctx context.Context, s store.Store, value entry) error {
	o, err := s.Get(ctx, Kind, p.name)
	if err != nil {
		return err
	}
	var there entry
	if json.Unmarshal(o.Spec, &there) == nil && there == value {
		return nil
	}
	_, err = s.Update(ctx, Kind, p.name, o.Revision, value)
	return err
}

func (p *Peers) look(ctx context.Context, s store.Store) {
	l, err := s.List(ctx, Kind, store.Stale)
	if err != nil {
		log.WithField("error", err.Error()).Debug("other gateways not listed, keeping those known")
		return
	}
	others := make(map[string]netip.AddrPort, len(l.Objects))
	for _, o := range l.Objects {
		var e entry
		if err := json.Unmarshal(o.Spec, &e); err != nil {
			log.WithField("object", o.Name).WithField("error", err.Error()).Warn("gateway's object not understood")
			continue
		}
		address, err := netip.ParseAddrPort(e.Address)
		if err != nil || o.Name == p.name {
			continue
		}
		others[o.Name] = address
	}
	p.SetPeers(others)
}
