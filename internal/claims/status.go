package claims

import (
	"context"

	"github.com/samber/lo"
)

// Status is the state of a Duty, for people.
type Status struct {
	Service     string `json:"service"`
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// PlanVersion is the version of the plan acted on; 0: none yet.
	PlanVersion uint64       `json:"plan_version"`
	Draining    bool         `json:"draining"`
	Slots       []SlotStatus `json:"slots"`
}

// SlotStatus is the state of a slot that is owned or to be owned.
type SlotStatus struct {
	Slot   int  `json:"slot"`
	Wanted bool `json:"wanted"`
	Owned  bool `json:"owned"`
	// Epoch and Version are those of the record last seen.
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Kept counts the claims in the record, MayHaveRun those of them that have
	// no result and never will, Bytes bounds its size.
	Kept       int `json:"kept"`
	MayHaveRun int `json:"may_have_run"`
	Bytes      int `json:"bytes"`
	// Waiting counts requests, Running granted calls, Owed results that are not
	// recorded.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Owed    int `json:"owed"`
	// InDoubt says that a write under way has an unknown outcome.
	InDoubt   bool `json:"in_doubt"`
	StoreDown bool `json:"store_down"`
}

type statusEvent struct{ reply chan Status }

// Status returns the state of the Duty, or an empty one when ctx ends first.
func (d *Duty) Status(ctx context.Context) Status {
	reply := make(chan Status, 1)
	d.inbox.Put(statusEvent{reply: reply})
	select {
	case s := <-reply:
		return s
	case <-d.ended:
	case <-ctx.Done():
	}
	return Status{Service: d.config.Service, Owner: d.config.Owner, Incarnation: d.config.Incarnation}
}

// status is called by the goroutine of Serve.
func (d *Duty) status() Status {
	s := Status{
		Service:     d.config.Service,
		Owner:       d.config.Owner,
		Incarnation: d.config.Incarnation,
		PlanVersion: d.plan.version,
		Draining:    d.draining,
		Slots:       []SlotStatus{},
	}
	for _, slot := range d.slots {
		if slot.Owned() || slot.wanted() || !slot.Idle() {
			s.Slots = append(s.Slots, slot.status())
		}
	}
	return s
}

func (s *Slot) status() SlotStatus {
	return SlotStatus{
		Slot:    s.config.Slot,
		Wanted:  s.wanted(),
		Owned:   s.owned,
		Epoch:   s.record.Epoch,
		Version: s.version,
		Kept:    len(s.record.Claims),
		MayHaveRun: len(s.in(keyLost)) + lo.CountBy(lo.Values(s.record.Claims), func(c Claim) bool {
			return c.Result == nil && c.Epoch < s.record.Epoch
		}),
		Bytes:     s.record.bytes(),
		Waiting:   len(s.in(keyQueued, keyCommitting)),
		Running:   s.Running(),
		Owed:      len(s.in(keyOwed)),
		InDoubt:   s.write != nil && s.write.InDoubt(),
		StoreDown: s.storeDown,
	}
}
