package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	admissionInbox = 64
	admissionTick  = 250 * time.Millisecond
)

// Messages to the admission duty.
type (
	// engineAvailable and engineUnavailable report whether the engine accepts
	// work. The epoch is returned in the workCount that follows.
	engineAvailable   struct{ epoch uint64 }
	engineUnavailable struct {
		epoch  uint64
		reason string
	}
	// engineHandOver requests that running work is handed over to other servers.
	engineHandOver struct{}
	// drainStatus reports whether operators drained the backend server, and how
	// long running work may continue.
	drainStatus struct {
		drained bool
		timeout time.Duration
	}
	// shutdownStarted reports that the process is shutting down. done is closed
	// once the event for the request table is queued.
	shutdownStarted struct {
		handOverAfter time.Duration
		// end is when the process ends the runs.
		end  time.Time
		done chan struct{}
	}
	admissionQuery struct{ reply chan admissionDump }
)

// admissionState holds all conditions on which admission depends.
type admissionState struct {
	engineAvailable bool
	engineReason    string
	epoch           uint64
	drained         bool
	shuttingDown    bool
	// handOverAt is when running work is handed over during a drain or shutdown;
	// zero if none is due.
	handOverAt time.Time
	// end is when a shutdown ends the runs; zero without one.
	end time.Time
}

// tableEvent returns the event that brings the request table to this state.
func (s *admissionState) tableEvent() requests.Event {
	switch {
	case s.shuttingDown:
		return requests.StopAdmitting{Code: verdict.CodeDraining, Reason: "the sidecar is shutting down"}
	case s.drained:
		return requests.StopAdmitting{Code: verdict.CodeDraining, Reason: "operators drained the backend server"}
	case !s.engineAvailable:
		return requests.StopAdmitting{Code: verdict.CodeNoBackend, Reason: s.engineReason}
	}
	return requests.Admit{}
}

// draining reports whether entries should stop sending to this backend server.
func (s *admissionState) draining() bool { return s.shuttingDown || s.drained }

// setDrained records whether operators drained the backend server.
func (s *admissionState) setDrained(now time.Time, m drainStatus) {
	if s.drained == m.drained {
		return
	}
	s.drained = m.drained
	s.handOverAt = time.Time{}
	if m.drained {
		s.handOverAt = now.Add(m.timeout)
	}
}

// handOverDue reports whether running work must be handed over now. It returns
// true once.
func (s *admissionState) handOverDue(now time.Time) bool {
	if s.handOverAt.IsZero() || now.Before(s.handOverAt) {
		return false
	}
	s.handOverAt = time.Time{}
	return true
}

// admissionDuty decides whether requests are admitted: the engine must be ready,
// and the backend server neither drained by operators nor shutting down.
type admissionDuty struct {
	inbox    *ring.Ring[any]
	requests *requestsDuty
	control  *controlDuty
	explain  *explain.Log
	server   string
	// notReadyReason is why no requests are admitted; nil while admitting.
	notReadyReason atomic.Pointer[string]

	// state is used by Serve only.
	state admissionState
}

func newAdmission(i do.Injector) (*admissionDuty, error) {
	s := do.MustInvoke[settings.Settings](i)
	d := &admissionDuty{
		inbox:    ring.New[any]("admission", admissionInbox, ring.Reject),
		requests: do.MustInvoke[*requestsDuty](i),
		control:  do.MustInvoke[*controlDuty](i),
		explain:  do.MustInvoke[*explain.Log](i),
		server:   s.Process.Name,
		state:    admissionState{engineAvailable: !isEngine(s), engineReason: "the state of the engine is not known yet"},
	}
	starting := "starting"
	d.notReadyReason.Store(&starting)
	return d, nil
}

// String names the duty.
func (d *admissionDuty) String() string { return "admission" }

// Ready returns the reason why no requests are admitted, or nil.
func (d *admissionDuty) Ready() error {
	if reason := d.notReadyReason.Load(); reason != nil {
		return eris.New(*reason)
	}
	return nil
}

// post queues a message and waits for space in the inbox.
func (d *admissionDuty) post(ctx context.Context, m any) { _ = d.inbox.PutWait(ctx, m) }

// shutDown stops admission and schedules the handover of running work that may
// last beyond end. New requests are rejected once it returns.
func (d *admissionDuty) shutDown(ctx context.Context, handOverAfter time.Duration, end time.Time) {
	done := make(chan struct{})
	d.post(ctx, shutdownStarted{handOverAfter: handOverAfter, end: end, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Serve runs the duty until ctx is done.
func (d *admissionDuty) Serve(ctx context.Context) error {
	d.apply(ctx)
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.handle(ctx, time.Now(), m)
		case now := <-ticker.C:
			if d.state.handOverDue(now) {
				d.handOver(ctx, d.state.end)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *admissionDuty) handle(ctx context.Context, now time.Time, m any) {
	switch m := m.(type) {
	case engineAvailable:
		d.state.engineAvailable, d.state.epoch = true, m.epoch
	case engineUnavailable:
		d.state.engineAvailable, d.state.engineReason, d.state.epoch = false, m.reason, m.epoch
	case drainStatus:
		d.state.setDrained(now, m)
	case shutdownStarted:
		defer close(m.done)
		d.state.shuttingDown = true
		d.state.handOverAt, d.state.end = now.Add(m.handOverAfter), m.end
	case engineHandOver:
		d.handOver(ctx, time.Time{})
		return
	case admissionQuery:
		m.reply <- d.dump()
		return
	}
	d.apply(ctx)
}

// apply passes the state on to the request table and the entries. The table comes
// first, so that requests that entries still send are rejected, not queued.
func (d *admissionDuty) apply(ctx context.Context) {
	event := d.state.tableEvent()
	d.requests.setAdmission(ctx, d.state.epoch, event)
	d.control.setDraining(ctx, d.state.draining())
	decision, reason := "admits requests", ""
	if stop, ok := event.(requests.StopAdmitting); ok {
		decision, reason = "admits no requests", stop.Reason
		d.notReadyReason.Store(&stop.Reason)
	} else {
		d.notReadyReason.Store(nil)
	}
	d.explain.Add(time.Now(), d.server, decision, reason)
}

// handOver hands running work over, unless its deadline is not after end.
func (d *admissionDuty) handOver(ctx context.Context, end time.Time) {
	d.explain.Add(time.Now(), d.server, "hands running work over", "the time to finish it is over")
	d.requests.post(ctx, requests.HandOver{End: end})
}

// admissionDump is the state of the duty for operators.
type admissionDump struct {
	Admitting       bool   `json:"admitting"`
	Reason          string `json:"why,omitempty"`
	EngineAvailable bool   `json:"engine_open"`
	Drained         bool   `json:"drained"`
	ShuttingDown    bool   `json:"leaving"`
}

func (d *admissionDuty) dump() admissionDump {
	dump := admissionDump{EngineAvailable: d.state.engineAvailable, Drained: d.state.drained, ShuttingDown: d.state.shuttingDown}
	if stop, ok := d.state.tableEvent().(requests.StopAdmitting); ok {
		dump.Reason = stop.Reason
	} else {
		dump.Admitting = true
	}
	return dump
}

// Dump returns the state of the duty.
func (d *admissionDuty) Dump(ctx context.Context) any {
	return query(ctx, d.inbox, func(reply chan admissionDump) any { return admissionQuery{reply: reply} })
}
