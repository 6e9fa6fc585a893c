package sidecar

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/daemon"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	requestsInbox = 4096
	// loadInterval is the least time between two reports of the load. Entries
	// correct the last one by what they have sent since.
	loadInterval = 200 * time.Millisecond
	idlePollTime = 10 * time.Millisecond
)

// The messages to the requests duty.
type (
	// opened is the first frame of a stream.
	opened struct {
		stream *stream
		event  requests.Event
	}
	// happened is any other event of the table.
	happened struct{ event requests.Event }
	// admissionSet opens or closes the admission; the count of running
	// requests that is told after it carries its number.
	admissionSet struct {
		number uint64
		event  requests.Event
	}
	engineLoad  struct{ load engine.Load }
	engineState struct{ state engine.State }
	requestsAsk struct{ reply chan requests.Dump }
	// liveAsk asks how many requests have no outcome.
	liveAsk struct{ reply chan int }
)

// workCount tells how much the backend server runs, as of the admission with
// the number.
type workCount struct {
	number    uint64
	admitting bool
	running   int
}

// requestsDuty owns the request table and carries out what it wants done.
type requestsDuty struct {
	inbox   *ring.Ring[any]
	counts  *ring.Ring[workCount]
	broke   *ring.Ring[struct{}]
	claims  claimKeeper
	runner  *runner
	explain *explain.Log
	control *controlDuty
	self    daemon.Incarnation

	// The rest belongs to Serve.
	table     *requests.Table
	serving   bool
	pending   []requests.Effect
	streams   map[requests.Stream]*stream
	cancels   map[requests.RunID]context.CancelFunc
	claimed   map[requests.ClaimID]claims.Request
	admission uint64
	report    requests.EngineReport
	told      workCount
	// load is the last one reported, at loadAt; loadDue says that it is no
	// longer true.
	loadAt  time.Time
	loadDue bool
	// tickAt is when the table sees time pass.
	tickAt time.Time
}

func newRequests(i do.Injector) (*requestsDuty, error) {
	s := do.MustInvoke[settings.Settings](i)
	d := &requestsDuty{
		inbox:   ring.New[any]("requests", requestsInbox, ring.Reject),
		counts:  ring.New[workCount]("requests.counts", 1, ring.DropOldest),
		broke:   ring.New[struct{}]("requests.broke", 1, ring.DropOldest),
		claims:  do.MustInvoke[*claims.Duty](i),
		explain: do.MustInvoke[*explain.Log](i),
		control: do.MustInvoke[*controlDuty](i),
		self:    do.MustInvoke[daemon.Incarnation](i),
		table:   requests.New(tableConfig(s), newRandom()),
		streams: map[requests.Stream]*stream{},
		cancels: map[requests.RunID]context.CancelFunc{},
		claimed: map[requests.ClaimID]claims.Request{},
	}
	d.runner = &runner{backend: do.MustInvoke[backend](i), post: d.mustPost}
	return d, nil
}

func tableConfig(s settings.Settings) requests.Config {
	return requests.Config{
		Slots:          s.Sidecar.BackendServer.Slots,
		QueueLength:    s.Sidecar.QueueLength,
		MaxAnswerBytes: s.Sidecar.ResultBytes,
		ResumeWait:     s.Sidecar.ResumeWait,
		ModelEngine:    isEngine(s),
	}
}

// String names the duty.
func (d *requestsDuty) String() string { return "requests" }

// open hands over the first frame of a stream. It reports false, and nobody
// has seen the frame, when too many messages wait.
func (d *requestsDuty) open(s *stream, event requests.Event) bool {
	return d.inbox.Put(opened{stream: s, event: event})
}

// post hands over an event that must not be lost.
func (d *requestsDuty) post(ctx context.Context, event requests.Event) {
	_ = d.inbox.PutWait(ctx, happened{event: event})
}

// mustPost is post for what a run or claim that is under way brings: it comes
// also while the duty is restarted.
func (d *requestsDuty) mustPost(event requests.Event) { d.post(context.Background(), event) }

// setAdmission opens or closes the admission.
func (d *requestsDuty) setAdmission(ctx context.Context, number uint64, event requests.Event) {
	_ = d.inbox.PutWait(ctx, admissionSet{number: number, event: event})
}

// Serve runs the table until ctx ends. Begun again after a panic, it first
// answers all that the table knew of.
func (d *requestsDuty) Serve(ctx context.Context) error {
	if d.serving {
		next, effects := d.table.Recover(time.Now())
		d.table = next
		d.pending = append(d.pending, effects...)
	}
	d.serving = true
	d.carryOut()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.take(time.Now(), m)
		case <-timer.C:
			d.step(time.Now(), requests.Tick{})
			d.tickAt = time.Time{}
		case <-ctx.Done():
			d.stopRuns()
			d.serving = false
			return ctx.Err()
		}
		now := time.Now()
		d.tell(now)
		d.setTimer(now, timer)
	}
}

// setTimer sets the timer to the next tick, if that is sooner than the one it
// is set to.
func (d *requestsDuty) setTimer(now time.Time, timer *time.Timer) {
	next := d.table.Next(now)
	if report := d.loadAt.Add(loadInterval); d.loadDue && report.Before(next) {
		next = report
	}
	if d.tickAt.IsZero() || next.Before(d.tickAt) {
		d.tickAt = next
		timer.Reset(next.Sub(now))
	}
}

func (d *requestsDuty) take(now time.Time, m any) {
	switch m := m.(type) {
	case opened:
		d.streams[m.stream.number] = m.stream
		d.step(now, m.event)
	case happened:
		d.step(now, m.event)
	case admissionSet:
		d.admission = m.number
		d.step(now, m.event)
	case engineLoad:
		d.report.Load = m.load
		d.step(now, d.report)
	case engineState:
		d.report.State = m.state
		d.step(now, d.report)
	case requestsAsk:
		m.reply <- d.table.Dump(now)
	case liveAsk:
		m.reply <- d.table.Active()
	}
}

func (d *requestsDuty) step(now time.Time, event requests.Event) {
	d.release(event)
	d.pending = append(d.pending, d.table.Step(now, event)...)
	d.carryOut()
}

// release drops what is held for something that has ended.
func (d *requestsDuty) release(event requests.Event) {
	switch e := event.(type) {
	case requests.StreamClosed:
		delete(d.streams, e.Stream)
	case requests.RunFinished:
		d.cancelRun(e.Run)
		delete(d.cancels, e.Run)
	case requests.ClaimDecided:
		if !e.Granted {
			delete(d.claimed, e.Claim)
		}
	}
}

// carryOut does what is pending, each effect once, even if one panics.
func (d *requestsDuty) carryOut() {
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		d.do(next)
	}
}

func (d *requestsDuty) do(effect requests.Effect) {
	switch e := effect.(type) {
	case requests.Send:
		d.send(e)
	case requests.Run:
		ctx, cancel := context.WithCancel(context.Background())
		d.cancels[e.Run] = cancel
		go d.runner.do(ctx, e)
	case requests.CancelRun:
		d.cancelRun(e.Run)
	case requests.Claim:
		d.claim(e)
	case requests.SettleClaim:
		d.settle(e)
	case requests.CheckEngine:
		d.broke.Put(struct{}{})
	case requests.Note:
		d.explain.Add(time.Now(), e.Subject, e.Decision, e.Why)
	}
}

func (d *requestsDuty) send(e requests.Send) {
	s, ok := d.streams[e.Stream]
	if !ok {
		return
	}
	if r := e.Frame.GetResolution(); r != nil {
		r.Incarnation = d.self.String()
	}
	s.send(e)
	if e.Last {
		delete(d.streams, e.Stream)
	}
}

func (d *requestsDuty) cancelRun(run requests.RunID) {
	if cancel, ok := d.cancels[run]; ok {
		cancel()
	}
}

// claim asks for a key in a goroutine of its own; there are at most as many as
// the table lets wait.
func (d *requestsDuty) claim(e requests.Claim) {
	request := claimRequest(e)
	d.claimed[e.Claim] = request
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), e.Deadline)
		defer cancel()
		d.mustPost(claimAnswered(e.Claim, d.claims.Claim(ctx, request)))
	}()
}

func (d *requestsDuty) settle(e requests.SettleClaim) {
	request, ok := d.claimed[e.Claim]
	if !ok {
		return
	}
	delete(d.claimed, e.Claim)
	go settle(d.claims, request, e)
}

// tell reports what has changed to the other duties.
func (d *requestsDuty) tell(now time.Time) {
	count := workCount{number: d.admission, admitting: d.table.Admitting(), running: d.table.Running()}
	opened := count.admitting != d.told.admitting
	if count != d.told {
		d.told = count
		d.counts.Put(count)
		d.loadDue = true
	}
	if opened || now.Sub(d.loadAt) >= loadInterval {
		d.loadAt, d.loadDue = now, false
		d.control.setLoad(d.table.Load())
	}
}

// awaitIdle waits until no request is without outcome. The question goes
// through the inbox: behind a change of the admission, it counts all that was
// let in before.
func (d *requestsDuty) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		live := ask(ctx, d.inbox, func(reply chan int) any { return liveAsk{reply: reply} })
		if live == 0 {
			return
		}
		time.Sleep(idlePollTime)
	}
}

func (d *requestsDuty) stopRuns() {
	for _, cancel := range d.cancels {
		cancel()
	}
}

// Dump returns the state of the table.
func (d *requestsDuty) Dump(ctx context.Context) any {
	return ask(ctx, d.inbox, func(reply chan requests.Dump) any { return requestsAsk{reply: reply} })
}

// loadFrame returns the load as a frame.
func loadFrame(load *wire.Load) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Load{Load: load}}
}
