package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/orders"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	serviceHolds = "holds"
	keySlotCount = 4
	orderTimeout = 2 * time.Second
	drainTimeout = 3 * time.Second
	tickInterval = 100 * time.Millisecond
)

// sidecar is a simulated sidecar process with its backend server, which survives
// a kill of the sidecar.
type sidecar struct {
	process
	sim   *simulation
	store *store
	// engine is nil for a plain service.
	engine *fakeEngine

	requests      *requests.Table
	slots         []*claims.Slot
	orders        *orders.Executor
	objects       *member.Objects
	streams       map[requests.Stream]*stream
	streamIDs     map[*stream]requests.Stream
	lastStream    requests.Stream
	cancels       map[requests.RunID]func()
	pendingClaims map[requests.ClaimID]pendingClaim
	claimsByToken map[uint64]requests.ClaimID
	lastToken     uint64
}

type pendingClaim struct{ request claims.Request }

func (s *sidecar) start() {
	s.up = true
	s.incarnation++
	s.requests = requests.New(requests.Config{
		Slots:          s.sim.slots,
		QueueLength:    8,
		MaxAnswerBytes: 64 << 10,
		ResumeWait:     3 * time.Second,
		ModelEngine:    s.engine != nil,
	}, rand.New(rand.NewPCG(s.sim.rng.Uint64(), 0)))
	s.objects = member.NewObjects()
	s.streams = map[requests.Stream]*stream{}
	s.streamIDs = map[*stream]requests.Stream{}
	s.lastStream = 0
	s.cancels = map[requests.RunID]func(){}
	s.pendingClaims = map[requests.ClaimID]pendingClaim{}
	s.claimsByToken = map[uint64]requests.ClaimID{}
	s.slots = nil
	if s.engine != nil {
		s.orders = orders.New(s.sim.now, orders.Config{
			ChecksFencingToken: s.engine.checksFencingToken,
			OrderTimeout:       orderTimeout,
			DrainTimeout:       drainTimeout,
		})
	} else {
		s.startSlots()
		s.stepRequests(requests.Admit{})
	}
	s.tick()
}

func (s *sidecar) startSlots() {
	for n := range keySlotCount {
		s.slots = append(s.slots, claims.NewSlot(claims.SlotConfig{
			Service:     serviceHolds,
			Slot:        n,
			Owner:       s.name,
			Incarnation: s.startID(),
		}, rand.New(rand.NewPCG(s.sim.rng.Uint64(), 0))))
	}
}

func (s *sidecar) tick() {
	s.sim.runOn(&s.process, tickInterval, func() {
		s.stepRequests(requests.Tick{})
		if s.orders != nil {
			s.stepOrders(orders.Tick{})
		}
		s.tick()
	})
}

// stepRequests passes an event to the request table and applies the effects.
func (s *sidecar) stepRequests(e requests.Event) {
	for _, effect := range s.requests.Step(s.sim.now, e) {
		s.applyEffect(effect)
	}
	if s.orders != nil {
		s.stepOrders(orders.RunningRequests{Count: s.requests.Running()})
	}
}

func (s *sidecar) applyEffect(effect requests.Effect) {
	switch e := effect.(type) {
	case requests.Send:
		if st := s.streams[e.Stream]; st != nil {
			if resolution := e.Frame.GetResolution(); resolution != nil {
				resolution.Incarnation = s.startID()
			}
			st.send(e.Frame)
			if e.Last {
				s.forget(st)
			}
		}
	case requests.Run:
		// The sidecar makes the call in a goroutine of its own, so the process
		// can be paused before it starts.
		s.sim.runOn(&s.process, s.sim.randomDuration(0, maxLatency), func() { s.run(e) })
	case requests.CancelRun:
		if cancel := s.cancels[e.Run]; cancel != nil {
			cancel()
		}
	case requests.Claim:
		s.claim(e)
	case requests.SettleClaim:
		s.settle(e)
	case requests.CheckEngine:
		s.stepOrders(orders.EngineMayHaveCrashed{})
	}
}

// startReceived handles the Start frame of a stream.
func (s *sidecar) startReceived(st *stream, sentAt time.Time, start *wire.Start) {
	s.lastStream++
	s.streams[s.lastStream], s.streamIDs[st] = st, s.lastStream
	age := s.sim.now.Sub(sentAt) + s.sim.randomDuration(0, 2*maxLatency)
	if age > link.SilenceTimeout {
		s.sim.Faults["late start"]++
	}
	s.stepRequests(requests.StartReceived{Stream: s.lastStream, Start: start, Age: age})
}

// resolveReceived handles a Resolve frame.
func (s *sidecar) resolveReceived(st *stream, sentAt time.Time, r *wire.Resolve) {
	s.lastStream++
	s.streams[s.lastStream], s.streamIDs[st] = st, s.lastStream
	s.stepRequests(requests.ResolveReceived{Stream: s.lastStream, Resolve: r, StartAge: s.sim.now.Sub(sentAt)})
}

func (s *sidecar) cancelReceived(st *stream) {
	if id, ok := s.streamIDs[st]; ok {
		s.stepRequests(requests.CancelReceived{Stream: id})
	}
}

func (s *sidecar) streamClosed(st *stream) {
	if id, ok := s.streamIDs[st]; ok {
		s.forget(st)
		s.stepRequests(requests.StreamClosed{Stream: id})
	}
}

func (s *sidecar) forget(st *stream) {
	delete(s.streams, s.streamIDs[st])
	delete(s.streamIDs, st)
}

// run makes the call of a Run effect. It checks the deadline once more, as
// requests.Run requires.
func (s *sidecar) run(r requests.Run) {
	if !s.sim.now.Before(r.Deadline) {
		s.stepRequests(requests.RunFinished{Run: r.Run, Err: verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "deadline passed before the start")})
		return
	}
	s.sim.recordRun(r.Start, s.sim.now, r.Deadline)
	if r.Start.GetGenerate() != nil {
		s.generate(r)
		return
	}
	s.callService(r)
}

func (s *sidecar) callService(r requests.Run) {
	duration := s.sim.randomDuration(time.Millisecond, 60*time.Millisecond)
	if s.sim.chance(0.02) {
		duration = s.sim.randomDuration(time.Second, 6*time.Second)
	}
	body := backendAnswer(r.Start)
	broken := s.sim.chance(0.04)
	s.sim.runOn(&s.process, duration, func() {
		if broken {
			s.sim.Faults["service broke off"]++
			s.stepRequests(requests.RunFinished{Run: r.Run, Err: verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "service closed the connection")})
			return
		}
		s.stepRequests(requests.ChunkReceived{Run: r.Run, Data: []byte(body)})
		s.stepRequests(requests.RunFinished{Run: r.Run, Final: &wire.Final{Status: 201}})
	})
}

func (s *sidecar) generate(r requests.Run) {
	g := r.Start.GetGenerate()
	incarnation := s.incarnation
	alive := func() bool { return s.up && s.incarnation == incarnation }
	cancel := s.engine.generate(backendAnswer(r.Start), int(g.GetResumeFrom()),
		func(_ int, text string) {
			if alive() {
				s.sim.runOn(&s.process, 0, func() { s.stepRequests(requests.ChunkReceived{Run: r.Run, Data: []byte(text), Tokens: 1}) })
			}
		},
		func(err error) {
			if alive() {
				s.sim.runOn(&s.process, 0, func() { s.generationFinished(r.Run, err) })
			}
		})
	s.cancels[r.Run] = cancel
}

func (s *sidecar) generationFinished(run requests.RunID, err error) {
	delete(s.cancels, run)
	switch err {
	case nil:
		s.stepRequests(requests.RunFinished{Run: run, Final: &wire.Final{FinishReason: "length", OutputTokens: answerTokens}})
	case engine.ErrRejected:
		s.stepRequests(requests.RunFinished{Run: run, Err: verdict.New(verdict.NotRun, verdict.CodeNoBackend, "engine rejected the request")})
	default:
		s.stepRequests(requests.RunFinished{Run: run, Err: verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "engine interrupted the generation")})
	}
}

// kill ends the process. Generations are cancelled as their connections to the
// engine close; calls of the plain service continue.
func (s *sidecar) kill() {
	s.up = false
	for _, run := range sortedRuns(s.cancels) {
		s.cancels[run]()
	}
	for _, c := range s.sim.connsOf(s) {
		c.cut()
	}
}

// stepOrders passes an event to the order executor and applies the effects.
func (s *sidecar) stepOrders(e orders.Event) {
	for _, effect := range s.orders.Step(s.sim.now, e) {
		switch effect := effect.(type) {
		case orders.Admit:
			s.stepRequests(requests.Admit{})
		case orders.StopAdmitting:
			s.stepRequests(requests.StopAdmitting{Code: verdict.CodeDraining, Reason: effect.Reason})
		case orders.HandOver:
			s.stepRequests(requests.HandOver{})
		case orders.ReadState:
			s.readState()
		case orders.SendOrder:
			s.sendOrder(effect.Order)
		}
	}
}

func (s *sidecar) readState() {
	requestedAt := s.sim.now
	s.sim.runOn(&s.process, s.sim.randomDuration(0, maxLatency), func() {
		state := s.engine.state
		s.sim.runOn(&s.process, s.sim.randomDuration(0, maxLatency), func() {
			s.stepOrders(orders.StateRead{RequestedAt: requestedAt, State: state})
		})
	})
}

// sendOrder delivers an order, sometimes late and with a lost reply. The order
// still arrives if the sidecar is killed after sending it.
func (s *sidecar) sendOrder(o engine.Order) {
	startID := s.startID()
	reply := func(err error) {
		if s.startID() == startID {
			s.stepOrders(orders.OrderAnswered{Generation: o.Generation, Err: err})
		}
	}
	if !s.sim.chance(0.2) {
		s.sim.after(s.sim.randomDuration(0, maxLatency), func() {
			err := s.engine.applyOrder(o)
			s.sim.runOn(&s.process, s.sim.randomDuration(0, maxLatency), func() { reply(err) })
		})
		return
	}
	s.sim.Faults["order answer lost"]++
	s.sim.after(s.sim.randomDuration(0, orderTimeout-tickInterval), func() { _ = s.engine.applyOrder(o) })
	s.sim.runOn(&s.process, s.sim.randomDuration(0, time.Second), func() { reply(engine.ErrInterrupted) })
}

// offer handles an object relayed by an entry.
func (s *sidecar) offer(o sharedstate.Object) {
	if !s.objects.Offer(o) || o.Name != plan.ObjectName(region) {
		return
	}
	var p plan.Plan
	if json.Unmarshal(o.Value, &p) != nil {
		return
	}
	if row, ok := p.Engines[s.name]; ok && s.orders != nil {
		s.stepOrders(orders.RowReceived{Row: row})
	}
	for n, owner := range p.Slots[serviceHolds].Owners {
		if s.slots != nil {
			s.stepSlot(n, claims.Plan{Version: o.Version, Owned: owner == s.name})
		}
	}
}

// claim requests a claim from the slot of the key.
func (s *sidecar) claim(e requests.Claim) {
	s.lastToken++
	request := claims.Request{
		Service:    e.Service,
		Key:        e.Key,
		BodyDigest: e.Digest,
		RequestID:  fmt.Sprint(e.Claim),
	}
	s.pendingClaims[e.Claim] = pendingClaim{request: request}
	s.claimsByToken[s.lastToken] = e.Claim
	s.stepSlot(claims.SlotOf(e.Key, keySlotCount), claims.ClaimRequested{Token: s.lastToken, Request: request})
}

func (s *sidecar) settle(e requests.SettleClaim) {
	pending := s.pendingClaims[e.Claim]
	delete(s.pendingClaims, e.Claim)
	slot := claims.SlotOf(pending.request.Key, keySlotCount)
	switch {
	case e.Verdict == verdict.NotRun:
		s.stepSlot(slot, claims.NotStarted{Request: pending.request})
	case e.Verdict == verdict.Ran && e.Final != nil:
		body := []byte{}
		for _, c := range e.Chunks {
			body = append(body, c.GetData()...)
		}
		s.stepSlot(slot, claims.Finished{Request: pending.request, Result: claims.NewResult(int(e.Final.GetStatus()), nil, body)})
	default:
		s.stepSlot(slot, claims.ResultLost{Request: pending.request})
	}
}

// stepSlot passes an event to a key slot and applies the effects.
func (s *sidecar) stepSlot(n int, ev claims.Event) {
	for _, effect := range s.slots[n].Step(s.sim.now, ev) {
		switch e := effect.(type) {
		case claims.StoreCall:
			s.storeCall(n, e)
		case claims.Reply:
			s.reply(e)
		case claims.Wake:
			at := e.At
			s.sim.runOn(&s.process, at.Sub(s.sim.now), func() { s.stepSlot(n, claims.Tick{}) })
		}
	}
}

func (s *sidecar) storeCall(n int, c claims.StoreCall) {
	if c.Call == sharedstate.CallGet {
		s.store.get(&s.process, c.Name, func(o sharedstate.Object, err error) {
			s.stepSlot(n, claims.GetDone{Object: o, Err: err})
		})
		return
	}
	s.store.put(&s.process, c.Name, c.Version, c.Value, func(version uint64, err error) {
		s.stepSlot(n, claims.PutDone{Version: version, Err: err})
	})
}

func (s *sidecar) reply(r claims.Reply) {
	claim, ok := s.claimsByToken[r.Token]
	if !ok {
		return
	}
	delete(s.claimsByToken, r.Token)
	decided := requests.ClaimDecided{Claim: claim, Err: r.Answer.Err(), Granted: r.Answer.Kind == claims.Granted}
	if r.Answer.Kind == claims.Replay {
		decided.Chunks = []*wire.Chunk{{Data: r.Answer.Result.Body}}
		decided.Final = &wire.Final{Status: uint32(r.Answer.Result.Status), Replayed: true}
	}
	if r.Answer.Kind != claims.Granted {
		delete(s.pendingClaims, claim)
	}
	s.stepRequests(decided)
}
