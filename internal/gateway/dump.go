package gateway

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/internal/usage"
)

// Dump is the state of a gateway, for operators.
type Dump struct {
	Ready          bool  `json:"ready"`
	ConfigVersion  int64 `json:"config_version"`
	ConfigRevision int64 `json:"config_revision"`
	// ConfigEra and StoreEra are the store's era that ConfigRevision belongs to and the newest
	// known one, absent if the store names none.
	ConfigEra  int64  `json:"config_era,omitempty"`
	StoreEra   int64  `json:"store_era,omitempty"`
	ConfigAge  string `json:"config_age"`
	ServersAge string `json:"servers_age"`
	// Gateways is the number of gateways, which share the retry budgets of the services.
	Gateways     int               `json:"entries"`
	RetryBudgets []RetryBudgetDump `json:"retry_budgets"`
	Servers      []ServerDump      `json:"servers"`
	// InvalidServers are names of objects of servers that cannot be decoded and are not used,
	// maxInvalidDumped at most.
	InvalidServers []string `json:"invalid_servers,omitempty"`
	// ClientKeys is the number of API keys that the configuration has.
	ClientKeys int `json:"client_keys"`
	// AccountShares is the usage of client accounts by service, absent if they have no shares.
	AccountShares []AccountSharesDump `json:"account_shares,omitempty"`
	// Usage is what this gateway has counted, absent if it counts nothing.
	Usage *UsageDump `json:"usage,omitempty"`
	// RecordedStreams is how many streams this gateway knows the software version of.
	RecordedStreams int `json:"recorded_streams"`
	// Quarantine is what is known of requests and prompts that crash servers.
	Quarantine QuarantineDump `json:"quarantine"`
	// Memory is how the memory of the process is divided, in bytes but for connections and
	// segments.
	Memory membudget.Plan `json:"memory"`
	// BodyBytes is the memory currently reserved for request bodies.
	BodyBytes int64 `json:"body_bytes"`
	// DistancePrice is what it is worth to keep one megabyte within the data centre, absent
	// if distance is free.
	DistancePrice string `json:"distance_price,omitempty"`
	// ReadAhead is what is read ahead for slow callers.
	ReadAhead ReadAheadDump `json:"read_ahead"`
}

// ReadAheadDump is what a gateway has read ahead for slow callers, with its limits.
type ReadAheadDump struct {
	Answers        int64 `json:"answers"`
	Bytes          int64 `json:"bytes"`
	Limit          int64 `json:"limit"`
	LimitPerAnswer int64 `json:"limit_per_answer"`
}

// QuarantineDump is what a gateway knows of requests and prompts that crash servers.
type QuarantineDump struct {
	// Requests is the number of requests with evidence, WatchedServers how many servers are
	// watched because attempts ended there.
	Requests       int `json:"requests"`
	WatchedServers int `json:"watched_servers"`
	// Segments are the sets of prompt segments that are rejected, with their crashes.
	Segments []BlameDump `json:"segments"`
}

// BlameDump is a set of prompt segments that is rejected.
type BlameDump struct {
	Segments string `json:"segments"`
	Crashes  string `json:"crashes"`
	// Reused says that prompts had completed with the segments before.
	Reused bool `json:"reused"`
}

// UsageDump is what a gateway has counted in the current window.
type UsageDump struct {
	Window   int64 `json:"window"`
	Accounts int   `json:"accounts"`
	Requests int64 `json:"requests"`
}

// ServerDump is one backend server as the gateway sees it.
type ServerDump struct {
	backend.Server
	// InFlight is how many requests of all gateways an engine has.
	InFlight int `json:"work"`
	// Estimates is what has been learned of a model engine, absent for others.
	Estimates *place.EngineEstimate `json:"belief,omitempty"`
	// Contention is what the server last reported of its machine, absent if it did not.
	Contention *ContentionDump `json:"contention,omitempty"`
	// Limit is the limit that the server states, absent if it states none.
	Limit *LimitDump `json:"limit,omitempty"`
	// Leaving says that the server states that it is leaving, and Rest how much longer it
	// wants no requests from this gateway, absent if it does not rest.
	Leaving bool   `json:"leaving,omitempty"`
	Rest    string `json:"rest,omitempty"`
	// Failing is how the server compares with its peers, absent unless it gets fewer requests
	// because it fails more often.
	Failing *outlier.Status `json:"failing,omitempty"`
}

// ContentionDump is how contended the machine of a server is.
type ContentionDump struct {
	// Factor is how many times as long work takes as usual, AgeMS how old the report is. It
	// counts for 300 ms, with a falling weight.
	Factor float64 `json:"factor"`
	AgeMS  int64   `json:"age_ms"`
}

// LimitDump is the limit that a server states.
type LimitDump struct {
	// PerSecond is how many requests a second the server accepts from all gateways
	// together.
	PerSecond float64 `json:"per_second"`
	// Share is how many of these this gateway may send, 0 if none.
	Share float64 `json:"part"`
}

// maxInvalidDumped limits Dump.InvalidServers.
const maxInvalidDumped = 32

// Dump returns the state of the gateway.
func (g *Gateway) Dump(now time.Time) Dump {
	v := g.directory.View()
	d := Dump{
		Ready:          g.Ready(),
		ConfigRevision: v.TableRevision,
		ConfigEra:      int64(v.TableEra),
		StoreEra:       int64(v.StoreEra),
		ConfigAge:      age(now, v.TableConfirmedAt),
		ServersAge:     age(now, v.ServersConfirmedAt),

		RecordedStreams: g.streams.recorded(),
		Gateways:        g.gatewayCount(),
		RetryBudgets:    g.retryBudgets.dump(),
		Quarantine:      g.dumpQuarantine(now),
		Memory:          g.memory,
		BodyBytes:       g.bodies.Held(),
		ReadAhead:       dumpReadAhead(g.answers.Usage()),
	}
	if v.Table != nil {
		d.ConfigVersion = v.Table.Version
		d.ClientKeys = v.Table.Accounts.Len()
		d.AccountShares = g.dumpAccountShares(now, v.Table)
	}
	if price := g.deployment.Load().DistancePrice; price > 0 {
		d.DistancePrice = time.Duration(price).String()
	}
	if g.usage != nil {
		d.Usage = dumpUsage(now, g.usage)
	}
	d.InvalidServers = v.Invalid[:min(len(v.Invalid), maxInvalidDumped)]
	for _, s := range v.Servers {
		d.Servers = append(d.Servers, g.dumpServer(now, s))
	}
	return d
}

func (g *Gateway) dumpQuarantine(now time.Time) QuarantineDump {
	t := g.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	d := QuarantineDump{Requests: t.list.Len(), WatchedServers: int(g.watches.count.Load())}
	for _, b := range t.segments.Blames() {
		d.Segments = append(d.Segments, BlameDump{Segments: blameNames(b), Crashes: crashNames(now, b), Reused: b.Reused})
	}
	return d
}

func (g *Gateway) dumpServer(now time.Time, s backend.Server) ServerDump {
	d := ServerDump{
		Server:    s,
		InFlight:  g.EngineInFlight(s.Service, s.ID),
		Estimates: g.engineEstimates(now, s),

		Contention: dumpContention(now, g.contention(s)),
		Limit:      g.statements.dumpLimit(s.ID),
		Failing:    g.health.Status(now, s.ID),
	}
	leaving, rest := g.statements.dumpStatements(s.Instance())
	d.Leaving = leaving
	if rest > 0 {
		d.Rest = rest.Round(time.Millisecond).String()
	}
	return d
}

// contention returns the last report of a server, with Factor 0 if there is none.
func (g *Gateway) contention(s backend.Server) contention.Report {
	if r := g.engines.contention(s); r.Factor > 0 {
		return r
	}
	return g.plain.contention(s.ID)
}

func dumpContention(now time.Time, r contention.Report) *ContentionDump {
	if r.Factor == 0 {
		return nil
	}
	return &ContentionDump{Factor: r.Factor, AgeMS: now.Sub(r.At).Milliseconds()}
}

// age formats how long ago the store confirmed something, or "never" if it has not.
func age(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}

func dumpUsage(now time.Time, c *usage.Counter) *UsageDump {
	window := c.Window(now)
	counts := c.Snapshot(window)
	return &UsageDump{Window: int64(window), Accounts: len(counts), Requests: counts.Total()}
}

func dumpReadAhead(u readahead.Usage) ReadAheadDump {
	return ReadAheadDump{Answers: u.Answers, Bytes: u.Bytes, Limit: u.Limits.Total, LimitPerAnswer: u.Limits.PerAnswer}
}
