package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/accounts"
	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
	"pistachioroad.dev/pistachioroad/internal/routes"
)

// shareAccount returns the account that the request counts for, 0 if accounts have no
// shares. Requests without a key, on routes that need none, count for one account together.
func (c *call) shareAccount() fairshare.AccountID {
	if !c.gateway.deployment.Load().MemoryPressure || c.view.Table.Accounts == nil {
		return 0
	}
	return fairshare.AccountIDOf(c.request.Account)
}

// AccountSharesDump is the usage of client accounts at the engines of one service, by all
// gateways. Rates are in tokens per second.
type AccountSharesDump struct {
	Service  string `json:"service"`
	Accounts int    `json:"accounts"`
	// Capacity is the rate at which the engines completed work, Share what one account may
	// use of it in saturation, 0 while that is unlimited.
	Capacity float64 `json:"capacity"`
	Share    float64 `json:"share"`
	// Heaviest has the heaviest accounts, heaviest first.
	Heaviest []AccountUsageDump `json:"heaviest"`
}

// AccountUsageDump is the usage of one account.
type AccountUsageDump struct {
	// Account is the name of the account, or its hash in hexadecimal if no account of the
	// configuration has it.
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
}

func (g *Gateway) dumpAccountShares(now time.Time, t *routes.Table) []AccountSharesDump {
	if !g.deployment.Load().MemoryPressure || t.Accounts == nil {
		return nil
	}
	names := accountNames(t.Accounts)
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	var all []AccountSharesDump
	for _, service := range slices.Sorted(maps.Keys(g.engines.fleets)) {
		s := g.engines.fleets[service].AccountUsage(now)
		d := AccountSharesDump{Service: service, Accounts: s.Accounts, Capacity: math.Round(s.Capacity)}
		if !math.IsInf(s.Share, 1) {
			d.Share = math.Round(s.Share)
		}
		d.Heaviest = lo.Map(s.Heaviest, func(u fairshare.Usage, _ int) AccountUsageDump {
			return AccountUsageDump{Account: lo.ValueOr(names, u.Account, u.Account.String()), Rate: math.Round(u.Rate)}
		})
		all = append(all, d)
	}
	return all
}

// accountNames has the names of all accounts by hash.
func accountNames(t *accounts.Table) map[fairshare.AccountID]string {
	return lo.SliceToMap(t.Names(), func(name string) (fairshare.AccountID, string) {
		return fairshare.AccountIDOf(name), name
	})
}
