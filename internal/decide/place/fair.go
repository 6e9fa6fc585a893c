package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

const (
	// minQueueFraction is the smallest fraction of the queue budget for which an account
	// above its share is admitted. With an empty queue as the condition, engines would be
	// idle between the end of a prefill and the next placement that reports it.
	minQueueFraction = 0.3
	// saturatedQueue is the fraction of the queue budget from which on engines count as
	// saturated. With 0.5, 9 in 100 requests of the largest account were rejected at a load
	// that can be served in time; with 0.75, 4 in 1,000. A still higher one lets the others
	// be rejected before the limits apply.
	saturatedQueue = 0.75
	// saturationTime is for how long accounts are limited after engines were saturated. The
	// limits are relaxed gradually in this time: they shorten the queues, so that saturation
	// does not show while they apply.
	saturationTime = 2 * time.Second
	// maxFreeEngines is the fraction of engines with a shorter queue from which on the
	// engines do not count as saturated: one of them has a queue because of what it has
	// cached.
	maxFreeEngines = 0.1
	// queueBudgetQuantile is the quantile of the requests' queue budgets that an account
	// above its share leaves to the others, so that its queue is short enough for requests
	// with tight objectives. A lower one would depend on few requests.
	queueBudgetQuantile = 0.1
	queueBudgetGain     = 0.05
	// priorOutputCost is the cost of an output token in prompt tokens until the times of
	// both are known, minOutputCost and maxOutputCost bound it.
	priorOutputCost              = 4
	minOutputCost, maxOutputCost = 0.25, 16
	// meanContextGain is the EWMA weight of a placement in the mean context.
	meanContextGain = 0.01
	// heaviestAccounts is how many accounts a summary has.
	heaviestAccounts = 5
)

// accountShares has what is known of the usage of client accounts.
type accountShares struct {
	*fairshare.Accounts
	// queueBudget is the queueBudgetQuantile of the queue delays with which requests would
	// just meet their objectives; 0 if unknown.
	queueBudget time.Duration
	// saturatedAt is when the engines were last saturated.
	saturatedAt time.Time
	// meanContext is the mean context of a placed request in tokens.
	meanContext float64
}

func newAccountShares() accountShares {
	return accountShares{Accounts: fairshare.NewAccounts(fairshare.Config{})}
}

// observeQueueBudget adds the queue delay with which a request would just be admitted.
func (s *accountShares) observeQueueBudget(budget time.Duration) {
	switch {
	case budget <= 0:
	case s.queueBudget == 0:
		s.queueBudget = budget
	case budget > s.queueBudget:
		s.queueBudget += scale(queueBudgetGain*queueBudgetQuantile, s.queueBudget)
	default:
		s.queueBudget -= scale(queueBudgetGain*(1-queueBudgetQuantile), s.queueBudget)
	}
}

// limitToShare rejects an admitted request of an account above its share while the engines
// are saturated.
//
// It guards against one account that sends more than the engines can prefill: the queues
// grow until requests of all accounts are rejected alike. An account above its share is
// admitted only with a shorter queue, which is the shorter the further it is above. So the
// queue settles where what the others leave is just used up by the heaviest accounts, and
// is too short for the others to be rejected. The accounts that are rejected first are those
// with the highest usage, so that usage converges to max-min shares.
func (f *Fleet) limitToShare(now time.Time, j Job, p Plan, c Constraints, a Admission) Admission {
	if j.Account == 0 || !p.Calibrated || c.Committed || c.Objective >= c.Remaining {
		return a
	}
	f.shares.observeQueueBudget(scale(admitObjectiveFraction, c.Objective) - (p.ExpectedTTFT() - p.QueueDelay))
	if f.shares.queueBudget == 0 {
		return a
	}
	if f.saturated(now, j, p, scale(saturatedQueue, f.shares.queueBudget)) {
		f.shares.saturatedAt = now
	}
	relaxed := float64(now.Sub(f.shares.saturatedAt)) / float64(saturationTime)
	if !a.Admit || relaxed >= 1 {
		return a
	}
	standing := f.shares.Standing(now, j.Account)
	if !standing.Over() {
		return a
	}
	fraction := max(minQueueFraction, standing.Share/standing.Rate)
	longest := scale(fraction+(1-fraction)*relaxed, f.shares.queueBudget)
	if !f.saturated(now, j, p, longest) {
		return a
	}
	latest := MaxRetryAfter(c.Remaining)
	return Admission{OverShare: true, Standing: standing, RetryAfter: max(minRetryAfter, f.shares.TimeToShare(standing, latest))}
}

// saturated reports whether the planned engine and almost all that could prefill a job
// instead have longer queues.
func (f *Fleet) saturated(now time.Time, j Job, p Plan, queue time.Duration) bool {
	prefillEngine, ok := f.engines[p.PrefillEngine]
	if !ok || p.QueueDelay <= queue {
		return false
	}
	usable, free := 0, 0
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if (e.Role == backend.Prefill) != (prefillEngine.Role == backend.Prefill) || !e.eligible(now, j, healthyInGroup) {
			continue
		}
		usable++
		if e.queueDelay(now) <= queue {
			free++
		}
	}
	return float64(free) <= maxFreeEngines*float64(usable)
}

// chargeAccount records the cost of a placement as usage of its account, and returns it.
func (f *Fleet) chargeAccount(now time.Time, p Placement, work predict.PrefillWork) float64 {
	if p.Account == 0 {
		return 0
	}
	f.shares.meanContext += meanContextGain * (float64(p.Prompt.Tokens) - f.shares.meanContext)
	output := max(0, p.Prompt.ExpectedOutputTokens-p.Prompt.DeliveredEvents)
	cost := work.Tokens + f.outputTokenCost()*float64(output)
	f.shares.Use(now, p.Account, cost)
	return cost
}

// completeWork records that the engines have completed a job's work, as far as it competes
// with that of others. The rate of this is the capacity that is divided into shares: in
// saturation the engines work at their limit, and otherwise there are no shares. All
// gateways announce the ends of prefills.
func (f *Fleet) completeWork(now time.Time, j *job) {
	if j.cost > 0 {
		f.shares.Complete(now, j.cost)
	}
}

// outputTokenCost returns the cost of an output token in prompt tokens: how many tokens an
// engine prefills in the time of a decode step with all slots taken, for each slot.
func (f *Fleet) outputTokenCost() float64 {
	prefill := f.prefillModels[backend.Prefill]
	if !prefill.Calibrated() {
		prefill = f.prefillModels[backend.Decode]
	}
	slots := 0
	if len(f.engineIDs) > 0 {
		slots = f.engines[f.engineIDs[0]].Slots
	}
	if slots == 0 || !prefill.Calibrated() || !f.interEventModel.Calibrated() {
		return priorOutputCost
	}
	step := f.interEventModel.InterEventTime(predict.DecodeBatch{PromptTokens: float64(slots) * f.shares.meanContext})
	cost := prefill.TokenRate() * predict.ToMillis(step) / float64(slots)
	return min(max(cost, minOutputCost), maxOutputCost)
}

// AccountUsage returns the usage of client accounts and their share.
func (f *Fleet) AccountUsage(now time.Time) fairshare.Summary {
	return f.shares.Summary(now, heaviestAccounts)
}
