// Package routes holds the gateway's routing table, built from the operators'
// configuration: the service of a request, how often it may run and its timeout.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pistachioroad.dev/pistachioroad/internal/accounts"
)

// Kind determines whether a request with unknown outcome may be retried.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent and may be retried.
	Safe
	// Stream requests are answered with a stream of events. They run at most once,
	// unless the route is resumable.
	Stream
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Route maps requests by host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the upper limit of a caller's timeout.
	Timeout time.Duration
	// LatencyObjective is the time to the first event of a stream, or to the complete
	// response, within which a response has its full value.
	LatencyObjective time.Duration
	// InterEventObjective is the longest time between two events of a stream that is
	// on time, 0 if unknown.
	InterEventObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that may run one request.
	MaxAttempts int
	// Targets are the services among which requests are distributed.
	Targets []Target
	// Model is set if requests carry prompts for model engines.
	Model bool
	// Resumable is set if a stream may be resumed at another backend server.
	Resumable bool
	// Keyless is set if callers need no API key even if the table has client accounts.
	Keyless bool
}

// Target is a service of a route with its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is one service of the configuration.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one backend server accepts from all
	// callers together, 0 if unknown.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVTokens is the size of one engine's KV cache in tokens.
	KVTokens int
	// KVTokenBytes is the size of one token's KV cache in bytes.
	KVTokenBytes float64
	// LinkMbps is the bandwidth at which an engine sends or receives KV cache, in
	// megabits per second.
	LinkMbps float64
	// HandleTTL is how long an engine holds prefilled KV cache for another engine.
	HandleTTL time.Duration
	// SwitchTime is how long an engine is unavailable during a change of role.
	SwitchTime time.Duration
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may keep a connection idle.
	IdleTimeout time.Duration
}

// Table is one version of the routing table. It is immutable.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts. It is nil if callers need no API key on any route.
	Accounts *accounts.Table

	byHost map[string][]Route
}

// New returns a Table without client accounts. Within a host, routes with longer prefixes
// come first.
func New(version int64, rules []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range rules {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rules := range t.byHost {
		slices.SortStableFunc(rules, func(a, b Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// MaxAnswerEvents returns how many events an answer of a service's model routes can
// have if they come at the inter-event objective and the answer completes in time.
func (t *Table) MaxAnswerEvents(service string) int {
	limit := 0
	for _, rules := range t.byHost {
		for _, r := range rules {
			if r.Model && r.InterEventObjective > 0 && r.hasTarget(service) {
				limit = max(limit, int((r.Timeout-r.LatencyObjective)/r.InterEventObjective))
			}
		}
	}
	return limit
}

// MaxTimeout returns the longest timeout of the routes to a service, 0 if there is none.
func (t *Table) MaxTimeout(service string) time.Duration {
	longest := time.Duration(0)
	for _, rules := range t.byHost {
		for _, r := range rules {
			if r.hasTarget(service) {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

func (r Route) hasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Match returns the host's route with the longest matching path prefix.
func (t *Table) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	rules, ok := t.byHost[host]
	if !ok {
		rules = t.byHost[withoutPort(host)]
	}
	for _, r := range rules {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, rules := range t.byHost {
		n += len(rules)
	}
	return n
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// Choose selects a service at random by the targets' weights. The caller passes a
// random point uniformly distributed in [0, 1).
func (r Route) Choose(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	remaining := point * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(max(0, t.Weight))
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }
