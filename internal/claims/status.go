package claims

import (
	"context"

	"github.com/samber/lo"
)

// Status is the state of a Duty, for operators.
type Status struct {
	Service     string `json:"service"`
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// PlanVersion is the version of the plan followed; 0 means none yet.
	PlanVersion uint64       `json:"plan_version"`
	Draining    bool         `json:"draining"`
	Slots       []SlotStatus `json:"slots"`
}

// SlotStatus is the state of a slot that is owned, wanted or not yet idle.
type SlotStatus struct {
	Slot   int  `json:"slot"`
	Wanted bool `json:"wanted"`
	Owned  bool `json:"owned"`
	// Epoch and Version are those of the record last read or written.
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Claims counts the claims in the record, MayHaveRun those that have no
	// result and never will; Bytes is an upper bound of the record's size.
	Claims     int `json:"kept"`
	MayHaveRun int `json:"may_have_run"`
	Bytes      int `json:"bytes"`
	// Waiting counts requests that wait for their claim, Running granted calls,
	// Unrecorded results that are not in the record yet.
	Waiting    int `json:"waiting"`
	Running    int `json:"running"`
	Unrecorded int `json:"owed"`
	// InDoubt is set if a write was sent whose outcome is unknown.
	InDoubt   bool `json:"in_doubt"`
	StoreDown bool `json:"store_down"`
}

type statusEvent struct{ reply chan Status }

// Status returns the state of the Duty. If ctx ends first or the Duty has
// stopped, only the configuration is filled in.
func (d *Duty) Status(ctx context.Context) Status {
	reply := make(chan Status, 1)
	d.inbox.Put(statusEvent{reply: reply})
	select {
	case s := <-reply:
		return s
	case <-d.stopped:
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
		Claims:  len(s.record.Claims),
		MayHaveRun: len(s.keysIn(keyResultLost)) + lo.CountBy(lo.Values(s.record.Claims), func(c Claim) bool {
			return c.Result == nil && c.Epoch < s.record.Epoch
		}),
		Bytes:      s.record.sizeBound(),
		Waiting:    len(s.keysIn(keyQueued, keyCommitting)),
		Running:    s.Running(),
		Unrecorded: len(s.keysIn(keyFinished)),
		InDoubt:    s.write != nil && s.write.InDoubt(),
		StoreDown:  s.storeDown,
	}
}
