package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/direct"
)

const (
	// retryBudgetFraction is the fraction of the operators' limit on retries that is
	// used. The rest is a margin for gateways that others do not know yet, for attempts that
	// arrive after they are taken for ended here, and for requests that are read here long
	// after they were sent.
	retryBudgetFraction = 0.9
	// retryLogInterval is the least time between two log lines on the budget of a service.
	retryLogInterval = time.Second
)

// attemptKind is the kind of an attempt, for logs.
type attemptKind string

const (
	sendAttempt    attemptKind = "sends"
	prefillAttempt attemptKind = "prefills"
)

// retryBudgets limits the extra attempts of each service.
type retryBudgets struct {
	mu       sync.Mutex
	services map[string]*serviceBudget
	// transit has the attempts that ended unanswered and may still arrive, and inTransit is
	// their number: while it is 0, responses skip the lock.
	transit   retry.Transit
	inTransit atomic.Int32
	// inTransitGauge has the same for operators.
	inTransitGauge metrics.Gauge
	// bounds are those of the deployment.
	bounds func() deployment.Bounds
	// gateways returns how many gateways share the budgets, 0 if that is unknown.
	gateways func() int
	// firstProcess reports whether no other process of this VM has used the budgets.
	firstProcess func() bool
	// startedAt is when this process started.
	startedAt time.Duration
	// now returns the time since boot.
	now func() time.Duration
	// standstill notices that this process stood still.
	standstill standstill
}

// serviceBudget is the budget of one service.
type serviceBudget struct {
	limiter *retry.AttemptLimiter
	// allowed, refused and released count the decisions, and the attempts that were
	// allowed and not made.
	allowed, refused, released metrics.Counter
	// unanswered counts the attempts that ended before the server had answered, and
	// unansweredPending those since the last log line.
	unanswered        metrics.Counter
	unansweredPending int
	// pending counts the decisions since the last log line, at loggedAt if there was one.
	pending  map[attemptKind]*decisionCount
	logged   bool
	loggedAt time.Duration
}

type decisionCount struct{ allowed, refused int }

func newRetryBudgets(startedAt time.Duration) *retryBudgets {
	return &retryBudgets{
		services:       make(map[string]*serviceBudget),
		startedAt:      startedAt,
		firstProcess:   func() bool { return false },
		now:            boottime.Now,
		inTransitGauge: metrics.GetOrRegisterGauge("gateway.attempts_in_transit", nil),
	}
}

func (b *retryBudgets) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.transit.Len() > 0 {
		b.spendArrived(b.transit.Expire(time.Now()))
	}
	now := b.now()
	b.look(now)
	if b.standstill.backlog(now) {
		// Operators count it when it was sent, in a window that has passed.
		return
	}
	b.service(service).limiter.CountRequest(now, b.gateways())
}

// ObserveClock notices that the process stood still. It must be called every ClockInterval.
func (g *Gateway) ObserveClock(time.Time) {
	b := g.retryBudgets
	b.mu.Lock()
	defer b.mu.Unlock()
	b.look(b.now())
}

// look records a look at the clock. b.mu must be held.
func (b *retryBudgets) look(now time.Duration) {
	if stood := b.standstill.look(now); stood > 0 {
		log.WithField("stood_ms", stood.Milliseconds()).Info("process stood still")
	}
}

// hold reports whether the budget of a service allows one more extra attempt, and holds a
// part of it if so.
func (b *retryBudgets) hold(service string, kind attemptKind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := b.service(service)
	d := s.limiter.Hold(now, b.gateways())
	s.count(kind, d.Allowed)
	b.logDecisions(service, s, now, d)
	return d.Allowed
}

// spend counts an extra attempt for which a part of the budget is held.
func (b *retryBudgets) spend(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(service).limiter.Spend(b.now())
}

// addTransit adds the unanswered attempts of a request that has ended. Parts of the budget are
// held for the extra ones among them.
func (b *retryBudgets) addTransit(service string, extra int, attempts []retry.Unanswered) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.transit.Add(service, extra, attempts)
	b.publishTransit()
}

// observe processes that a server has responded: what was on its way to it has arrived.
func (b *retryBudgets) observe(info direct.ResponseInfo) {
	if b.inTransit.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spendArrived(b.transit.Answered(info.Server.Address, info.Sent))
}

// spendArrived counts extra attempts that have arrived, one for each entry of services. b.mu
// must be held.
func (b *retryBudgets) spendArrived(services []string) {
	for _, service := range services {
		b.service(service).limiter.Spend(b.now())
	}
	b.publishTransit()
}

// publishTransit publishes the number of attempts in transit. b.mu must be held.
func (b *retryBudgets) publishTransit() {
	b.inTransit.Store(int32(b.transit.Len()))
	b.inTransitGauge.Update(int64(b.transit.Len()))
}

// countUnanswered counts an attempt that ended before the server had answered.
func (b *retryBudgets) countUnanswered(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.unanswered.Inc(1)
	s.unansweredPending++
}

// release gives back a part of the budget that is held.
func (b *retryBudgets) release(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.limiter.Release()
	s.released.Inc(1)
}

func (s *serviceBudget) count(kind attemptKind, allowed bool) {
	if s.pending[kind] == nil {
		s.pending[kind] = &decisionCount{}
	}
	if allowed {
		s.allowed.Inc(1)
		s.pending[kind].allowed++
		return
	}
	s.refused.Inc(1)
	s.pending[kind].refused++
}

// logDecisions logs the decisions since the last line, with the inputs of the last one.
func (b *retryBudgets) logDecisions(service string, s *serviceBudget, now time.Duration, d retry.Decision) {
	if s.logged && now-s.loggedAt < retryLogInterval {
		return
	}
	fields := log.Fields{
		"service": service, "requests": d.Requests, "extra": d.Extra, "held": d.Held, "slack": d.Slack, "excess": d.Excess, "gateways": d.Gateways,
		"started_ms": (now - b.startedAt).Milliseconds(), "first_process": b.firstProcess(), "unanswered": s.unansweredPending,
	}
	for kind, n := range s.pending {
		fields[string(kind)+"_allowed"], fields[string(kind)+"_refused"] = n.allowed, n.refused
	}
	s.pending, s.unansweredPending = make(map[attemptKind]*decisionCount), 0
	s.logged, s.loggedAt = true, now
	log.WithFields(fields).Info("retry budget")
}

// service returns the budget of a service, with the limit of the current settings.
func (b *retryBudgets) service(name string) *serviceBudget {
	s, ok := b.services[name]
	if !ok {
		s = &serviceBudget{
			limiter:    retry.NewAttemptLimiter(b.limit(), b.startedAt),
			allowed:    metrics.GetOrRegisterCounter("gateway.retries_allowed_"+name, nil),
			refused:    metrics.GetOrRegisterCounter("gateway.retries_refused_"+name, nil),
			released:   metrics.GetOrRegisterCounter("gateway.retries_released_"+name, nil),
			unanswered: metrics.GetOrRegisterCounter("gateway.attempts_unanswered_"+name, nil),
			pending:    make(map[attemptKind]*decisionCount),
		}
		b.services[name] = s
	}
	s.limiter.SetLimit(b.now(), b.limit())
	if b.firstProcess() {
		s.limiter.SetFirst()
	}
	return s
}

// limit returns the limit that the deployment settings have now.
func (b *retryBudgets) limit() retry.AttemptLimit {
	bounds := b.bounds()
	return retry.AttemptLimit{
		Share:  bounds.RetryShare * retryBudgetFraction,
		Slack:  bounds.RetrySlack * retryBudgetFraction,
		Window: bounds.RetryWindow,
	}
}

// RetryBudgetDump is the retry budget of a service in the window until now.
type RetryBudgetDump struct {
	Service string `json:"service"`
	// Requests and Extra count the requests and their extra attempts, Held the attempts
	// that are allowed and have not ended. Slack is this gateway's part of what is allowed
	// in addition to the share of the requests, and Excess what is used of it.
	Requests float64 `json:"requests"`
	Extra    float64 `json:"extra"`
	Held     float64 `json:"held"`
	Slack    float64 `json:"slack"`
	Excess   float64 `json:"excess"`
}

func (b *retryBudgets) dump() []RetryBudgetDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []RetryBudgetDump
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		d := b.services[name].limiter.State(b.now(), b.gateways())
		all = append(all, RetryBudgetDump{Service: name, Requests: d.Requests, Extra: d.Extra, Held: d.Held, Slack: d.Slack, Excess: d.Excess})
	}
	return all
}
