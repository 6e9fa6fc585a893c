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
	// inboxSize bounds the queued events of a Duty.
	inboxSize = 4096
	// maxSlots bounds the number of slots of a service.
	maxSlots = 4096
)

// Config configures a Duty.
type Config struct {
	Service string
	// Owner is the backend server; Incarnation identifies this start of its
	// sidecar.
	Owner       string
	Incarnation string
	// Retention is how long results are stored; zero means DefaultRetention.
	Retention time.Duration
	// Random adds jitter to retries; nil means a generator with a random seed.
	Random *rand.Rand
}

// Duty runs the slots that one sidecar owns. All state is handled by the
// goroutine of Serve; store calls run in goroutines of their own, at most one per
// slot.
type Duty struct {
	config           Config
	store            sharedstate.Store
	inbox            *ring.Ring[any]
	tokens           atomic.Uint64
	owned            atomic.Pointer[[]uint32]
	ownershipChanged chan struct{}
	stopped          chan struct{}
	served           atomic.Bool

	// The fields below are used by the goroutine of Serve only.
	slots     []*Slot
	wakeTimes []time.Time
	replies   map[uint64]chan Answer
	plan      planEvent
	// releaseWaiters are closed once all slots are released after a Release.
	releaseWaiters []chan struct{}
	draining       bool
}

type (
	planEvent struct {
		version uint64
		owners  []string
	}
	claimEvent struct {
		request ClaimRequested
		reply   chan Answer
	}
	keyEvent struct {
		key string
		ev  Event
	}
	storeEvent struct {
		slot int
		ev   Event
	}
	retentionEvent struct{ retention time.Duration }
	releaseEvent   struct{ done chan struct{} }
)

// NewDuty returns a Duty that owns no slot until SetPlan.
func NewDuty(config Config, store sharedstate.Store) *Duty {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	d := &Duty{
		config:           config,
		store:            store,
		inbox:            ring.New[any]("claims", inboxSize, ring.Reject),
		ownershipChanged: make(chan struct{}, 1),
		stopped:          make(chan struct{}),
		replies:          map[uint64]chan Answer{},
	}
	d.owned.Store(&[]uint32{})
	return d
}

// SetPlan sets the owners of all slots according to the plan of that version.
// The number of slots never changes.
func (d *Duty) SetPlan(version uint64, owners []string) {
	d.enqueue(planEvent{version: version, owners: slices.Clone(owners)})
}

// SetRetention changes how long results are stored.
func (d *Duty) SetRetention(retention time.Duration) {
	d.enqueue(retentionEvent{retention: retention})
}

// Owned returns the slots that are currently owned.
func (d *Duty) Owned() []uint32 { return *d.owned.Load() }

// OwnershipChanged returns a channel that receives a value after Owned has changed.
func (d *Duty) OwnershipChanged() <-chan struct{} { return d.ownershipChanged }

// Claim requests the right to run the call of r. It returns when the claim is
// recorded or rejected, or when ctx ends; in the latter case the answer is
// Unavailable and the call must not run. After Granted, exactly one of Finished,
// NotStarted and ResultLost must be called with the same Request.
func (d *Duty) Claim(ctx context.Context, r Request) Answer {
	if r.Service != d.config.Service {
		return notOwner
	}
	token := d.tokens.Add(1)
	reply := make(chan Answer, 1)
	if !d.inbox.Put(claimEvent{request: ClaimRequested{Token: token, Request: r}, reply: reply}) {
		return Answer{Kind: Unavailable, Reason: "too many claims wait", RetryAfter: retryStore}
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
	case <-d.stopped:
	}
	d.enqueue(keyEvent{key: r.Key, ev: Abandoned{Token: token, Key: r.Key}})
	return Answer{Kind: Unavailable, Reason: "the claim took too long", RetryAfter: retryStore}
}

// Finished reports the result of a granted call.
func (d *Duty) Finished(r Request, result Result) {
	d.enqueue(keyEvent{key: r.Key, ev: Finished{Request: r, Result: result}})
}

// NotStarted reports that a granted call did not run and never will, so that
// its key can be claimed again.
func (d *Duty) NotStarted(r Request) {
	d.enqueue(keyEvent{key: r.Key, ev: NotStarted{Request: r}})
}

// ResultLost reports that a granted call may have run and that its result is unknown.
func (d *Duty) ResultLost(r Request) {
	d.enqueue(keyEvent{key: r.Key, ev: ResultLost{Request: r}})
}

// Release releases all slots: no new claims are granted, and each slot is
// released once its calls are finished and recorded. It returns when all slots
// are released or when ctx ends.
func (d *Duty) Release(ctx context.Context) error {
	done := make(chan struct{})
	d.enqueue(releaseEvent{done: done})
	select {
	case <-done:
		return nil
	case <-d.stopped:
		return eris.New("claims duty has stopped")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "release of key slots not completed")
	}
}

// enqueue adds an event that must not be dropped to the inbox. It blocks while
// the inbox is full, unless the Duty has stopped.
func (d *Duty) enqueue(ev any) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.inbox.Put(ev) {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-d.stopped:
			cancel()
		case <-stop:
		}
	}()
	_ = d.inbox.PutWait(ctx, ev)
}

// Serve runs the slots until ctx ends. It refuses to restart after a panic, as
// its state of the running calls may be wrong: the whole process terminates, and
// the next one has a new incarnation.
func (d *Duty) Serve(ctx context.Context) error {
	if d.served.Swap(true) {
		return suture.ErrTerminateSupervisorTree
	}
	defer close(d.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.untilWake(time.Now()))
		select {
		case ev := <-d.inbox.C():
			d.handle(ctx, ev)
		case <-timer.C:
			d.tickDueSlots(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Duty) handle(ctx context.Context, ev any) {
	switch ev := ev.(type) {
	case planEvent:
		d.planChanged(ctx, ev)
	case claimEvent:
		d.claimRequested(ctx, ev)
	case keyEvent:
		if n, ok := d.slotOf(ev.key); ok {
			d.stepSlot(ctx, n, ev.ev)
		}
	case storeEvent:
		d.stepSlot(ctx, ev.slot, ev.ev)
	case retentionEvent:
		d.config.Retention = ev.retention
		d.stepAllSlots(ctx, RetentionChanged{Retention: ev.retention})
	case statusEvent:
		ev.reply <- d.status()
	case releaseEvent:
		d.draining = true
		d.releaseWaiters = append(d.releaseWaiters, ev.done)
		d.stepAllSlots(ctx, Drain{})
		d.notifyIfReleased()
	}
}

func (d *Duty) planChanged(ctx context.Context, p planEvent) {
	if p.version <= d.plan.version || len(p.owners) == 0 || len(p.owners) > maxSlots {
		return
	}
	if len(d.slots) == 0 {
		d.createSlots(len(p.owners))
	}
	if len(p.owners) != len(d.slots) {
		return
	}
	d.plan = p
	for n, owner := range p.owners {
		d.stepSlot(ctx, n, Plan{Version: p.version, Owned: owner == d.config.Owner})
		if d.draining {
			d.stepSlot(ctx, n, Drain{})
		}
	}
}

func (d *Duty) createSlots(count int) {
	d.wakeTimes = make([]time.Time, count)
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

func (d *Duty) claimRequested(ctx context.Context, ev claimEvent) {
	n, ok := d.slotOf(ev.request.Request.Key)
	if !ok {
		ev.reply <- notOwner
		return
	}
	d.replies[ev.request.Token] = ev.reply
	d.stepSlot(ctx, n, ev.request)
}

func (d *Duty) stepAllSlots(ctx context.Context, ev Event) {
	for n := range d.slots {
		d.stepSlot(ctx, n, ev)
	}
}

func (d *Duty) stepSlot(ctx context.Context, n int, ev Event) {
	if abandoned, ok := ev.(Abandoned); ok {
		delete(d.replies, abandoned.Token)
	}
	d.wakeTimes[n] = time.Time{}
	for _, e := range d.slots[n].Step(time.Now(), ev) {
		d.perform(ctx, n, e)
	}
	if d.draining {
		d.notifyIfReleased()
	}
}

func (d *Duty) perform(ctx context.Context, n int, e Effect) {
	switch e := e.(type) {
	case StoreCall:
		go d.callStore(ctx, n, e)
	case Reply:
		if reply, ok := d.replies[e.Token]; ok {
			delete(d.replies, e.Token)
			reply <- e.Answer
		}
	case Wake:
		d.wakeTimes[n] = e.At
	case Ownership:
		d.publishOwned()
	}
}

// callStore makes one store call and enqueues its result.
func (d *Duty) callStore(ctx context.Context, n int, c StoreCall) {
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

func (d *Duty) publishOwned() {
	owned := []uint32{}
	for n, s := range d.slots {
		if s.Owned() {
			owned = append(owned, uint32(n))
		}
	}
	d.owned.Store(&owned)
	select {
	case d.ownershipChanged <- struct{}{}:
	default:
	}
}

func (d *Duty) notifyIfReleased() {
	for _, s := range d.slots {
		if !s.Idle() {
			return
		}
	}
	for _, done := range d.releaseWaiters {
		close(done)
	}
	d.releaseWaiters = nil
}

// untilWake returns the time until the earliest requested Tick, at most an hour.
func (d *Duty) untilWake(now time.Time) time.Duration {
	earliest := now.Add(time.Hour)
	for _, at := range d.wakeTimes {
		if !at.IsZero() && at.Before(earliest) {
			earliest = at
		}
	}
	return earliest.Sub(now)
}

func (d *Duty) tickDueSlots(ctx context.Context) {
	now := time.Now()
	for n, at := range d.wakeTimes {
		if !at.IsZero() && !at.After(now) {
			d.stepSlot(ctx, n, Tick{})
		}
	}
}
