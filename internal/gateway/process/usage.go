package process

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/peers"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/internal/truetime"
	"pistachioroad.dev/pistachioroad/internal/usage"
	"pistachioroad.dev/pistachioroad/internal/usage/report"
	"pistachioroad.dev/pistachioroad/platform"
)

const (
	// usageInterval is the minimum time between two updates of this gateway's counts: what
	// was counted since the last one is lost if the process is killed.
	usageInterval = 250 * time.Millisecond
	// usageIntervalPerGateway limits the rate of updates that a collector receives.
	usageIntervalPerGateway = 7 * time.Millisecond
	// reportInterval is the time between two steps of the reporter.
	reportInterval = 200 * time.Millisecond
	// finishTimeout limits what a process does for usage before it exits, besides its grace
	// period.
	finishTimeout = time.Second
)

// usageDuties count the requests of client accounts, send the counts to the gateways that
// collect them, and report them if this gateway has the right to.
type usageDuties struct {
	trueTime  *truetime.Estimator
	counter   *usage.Counter
	collector *usage.Collector
	sender    *usage.Sender
	reporter  *report.Reporter
	peers     *peers.Peers
	// stopping is closed when the process is about to exit. finished is done once the counts
	// are sent and the right to report is given up.
	stopping chan struct{}
	finished sync.WaitGroup
}

// newUsageDuties returns the duties of a deployment in which usage is reported.
func newUsageDuties(d deployment.Deployment, t *truetime.Estimator, startID uint64, p *peers.Peers, s store.Store) *usageDuties {
	u := &usageDuties{
		trueTime:  t,
		counter:   usage.NewCounter(d.Usage.Window, t.At),
		collector: usage.NewCollector(),
		peers:     p,
		stopping:  make(chan struct{}),
	}
	u.finished.Add(2)
	u.sender = usage.NewSender(usage.Source{VM: d.Name, Start: uint32(startID)}, u.counter)
	u.reporter = report.New(report.Config{
		Holder:      d.Name,
		Incarnation: uuid.NewString(),
		Length:      d.Usage.Window,
		Alternation: d.Bounds.OrderLease,
		Rank:        p.Rank,
		Clock:       boottime.Now,
		TrueTime:    func() (time.Time, bool) { return t.Anchored(boottime.Now()) },
		Counts:      u.collector,
		Store:       s,
		Sender:      platform.NewUsageClient(d.Usage.Address),
	})
	p.OnUsage = u.receive
	return u
}

// receive handles an update of another gateway.
func (u *usageDuties) receive(update usage.Update) {
	u.collector.Add(update, u.counter.Window(time.Now()))
}

// send sends this gateway's counts until the process is about to exit, and then all counts.
func (u *usageDuties) send(ctx context.Context) error {
	for !u.isStopping() {
		u.trueTime.Update(boottime.Now(), time.Now())
		now := time.Now()
		u.announce(now, u.sender.Step(now))
		u.collector.Forget(u.counter.Window(now) - usage.MaxDistance)
		interval := max(usageInterval, time.Duration(u.peers.GatewayCount())*usageIntervalPerGateway)
		if !pause.SleepOrSignal(ctx, interval, u.stopping) {
			return ctx.Err()
		}
	}
	u.announce(time.Now(), u.sender.Finish(time.Now()))
	u.peers.Flush()
	u.finished.Done()
	return suture.ErrDoNotRestart
}

func (u *usageDuties) isStopping() bool {
	select {
	case <-u.stopping:
		return true
	default:
		return false
	}
}

func (u *usageDuties) announce(now time.Time, updates []usage.Update) {
	current := u.counter.Window(now)
	for _, update := range updates {
		u.collector.Add(update, current)
		u.peers.AnnounceUsage(update)
	}
}

// report settles and sends reports until the process is about to exit. It then gives up
// the right to report.
func (u *usageDuties) report(ctx context.Context) error {
	for !u.isStopping() {
		u.reporter.Step(ctx)
		if !pause.SleepOrSignal(ctx, reportInterval, u.stopping) {
			return ctx.Err()
		}
	}
	u.reporter.Release(ctx)
	u.finished.Done()
	return suture.ErrDoNotRestart
}

// finishWithin returns how long a process that has to finish by a time, or at any time if that
// is zero, waits for its duties.
func finishWithin(now, by time.Time) time.Duration {
	if by.IsZero() {
		return finishTimeout
	}
	return max(0, min(finishTimeout, by.Sub(now)))
}

// finish ends the duties before the process exits. It waits up to timeout.
func (u *usageDuties) finish(timeout time.Duration) {
	close(u.stopping)
	done := make(chan struct{})
	go func() {
		u.finished.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
		log.Warn("counts of usage not handed over before the process exits")
	}
}
