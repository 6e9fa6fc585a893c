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
	// maxGroups bounds the services and models with a group of their own.
	maxGroups = 64
	// plainFloor is how many calls of an idle plain service may be retried
	// within the hold of the budget; its work is counted in calls.
	plainFloor = 4
	// gossipAccounts is how many accounts of a group are told to other entries.
	gossipAccounts = 8
	// gossipWindow is the window that the told usage counts for.
	gossipWindow = time.Second
)

// groupKey names the backend servers that can stand in for each other.
type groupKey struct{ service, model string }

func (r *Request) group() groupKey { return groupKey{service: r.Service, model: r.Model} }

// account names a caller's use of a group to other entries.
func (k groupKey) account(caller string) string {
	return k.service + "\n" + k.model + "\n" + caller
}

// parseAccount is the reverse of account.
func parseAccount(name string) (key groupKey, caller string, ok bool) {
	parts := strings.SplitN(name, "\n", 3)
	if len(parts) != 3 {
		return groupKey{}, "", false
	}
	return groupKey{service: parts[0], model: parts[1]}, parts[2], true
}

// group holds the decisions about one service or model.
type group struct {
	admitter *admit.Admitter
	meter    *shift.DemandMeter
	// share is the retry share of budget.
	share  float64
	budget *retry.Budget
	// limit is the cost tokens a second of one account, 0 without; terms holds
	// the accounts that were given it.
	limit    float64
	terms    map[string]admit.AccountPolicy
	outliers map[route.Role]*outlier.Detector
}

func newGroup(rng *rand.Rand) *group {
	return &group{
		admitter: admit.New(admit.Config{Rand: rng}),
		meter:    shift.NewDemandMeter(0),
		outliers: map[route.Role]*outlier.Detector{},
	}
}

// outlier returns the detector of the servers that do the work of a role.
func (g *group) outlier(role route.Role) *outlier.Detector {
	d, ok := g.outliers[role]
	if !ok {
		d = outlier.New(outlier.Config{})
		g.outliers[role] = d
	}
	return d
}

// configure applies the fleet configuration.
func (g *group) configure(key groupKey, share, limit float64) {
	if g.budget == nil || share != g.share {
		g.share = share
		g.budget = newBudget(key, share)
	}
	if g.terms == nil || limit != g.limit {
		g.limit = limit
		g.terms = map[string]admit.AccountPolicy{}
		g.admitter.SetPolicies(g.terms)
	}
}

func newBudget(key groupKey, share float64) *retry.Budget {
	config := retry.Config{Share: share}
	if key.model == "" {
		config.Floor = plainFloor
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

// heaviest returns the accounts to tell other entries about. Light ones matter
// to no limit.
func (s *state) heaviest(now time.Time) *wire.Accounts {
	accounts := &wire.Accounts{WindowMs: uint32(gossipWindow.Milliseconds())}
	for key, g := range s.groups {
		for _, u := range g.admitter.HeaviestAccounts(now, gossipAccounts) {
			accounts.Usage = append(accounts.Usage, &wire.Accounts_Usage{
				Caller: key.account(u.Caller),
				Tokens: uint64(u.Rate * gossipWindow.Seconds()),
			})
		}
	}
	accounts.Demand = s.toldDemand(now)
	return accounts
}

// merge takes what another entry told of its heaviest accounts and its demand.
func (s *state) merge(now time.Time, p member.PeerAccounts) {
	s.mergeDemand(now, p)
	window := time.Duration(p.Accounts.GetWindowMs()) * time.Millisecond
	if window <= 0 {
		return
	}
	usages := map[groupKey][]admit.Usage{}
	for _, u := range p.Accounts.GetUsage() {
		if key, caller, ok := parseAccount(u.GetCaller()); ok {
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
