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

// The messages to the admission duty.
type (
	// engineOpen and engineClosed tell whether the engine takes work; the count
	// of running requests that follows carries the number.
	engineOpen   struct{ number uint64 }
	engineClosed struct {
		number uint64
		why    string
	}
	// engineHandOver asks for running work to go elsewhere.
	engineHandOver struct{}
	// drainedSet tells whether operators took the backend server out of
	// service, and how long its work may go on.
	drainedSet struct {
		drained bool
		timeout time.Duration
	}
	// leaving says that the process is shutting down; done is closed once the
	// request table has been told.
	leaving struct {
		handOverAfter time.Duration
		done          chan struct{}
	}
	admissionAsk struct{ reply chan admissionDump }
)

// gate says whether requests are let in, and why not.
type gate struct {
	engineOpen bool
	engineWhy  string
	number     uint64
	drained    bool
	leaving    bool
	// handOverAt is when the work of a drained or leaving backend server is
	// handed over; zero: not asked for, or done.
	handOverAt time.Time
}

// event returns what the request table is told.
func (g *gate) event() requests.Event {
	switch {
	case g.leaving:
		return requests.StopAdmitting{Code: verdict.CodeDraining, Reason: "the sidecar is shutting down"}
	case g.drained:
		return requests.StopAdmitting{Code: verdict.CodeDraining, Reason: "operators drained the backend server"}
	case !g.engineOpen:
		return requests.StopAdmitting{Code: verdict.CodeNoBackend, Reason: g.engineWhy}
	}
	return requests.Admit{}
}

// draining says whether entries shall stop sending to this backend server.
func (g *gate) draining() bool { return g.leaving || g.drained }

// drain notes whether operators want the backend server out of service.
func (g *gate) drain(now time.Time, m drainedSet) {
	if g.drained == m.drained {
		return
	}
	g.drained = m.drained
	g.handOverAt = time.Time{}
	if m.drained {
		g.handOverAt = now.Add(m.timeout)
	}
}

// handOverDue reports, once, that running work is to go elsewhere.
func (g *gate) handOverDue(now time.Time) bool {
	if g.handOverAt.IsZero() || now.Before(g.handOverAt) {
		return false
	}
	g.handOverAt = time.Time{}
	return true
}

// admissionDuty decides whether requests are let in: the engine must be ready,
// and neither operators nor a shutdown want the backend server empty.
type admissionDuty struct {
	inbox    *ring.Ring[any]
	requests *requestsDuty
	control  *controlDuty
	explain  *explain.Log
	server   string
	// reason is why the backend server takes no requests; nil if it does.
	reason atomic.Pointer[string]

	// gate belongs to Serve.
	gate gate
}

func newAdmission(i do.Injector) (*admissionDuty, error) {
	s := do.MustInvoke[settings.Settings](i)
	d := &admissionDuty{
		inbox:    ring.New[any]("admission", admissionInbox, ring.Reject),
		requests: do.MustInvoke[*requestsDuty](i),
		control:  do.MustInvoke[*controlDuty](i),
		explain:  do.MustInvoke[*explain.Log](i),
		server:   s.Process.Name,
		gate:     gate{engineOpen: !isEngine(s), engineWhy: "the state of the engine is not known yet"},
	}
	starting := "starting"
	d.reason.Store(&starting)
	return d, nil
}

// String names the duty.
func (d *admissionDuty) String() string { return "admission" }

// Ready returns why the backend server takes no requests, nil if it does.
func (d *admissionDuty) Ready() error {
	if why := d.reason.Load(); why != nil {
		return eris.New(*why)
	}
	return nil
}

// tell hands over a message that must not be lost.
func (d *admissionDuty) tell(ctx context.Context, m any) { _ = d.inbox.PutWait(ctx, m) }

// shutDown refuses new work from its return on, and hands running work over
// after the time given.
func (d *admissionDuty) shutDown(ctx context.Context, handOverAfter time.Duration) {
	done := make(chan struct{})
	d.tell(ctx, leaving{handOverAfter: handOverAfter, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Serve decides until ctx ends.
func (d *admissionDuty) Serve(ctx context.Context) error {
	d.apply(ctx)
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.take(ctx, time.Now(), m)
		case now := <-ticker.C:
			if d.gate.handOverDue(now) {
				d.handOver(ctx)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *admissionDuty) take(ctx context.Context, now time.Time, m any) {
	switch m := m.(type) {
	case engineOpen:
		d.gate.engineOpen, d.gate.number = true, m.number
	case engineClosed:
		d.gate.engineOpen, d.gate.engineWhy, d.gate.number = false, m.why, m.number
	case drainedSet:
		d.gate.drain(now, m)
	case leaving:
		defer close(m.done)
		d.gate.leaving = true
		d.gate.handOverAt = now.Add(m.handOverAfter)
	case engineHandOver:
		d.handOver(ctx)
		return
	case admissionAsk:
		m.reply <- d.dump()
		return
	}
	d.apply(ctx)
}

// apply tells the request table and the entries what the gate says. The table
// comes first: an entry that still sends is then refused, not left waiting.
func (d *admissionDuty) apply(ctx context.Context) {
	event := d.gate.event()
	d.requests.setAdmission(ctx, d.gate.number, event)
	d.control.setDraining(ctx, d.gate.draining())
	decision, why := "admits requests", ""
	if stop, ok := event.(requests.StopAdmitting); ok {
		decision, why = "admits no requests", stop.Reason
		d.reason.Store(&stop.Reason)
	} else {
		d.reason.Store(nil)
	}
	d.explain.Add(time.Now(), d.server, decision, why)
}

func (d *admissionDuty) handOver(ctx context.Context) {
	d.explain.Add(time.Now(), d.server, "hands running work over", "the time to finish it is over")
	d.requests.post(ctx, requests.HandOver{})
}

// admissionDump is the state of the duty for operators.
type admissionDump struct {
	Admitting  bool   `json:"admitting"`
	Why        string `json:"why,omitempty"`
	EngineOpen bool   `json:"engine_open"`
	Drained    bool   `json:"drained"`
	Leaving    bool   `json:"leaving"`
}

func (d *admissionDuty) dump() admissionDump {
	dump := admissionDump{EngineOpen: d.gate.engineOpen, Drained: d.gate.drained, Leaving: d.gate.leaving}
	if stop, ok := d.gate.event().(requests.StopAdmitting); ok {
		dump.Why = stop.Reason
	} else {
		dump.Admitting = true
	}
	return dump
}

// Dump returns the state of the duty.
func (d *admissionDuty) Dump(ctx context.Context) any {
	return ask(ctx, d.inbox, func(reply chan admissionDump) any { return admissionAsk{reply: reply} })
}
