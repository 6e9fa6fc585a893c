package configcheck

import (
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/accounts"
	"pistachioroad.dev/pistachioroad/internal/routes"
)

func (c *checker) checkServices() {
	all := c.doc.Services
	c.checkNames(Error, c.names.Services, lo.Map(all, func(s routes.Service, _ int) string { return s.Name }))
	for i, s := range all {
		place := entry(c.names.Services, i)
		if s.Name != "" && !c.doc.used(s.Name) {
			c.add(Warning, place, "%q is not used, expected a route that leads to it", s.Name)
		}
		if s.MaxConns < 0 {
			c.add(Error, field(place, c.names.MaxConns), "is %d, expected 0 or more", s.MaxConns)
		}
		if s.Engine != nil {
			c.checkEngine(place, s)
		}
	}
}

func (c *checker) checkEngine(place string, s routes.Service) {
	n, e := c.names.Engine, s.Engine
	engine := field(place, n.Engine)
	if e.Slots <= 0 {
		c.add(Error, field(engine, n.Slots), "is %d, expected 1 or more slots", e.Slots)
	}
	if e.KVTokens <= 0 {
		c.add(Error, field(engine, n.KVTokens), "is %d, expected 1 or more tokens", e.KVTokens)
	}
	if s.MaxConns > 0 && s.MaxConns < e.Slots {
		c.add(Warning, field(place, c.names.MaxConns), "is %d, expected at least the %d slots of an engine", s.MaxConns, e.Slots)
	}
	const freeTransfer = "is %v, expected more than 0: transfers of KV cache would count as free"
	if e.KVTokenBytes <= 0 {
		c.add(Warning, field(engine, n.KVTokenBytes), freeTransfer, e.KVTokenBytes)
	}
	if e.LinkMbps <= 0 {
		c.add(Warning, field(engine, n.LinkMbps), freeTransfer, e.LinkMbps)
	}
	if e.HandleTTL < 0 {
		c.add(Error, field(engine, n.HandleTTL), "is %v, expected 0 or more", e.HandleTTL)
	}
	if e.SwitchTime < 0 {
		c.add(Error, field(engine, n.SwitchTime), "is %v, expected 0 or more", e.SwitchTime)
	}
}

func (c *checker) checkAccounts() {
	all := c.doc.Accounts
	if all == nil {
		return
	}
	c.checkNames(Error, c.names.Accounts, lo.Map(all, func(a accounts.Account, _ int) string { return a.Name }))
	keys := 0
	owners := make(map[accounts.Digest]int)
	empty := accounts.DigestOf("")
	for i, a := range all {
		place := entry(c.names.Accounts, i)
		if a.Name != "" && !accounts.ValidName(a.Name) {
			c.add(Error, field(place, c.names.Name), "is %q, expected a name without control characters and outer spaces", a.Name)
		}
		if len(a.Keys) == 0 {
			c.add(Warning, field(place, c.names.Keys), "is missing or empty, expected a key: nobody can use the account")
		}
		keys += len(a.Keys)
		for k, key := range a.Keys {
			owner, known := owners[key]
			switch {
			case key == empty:
				c.add(Error, entry(field(place, c.names.Keys), k), "is empty, expected a key")
			case known && owner != i:
				c.add(Error, entry(field(place, c.names.Keys), k), "is also a key of %s, expected a key of its own", entry(c.names.Accounts, owner))
			default:
				owners[key] = i
			}
		}
	}
	if keys > 0 {
		return
	}
	for i, r := range c.doc.Routes {
		if !r.Keyless {
			c.add(Error, entry(c.names.Routes, i), "needs a key, but %s has none: expected an account with a key, no %s at all, or %s",
				c.names.Accounts, c.names.Accounts, c.names.Route.Keyless)
		}
	}
}

func (c *checker) checkLimits() {
	n, l := c.names.Limit, c.doc.Limits
	for _, limit := range []struct {
		name  string
		value int64
		text  any
	}{
		{n.HeaderBytes, int64(l.HeaderBytes), l.HeaderBytes},
		{n.BodyBytes, l.BodyBytes, l.BodyBytes},
		{n.HeaderTimeout, int64(l.HeaderTimeout), l.HeaderTimeout},
		{n.IdleTimeout, int64(l.IdleTimeout), l.IdleTimeout},
	} {
		place := field(c.names.Limits, limit.name)
		switch {
		case limit.value < 0:
			c.add(Error, place, "is %v, expected more than 0", limit.text)
		case limit.value == 0:
			c.add(Warning, place, "is missing or 0, expected more than 0: the built-in limit of the gateway would apply")
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, field(c.names.Limits, n.HeaderTimeout), "is %v, expected at most %s, %v", l.HeaderTimeout, n.IdleTimeout, l.IdleTimeout)
	}
}
