package claims_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// fate is what happens to one update of the store.
type fate string

const (
	fine fate = "fine"
	// replyLost updates take effect at once, late ones some seconds after their
	// writer has given up waiting, dropped ones never.
	replyLost fate = "reply lost"
	late      fate = "late write"
	dropped   fate = "dropped write"
	outage    fate = "store outage"
)

// world is a slot, a store and several sidecars in virtual time.
type world struct {
	random *rand.Rand
	now    time.Time
	due    []dueEvent
	serial int

	store  sharedstate.Object
	puts   int
	fate   func() fate
	owners []*owner
	// takeoverAfter is that of the sidecars; zero: the default.
	takeoverAfter time.Duration
	// maxBytes bounds the record; zero: the default.
	maxBytes int

	tokens  uint64
	asked   map[uint64]claims.Request
	answers map[uint64]claims.Answer
	// runs counts the runs of each key, results has the result of each.
	runs    map[string]int
	results map[string]claims.Result
	// step is how a granted call begins; nil: at once.
	granted func(o *owner, token uint64, r claims.Request)
	faults  map[fate]int
}

type dueEvent struct {
	at     time.Time
	serial int
	do     func()
}

// owner is a sidecar. A paused one takes its events when it wakes, a killed one
// loses them.
type owner struct {
	name        string
	incarnation int
	slot        *claims.Slot
	paused      bool
	held        []func()
	wake        int
}

func newWorld(seed uint64, owners ...string) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     time.Unix(1_000_000, 0),
		fate:    func() fate { return fine },
		asked:   map[uint64]claims.Request{},
		answers: map[uint64]claims.Answer{},
		runs:    map[string]int{},
		results: map[string]claims.Result{},
		faults:  map[fate]int{},
	}
	w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, 10*time.Millisecond) }
	for _, name := range owners {
		o := &owner{name: name}
		w.owners = append(w.owners, o)
		w.restart(o)
	}
	return w
}

// restart ends the sidecar and begins a new one beside the same backend server.
func (w *world) restart(o *owner) {
	o.incarnation++
	o.paused = false
	o.held = nil
	o.slot = claims.NewSlot(claims.SlotConfig{
		Service: "holds", Owner: o.name, Incarnation: fmt.Sprintf("%s-%d", o.name, o.incarnation),
		TakeoverAfter: w.takeoverAfter, MaxBytes: w.maxBytes,
	}, w.random)
}

// after calls do when d has passed.
func (w *world) after(d time.Duration, do func()) {
	w.serial++
	w.due = append(w.due, dueEvent{at: w.now.Add(d), serial: w.serial, do: do})
}

// afterAt calls do in the process that o is now: not before it wakes, and not
// at all when it was killed.
func (w *world) afterAt(o *owner, d time.Duration, do func()) {
	w.after(d, o.only(do))
}

// only returns do for the process that o is now.
func (o *owner) only(do func()) func() {
	incarnation := o.incarnation
	var arrive func()
	arrive = func() {
		switch {
		case o.incarnation != incarnation:
		case o.paused:
			o.held = append(o.held, arrive)
		default:
			do()
		}
	}
	return arrive
}

func (w *world) wakeUp(o *owner) {
	held := o.held
	o.paused = false
	o.held = nil
	for _, do := range held {
		do()
	}
}

// advance lets virtual time pass.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.due) > 0 {
		next := slices.MinFunc(w.due, func(a, b dueEvent) int {
			if c := a.at.Compare(b.at); c != 0 {
				return c
			}
			return a.serial - b.serial
		})
		if next.at.After(end) {
			break
		}
		w.due = slices.DeleteFunc(w.due, func(e dueEvent) bool { return e.serial == next.serial })
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
			o.wake++
			wake := o.wake
			w.afterAt(o, e.At.Sub(w.now), func() {
				if o.wake == wake {
					w.step(o, claims.Tick{})
				}
			})
		}
	}
}

func (w *world) call(o *owner, c claims.StoreCall) {
	const timeout = time.Second
	f := w.fate()
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
	case fine:
		done := claims.PutDone{}
		reply := o.only(func() { w.step(o, done) })
		w.after(delay, func() {
			done.Version, done.Err = put()
			w.after(delay, reply)
		})
		return
	case replyLost:
		w.after(delay, func() { _, _ = put() })
	case late:
		w.after(timeout+time.Duration(w.random.IntN(5000))*time.Millisecond, func() { _, _ = put() })
	}
	w.afterAt(o, timeout, func() { w.step(o, claims.PutDone{Err: sharedstate.ErrUnknown}) })
}

func (w *world) get(o *owner, f fate, delay time.Duration) {
	done := claims.GetDone{Err: sharedstate.ErrUnavailable}
	reply := o.only(func() { w.step(o, done) })
	w.after(delay, func() {
		if f == fine {
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

// ask sends a request to o and returns its token.
func (w *world) ask(o *owner, key string, body uint64) uint64 {
	w.tokens++
	token := w.tokens
	r := claims.Request{Service: "holds", Key: key, BodyDigest: body, RequestID: fmt.Sprintf("r%d", token)}
	w.asked[token] = r
	w.afterAt(o, 0, func() { w.step(o, claims.ClaimRequested{Token: token, Request: r}) })
	return token
}

func (w *world) answered(o *owner, e claims.Reply) {
	if _, twice := w.answers[e.Token]; twice {
		panic(fmt.Sprintf("request %d answered twice", e.Token))
	}
	w.answers[e.Token] = e.Answer
	r := w.asked[e.Token]
	switch e.Answer.Kind {
	case claims.Granted:
		w.granted(o, e.Token, r)
	case claims.Replay:
		if want := w.results[r.Key]; want.BodyDigest != e.Answer.Result.BodyDigest {
			panic(fmt.Sprintf("key %s got the result of another call", r.Key))
		}
	}
}

// run starts a call, which ends on the backend server whatever becomes of the
// sidecar.
func (w *world) run(o *owner, r claims.Request, d time.Duration) {
	w.runs[r.Key]++
	if w.runs[r.Key] > 1 {
		panic(fmt.Sprintf("key %s ran %d times, now for %s at %s", r.Key, w.runs[r.Key], r.RequestID, o.name))
	}
	result := claims.NewResult(201, nil, []byte(r.Key+" "+r.RequestID))
	w.results[r.Key] = result
	w.afterAt(o, d, func() { w.step(o, claims.Finished{Request: r, Result: result}) })
}

// give lets the plan give the slot to one owner.
func (w *world) give(version uint64, to *owner) {
	for _, o := range w.owners {
		w.afterAt(o, 0, func() { w.step(o, claims.Plan{Version: version, Owned: o == to}) })
	}
}

// record returns what the store holds.
func (w *world) record() claims.Record {
	r, err := claims.ParseRecord(w.store.Value)
	if err != nil {
		panic(err)
	}
	return r
}
