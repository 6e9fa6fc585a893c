// Package retry decides whether a failed attempt may be made once more.
//
// It answers failure storms. When many backend servers fail or refuse at once,
// each failed attempt would otherwise be sent again, the retries would add to
// the load that caused the failures, and a fleet that could serve nine tenths of
// its load would serve nearly none; one notices by attempts rising while
// answers fall. A Budget stops that: retried work is bounded by a share of the
// work that succeeded, so retries die out when successes do.
//
// The verdict comes first: what may have run and is not idempotent is never
// sent again, whatever the budget holds. There is one layer of retries only,
// in the entry; a sidecar never retries, or the two shares would multiply.
package retry

import (
	"cmp"
	"time"
)

const (
	// DefaultShare is how much work may be retried for each unit of work that
	// succeeded. The fleet has no spare engine, so retries come out of goodput:
	// a twentieth covers the everyday restarts and refusals and stays well
	// under the tenth of the work that retries may never pass.
	DefaultShare = 0.05
	// MaxShare is the largest share that settings may ask for: retries are
	// never more than a tenth of the work.
	MaxShare = 0.1
	// DefaultHold is how long a success counts. Longer, and the calm before a
	// storm would pay for the storm.
	DefaultHold = 10 * time.Second
	// DefaultFloor is the work, in tokens, that a Budget may retry with no
	// success to pay for it, once per hold: one ordinary prompt, so that an
	// idle entry can still retry its only request.
	DefaultFloor = 4_000
)

// Config sets a Budget. The zero value of a field means its default.
type Config struct {
	// Share is retried work per work that succeeded, in (0, MaxShare]; more is
	// cut to that.
	Share float64
	Hold  time.Duration
	// Floor is in tokens per Hold.
	Floor float64
}

// Attempt describes the failed attempt.
type Attempt struct {
	// NotRun says that the attempt certainly did not run.
	NotRun bool
	// Idempotent says that running twice does no harm.
	Idempotent bool
	// CostTokens is the work of one more attempt.
	CostTokens int
	// Remaining is what is left of the request's deadline, and RunTime how
	// long another attempt is expected to take.
	Remaining, RunTime time.Duration
}

// Budget is the retry budget of one entry.
type Budget struct {
	cfg Config
	// tokens may be retried now; it decays, so that old successes stop paying.
	tokens float64
	at     time.Time
}

// New returns a Budget that holds its floor.
func New(cfg Config) *Budget {
	cfg.Share = min(MaxShare, cmp.Or(cfg.Share, DefaultShare))
	cfg.Hold = cmp.Or(cfg.Hold, DefaultHold)
	cfg.Floor = cmp.Or(cfg.Floor, DefaultFloor)
	return &Budget{cfg: cfg, tokens: cfg.Floor}
}

// Succeeded pays the budget for an answer that took costTokens of work.
func (b *Budget) Succeeded(now time.Time, costTokens int) {
	b.advance(now)
	b.tokens += b.cfg.Share * float64(costTokens)
}

// Allow reports whether a may be sent again, and takes its cost when it may.
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

// advance moves the balance towards the floor: what is above it decays, what
// is below it refills.
func (b *Budget) advance(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	dt := now.Sub(b.at)
	if dt <= 0 {
		return
	}
	b.at = now
	part := min(1, dt.Seconds()/b.cfg.Hold.Seconds())
	b.tokens += (b.cfg.Floor - b.tokens) * part
}
