package soak

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// entry is a simulated entry process.
type entry struct {
	process
	sim         *simulation
	sidecars    []*sidecar
	objects     *member.Objects
	activeConns map[*sidecar]*conn
	// openConns are all connections that are not closed, silent ones included.
	openConns map[*conn]struct{}
	calls     map[uuid.UUID]*entryCall
}

func (e *entry) start() {
	e.up = true
	e.incarnation++
	e.objects = member.NewObjects()
	e.activeConns = map[*sidecar]*conn{}
	e.openConns = map[*conn]struct{}{}
	e.calls = map[uuid.UUID]*entryCall{}
}

// kill ends the process: its connections close, and its callers get no response.
func (e *entry) kill() {
	e.up = false
	for _, c := range sortedConns(e.openConns) {
		c.cut()
	}
	for _, r := range sortedCalls(e.calls) {
		r.onDone(nil)
	}
}

// conn returns the connection for new requests, dialling one if there is none. It
// returns nil if the sidecar is down or paused.
func (e *entry) conn(s *sidecar) *conn {
	if c := e.activeConns[s]; c != nil && !c.closed && c.sidecarStartID == s.startID() {
		return c
	}
	if !s.up || e.sim.now.Before(s.pausedUntil) {
		// The kernel of a paused process still accepts connections, but the
		// entry does not use one before it has received a Hello.
		return nil
	}
	c := &conn{
		sim: e.sim, entry: e, sidecar: s,
		entryStartID: e.startID(), sidecarStartID: s.startID(),
		streams: map[uint64]*stream{},
	}
	e.activeConns[s] = c
	e.openConns[c] = struct{}{}
	return c
}

// replaceSilentConn stops using a silent connection, so that the next request
// dials a new one.
func (e *entry) replaceSilentConn(c *conn) {
	if e.activeConns[c.sidecar] == c {
		delete(e.activeConns, c.sidecar)
	}
	for _, s := range sortedStreams(c.streams) {
		s.call.step(call.LinkSilent{Attempt: s.attempt})
	}
}

// connClosed removes a connection and notifies the calls on it.
func (e *entry) connClosed(c *conn) {
	if e.activeConns[c.sidecar] == c {
		delete(e.activeConns, c.sidecar)
	}
	delete(e.openConns, c)
	for _, s := range sortedStreams(c.streams) {
		attempt, run := s.attempt, s.call
		e.sim.runOn(&e.process, maxLatency, func() { run.step(call.StreamLost{Attempt: attempt}) })
	}
}

func (e *entry) randomCall() *entryCall {
	calls := sortedCalls(e.calls)
	if len(calls) == 0 {
		return nil
	}
	return calls[e.sim.rng.IntN(len(calls))]
}

// offer takes an object from the store and, if it is newer, sends it to the
// sidecars.
func (e *entry) offer(o sharedstate.Object) {
	if !e.objects.Offer(o) {
		return
	}
	for _, s := range e.sidecars {
		if c := e.conn(s); c != nil {
			c.sendToSidecar(func() { s.offer(o) })
		}
	}
}

// entryCall is one request at an entry.
type entryCall struct {
	entry    *entry
	sequence uint64
	request  callerRequest
	machine  *call.Machine
	streams  map[uint32]*stream
	sentAt   map[uint32]time.Time
	text     strings.Builder
	timerAt  time.Time
	// onDone is called once with the result; nil if the entry was killed.
	onDone func(*result)
}

// result is the response to a caller: a complete answer, or a verdict and code.
type result struct {
	complete bool
	verdict  verdict.Verdict
	code     verdict.Code
}

// begin starts a caller's request.
func (e *entry) begin(req callerRequest, done func(*result)) {
	r := &entryCall{
		entry:    e,
		sequence: e.sim.lastSequence,
		request:  req,
		streams:  map[uint32]*stream{},
		sentAt:   map[uint32]time.Time{},
		machine: call.New(call.Spec{
			ID:         req.id,
			Deadline:   e.sim.now.Add(req.budget),
			Idempotent: req.idempotent,
			Resumable:  req.generate,
			Keyed:      req.key != "",
		}),
	}
	r.onDone = func(res *result) {
		r.onDone = func(*result) {}
		delete(e.calls, req.id)
		done(res)
	}
	e.calls[req.id] = r
	r.step(call.Begin{})
}

// step passes an event to the request's state machine and applies the effects.
func (r *entryCall) step(ev call.Event) {
	sim := r.entry.sim
	pending := []call.Event{ev}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		for _, effect := range r.machine.Step(sim.now, next) {
			if nextEvent := r.applyEffect(effect); nextEvent != nil {
				pending = append(pending, nextEvent)
			}
		}
	}
	r.setTimer()
}

func (r *entryCall) setTimer() {
	next := r.machine.NextTimer()
	if r.machine.Finished() || next.Equal(r.timerAt) {
		return
	}
	r.timerAt = next
	r.entry.sim.runOn(&r.entry.process, next.Sub(r.entry.sim.now), func() {
		if r.timerAt.Equal(next) && !r.machine.Finished() {
			r.timerAt = time.Time{}
			r.step(call.Timer{})
		}
	})
}

// frameReceived passes a frame for an attempt to the state machine.
func (r *entryCall) frameReceived(attempt uint32, f *wire.Frame) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Chunk:
		r.step(call.Chunk{Attempt: attempt, Frame: body.Chunk})
	case *wire.Frame_Final:
		r.step(call.Final{Attempt: attempt, Frame: body.Final})
	case *wire.Frame_Refusal:
		r.step(call.Refusal{Attempt: attempt, Frame: body.Refusal})
	}
}

func (r *entryCall) applyEffect(effect call.Effect) call.Event {
	switch e := effect.(type) {
	case call.Route:
		return r.route(e)
	case call.SendStart:
		return r.sendStart(e)
	case call.Resolve:
		r.resolve(e)
	case call.Cancel:
		r.cancel(e)
	case call.Deliver:
		r.text.Write(e.Data)
		r.entry.sim.checkInvariant(strings.HasPrefix(r.request.expectedAnswer(), r.text.String()),
			"a caller receives only its own answer", "%s got %q", r.request.id, r.text.String())
	case call.Finish:
		r.entry.sim.checkInvariant(r.text.String() == r.request.expectedAnswer(),
			"a caller receives the whole answer", "%s got %q", r.request.id, r.text.String())
		r.onDone(&result{complete: true, verdict: verdict.Ran})
	case call.Fail:
		r.onDone(&result{verdict: e.Err.Verdict, code: e.Err.Code})
	}
	return nil
}

// route picks an eligible sidecar at random; load-based routing has its own tests.
func (r *entryCall) route(e call.Route) call.Event {
	sim := r.entry.sim
	if e.Retry != nil && sim.chance(0.1) {
		return call.Unroutable{Attempt: e.Attempt, Err: verdict.NewRejection(verdict.CodeOverloaded, "retry budget exhausted", time.Second)}
	}
	eligible := []*sidecar{}
	for _, s := range r.entry.sidecars {
		if (s.engine != nil) == r.request.generate && !contains(e.Excluded, s.name) && r.ownsKey(s) {
			eligible = append(eligible, s)
		}
	}
	if len(eligible) == 0 {
		return call.Unroutable{Attempt: e.Attempt, Err: verdict.NewRejection(verdict.CodeNoBackend, "no eligible sidecar", time.Second)}
	}
	return call.Routed{Attempt: e.Attempt, Server: eligible[sim.rng.IntN(len(eligible))].name}
}

// ownsKey reports whether s owns the slot of the request's key, according to the
// possibly stale plan that the entry holds.
func (r *entryCall) ownsKey(s *sidecar) bool {
	if r.request.key == "" {
		return true
	}
	var p plan.Plan
	if json.Unmarshal(r.entry.objects.Get(plan.ObjectName(region)).Value, &p) != nil {
		return false
	}
	owners := p.Slots[serviceHolds].Owners
	return len(owners) == keySlotCount && owners[claims.SlotOf(r.request.key, keySlotCount)] == s.name
}

func (r *entryCall) sidecar(name string) *sidecar {
	for _, s := range r.entry.sidecars {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (r *entryCall) sendStart(e call.SendStart) call.Event {
	c := r.entry.conn(r.sidecar(e.Server))
	if c == nil {
		return call.NotSent{Attempt: e.Attempt}
	}
	sim := r.entry.sim
	sim.lastSequence++
	s := &stream{conn: c, id: sim.lastSequence, call: r, attempt: e.Attempt}
	c.streams[s.id] = s
	r.streams[e.Attempt] = s
	r.sentAt[e.Attempt] = sim.now
	start := r.request.startFrame(e)
	sentAt := sim.now
	sim.runOn(&r.entry.process, 0, func() {
		r.step(call.Sent{Attempt: e.Attempt, Incarnation: c.sidecarStartID})
		c.sendToSidecar(func() { c.sidecar.startReceived(s, sentAt, start) })
		if c.closed {
			r.step(call.StreamLost{Attempt: e.Attempt})
		}
	})
	return nil
}

func (r *entryCall) cancel(e call.Cancel) {
	if s := r.streams[e.Attempt]; s != nil {
		delete(s.conn.streams, s.id)
		s.conn.sendToSidecar(func() { s.conn.sidecar.cancelReceived(s) })
	}
}

// resolve sends a Resolve on a connection that is not known to be silent.
func (r *entryCall) resolve(e call.Resolve) {
	sim := r.entry.sim
	answered := false
	sim.runOn(&r.entry.process, call.ResolveTimeout, func() {
		if !answered {
			answered = true
			r.step(call.ResolveFailed{Attempt: e.Attempt})
		}
	})
	c := r.entry.conn(r.sidecar(e.Server))
	if c == nil {
		return
	}
	frame := &wire.Resolve{RequestId: r.request.id[:], Attempt: e.Attempt}
	sentAt := r.sentAt[e.Attempt]
	resolveStream := &stream{conn: c, onResolution: func(f *wire.Frame) {
		if answered || f.GetResolution() == nil {
			return
		}
		answered = true
		sim.Outcomes["resolved "+f.GetResolution().GetOutcome().String()]++
		r.step(call.Resolution{Attempt: e.Attempt, Frame: f.GetResolution()})
	}}
	c.sendToSidecar(func() { c.sidecar.resolveReceived(resolveStream, sentAt, frame) })
}
