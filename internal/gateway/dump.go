package gateway

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

// Dump is the state of a gateway, for operators.
type Dump struct {
	Ready          bool   `json:"ready"`
	ConfigVersion  int64  `json:"config_version"`
	ConfigRevision int64  `json:"config_revision"`
	ConfigAge      string `json:"config_age"`
	ServersAge     string `json:"servers_age"`
	// Entries is how many gateways share the limits of the services.
	Entries int          `json:"entries"`
	Servers []ServerDump `json:"servers"`
	// BodyBytes are held for requests now.
	BodyBytes int64 `json:"body_bytes"`
}

// ServerDump is one backend server as the gateway sees it.
type ServerDump struct {
	backend.Server
	// Work is how many requests of all gateways an engine has.
	Work int `json:"work"`
	// Belief is what is learned of a model engine, absent for others.
	Belief *place.EngineEstimate `json:"belief,omitempty"`
	// Limit is what the server names as its limit, absent if it names none.
	Limit *LimitDump `json:"limit,omitempty"`
}

// LimitDump is the limit that a server names.
type LimitDump struct {
	// PerSecond is how many requests a second it takes from all gateways together.
	PerSecond float64 `json:"per_second"`
	// Part is how many of these this gateway may send, 0 for none.
	Part float64 `json:"part"`
}

// Dump returns the state of the gateway.
func (g *Gateway) Dump(now time.Time) Dump {
	v := g.directory.View()
	d := Dump{
		Ready:          g.Ready(),
		ConfigRevision: v.TableRevision,
		ConfigAge:      age(now, v.TableAt),
		ServersAge:     age(now, v.ServersAt),
		Entries:        g.entries(),
		BodyBytes:      g.bodies.held.Load(),
	}
	if v.Table != nil {
		d.ConfigVersion = v.Table.Version
	}
	for _, s := range v.Servers {
		d.Servers = append(d.Servers, ServerDump{Server: s, Work: g.EngineInFlight(s.Service, s.ID), Belief: g.engineBelief(now, s), Limit: g.limits.dump(s.ID)})
	}
	return d
}

// age is how long ago the store confirmed something, "never" if it has not.
func age(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}
