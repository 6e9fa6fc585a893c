package sidecar

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	reportsInbox = 8
	// reportInterval is how often the engine's load and cache events are read.
	// They lag by more than that.
	reportInterval = 250 * time.Millisecond
	reportTimeout  = time.Second
)

var (
	eventGaps     = metrics.GetOrRegisterCounter("reports.events.gaps", nil)
	reportsFailed = metrics.GetOrRegisterCounter("reports.failed", nil)
)

type reportsAsk struct{ reply chan reportsDump }

// reportsDuty reads the engine's load and cache events.
type reportsDuty struct {
	inbox    *ring.Ring[any]
	engine   engine.Engine
	requests *requestsDuty
	control  *controlDuty

	// The rest belongs to Serve.
	events cacheEvents
	load   engine.Load
}

func newReports(i do.Injector) (*reportsDuty, error) {
	return &reportsDuty{
		inbox:    ring.New[any]("reports", reportsInbox, ring.Reject),
		engine:   do.MustInvoke[engine.Engine](i),
		requests: do.MustInvoke[*requestsDuty](i),
		control:  do.MustInvoke[*controlDuty](i),
	}, nil
}

// String names the duty.
func (d *reportsDuty) String() string { return "reports" }

// Serve reads reports until ctx ends.
func (d *reportsDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.take(m)
		case <-ticker.C:
			d.read(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *reportsDuty) take(m any) {
	switch m := m.(type) {
	case engineState:
		d.events.restarted(m.state.Incarnation)
	case reportsAsk:
		m.reply <- reportsDump{Load: d.load, LastEvent: d.events.after}
	}
}

func (d *reportsDuty) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	d.readLoad(ctx)
	d.readEvents(ctx)
}

func (d *reportsDuty) readLoad(ctx context.Context) {
	load, err := d.engine.Load(ctx)
	if err != nil {
		reportsFailed.Inc(1)
		return
	}
	if load == d.load {
		return
	}
	d.load = load
	_ = d.requests.inbox.PutWait(ctx, engineLoad{load: load})
}

func (d *reportsDuty) readEvents(ctx context.Context) {
	events, err := d.engine.CacheEvents(ctx, d.events.after)
	if err != nil {
		reportsFailed.Inc(1)
		return
	}
	for _, frame := range d.events.take(events) {
		d.control.announce(&wire.Frame{Body: &wire.Frame_CacheEvents{CacheEvents: frame}})
	}
}

// cacheEvents follows the cache events of an engine.
type cacheEvents struct {
	incarnation string
	// after is the number of the last event seen.
	after uint64
	// base is added to the numbers of this incarnation.
	base uint64
}

// restarted notes which incarnation of the engine is read.
//
// The events of a restarted engine are numbered from 1 again, and its cache is
// empty. Entries would take them for repetitions and go on routing to a cache
// that is gone; one would notice long times to the first token. The numbers
// that they see leave a gap instead, which makes them forget.
func (c *cacheEvents) restarted(incarnation string) {
	if incarnation == c.incarnation {
		return
	}
	if c.incarnation != "" {
		c.base += c.after + 1
		c.after = 0
	}
	c.incarnation = incarnation
}

// take returns the new events as frames, one for each so that entries see
// where events were lost.
func (c *cacheEvents) take(events []engine.CacheEvent) []*wire.CacheEvents {
	frames := []*wire.CacheEvents{}
	for _, e := range events {
		if e.Sequence <= c.after {
			continue
		}
		if e.Sequence > c.after+1 {
			eventGaps.Inc(1)
		}
		c.after = e.Sequence
		frames = append(frames, &wire.CacheEvents{
			FirstSequence: c.base + e.Sequence,
			Stored:        e.Stored,
			Evicted:       e.Evicted,
		})
	}
	return frames
}

// reportsDump is the state of the duty for operators.
type reportsDump struct {
	Load      engine.Load `json:"load"`
	LastEvent uint64      `json:"last_event"`
}

// Dump returns the state of the duty.
func (d *reportsDuty) Dump(ctx context.Context) any {
	return ask(ctx, d.inbox, func(reply chan reportsDump) any { return reportsAsk{reply: reply} })
}
