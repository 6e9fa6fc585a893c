package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
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
	// loadInterval is the minimum time between two load reports. Entries correct
	// the last one by the requests that they have sent since.
	loadInterval     = 200 * time.Millisecond
	idlePollInterval = 10 * time.Millisecond
	// cutDumpTimeout limits the wait for the list of requests that the end of the process cuts.
	cutDumpTimeout = 50 * time.Millisecond
)

var cutRequests = metrics.GetOrRegisterCounter("requests.unanswered.process_end", nil)

// Messages to the requests duty.
type (
	// streamOpened is the first frame of a stream.
	streamOpened struct {
		stream *stream
		event  requests.Event
	}
	// tableEvent is any other event for the table.
	tableEvent struct{ event requests.Event }
	// admissionChanged opens or closes admission. Each workCount after it
	// carries its epoch.
	admissionChanged struct {
		epoch uint64
		event requests.Event
	}
	engineLoad    struct{ load engine.Load }
	engineState   struct{ state engine.State }
	requestsQuery struct{ reply chan requests.Dump }
	// activeQuery requests the number of requests without an outcome.
	activeQuery struct{ reply chan int }
)

// workCount is the number of running requests, counted after the change of
// admission with the given epoch.
type workCount struct {
	epoch     uint64
	admitting bool
	running   int
}

// requestsDuty owns the request table and carries out its effects.
type requestsDuty struct {
	inbox         *ring.Ring[any]
	counts        *ring.Ring[workCount]
	engineSuspect *ring.Ring[struct{}]
	claims        claimStore
	runner        *runner
	explain       *explain.Log
	control       *controlDuty
	incarnation   daemon.Incarnation

	// The fields below are used by Serve only. serving is set while Serve runs; if
	// it is set on entry, the previous Serve panicked.
	table          *requests.Table
	serving        bool
	pending        []requests.Effect
	streams        map[requests.Stream]*stream
	cancels        map[requests.RunID]context.CancelFunc
	claimRequests  map[requests.ClaimID]claims.Request
	admissionEpoch uint64
	engineReport   requests.EngineReport
	lastCount      workCount
	// loadSentAt is when the load was last reported; loadDue is set when it has
	// changed since.
	loadSentAt time.Time
	loadDue    bool
	// nextTick is the time for which the tick timer is set; zero if it fired.
	nextTick time.Time
}

func newRequests(i do.Injector) (*requestsDuty, error) {
	s := do.MustInvoke[settings.Settings](i)
	d := &requestsDuty{
		inbox:         ring.New[any]("requests", requestsInbox, ring.Reject),
		counts:        ring.New[workCount]("requests.counts", 1, ring.DropOldest),
		engineSuspect: ring.New[struct{}]("requests.broke", 1, ring.DropOldest),
		claims:        do.MustInvoke[*claims.Duty](i),
		explain:       do.MustInvoke[*explain.Log](i),
		control:       do.MustInvoke[*controlDuty](i),
		incarnation:   do.MustInvoke[daemon.Incarnation](i),
		table:         requests.New(tableConfig(s), newRandom()),
		streams:       map[requests.Stream]*stream{},
		cancels:       map[requests.RunID]context.CancelFunc{},
		claimRequests: map[requests.ClaimID]claims.Request{},
	}
	d.runner = &runner{backend: do.MustInvoke[backend](i), post: d.postAlways}
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

// open queues the first frame of a stream. It returns false and drops the frame
// if the inbox is full.
func (d *requestsDuty) open(s *stream, event requests.Event) bool {
	return d.inbox.Put(streamOpened{stream: s, event: event})
}

// post queues an event and waits for space in the inbox.
func (d *requestsDuty) post(ctx context.Context, event requests.Event) {
	_ = d.inbox.PutWait(ctx, tableEvent{event: event})
}

// postAlways is post for events of runs and claims in progress. They must arrive
// even while the duty is being restarted, so it waits without limit.
func (d *requestsDuty) postAlways(event requests.Event) { d.post(context.Background(), event) }

// setAdmission opens or closes admission.
func (d *requestsDuty) setAdmission(ctx context.Context, epoch uint64, event requests.Event) {
	_ = d.inbox.PutWait(ctx, admissionChanged{epoch: epoch, event: event})
}

// Serve runs the table until ctx is done. Restarted after a panic, it first
// recovers the table, which answers all active requests.
func (d *requestsDuty) Serve(ctx context.Context) error {
	if d.serving {
		next, effects := d.table.Recover(time.Now())
		d.table = next
		d.pending = append(d.pending, effects...)
	}
	d.serving = true
	d.performPending()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.handle(time.Now(), m)
		case <-timer.C:
			d.step(time.Now(), requests.Tick{})
			d.nextTick = time.Time{}
		case <-ctx.Done():
			d.stopRuns()
			d.serving = false
			return ctx.Err()
		}
		now := time.Now()
		d.publish(now)
		d.setTimer(now, timer)
	}
}

// setTimer sets the timer to the next tick or load report, unless it is set to an
// earlier time.
func (d *requestsDuty) setTimer(now time.Time, timer *time.Timer) {
	next := d.table.NextTick(now)
	if loadReport := d.loadSentAt.Add(loadInterval); d.loadDue && loadReport.Before(next) {
		next = loadReport
	}
	if d.nextTick.IsZero() || next.Before(d.nextTick) {
		d.nextTick = next
		timer.Reset(next.Sub(now))
	}
}

func (d *requestsDuty) handle(now time.Time, m any) {
	switch m := m.(type) {
	case streamOpened:
		d.streams[m.stream.number] = m.stream
		d.step(now, m.event)
	case tableEvent:
		d.step(now, m.event)
	case admissionChanged:
		d.admissionEpoch = m.epoch
		d.step(now, m.event)
	case engineLoad:
		d.engineReport.Load = m.load
		d.step(now, d.engineReport)
	case engineState:
		d.engineReport.State = m.state
		d.step(now, d.engineReport)
	case requestsQuery:
		m.reply <- d.table.Dump(now)
	case activeQuery:
		m.reply <- d.table.Active()
	}
}

func (d *requestsDuty) step(now time.Time, event requests.Event) {
	d.release(event)
	d.pending = append(d.pending, d.table.Step(now, event)...)
	d.performPending()
}

// release frees the resources of a closed stream, a finished run or a claim that
// was not granted.
func (d *requestsDuty) release(event requests.Event) {
	switch e := event.(type) {
	case requests.StreamClosed:
		delete(d.streams, e.Stream)
	case requests.RunFinished:
		d.cancelRun(e.Run)
		delete(d.cancels, e.Run)
	case requests.ClaimDecided:
		if !e.Granted {
			delete(d.claimRequests, e.Claim)
		}
	}
}

// performPending carries out the pending effects, each once, even if one panics.
func (d *requestsDuty) performPending() {
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		d.perform(next)
	}
}

func (d *requestsDuty) perform(effect requests.Effect) {
	switch e := effect.(type) {
	case requests.Send:
		d.send(e)
	case requests.Run:
		ctx, cancel := context.WithCancel(context.Background())
		d.cancels[e.Run] = cancel
		go d.runner.execute(ctx, e)
	case requests.CancelRun:
		d.cancelRun(e.Run)
	case requests.Claim:
		d.claim(e)
	case requests.SettleClaim:
		d.settle(e)
	case requests.CheckEngine:
		d.engineSuspect.Put(struct{}{})
	case requests.LogDecision:
		d.explain.Add(time.Now(), e.Subject, e.Decision, e.Reason)
	}
}

func (d *requestsDuty) send(e requests.Send) {
	s, ok := d.streams[e.Stream]
	if !ok {
		return
	}
	if r := e.Frame.GetResolution(); r != nil {
		r.Incarnation = d.incarnation.String()
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

// claim claims a key in a separate goroutine. The table limits the number of
// concurrent claims.
func (d *requestsDuty) claim(e requests.Claim) {
	request := claimRequest(e)
	d.claimRequests[e.Claim] = request
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), e.Deadline)
		defer cancel()
		d.postAlways(claimDecided(e.Claim, d.claims.Claim(ctx, request)))
	}()
}

func (d *requestsDuty) settle(e requests.SettleClaim) {
	request, ok := d.claimRequests[e.Claim]
	if !ok {
		return
	}
	delete(d.claimRequests, e.Claim)
	go settleClaim(d.claims, request, e)
}

// publish reports changes of the work count and the load to the other duties.
func (d *requestsDuty) publish(now time.Time) {
	count := workCount{epoch: d.admissionEpoch, admitting: d.table.Admitting(), running: d.table.Running()}
	toggled := count.admitting != d.lastCount.admitting
	if count != d.lastCount {
		d.lastCount = count
		d.counts.Put(count)
		d.loadDue = true
	}
	if toggled || now.Sub(d.loadSentAt) >= loadInterval {
		d.loadSentAt, d.loadDue = now, false
		d.control.setLoad(d.table.Load())
	}
}

// awaitIdle waits until every request has an outcome. The query goes through the
// inbox, so after a change of admission it counts all requests admitted before.
// It returns false if ctx is done before.
func (d *requestsDuty) awaitIdle(ctx context.Context) bool {
	for ctx.Err() == nil {
		active := query(ctx, d.inbox, func(reply chan int) any { return activeQuery{reply: reply} })
		if active == 0 {
			return true
		}
		time.Sleep(idlePollInterval)
	}
	return false
}

// endRuns ends the runs, because the process is about to end.
func (d *requestsDuty) endRuns(ctx context.Context) {
	if dump, ok := d.Dump(ctx).(requests.Dump); ok {
		log.WithField("requests", dump.Running).Warn("requests ended by the shutdown")
	}
	d.post(ctx, requests.EndRuns{})
}

// logCut logs and counts the requests that the end of the process cuts. It returns their number.
func (d *requestsDuty) logCut() int {
	ctx, cancel := context.WithTimeout(context.Background(), cutDumpTimeout)
	defer cancel()
	dump, _ := d.Dump(ctx).(requests.Dump)
	cutRequests.Inc(int64(len(dump.Requests)))
	for _, r := range dump.Requests {
		log.WithFields(log.Fields{
			"request": r.ID, "attempt": r.Attempt, "phase": r.Phase, "left": r.Remaining, "orphan": r.Orphan,
		}).Warn("request cut by the end of the process")
	}
	return len(dump.Requests)
}

func (d *requestsDuty) stopRuns() {
	for _, cancel := range d.cancels {
		cancel()
	}
}

// Dump returns the state of the request table.
func (d *requestsDuty) Dump(ctx context.Context) any {
	return query(ctx, d.inbox, func(reply chan requests.Dump) any { return requestsQuery{reply: reply} })
}

func loadFrame(load *wire.Load) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Load{Load: load}}
}
