package fairshare

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultWindow is the time constant of a rate: shorter than the changes in the mix of
	// traffic (minutes), longer than the gaps between the requests of an active account
	// (seconds).
	DefaultWindow = 5 * time.Second
	// DefaultMaxAccounts is the maximum number of accounts tracked: about 0.6 MB.
	DefaultMaxAccounts = 10_000

	// dividedFraction is the fraction of the capacity that is divided into shares. Rates are
	// of admitted work, which adds up to the capacity in saturation. With all of it divided,
	// the heaviest account would be exactly within its share however much it asks for.
	dividedFraction = 0.8
	// minCompletions is how many completed requests, decayed, are needed to know the
	// capacity. A gateway that has just started would compare accounts by a handful of
	// requests.
	minCompletions = 20
	// shareInterval, per thousand accounts, is the minimum time between computations of the
	// share.
	shareInterval = 200 * time.Millisecond
	// rescaleWindows is the number of windows after which sums are rescaled: they grow by a
	// factor of e with each.
	rescaleWindows = 20
	// minUsage, in tokens, is the usage below which an account is forgotten.
	minUsage = 1
	// maxNarrowings is how often accounts that are surely below the share are left out before
	// the others are sorted.
	maxNarrowings = 16
)

// AccountID is the hash by which gateways identify an account; 0 means none. Accounts with
// the same hash count as one.
type AccountID uint32

// AccountIDOf returns the hash of an account's name.
func AccountIDOf(name string) AccountID { return AccountID(max(1, uint32(xxhash.Sum64String(name)))) }

// String returns the hash in hexadecimal.
func (id AccountID) String() string { return strconv.FormatUint(uint64(id), 16) }

// Config configures Accounts. A zero field means its default.
type Config struct {
	Window time.Duration
	// MaxAccounts is the maximum number of accounts tracked. Further ones share one row.
	MaxAccounts int
	// Weights has the weights of the accounts whose weight is not 1.
	Weights map[AccountID]float64
}

// Accounts has the admitted usage of all accounts of a service, and their max-min share of
// the rate at which it completes work. It is not safe for concurrent use.
//
// Sums decay exponentially. They are stored multiplied by the growth since epoch, so that
// no pass over all accounts is needed to decay them.
type Accounts struct {
	cfg   Config
	index map[AccountID]int
	// rows has the accounts. The first row is shared by those that do not fit.
	rows  []row
	epoch time.Time
	// completed is the sum of completed work, completions the number of requests.
	completed, completions float64
	// share is the share per unit of weight, in tokens per second.
	share   float64
	shareAt time.Time
	demands []Demand
}

type row struct {
	account AccountID
	weight  float64
	// used is the sum of admitted work, largest the largest request in it.
	used, largest float64
}

// NewAccounts returns Accounts without usage.
func NewAccounts(c Config) *Accounts {
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.MaxAccounts = cmp.Or(c.MaxAccounts, DefaultMaxAccounts)
	return &Accounts{cfg: c, index: make(map[AccountID]int), rows: []row{{weight: 1}}, share: math.Inf(1)}
}

// Use records that a request of an account was admitted, here or at another gateway.
func (a *Accounts) Use(now time.Time, account AccountID, cost float64) {
	scaled := cost * a.growth(now)
	r := a.row(account)
	r.used += scaled
	r.largest = max(r.largest, scaled)
}

// Complete records that an engine completed the work of an admitted request.
func (a *Accounts) Complete(now time.Time, cost float64) {
	growth := a.growth(now)
	a.completed += cost * growth
	a.completions += growth
}

// Standing is the usage of an account compared with its share.
type Standing struct {
	// Rate is the admitted usage in tokens per second, without the largest request: one
	// large prompt alone puts no account above its share. Share is infinite while the
	// capacity is unknown.
	Rate, Share float64
}

// Over reports whether the account is above its share.
func (s Standing) Over() bool { return s.Rate > s.Share }

// Standing returns the usage and the share of an account.
func (a *Accounts) Standing(now time.Time, account AccountID) Standing {
	a.updateShare(now)
	i, ok := a.index[account]
	if !ok && len(a.rows) <= a.cfg.MaxAccounts {
		return Standing{Share: a.share * a.weight(account)}
	}
	r := &a.rows[i]
	return Standing{Rate: (r.used - r.largest) * a.perSecond(now), Share: a.share * r.weight}
}

// TimeToShare returns when an account will be back within its share if nothing of it is
// admitted until then.
func (a *Accounts) TimeToShare(s Standing, atMost time.Duration) time.Duration {
	return DecayTime(s.Rate, s.Share, a.cfg.Window, atMost)
}

// growth returns the factor by which an amount is multiplied when it is added.
func (a *Accounts) growth(now time.Time) float64 {
	if now.Sub(a.epoch) > rescaleWindows*a.cfg.Window {
		a.rescale(now)
	}
	return 1 / DecayFactor(now.Sub(a.epoch), a.cfg.Window)
}

// perSecond returns the factor from a sum to the current rate.
func (a *Accounts) perSecond(now time.Time) float64 {
	return 1 / (a.growth(now) * a.cfg.Window.Seconds())
}

// rescale makes now the epoch and forgets the accounts without usage.
func (a *Accounts) rescale(now time.Time) {
	factor := 0.0
	if !a.epoch.IsZero() {
		factor = DecayFactor(now.Sub(a.epoch), a.cfg.Window)
	}
	a.epoch = now
	a.completed *= factor
	a.completions *= factor
	remaining := a.rows[:1]
	clear(a.index)
	for i, r := range a.rows {
		r.used *= factor
		r.largest *= factor
		switch {
		case i == 0:
			a.rows[0] = r
		case r.used >= minUsage:
			a.index[r.account] = len(remaining)
			remaining = append(remaining, r)
		}
	}
	a.rows = remaining
}

func (a *Accounts) row(account AccountID) *row {
	i, ok := a.index[account]
	if !ok && len(a.rows) <= a.cfg.MaxAccounts {
		i = len(a.rows)
		a.rows = append(a.rows, row{account: account, weight: a.weight(account)})
		a.index[account] = i
	}
	return &a.rows[i]
}

func (a *Accounts) weight(account AccountID) float64 {
	if w := a.cfg.Weights[account]; w > 0 {
		return w
	}
	return 1
}

// updateShare computes the share, from time to time.
func (a *Accounts) updateShare(now time.Time) {
	if now.Sub(a.shareAt) < shareInterval*time.Duration(1+len(a.rows)/1_000) {
		return
	}
	a.shareAt = now
	if len(a.rows) > a.cfg.MaxAccounts && now.Sub(a.epoch) > a.cfg.Window {
		a.rescale(now)
	}
	if a.completions < minCompletions*a.growth(now) {
		a.share = math.Inf(1)
		return
	}
	a.share = a.maxMin(dividedFraction*a.completed) * a.perSecond(now)
}

// maxMin returns the max-min share of a capacity.
//
// An equal division among the accounts that are left is a lower bound of the share, so that
// those below it are met in full. Once none is, it is the share. A few passes take less
// time than sorting ten thousand accounts.
func (a *Accounts) maxMin(capacity float64) float64 {
	a.demands = a.demands[:0]
	weights := 0.0
	for _, r := range a.rows {
		if r.used > 0 {
			a.demands = append(a.demands, Demand{Rate: r.used, Weight: r.weight})
			weights += r.weight
		}
	}
	for range maxNarrowings {
		bound := capacity / weights
		left := a.demands[:0]
		for _, d := range a.demands {
			if d.Rate <= bound*d.Weight {
				capacity -= d.Rate
				weights -= d.Weight
				continue
			}
			left = append(left, d)
		}
		if len(left) == len(a.demands) && len(left) > 0 {
			return bound
		}
		a.demands = left
	}
	return MaxMin(capacity, a.demands)
}

// Usage is the usage of one account.
type Usage struct {
	Account AccountID
	Rate    float64
}

// Summary describes the usage of a service, for operators. Rates are in tokens per second.
type Summary struct {
	Accounts int
	// Capacity is the rate at which engines completed work, Share the share per unit of
	// weight, infinite while the capacity is unknown.
	Capacity, Share float64
	// Heaviest has the heaviest accounts, heaviest first.
	Heaviest []Usage
}

// Summary returns the current usage with the n heaviest accounts.
func (a *Accounts) Summary(now time.Time, n int) Summary {
	a.updateShare(now)
	perSecond := a.perSecond(now)
	s := Summary{Accounts: len(a.index), Capacity: a.completed * perSecond, Share: a.share}
	for _, r := range a.rows {
		if r.used >= minUsage*a.growth(now) {
			s.Heaviest = append(s.Heaviest, Usage{Account: r.account, Rate: r.used * perSecond})
		}
	}
	slices.SortFunc(s.Heaviest, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Account, y.Account))
	})
	s.Heaviest = s.Heaviest[:min(n, len(s.Heaviest))]
	return s
}
