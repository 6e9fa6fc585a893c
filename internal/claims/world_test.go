package claims_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// fault is what goes wrong in one store call.
type fault string

const (
	noFault fault = "fine"
	// The update takes effect immediately (replyLost), seconds after its writer
	// has timed out (lateWrite), or never (droppedWrite).
	replyLost    fault = "reply lost"
	lateWrite    fault = "late write"
	droppedWrite fault = "dropped write"
	outage       fault = "store outage"
)

// world simulates a slot, a store and several sidecars in virtual time.
type world struct {
	random *rand.Rand
	now    time.Time
	timers []timer
	serial int

	store     sharedstate.Object
	puts      int
	nextFault func() fault
	owners    []*owner
	// takeoverAfter is the SlotConfig.TakeoverAfter of the sidecars.
	takeoverAfter time.Duration
	// maxBytes is the SlotConfig.MaxBytes of the sidecars.
	maxBytes int

	tokens   uint64
	requests map[uint64]claims.Request
	answers  map[uint64]claims.Answer
	// runs counts the runs of each key; results holds the result of the last run.
	runs    map[string]int
	results map[string]claims.Result
	// granted starts the call of a granted claim.
	granted func(o *owner, token uint64, r claims.Request)
	faults  map[fault]int
}

type timer struct {
	at     time.Time
	serial int
	do     func()
}

// owner is a sidecar. Its events are delayed while it is paused and dropped when
// it is killed.
type owner struct {
	name        string
	incarnation int
	slot        *claims.Slot
	paused      bool
	heldEvents  []func()
	lastWake    int
}

func newWorld(seed uint64, owners ...string) *world {
	w := &world{
		random:    rand.New(rand.NewPCG(seed, 7)),
		now:       time.Unix(1_000_000, 0),
		nextFault: func() fault { return noFault },
		requests:  map[uint64]claims.Request{},
		answers:   map[uint64]claims.Answer{},
		runs:      map[string]int{},
		results:   map[string]claims.Result{},
		faults:    map[fault]int{},
	}
	w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, 10*time.Millisecond) }
	for _, name := range owners {
		o := &owner{name: name}
		w.owners = append(w.owners, o)
		w.restart(o)
	}
	return w
}

// restart replaces the sidecar by a new process for the same backend server.
func (w *world) restart(o *owner) {
	o.incarnation++
	o.paused = false
	o.heldEvents = nil
	o.slot = claims.NewSlot(claims.SlotConfig{
		Service: "holds", Owner: o.name, Incarnation: fmt.Sprintf("%s-%d", o.name, o.incarnation),
		TakeoverAfter: w.takeoverAfter, MaxBytes: w.maxBytes,
	}, w.random)
}

// after calls do after d.
func (w *world) after(d time.Duration, do func()) {
	w.serial++
	w.timers = append(w.timers, timer{at: w.now.Add(d), serial: w.serial, do: do})
}

// afterAt calls do after d in the current process of o: once it resumes if it is
// paused, and not at all if it was killed.
func (w *world) afterAt(o *owner, d time.Duration, do func()) {
	w.after(d, o.whileCurrent(do))
}

// whileCurrent returns a function that runs do in the current process of o, as
// described at afterAt.
func (o *owner) whileCurrent(do func()) func() {
	incarnation := o.incarnation
	var arrive func()
	arrive = func() {
		switch {
		case o.incarnation != incarnation:
		case o.paused:
			o.heldEvents = append(o.heldEvents, arrive)
		default:
			do()
		}
	}
	return arrive
}

func (w *world) wakeUp(o *owner) {
	held := o.heldEvents
	o.paused = false
	o.heldEvents = nil
	for _, do := range held {
		do()
	}
}

// advance moves virtual time forward by d and runs the timers that become due.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 {
		next := slices.MinFunc(w.timers, func(a, b timer) int {
			if c := a.at.Compare(b.at); c != 0 {
				return c
			}
			return a.serial - b.serial
		})
		if next.at.After(end) {
			break
		}
		w.timers = slices.DeleteFunc(w.timers, func(e timer) bool { return e.serial == next.serial })
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) step(o *owner, ev claims.Event) {
	for _, e := range o.slot.Step(w.now, ev) {
		switch e := e.(type) {
		case claims.StoreCall:
			w.call(o, e)
		case claims.Reply:
			w.answered(o, e)
		case claims.Wake:
			o.lastWake++
			wake := o.lastWake
			w.afterAt(o, e.At.Sub(w.now), func() {
				if o.lastWake == wake {
					w.step(o, claims.Tick{})
				}
			})
		}
	}
}

func (w *world) call(o *owner, c claims.StoreCall) {
	const timeout = time.Second
	f := w.nextFault()
	w.faults[f]++
	delay := time.Duration(1+w.random.IntN(5)) * time.Millisecond
	if c.Call == sharedstate.CallGet {
		w.get(o, f, delay)
		return
	}
	w.puts++
	put := func() (uint64, error) { return w.put(c) }
	switch f {
	case outage:
		w.afterAt(o, delay, func() { w.step(o, claims.PutDone{Err: sharedstate.ErrNotSent}) })
		return
	case noFault:
		done := claims.PutDone{}
		reply := o.whileCurrent(func() { w.step(o, done) })
		w.after(delay, func() {
			done.Version, done.Err = put()
			w.after(delay, reply)
		})
		return
	case replyLost:
		w.after(delay, func() { _, _ = put() })
	case lateWrite:
		w.after(timeout+time.Duration(w.random.IntN(5000))*time.Millisecond, func() { _, _ = put() })
	}
	w.afterAt(o, timeout, func() { w.step(o, claims.PutDone{Err: sharedstate.ErrUnknown}) })
}

func (w *world) get(o *owner, f fault, delay time.Duration) {
	done := claims.GetDone{Err: sharedstate.ErrUnavailable}
	reply := o.whileCurrent(func() { w.step(o, done) })
	w.after(delay, func() {
		if f == noFault {
			done = claims.GetDone{Object: w.store}
		}
		w.after(delay, reply)
	})
}

func (w *world) put(c claims.StoreCall) (uint64, error) {
	if c.Version != w.store.Version {
		return 0, sharedstate.ErrConflict
	}
	w.store = sharedstate.Object{Name: c.Name, Version: c.Version + 1, Value: c.Value}
	return w.store.Version, nil
}

// request sends a request to o and returns its token.
func (w *world) request(o *owner, key string, body uint64) uint64 {
	w.tokens++
	token := w.tokens
	r := claims.Request{Service: "holds", Key: key, BodyDigest: body, RequestID: fmt.Sprintf("r%d", token)}
	w.requests[token] = r
	w.afterAt(o, 0, func() { w.step(o, claims.ClaimRequested{Token: token, Request: r}) })
	return token
}

func (w *world) answered(o *owner, e claims.Reply) {
	if _, twice := w.answers[e.Token]; twice {
		panic(fmt.Sprintf("request %d answered twice", e.Token))
	}
	w.answers[e.Token] = e.Answer
	r := w.requests[e.Token]
	switch e.Answer.Kind {
	case claims.Granted:
		w.granted(o, e.Token, r)
	case claims.Replay:
		if want := w.results[r.Key]; want.BodyDigest != e.Answer.Result.BodyDigest {
			panic(fmt.Sprintf("key %s got the result of another call", r.Key))
		}
	}
}

// run starts a call on the backend server, which runs it even if the sidecar
// ends, and reports its result after d.
func (w *world) run(o *owner, r claims.Request, d time.Duration) {
	w.runs[r.Key]++
	if w.runs[r.Key] > 1 {
		panic(fmt.Sprintf("key %s ran %d times, now for %s at %s", r.Key, w.runs[r.Key], r.RequestID, o.name))
	}
	result := claims.NewResult(201, nil, []byte(r.Key+" "+r.RequestID))
	w.results[r.Key] = result
	w.afterAt(o, d, func() { w.step(o, claims.Finished{Request: r, Result: result}) })
}

// assignTo sends all sidecars a plan that assigns the slot to one owner.
func (w *world) assignTo(version uint64, to *owner) {
	for _, o := range w.owners {
		w.afterAt(o, 0, func() { w.step(o, claims.Plan{Version: version, Owned: o == to}) })
	}
}

// record returns the record in the store.
func (w *world) record() claims.Record {
	r, err := claims.ParseRecord(w.store.Value)
	if err != nil {
		panic(err)
	}
	return r
}
