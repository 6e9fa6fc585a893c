// Package routes is the operator's configuration as the gateway uses it: which
// service a request goes to, how often it may run, and how long it may take.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be done with a request whose outcome is unknown.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests answer with a series of events. They run at most once,
	// unless the route is resumable.
	Stream
)

// String returns the name used in logs.
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

// Route is one rule of the table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first event of a stream, or to the whole
	// answer, within which an answer is worth most.
	LatencyObjective time.Duration
	// Pause is the longest time between two events of an answer in time; 0 is unknown.
	InterEventObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Attempts is how many backend servers one request may be run on.
	MaxAttempts int
	// Targets are the services that share the route's requests.
	Targets []Target
	// Model says that requests carry prompts for model engines.
	Model bool
	// Resumable says that a stream may go on at another backend server.
	Resumable bool
}

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is one service of the configuration.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections that one backend server accepts from all
	// callers together; 0 is unknown.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVTokens is the KV cache of one engine, in tokens.
	KVTokens int
	// KVTokenBytes is the size of one token's KV cache.
	KVTokenBytes float64
	// LinkMbps is the speed at which an engine sends or receives KV cache, in
	// megabits per second.
	LinkMbps float64
	// HandleTTL is how long an engine keeps prefilled KV cache for another.
	HandleTTL time.Duration
	// SwitchTime is how long a change of role takes an engine away.
	SwitchTime time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may keep a connection idle.
	IdleTimeout time.Duration
}

// Table is one version of the configuration. It is immutable once built.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	byHost map[string][]Route
}

// New returns a Table of the routes.
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

// LongestAnswer returns how many of the longest pauses between its events an answer
// of a service's model routes may last.
func (t *Table) MaxAnswerEvents(service string) int {
	longest := 0
	for _, rules := range t.byHost {
		for _, r := range rules {
			if r.Model && r.InterEventObjective > 0 && r.goesTo(service) {
				longest = max(longest, int((r.Timeout-r.LatencyObjective)/r.InterEventObjective))
			}
		}
	}
	return longest
}

func (r Route) goesTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Match returns the route of the host with the longest prefix of the path.
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

// Choose returns the service of a request by the targets' weights; point is
// uniform in [0, 1).
func (r Route) Choose(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	left := point * float64(total)
	for _, t := range r.Targets {
		left -= float64(max(0, t.Weight))
		if left < 0 {
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
