// Package admit decides at an entry which requests are let in.
//
// It answers three patterns of load. A burst or lasting saturation: without
// it every request joins a queue that is longer than its deadline, engines
// spend their time on answers that come too late, and goodput falls to nearly
// nothing while all are busy; a request that cannot meet its deadline is
// therefore refused at once, with a Retry-After worked out from the drain
// rate. A few callers who take most of the load: without it everybody waits
// behind them; under saturation each caller is held to its weighted max-min
// share, in token cost and not in requests, because one long prompt costs as
// much as a hundred lookups.
package admit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultSaturation is the least queue wait from which callers are held to
	// their shares. Half of the 0.9 s that a first token may take: sooner would
	// turn work away that fits, later would spend the whole allowance on
	// waiting.
	DefaultSaturation = 450 * time.Millisecond
	// DefaultSlackPart is the part of a request's slack (its deadline less its
	// run time) that its caller may spend on waiting while above its share.
	// What is left keeps the queue short enough for callers under theirs.
	DefaultSlackPart = 0.25
	// DefaultWindow is the time constant of a caller's rate. Shorter than the
	// swings of the mix (minutes), longer than the gaps between the requests
	// of one active caller (seconds).
	DefaultWindow = 5 * time.Second
	// DefaultAccounts bounds the accounts tracked.
	DefaultAccounts = 9_600
	// DefaultRemoteTTL is how long a gossiped usage counts without renewal:
	// a few gossip rounds of a second.
	DefaultRemoteTTL = 5 * time.Second
	// DefaultRemoteEntries and DefaultRemoteAccounts bound what gossip may
	// make this entry remember.
	DefaultRemoteEntries  = 512
	DefaultRemoteAccounts = 32

	// meanCostWeight is the weight of one request in the mean cost.
	meanCostWeight = 0.02
	// levelPeriod, for each thousand accounts, bounds how often the fair share
	// is worked out anew: it costs about 0.1 ms a thousand accounts.
	levelPeriod = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter spreads Retry-After upwards, so that those refused together
	// do not come back together.
	retryJitter = 0.5
)

// Config sets an Admitter. The zero value of a field means its default.
type Config struct {
	// Rand spreads Retry-After; nil means no spread.
	Rand       *rand.Rand
	Saturation time.Duration
	SlackPart  float64
	Window     time.Duration
	// Accounts bounds the accounts tracked; what is beyond shares one.
	MaxAccounts    int
	RemoteTTL      time.Duration
	RemoteEntries  int
	RemoteAccounts int
	// Terms holds the accounts that differ from the default of weight 1 and
	// no limit.
	Policies map[string]AccountPolicy
}

// Terms is what an operator grants one account.
type AccountPolicy struct {
	// Weight scales the account's share; 0 means 1.
	Weight float64
	// Limit, in cost tokens a second over all entries, holds also without
	// saturation; 0 means none.
	Limit float64
}

// Request is what admission needs to know of a request.
type Request struct {
	Caller string
	// CostTokens is the work in prefill-token equivalents.
	CostTokens int
	// Deadline is the time that remains.
	Deadline time.Duration
	// RunTime is how long the work takes once started; 0 if not known.
	RunTime time.Duration
	Class   int
	Service string
}

// Picture is what the entry believes about the backend servers of the service.
type LoadSnapshot struct {
	// QueueWait is the expected wait of a request that queues behind all.
	QueueDelay time.Duration
	// DrainRate is the measured cost tokens a second that the fleet finishes
	// when it is busy.
	DrainRate float64
	// Part is this entry's part of the load, in (0, 1]; 0 means 1.
	EntryShare float64
	// Closed says that no backend server admits this service now.
	NoCapacity bool
}

// Reason says why a request was refused.
type Reason uint8

// The reasons.
const (
	// Admitted is no refusal.
	Admitted Reason = iota
	// PastDeadline: the work cannot be finished in time.
	PastDeadline
	// OverShare: the fleet is saturated and the caller is above its share.
	OverShare
	// OverLimit: the account is above the limit that operators set.
	OverLimit
	// NoCapacity: no backend server admits the service.
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

// Decision is the answer to one request.
type Decision struct {
	Admit bool
	// RetryAfter is set on a refusal.
	RetryAfter time.Duration
	Reason     Reason
	// Entitled is the part of what the caller offers that is within its share,
	// in (0, 1]. Demand for a planner is to count by it: roles set for work
	// that fairness turns away would be wrong for the work that is let in.
	EntitledFraction float64
}

// Usage is the work of one account at one entry, as gossiped.
type Usage struct {
	Caller string
	// Rate is in cost tokens offered per second.
	Rate float64
}

// Admitter decides at one entry for one service or model: shares are shares of
// the backend servers that the requests have in common. Its methods are for one
// goroutine.
type Admitter struct {
	cfg      Config
	accounts map[string]*account
	remote   *remote
	// level is the fair share per unit of weight, in tokens a second.
	level   float64
	leveled time.Time
	// turn is the work of one turn of fair queueing: a request's worth, or
	// less, of each account with work outstanding.
	turn float64
	// meanCost smooths the cost of a request.
	meanCost float64
}

// account sums decay with the window; sum divided by window is a rate.
type account struct {
	offered, admitted float64
	outstanding       float64
	at                time.Time
}

// New returns an Admitter.
func New(cfg Config) *Admitter {
	cfg.Saturation = cmp.Or(cfg.Saturation, DefaultSaturation)
	cfg.SlackPart = cmp.Or(cfg.SlackPart, DefaultSlackPart)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.MaxAccounts = cmp.Or(cfg.MaxAccounts, DefaultAccounts)
	cfg.RemoteTTL = cmp.Or(cfg.RemoteTTL, DefaultRemoteTTL)
	cfg.RemoteEntries = cmp.Or(cfg.RemoteEntries, DefaultRemoteEntries)
	cfg.RemoteAccounts = cmp.Or(cfg.RemoteAccounts, DefaultRemoteAccounts)
	return &Admitter{
		cfg:      cfg,
		accounts: make(map[string]*account),
		remote:   newRemote(cfg),
		level:    math.Inf(1),
	}
}

// SetTerms replaces the accounts' terms, after a change of configuration.
func (a *Admitter) SetPolicies(terms map[string]AccountPolicy) { a.cfg.Policies = terms }

// Decide admits or refuses r. An admitted request must be followed by
// Finished, whatever its outcome.
func (a *Admitter) Decide(now time.Time, r Request, p LoadSnapshot) Decision {
	acc := a.account(now, r.Caller)
	cost := float64(max(1, r.CostTokens))
	acc.offered += cost
	a.meanCost = cmp.Or(a.meanCost, cost)
	a.meanCost += meanCostWeight * (cost - a.meanCost)
	a.relevel(now, p)
	entitled := a.entitled(acc, r.Caller)
	if d := a.refusal(now, acc, r, p); d.Reason != Admitted {
		d.EntitledFraction = entitled
		return d
	}
	acc.admitted += cost
	acc.outstanding += cost
	return Decision{Admit: true, EntitledFraction: entitled}
}

// entitledShares is up to how many shares a caller's offer counts as demand.
// At one, what is let in hides what the fleet lacks; without bound, roles are
// set for work that fairness then turns away.
const entitledShares = 2

func (a *Admitter) entitled(acc *account, caller string) float64 {
	offered := a.rate(acc.offered) + a.remote.rate(caller)
	return min(1, entitledShares*a.level*a.weight(caller)/max(1, offered))
}

// Finished tells that an admitted request has ended, in any way.
func (a *Admitter) Finished(now time.Time, caller string, costTokens int) {
	acc := a.account(now, caller)
	acc.outstanding = max(0, acc.outstanding-float64(max(1, costTokens)))
}

func (a *Admitter) refusal(now time.Time, acc *account, r Request, p LoadSnapshot) Decision {
	if p.NoCapacity {
		return a.refuse(NoCapacity, p.QueueDelay)
	}
	rate := a.rate(acc.admitted) + a.remote.rate(r.Caller)
	if limit := a.cfg.Policies[r.Caller].Limit; limit > 0 && rate > limit {
		return a.refuse(OverLimit, a.decayTo(rate, limit))
	}
	wait := p.QueueDelay
	if a.underShare(acc, r) {
		wait = min(wait, a.ownWait(acc, r, p))
	} else if share := a.share(r, p); rate > share {
		return a.refuse(OverShare, a.decayTo(rate, share))
	}
	if late := wait + r.RunTime - r.Deadline; late > 0 {
		return a.refuse(PastDeadline, late)
	}
	return Decision{}
}

// underShare says that all that the caller has offered before r is within its
// fair share. Such a caller is never refused for what others offer, and r
// alone, however long, puts nobody above its share.
func (a *Admitter) underShare(acc *account, r Request) bool {
	before := acc.offered - float64(max(1, r.CostTokens))
	return a.rate(before)+a.remote.rate(r.Caller) <= a.level*a.weight(r.Caller)
}

// share is the rate up to which a caller above its share is let in: without
// bound while the queue is short, then its fair share, cut further the longer
// the queue is. A drain rate that is thought too high would otherwise let the
// heavy callers fill the queue up to everybody's deadline.
func (a *Admitter) share(r Request, p LoadSnapshot) float64 {
	slack := time.Duration(a.cfg.SlackPart * float64(r.Deadline-r.RunTime))
	limit := max(a.cfg.Saturation, slack)
	if p.QueueDelay <= limit {
		return math.Inf(1)
	}
	return a.level * a.weight(r.Caller) * float64(limit) / float64(p.QueueDelay)
}

// ownWait is the wait of a caller under its share. Fair queueing serves it in
// turn with the other callers that have work outstanding, however much the
// heavy ones have queued: it waits for its own work ahead and one turn.
func (a *Admitter) ownWait(acc *account, r Request, p LoadSnapshot) time.Duration {
	if p.DrainRate <= 0 {
		return p.QueueDelay
	}
	guaranteed := max(1, min(a.level, p.DrainRate)*a.weight(r.Caller))
	others := a.turn - min(acc.outstanding, a.meanCost)
	seconds := acc.outstanding/guaranteed + max(0, others)/(p.DrainRate*cmp.Or(p.EntryShare, 1))
	return time.Duration(min(seconds, maxOwnWait.Seconds()) * float64(time.Second))
}

// maxOwnWait keeps a drain rate near nothing from overflowing a Duration.
const maxOwnWait = time.Hour

func (a *Admitter) refuse(reason Reason, after time.Duration) Decision {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	if a.cfg.Rand != nil {
		after += time.Duration(retryJitter * a.cfg.Rand.Float64() * float64(after))
	}
	return Decision{RetryAfter: after, Reason: reason}
}

// decayTo is how long a rate takes to decay to the target.
func (a *Admitter) decayTo(rate, target float64) time.Duration {
	if target <= 0 {
		return maxRetryAfter
	}
	return time.Duration(math.Log(rate/target) * float64(a.cfg.Window))
}

func (a *Admitter) weight(caller string) float64 {
	if w := a.cfg.Policies[caller].Weight; w > 0 {
		return w
	}
	return 1
}

func (a *Admitter) rate(sum float64) float64 { return sum / a.cfg.Window.Seconds() }

// relevel works out the max-min fair share: the level at which the callers'
// offered rates, each cut at level x weight, add up to the drain rate.
func (a *Admitter) relevel(now time.Time, p LoadSnapshot) {
	period := levelPeriod * time.Duration(1+len(a.accounts)/1_000)
	if now.Sub(a.leveled) < period {
		return
	}
	a.leveled = now
	a.remote.expire(now)
	demands := a.demands(now)
	if p.DrainRate <= 0 {
		a.level = math.Inf(1) // Not known yet: no report has come.
		return
	}
	slices.SortFunc(demands, func(x, y demand) int {
		return cmp.Or(cmp.Compare(x.rate/x.weight, y.rate/y.weight), cmp.Compare(x.rate, y.rate))
	})
	left := p.DrainRate
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	a.level = math.Inf(1)
	for _, d := range demands {
		level := left / weights
		if d.rate/d.weight > level {
			a.level = level
			return
		}
		left -= d.rate
		weights -= d.weight
	}
}

type demand struct{ rate, weight float64 }

func (a *Admitter) demands(now time.Time) []demand {
	demands := make([]demand, 0, len(a.accounts))
	a.turn = 0
	for caller, acc := range a.accounts {
		acc.decay(now, a.cfg.Window)
		if acc.offered < 1 && acc.outstanding == 0 {
			delete(a.accounts, caller)
			continue
		}
		// Whole tokens add up to the same sum in any order of the map.
		a.turn += min(acc.outstanding, math.Ceil(a.meanCost))
		rate := a.rate(acc.offered) + a.remote.rate(caller)
		demands = append(demands, demand{rate: rate, weight: a.weight(caller)})
	}
	for caller, rate := range a.remote.totals {
		if _, ok := a.accounts[caller]; !ok {
			demands = append(demands, demand{rate: rate, weight: a.weight(caller)})
		}
	}
	return demands
}

// HeaviestAccounts returns the n accounts that offer most here, heaviest first.
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

// MergeRemote replaces what is known of another entry's heaviest accounts.
func (a *Admitter) SetRemoteUsage(now time.Time, entry string, usages []Usage) {
	a.remote.merge(now, entry, usages)
}

// overflow is the account that callers share once the table is full.
const overflow = ""

func (a *Admitter) account(now time.Time, caller string) *account {
	acc, ok := a.accounts[caller]
	if !ok && len(a.accounts) >= a.cfg.MaxAccounts {
		caller = overflow
		acc, ok = a.accounts[caller]
	}
	if !ok {
		acc = &account{at: now}
		a.accounts[caller] = acc
	}
	acc.decay(now, a.cfg.Window)
	return acc
}

func (acc *account) decay(now time.Time, window time.Duration) {
	dt := now.Sub(acc.at)
	if dt <= 0 {
		return
	}
	acc.at = now
	keep := math.Exp(-dt.Seconds() / window.Seconds())
	acc.offered *= keep
	acc.admitted *= keep
}
