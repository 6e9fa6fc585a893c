package claims

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// inboxSize bounds the requests and reports that wait for a Duty.
	inboxSize = 4096
	// maxSlots bounds the slots of a service.
	maxSlots = 4096
)

// Config says whose slots a Duty runs.
type Config struct {
	Service string
	// Owner is the backend server, Incarnation this start of its sidecar.
	Owner       string
	Incarnation string
	// Retention is how long results are kept; zero: DefaultRetention.
	Retention time.Duration
	// Random spreads retries. Nil: a random seed.
	Random *rand.Rand
}

// Duty runs the slots that one sidecar owns. Serve is its only goroutine
// besides the calls of the store, at most one for each slot.
type Duty struct {
	config Config
	store  sharedstate.Store
	inbox  *ring.Ring[any]
	tokens atomic.Uint64
	owned  atomic.Pointer[[]uint32]
	news   chan struct{}
	ended  chan struct{}
	served atomic.Bool

	// What follows belongs to the goroutine of Serve.
	slots   []*Slot
	wakes   []time.Time
	waiting map[uint64]chan Answer
	plan    planEvent
	// released is closed when all slots are given up after a Release.
	released []chan struct{}
	draining bool
}

type (
	planEvent struct {
		version uint64
		owners  []string
	}
	askEvent struct {
		asked ClaimRequested
		reply chan Answer
	}
	reportEvent struct {
		key string
		ev  Event
	}
	storeEvent struct {
		slot int
		ev   Event
	}
	retainEvent  struct{ retention time.Duration }
	releaseEvent struct{ done chan struct{} }
)

// NewDuty returns a Duty that owns nothing until SetPlan.
func NewDuty(config Config, store sharedstate.Store) *Duty {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	d := &Duty{
		config:  config,
		store:   store,
		inbox:   ring.New[any]("claims", inboxSize, ring.Reject),
		news:    make(chan struct{}, 1),
		ended:   make(chan struct{}),
		waiting: map[uint64]chan Answer{},
	}
	d.owned.Store(&[]uint32{})
	return d
}

// SetPlan gives the owners of all slots as the plan of that version has them.
// The number of slots never changes.
func (d *Duty) SetPlan(version uint64, owners []string) {
	d.report(planEvent{version: version, owners: slices.Clone(owners)})
}

// SetRetention changes how long results are kept.
func (d *Duty) SetRetention(retention time.Duration) {
	d.report(retainEvent{retention: retention})
}

// Owned returns the slots owned now.
func (d *Duty) Owned() []uint32 { return *d.owned.Load() }

// Changed receives after Owned has changed.
func (d *Duty) OwnershipChanged() <-chan struct{} { return d.news }

// Claim asks to run the call of r. It returns when the claim is recorded or
// refused, or when ctx ends; then the answer is Unavailable and the call must
// not run. After Granted the caller reports exactly one of Finished,
// NotStarted and Lost, with the same Request.
func (d *Duty) Claim(ctx context.Context, r Request) Answer {
	if r.Service != d.config.Service {
		return notOwner
	}
	token := d.tokens.Add(1)
	reply := make(chan Answer, 1)
	if !d.inbox.Put(askEvent{asked: ClaimRequested{Token: token, Request: r}, reply: reply}) {
		return Answer{Kind: Unavailable, Reason: "too many claims wait", RetryAfter: retryStore}
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
	case <-d.ended:
	}
	d.report(reportEvent{key: r.Key, ev: Abandoned{Token: token, Key: r.Key}})
	return Answer{Kind: Unavailable, Reason: "the claim took too long", RetryAfter: retryStore}
}

// Finished reports the answer of a granted call.
func (d *Duty) Finished(r Request, result Result) {
	d.report(reportEvent{key: r.Key, ev: Finished{Request: r, Result: result}})
}

// NotStarted reports that a granted call did not run and never will, so that
// the key can be used again.
func (d *Duty) NotStarted(r Request) {
	d.report(reportEvent{key: r.Key, ev: NotStarted{Request: r}})
}

// Lost reports that a granted call may have run and has no answer.
func (d *Duty) ResultLost(r Request) {
	d.report(reportEvent{key: r.Key, ev: ResultLost{Request: r}})
}

// Release gives all slots up: no new claims are granted, and each slot is
// released once its calls are finished and recorded. It returns when all are,
// or when ctx ends.
func (d *Duty) Release(ctx context.Context) error {
	done := make(chan struct{})
	d.report(releaseEvent{done: done})
	select {
	case <-done:
		return nil
	case <-d.ended:
		return eris.New("claims duty has ended")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "release key slots")
	}
}

// report hands over what must not be lost, and waits for room.
func (d *Duty) report(ev any) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.inbox.Put(ev) {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-d.ended:
			cancel()
		case <-stop:
		}
	}()
	_ = d.inbox.PutWait(ctx, ev)
}

// Serve runs the slots until ctx ends. It cannot be started again after a
// panic, since what it knew of running calls may be wrong: the whole process
// ends, and the next one has another incarnation.
func (d *Duty) Serve(ctx context.Context) error {
	if d.served.Swap(true) {
		return suture.ErrTerminateSupervisorTree
	}
	defer close(d.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.untilWake(time.Now()))
		select {
		case ev := <-d.inbox.C():
			d.take(ctx, ev)
		case <-timer.C:
			d.wake(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Duty) take(ctx context.Context, ev any) {
	switch ev := ev.(type) {
	case planEvent:
		d.planned(ctx, ev)
	case askEvent:
		d.asked(ctx, ev)
	case reportEvent:
		if n, ok := d.slotOf(ev.key); ok {
			d.step(ctx, n, ev.ev)
		}
	case storeEvent:
		d.step(ctx, ev.slot, ev.ev)
	case retainEvent:
		d.config.Retention = ev.retention
		d.stepAll(ctx, Retain{Retention: ev.retention})
	case statusEvent:
		ev.reply <- d.status()
	case releaseEvent:
		d.draining = true
		d.released = append(d.released, ev.done)
		d.stepAll(ctx, Drain{})
		d.checkReleased()
	}
}

func (d *Duty) planned(ctx context.Context, p planEvent) {
	if p.version <= d.plan.version || len(p.owners) == 0 || len(p.owners) > maxSlots {
		return
	}
	if len(d.slots) == 0 {
		d.addSlots(len(p.owners))
	}
	if len(p.owners) != len(d.slots) {
		return
	}
	d.plan = p
	for n, owner := range p.owners {
		d.step(ctx, n, Plan{Version: p.version, Owned: owner == d.config.Owner})
		if d.draining {
			d.step(ctx, n, Drain{})
		}
	}
}

func (d *Duty) addSlots(count int) {
	d.wakes = make([]time.Time, count)
	for n := range count {
		d.slots = append(d.slots, NewSlot(SlotConfig{
			Service:     d.config.Service,
			Slot:        n,
			Owner:       d.config.Owner,
			Incarnation: d.config.Incarnation,
			Retention:   d.config.Retention,
		}, d.config.Random))
	}
}

func (d *Duty) slotOf(key string) (int, bool) {
	if len(d.slots) == 0 {
		return 0, false
	}
	return SlotOf(key, len(d.slots)), true
}

func (d *Duty) asked(ctx context.Context, ev askEvent) {
	n, ok := d.slotOf(ev.asked.Request.Key)
	if !ok {
		ev.reply <- notOwner
		return
	}
	d.waiting[ev.asked.Token] = ev.reply
	d.step(ctx, n, ev.asked)
}

func (d *Duty) stepAll(ctx context.Context, ev Event) {
	for n := range d.slots {
		d.step(ctx, n, ev)
	}
}

func (d *Duty) step(ctx context.Context, n int, ev Event) {
	if abandoned, ok := ev.(Abandoned); ok {
		delete(d.waiting, abandoned.Token)
	}
	d.wakes[n] = time.Time{}
	for _, e := range d.slots[n].Step(time.Now(), ev) {
		d.do(ctx, n, e)
	}
	if d.draining {
		d.checkReleased()
	}
}

func (d *Duty) do(ctx context.Context, n int, e Effect) {
	switch e := e.(type) {
	case StoreCall:
		go d.call(ctx, n, e)
	case Reply:
		if reply, ok := d.waiting[e.Token]; ok {
			delete(d.waiting, e.Token)
			reply <- e.Answer
		}
	case Wake:
		d.wakes[n] = e.At
	case Ownership:
		d.publish()
	}
}

// call makes one call of the store and reports how it ended.
func (d *Duty) call(ctx context.Context, n int, c StoreCall) {
	var ev Event
	if c.Call == sharedstate.CallPut {
		version, err := d.store.Put(ctx, c.Name, c.Version, c.Value)
		ev = PutDone{Version: version, Err: err}
	} else {
		o, err := d.store.Get(ctx, c.Name)
		ev = GetDone{Object: o, Err: err}
	}
	_ = d.inbox.PutWait(ctx, storeEvent{slot: n, ev: ev})
}

func (d *Duty) publish() {
	owned := []uint32{}
	for n, s := range d.slots {
		if s.Owned() {
			owned = append(owned, uint32(n))
		}
	}
	d.owned.Store(&owned)
	select {
	case d.news <- struct{}{}:
	default:
	}
}

func (d *Duty) checkReleased() {
	for _, s := range d.slots {
		if !s.Idle() {
			return
		}
	}
	for _, done := range d.released {
		close(done)
	}
	d.released = nil
}

// untilWake returns the time until the earliest Wake.
func (d *Duty) untilWake(now time.Time) time.Duration {
	earliest := now.Add(time.Hour)
	for _, at := range d.wakes {
		if !at.IsZero() && at.Before(earliest) {
			earliest = at
		}
	}
	return earliest.Sub(now)
}

func (d *Duty) wake(ctx context.Context) {
	now := time.Now()
	for n, at := range d.wakes {
		if !at.IsZero() && !at.After(now) {
			d.step(ctx, n, Tick{})
		}
	}
}
