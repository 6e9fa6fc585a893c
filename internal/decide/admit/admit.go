// Package admit implements admission control at an entry.
//
// It guards against two failures. In a burst or under lasting saturation, every request
// would join a queue that is longer than its deadline, engines would spend their time on
// answers that come too late, and goodput would fall to almost nothing at full utilization:
// requests that cannot meet their deadline are therefore rejected immediately, with a
// Retry-After derived from the drain rate. If a few callers send most of the load, all
// others would wait behind them: under saturation each caller is limited to its weighted
// max-min fair share. Shares are in token cost, not in requests, because one long prompt
// costs as much as a hundred short ones.
package admit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
)

const (
	// DefaultSaturationDelay is the minimum queue delay from which callers are limited to
	// their shares. It is half of the TTFT objective of 0.9 s: a lower value rejects work
	// that fits, a higher one spends the whole objective on queueing.
	DefaultSaturationDelay = 450 * time.Millisecond
	// DefaultSlackFraction is the fraction of a request's slack (deadline minus run time)
	// that a caller above its share may spend queued. The rest keeps the queue short enough
	// for callers below theirs.
	DefaultSlackFraction = 0.25
	// DefaultWindow is the time constant of a caller's rate. It is shorter than the changes
	// in the traffic mix (minutes) and longer than the gaps between the requests of an
	// active caller (seconds).
	DefaultWindow = fairshare.DefaultWindow
	// DefaultMaxAccounts is the maximum number of accounts tracked.
	DefaultMaxAccounts = 9_600
	// DefaultRemoteTTL is how long usage received by gossip counts without renewal: a few
	// gossip rounds of 1 s.
	DefaultRemoteTTL = 5 * time.Second
	// DefaultMaxRemoteEntries and DefaultMaxRemoteAccounts bound the memory for usage
	// received by gossip.
	DefaultMaxRemoteEntries  = 512
	DefaultMaxRemoteAccounts = 32

	// meanCostGain is the weight of one request in the moving average of the cost.
	meanCostGain = 0.02
	// fairShareInterval, per thousand accounts, is the minimum time between computations of
	// the fair share, which take about 0.1 ms per thousand accounts.
	fairShareInterval = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound Retry-After, before jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter is the maximum jitter as a fraction of Retry-After. It only lengthens it.
	// Without it, callers that were rejected together would retry together.
	retryJitter = 0.5
)

// Config configures an Admitter. A zero field means its default.
type Config struct {
	// Rand is the source of the Retry-After jitter; nil means no jitter.
	Rand            *rand.Rand
	SaturationDelay time.Duration
	SlackFraction   float64
	Window          time.Duration
	// MaxAccounts is the maximum number of accounts tracked. Further callers share one.
	MaxAccounts       int
	RemoteTTL         time.Duration
	MaxRemoteEntries  int
	MaxRemoteAccounts int
	// Policies holds the accounts that differ from the default of weight 1 and no limit.
	Policies map[string]AccountPolicy
}

// AccountPolicy is what an operator sets for one account.
type AccountPolicy struct {
	// Weight scales the account's share; 0 means 1.
	Weight float64
	// Limit, in cost tokens per second over all entries, applies also without saturation; 0
	// means none.
	Limit float64
}

// Request is what admission control needs to know about a request.
type Request struct {
	Caller string
	// CostTokens is the cost in prompt-token equivalents.
	CostTokens int
	// Deadline is the time that remains.
	Deadline time.Duration
	// RunTime is the expected run time without queueing; 0 if unknown.
	RunTime time.Duration
	Class   int
	Service string
}

// LoadSnapshot is the entry's view of the backend servers of the service.
type LoadSnapshot struct {
	// QueueDelay is the expected queue delay of a request at the end of the queue.
	QueueDelay time.Duration
	// DrainRate is the measured rate, in cost tokens per second, at which the saturated
	// fleet completes work.
	DrainRate float64
	// EntryShare is this entry's fraction of the load, in (0, 1]; 0 means 1.
	EntryShare float64
	// NoCapacity is set if no backend server currently admits requests for the service.
	NoCapacity bool
}

// Reason is the reason for a rejection.
type Reason uint8

// The reasons.
const (
	// Admitted means that the request was not rejected.
	Admitted Reason = iota
	// PastDeadline means that the request cannot finish by its deadline.
	PastDeadline
	// OverShare means that the fleet is saturated and the caller is above its share.
	OverShare
	// OverLimit means that the account is above the limit set by operators.
	OverLimit
	// NoCapacity means that no backend server admits requests for the service.
	NoCapacity
)

func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case PastDeadline:
		return "cannot meet the deadline"
	case OverShare:
		return "caller above its share of a saturated fleet"
	case OverLimit:
		return "caller above its limit"
	default:
		return "no backend server admits this service"
	}
}

// Decision is the result for one request.
type Decision struct {
	Admit bool
	// RetryAfter is set if the request is rejected.
	RetryAfter time.Duration
	Reason     Reason
	// EntitledFraction is the fraction of the caller's offered load that counts as demand,
	// in (0, 1]; see maxEntitledShares. Demand reported to the planner is multiplied by it:
	// roles planned for work that fairness rejects would not fit the admitted work.
	EntitledFraction float64
}

// Usage is the load of one account at one entry, as exchanged by gossip.
type Usage struct {
	Caller string
	// Rate is the offered load in cost tokens per second.
	Rate float64
}

// Admitter decides at one entry for one service or model. Shares are shares of the backend
// servers that its requests have in common. It is not safe for concurrent use.
type Admitter struct {
	cfg      Config
	accounts map[string]*account
	remote   *remoteUsage
	// fairShare is the fair share per unit of weight, in cost tokens per second.
	fairShare   float64
	fairShareAt time.Time
	// roundCost is the cost of one round of fair queueing: at most one request of mean cost
	// for each account with outstanding work.
	roundCost float64
	// meanCost is a moving average of the cost of a request.
	meanCost float64
}

// account holds sums of cost that decay with the window; a sum divided by the window is a
// rate.
type account struct {
	offered, admitted float64
	outstanding       float64
	updatedAt         time.Time
}

// New returns an Admitter without accounts.
func New(cfg Config) *Admitter {
	cfg.SaturationDelay = cmp.Or(cfg.SaturationDelay, DefaultSaturationDelay)
	cfg.SlackFraction = cmp.Or(cfg.SlackFraction, DefaultSlackFraction)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.MaxAccounts = cmp.Or(cfg.MaxAccounts, DefaultMaxAccounts)
	cfg.RemoteTTL = cmp.Or(cfg.RemoteTTL, DefaultRemoteTTL)
	cfg.MaxRemoteEntries = cmp.Or(cfg.MaxRemoteEntries, DefaultMaxRemoteEntries)
	cfg.MaxRemoteAccounts = cmp.Or(cfg.MaxRemoteAccounts, DefaultMaxRemoteAccounts)
	return &Admitter{
		cfg:       cfg,
		accounts:  make(map[string]*account),
		remote:    newRemoteUsage(cfg),
		fairShare: math.Inf(1),
	}
}

// SetPolicies replaces the account policies after a configuration change.
func (a *Admitter) SetPolicies(policies map[string]AccountPolicy) { a.cfg.Policies = policies }

// Decide admits or rejects r. Finished must be called for each admitted request, whatever
// its outcome.
func (a *Admitter) Decide(now time.Time, r Request, load LoadSnapshot) Decision {
	acc := a.account(now, r.Caller)
	cost := float64(max(1, r.CostTokens))
	acc.offered += cost
	a.meanCost = cmp.Or(a.meanCost, cost)
	a.meanCost += meanCostGain * (cost - a.meanCost)
	a.updateFairShare(now, load)
	entitled := a.entitledFraction(acc, r.Caller)
	if d := a.rejection(now, acc, r, load); d.Reason != Admitted {
		d.EntitledFraction = entitled
		return d
	}
	acc.admitted += cost
	acc.outstanding += cost
	return Decision{Admit: true, EntitledFraction: entitled}
}

// maxEntitledShares is the number of fair shares up to which a caller's offered load counts
// as demand. With 1, admission would hide a lack of capacity from the planner; without a
// bound, roles would be planned for work that fairness then rejects.
const maxEntitledShares = 2

func (a *Admitter) entitledFraction(acc *account, caller string) float64 {
	offered := a.rate(acc.offered) + a.remote.rate(caller)
	return min(1, maxEntitledShares*a.fairShare*a.weight(caller)/max(1, offered))
}

// Finished records that an admitted request finished, with any outcome.
func (a *Admitter) Finished(now time.Time, caller string, costTokens int) {
	acc := a.account(now, caller)
	acc.outstanding = max(0, acc.outstanding-float64(max(1, costTokens)))
}

func (a *Admitter) rejection(now time.Time, acc *account, r Request, load LoadSnapshot) Decision {
	if load.NoCapacity {
		return a.reject(NoCapacity, load.QueueDelay)
	}
	rate := a.rate(acc.admitted) + a.remote.rate(r.Caller)
	if limit := a.cfg.Policies[r.Caller].Limit; limit > 0 && rate > limit {
		return a.reject(OverLimit, fairshare.DecayTime(rate, limit, a.cfg.Window, maxRetryAfter))
	}
	delay := load.QueueDelay
	if a.underShare(acc, r) {
		delay = min(delay, a.fairQueueDelay(acc, r, load))
	} else if share := a.admittedRateLimit(r, load); rate > share {
		return a.reject(OverShare, fairshare.DecayTime(rate, share, a.cfg.Window, maxRetryAfter))
	}
	if late := delay + r.RunTime - r.Deadline; late > 0 {
		return a.reject(PastDeadline, late)
	}
	return Decision{}
}

// underShare reports whether what the caller offered before r is within its fair share.
// Such a caller is never rejected because of the load of others, and r alone, however long,
// puts no caller above its share.
func (a *Admitter) underShare(acc *account, r Request) bool {
	before := acc.offered - float64(max(1, r.CostTokens))
	return a.rate(before)+a.remote.rate(r.Caller) <= a.fairShare*a.weight(r.Caller)
}

// admittedRateLimit returns the admitted rate from which a caller above its share is
// rejected: infinite while the queue is short, then its fair share, reduced in proportion
// as the queue delay grows. Otherwise an overestimated drain rate would let heavy callers
// fill the queue up to everyone's deadline.
func (a *Admitter) admittedRateLimit(r Request, load LoadSnapshot) float64 {
	slack := time.Duration(a.cfg.SlackFraction * float64(r.Deadline-r.RunTime))
	limit := max(a.cfg.SaturationDelay, slack)
	if load.QueueDelay <= limit {
		return math.Inf(1)
	}
	return a.fairShare * a.weight(r.Caller) * float64(limit) / float64(load.QueueDelay)
}

// fairQueueDelay returns the queue delay of a caller below its share. Fair queueing serves
// it in turn with the other callers that have outstanding work, however much heavy callers
// have queued: it waits for its own outstanding work and one round.
func (a *Admitter) fairQueueDelay(acc *account, r Request, load LoadSnapshot) time.Duration {
	if load.DrainRate <= 0 {
		return load.QueueDelay
	}
	guaranteed := max(1, min(a.fairShare, load.DrainRate)*a.weight(r.Caller))
	others := a.roundCost - min(acc.outstanding, a.meanCost)
	seconds := acc.outstanding/guaranteed + max(0, others)/(load.DrainRate*cmp.Or(load.EntryShare, 1))
	return time.Duration(min(seconds, maxFairQueueDelay.Seconds()) * float64(time.Second))
}

// maxFairQueueDelay prevents an overflow of Duration at drain rates close to zero.
const maxFairQueueDelay = time.Hour

func (a *Admitter) reject(reason Reason, after time.Duration) Decision {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	if a.cfg.Rand != nil {
		after += time.Duration(retryJitter * a.cfg.Rand.Float64() * float64(after))
	}
	return Decision{RetryAfter: after, Reason: reason}
}

func (a *Admitter) weight(caller string) float64 {
	if w := a.cfg.Policies[caller].Weight; w > 0 {
		return w
	}
	return 1
}

func (a *Admitter) rate(sum float64) float64 { return sum / a.cfg.Window.Seconds() }

// updateFairShare computes the max-min fair share: the value at which the callers' offered
// rates, each capped at fairShare x weight, add up to the drain rate.
func (a *Admitter) updateFairShare(now time.Time, load LoadSnapshot) {
	period := fairShareInterval * time.Duration(1+len(a.accounts)/1_000)
	if now.Sub(a.fairShareAt) < period {
		return
	}
	a.fairShareAt = now
	a.remote.expire(now)
	demands := a.demands(now)
	if load.DrainRate <= 0 {
		a.fairShare = math.Inf(1) // No report received yet.
		return
	}
	a.fairShare = fairshare.MaxMin(load.DrainRate, demands)
}

func (a *Admitter) demands(now time.Time) []fairshare.Demand {
	demands := make([]fairshare.Demand, 0, len(a.accounts))
	a.roundCost = 0
	for caller, acc := range a.accounts {
		acc.decay(now, a.cfg.Window)
		if acc.offered < 1 && acc.outstanding == 0 {
			delete(a.accounts, caller)
			continue
		}
		// Rounded up to whole tokens: their sum does not depend on the map's order.
		a.roundCost += min(acc.outstanding, math.Ceil(a.meanCost))
		rate := a.rate(acc.offered) + a.remote.rate(caller)
		demands = append(demands, fairshare.Demand{Rate: rate, Weight: a.weight(caller)})
	}
	for caller, rate := range a.remote.totals {
		if _, ok := a.accounts[caller]; !ok {
			demands = append(demands, fairshare.Demand{Rate: rate, Weight: a.weight(caller)})
		}
	}
	return demands
}

// HeaviestAccounts returns the n accounts with the highest offered load at this entry,
// heaviest first.
func (a *Admitter) HeaviestAccounts(now time.Time, n int) []Usage {
	usages := make([]Usage, 0, len(a.accounts))
	for caller, acc := range a.accounts {
		acc.decay(now, a.cfg.Window)
		usages = append(usages, Usage{Caller: caller, Rate: a.rate(acc.offered)})
	}
	slices.SortFunc(usages, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Caller, y.Caller))
	})
	return usages[:min(n, len(usages))]
}

// SetRemoteUsage replaces what another entry reported as its heaviest accounts.
func (a *Admitter) SetRemoteUsage(now time.Time, entry string, usages []Usage) {
	a.remote.set(now, entry, usages)
}

// overflowAccount is the account that further callers share once the table is full.
const overflowAccount = ""

func (a *Admitter) account(now time.Time, caller string) *account {
	acc, ok := a.accounts[caller]
	if !ok && len(a.accounts) >= a.cfg.MaxAccounts {
		caller = overflowAccount
		acc, ok = a.accounts[caller]
	}
	if !ok {
		acc = &account{updatedAt: now}
		a.accounts[caller] = acc
	}
	acc.decay(now, a.cfg.Window)
	return acc
}

func (acc *account) decay(now time.Time, window time.Duration) {
	dt := now.Sub(acc.updatedAt)
	if dt <= 0 {
		return
	}
	acc.updatedAt = now
	factor := fairshare.DecayFactor(dt, window)
	acc.offered *= factor
	acc.admitted *= factor
}
