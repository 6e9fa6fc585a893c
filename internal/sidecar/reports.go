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
	// The engine's data lags by more than that.
	reportInterval = 250 * time.Millisecond
	reportTimeout  = time.Second
)

var (
	eventGaps     = metrics.GetOrRegisterCounter("reports.events.gaps", nil)
	reportsFailed = metrics.GetOrRegisterCounter("reports.failed", nil)
)

type reportsQuery struct{ reply chan reportsDump }

// reportsDuty reads the engine's load and cache events.
type reportsDuty struct {
	inbox    *ring.Ring[any]
	engine   engine.Engine
	requests *requestsDuty
	control  *controlDuty

	// The fields below are used by Serve only.
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

// Serve reads reports until ctx is done.
func (d *reportsDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.handle(m)
		case <-ticker.C:
			d.read(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *reportsDuty) handle(m any) {
	switch m := m.(type) {
	case engineState:
		d.events.setIncarnation(m.state.Incarnation)
	case reportsQuery:
		m.reply <- reportsDump{Load: d.load, LastEvent: d.events.lastSequence}
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
	events, err := d.engine.CacheEvents(ctx, d.events.lastSequence)
	if err != nil {
		reportsFailed.Inc(1)
		return
	}
	for _, frame := range d.events.newFrames(events) {
		d.control.announce(&wire.Frame{Body: &wire.Frame_CacheEvents{CacheEvents: frame}})
	}
}

// cacheEvents tracks the sequence numbers of an engine's cache events.
type cacheEvents struct {
	incarnation string
	// lastSequence is the engine's number of the last event read.
	lastSequence uint64
	// sequenceOffset is added to the numbers of the current incarnation.
	sequenceOffset uint64
}

// setIncarnation sets the engine incarnation whose events are read.
//
// A restarted engine has an empty cache and numbers its events from 1. Entries
// would take them for duplicates and keep routing for prefix cache hits that no
// longer exist, with a long time to first token. So the numbers sent to entries
// skip one: the gap makes entries discard their view of the cache.
func (c *cacheEvents) setIncarnation(incarnation string) {
	if incarnation == c.incarnation {
		return
	}
	if c.incarnation != "" {
		c.sequenceOffset += c.lastSequence + 1
		c.lastSequence = 0
	}
	c.incarnation = incarnation
}

// newFrames returns the events not seen before, one frame for each, so that the
// sequence numbers show entries where events were lost.
func (c *cacheEvents) newFrames(events []engine.CacheEvent) []*wire.CacheEvents {
	frames := []*wire.CacheEvents{}
	for _, e := range events {
		if e.Sequence <= c.lastSequence {
			continue
		}
		if e.Sequence > c.lastSequence+1 {
			eventGaps.Inc(1)
		}
		c.lastSequence = e.Sequence
		frames = append(frames, &wire.CacheEvents{
			FirstSequence: c.sequenceOffset + e.Sequence,
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
	return query(ctx, d.inbox, func(reply chan reportsDump) any { return reportsQuery{reply: reply} })
}
