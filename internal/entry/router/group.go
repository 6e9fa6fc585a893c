package router

import (
	"math/rand/v2"
	"strings"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// maxGroups bounds the number of groups. At the limit all are discarded and
	// created again on use.
	maxGroups = 64
	// serviceRetryFloor is the number of calls of an idle plain service that may
	// be retried per retry.Config.Hold; its work is counted in calls.
	serviceRetryFloor = 4
	// maxGossipAccounts is the number of accounts per group announced to other
	// entries.
	maxGossipAccounts = 8
	// gossipWindow is the interval between announcements, and the window over
	// which the announced usage is counted.
	gossipWindow = time.Second
)

// groupKey identifies a set of interchangeable backend servers. The model is
// empty for a plain service.
type groupKey struct{ service, model string }

func (r *Request) group() groupKey { return groupKey{service: r.Service, model: r.Model} }

// accountName returns the name of a caller's account in the group, as gossiped.
func (k groupKey) accountName(caller string) string {
	return k.service + "\n" + k.model + "\n" + caller
}

// parseAccountName is the inverse of accountName.
func parseAccountName(name string) (key groupKey, caller string, ok bool) {
	parts := strings.SplitN(name, "\n", 3)
	if len(parts) != 3 {
		return groupKey{}, "", false
	}
	return groupKey{service: parts[0], model: parts[1]}, parts[2], true
}

// group holds the admission, retry and outlier-detection state of one service
// or model.
type group struct {
	admitter    *admit.Admitter
	demandMeter *shift.DemandMeter
	// retryShare is the limit of budget: the work of retries as a fraction of the
	// work that succeeded.
	retryShare float64
	budget     *retry.Budget
	// accountLimit is the limit of each account in cost tokens per second, 0 for
	// none; policies holds the accounts that it has been applied to.
	accountLimit float64
	policies     map[string]admit.AccountPolicy
	outliers     map[route.Role]*outlier.Detector
}

func newGroup(rng *rand.Rand) *group {
	return &group{
		admitter:    admit.New(admit.Config{Rand: rng}),
		demandMeter: shift.NewDemandMeter(0),
		outliers:    map[route.Role]*outlier.Detector{},
	}
}

// outlierDetector returns the detector for work of the given role. Prefill and
// decode times of one server are compared separately.
func (g *group) outlierDetector(role route.Role) *outlier.Detector {
	d, ok := g.outliers[role]
	if !ok {
		d = outlier.New(outlier.Config{})
		g.outliers[role] = d
	}
	return d
}

// configure applies the retry share and account limit of the fleet
// configuration. A changed value resets the budget or the policies.
func (g *group) configure(key groupKey, share, limit float64) {
	if g.budget == nil || share != g.retryShare {
		g.retryShare = share
		g.budget = newBudget(key, share)
	}
	if g.policies == nil || limit != g.accountLimit {
		g.accountLimit = limit
		g.policies = map[string]admit.AccountPolicy{}
		g.admitter.SetPolicies(g.policies)
	}
}

func newBudget(key groupKey, share float64) *retry.Budget {
	config := retry.Config{Share: share}
	if key.model == "" {
		config.Floor = serviceRetryFloor
	}
	return retry.New(config)
}

func (s *state) group(key groupKey) *group {
	if g, ok := s.groups[key]; ok {
		return g
	}
	if len(s.groups) >= maxGroups {
		clear(s.groups)
	}
	g := newGroup(s.rng)
	s.configureGroup(key, g, s.config.Now())
	s.groups[key] = g
	return g
}

func (s *state) configureGroup(key groupKey, g *group, now time.Time) {
	values := s.view.ConfigValues(key.service, key.model, now)
	share, limit := 0.0, 0.0
	if values.RetryShare != nil {
		share = *values.RetryShare
	}
	if values.AccountTokensPerSecond != nil {
		limit = float64(*values.AccountTokensPerSecond)
	}
	g.configure(key, share, limit)
}

// heaviestAccounts returns the usage and demand to announce to other entries.
// Accounts with little usage are left out: they do not affect any limit.
func (s *state) heaviestAccounts(now time.Time) *wire.Accounts {
	accounts := &wire.Accounts{WindowMs: uint32(gossipWindow.Milliseconds())}
	for key, g := range s.groups {
		for _, u := range g.admitter.HeaviestAccounts(now, maxGossipAccounts) {
			accounts.Usage = append(accounts.Usage, &wire.Accounts_Usage{
				Caller: key.accountName(u.Caller),
				Tokens: uint64(u.Rate * gossipWindow.Seconds()),
			})
		}
	}
	accounts.Demand = s.gossipDemand(now)
	return accounts
}

// mergePeerAccounts applies the usage and demand announced by another entry.
func (s *state) mergePeerAccounts(now time.Time, p member.PeerUsage) {
	s.setRemoteDemand(now, p)
	window := time.Duration(p.Accounts.GetWindowMs()) * time.Millisecond
	if window <= 0 {
		return
	}
	usages := map[groupKey][]admit.Usage{}
	for _, u := range p.Accounts.GetUsage() {
		if key, caller, ok := parseAccountName(u.GetCaller()); ok {
			rate := float64(u.GetTokens()) / window.Seconds()
			usages[key] = append(usages[key], admit.Usage{Caller: caller, Rate: rate})
		}
	}
	for key, u := range usages {
		if g, ok := s.groups[key]; ok {
			g.admitter.SetRemoteUsage(now, p.Process, u)
		}
	}
}
