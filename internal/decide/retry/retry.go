// Package retry decides whether a failed attempt may be retried.
//
// It guards against retry storms. When many backend servers fail or reject requests at the
// same time, retrying each failed attempt adds to the load that caused the failures, and a
// fleet that could serve 90% of its load serves almost nothing. Symptom: the number of
// attempts rises while that of answers falls. A Budget limits retried work to a fraction of
// the work that succeeded, so that retries stop when successes do.
//
// The verdict has precedence: a request that may have run and is not idempotent is never
// retried, whatever the budget. Only the entry retries; if sidecars did as well, the two
// shares would multiply.
package retry

import (
	"cmp"
	"time"
)

const (
	// DefaultShare is the amount of work that may be retried per unit of work that
	// succeeded. The fleet has no spare engines, so retries reduce goodput: 5% covers
	// everyday restarts and rejections and is well below MaxShare.
	DefaultShare = 0.05
	// MaxShare is the upper limit of a configured share: retries never exceed a tenth of
	// the work.
	MaxShare = 0.1
	// DefaultDecayTime is the time constant with which the credit of successes decays. With
	// a longer one, credit from before a failure storm would feed retries during it.
	DefaultDecayTime = 10 * time.Second
	// DefaultFloor is the work, in tokens, that a Budget may retry per decay time without
	// any success: one ordinary prompt, so that an idle entry can still retry its only
	// request.
	DefaultFloor = 4_000
)

// Config configures a Budget. A zero field means its default.
type Config struct {
	// Share is the retried work per unit of work that succeeded, in (0, MaxShare]; larger
	// values are reduced to MaxShare.
	Share     float64
	DecayTime time.Duration
	// Floor is in tokens per DecayTime.
	Floor float64
}

// Attempt describes a failed attempt.
type Attempt struct {
	// NotRun is set if the attempt certainly did not run.
	NotRun bool
	// Idempotent is set if running the request twice does no harm.
	Idempotent bool
	// CostTokens is the cost of another attempt.
	CostTokens int
	// Remaining is the time until the request's deadline, RunTime the expected time of
	// another attempt.
	Remaining, RunTime time.Duration
}

// Budget is the retry budget of one entry.
type Budget struct {
	cfg Config
	// tokens is the work that may be retried now. It decays, so that old successes stop
	// counting.
	tokens    float64
	updatedAt time.Time
}

// New returns a Budget that starts at its floor.
func New(cfg Config) *Budget {
	cfg.Share = min(MaxShare, cmp.Or(cfg.Share, DefaultShare))
	cfg.DecayTime = cmp.Or(cfg.DecayTime, DefaultDecayTime)
	cfg.Floor = cmp.Or(cfg.Floor, DefaultFloor)
	return &Budget{cfg: cfg, tokens: cfg.Floor}
}

// Succeeded adds credit for an answer that cost costTokens.
func (b *Budget) Succeeded(now time.Time, costTokens int) {
	b.advance(now)
	b.tokens += b.cfg.Share * float64(costTokens)
}

// Allow reports whether a may be retried, and deducts its cost if so.
func (b *Budget) Allow(now time.Time, a Attempt) bool {
	b.advance(now)
	if !a.NotRun && !a.Idempotent {
		return false
	}
	if a.RunTime > a.Remaining {
		return false
	}
	if float64(a.CostTokens) > b.tokens {
		return false
	}
	b.tokens -= float64(a.CostTokens)
	return true
}

// advance moves the balance towards the floor: credit above it decays, a deficit below it
// is refilled.
func (b *Budget) advance(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	dt := now.Sub(b.updatedAt)
	if dt <= 0 {
		return
	}
	b.updatedAt = now
	fraction := min(1, dt.Seconds()/b.cfg.DecayTime.Seconds())
	b.tokens += (b.cfg.Floor - b.tokens) * fraction
}
