// Package fleetconfig defines the configuration of the whole fleet: defaults and
// a short list of exceptions, each with a written reason.
//
// The configuration is a single object in the platform's store, so that its
// version orders all changes.
package fleetconfig

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ObjectName is the name of the object in the store.
const ObjectName = "fleetconfig"

// Duration is a time.Duration written as "1.5s" in JSON.
type Duration time.Duration

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}

// Values are the values of the configuration. A nil field is not set.
type Values struct {
	// RoleChangeCost is the factor by which the work lost with the current roles
	// must exceed the cost of a role change before the change is made. The cost
	// of a change is the work that its engine cannot do in the meantime.
	RoleChangeCost *float64 `json:"role_change_cost,omitempty" doc:"Times its own cost that a role change must be worth; low: goodput first, high: few changes"`
	// MaxChangesInFlight bounds the engines that change their role concurrently.
	MaxChangesInFlight *int `json:"max_changes_in_flight,omitempty" doc:"Engines that may change at once"`
	// ChangeDwell is the minimum time that an engine keeps a role.
	ChangeDwell *Duration `json:"change_dwell,omitempty" doc:"How long an engine keeps a role at least"`
	// Deadline applies to requests without a deadline of their own.
	Deadline *Duration `json:"deadline,omitempty" doc:"Time a request has when its caller names none"`
	// Class is interactive, normal or batch.
	Class *string `json:"class,omitempty" doc:"interactive, normal or batch" enum:"interactive,normal,batch"`
	// Idempotent reports whether calls may be repeated.
	Idempotent *bool `json:"idempotent,omitempty" doc:"Whether calls may be repeated"`
	// RetryShare bounds retries as a fraction of successful requests.
	RetryShare *float64 `json:"retry_share,omitempty" doc:"Retries as a share of successes, at most 0.1"`
	// AccountTokensPerSecond limits the token cost per second of one caller
	// across all entries; 0 means no limit.
	AccountTokensPerSecond *int `json:"account_tokens_per_second,omitempty" doc:"Token cost a second of one caller, over all entries; 0: no limit"`
	// ClaimRetention is how long the result for an idempotency key is retained.
	ClaimRetention *Duration `json:"claim_retention,omitempty" doc:"How long the result of an idempotency key is kept"`
	// DrainTimeout bounds how long a planned change waits for running requests.
	DrainTimeout *Duration `json:"drain_timeout,omitempty" doc:"How long a planned change waits for running requests"`
	// Weights and Adapters are loaded by the engines of a model.
	Weights  *string  `json:"weights,omitempty" doc:"Version of the weights that engines load"`
	Adapters []string `json:"adapters,omitempty" doc:"Adapters that engines load"`
	// Drained reports whether a backend server is out of service.
	Drained *bool `json:"drained,omitempty" doc:"Whether a backend server is out of service"`
}

// Scope selects what an Exception applies to. An empty field matches everything.
type Scope struct {
	Service       string `json:"service,omitempty"`
	Model         string `json:"model,omitempty"`
	DataCentre    string `json:"data_centre,omitempty"`
	BackendServer string `json:"backend_server,omitempty"`
}

// Exception overrides the defaults within its scope.
type Exception struct {
	ID     string    `json:"id"`
	Scope  Scope     `json:"scope"`
	Values Values    `json:"values"`
	Reason string    `json:"reason"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Expires is when the exception ends automatically; nil means never.
	Expires *time.Time `json:"expires,omitempty"`
}

// Edit is one entry of the history.
type Edit struct {
	At     time.Time `json:"at"`
	Author string    `json:"author"`
	What   string    `json:"what"`
	// EditID is the operator's id of the edit, and WriteID that of the write to
	// the store. A writer that lost the reply finds its edit by them, even after
	// later edits.
	EditID  string `json:"edit_id"`
	WriteID string `json:"write_id"`
	// BaseVersion is the version of the object that the edit was based on.
	BaseVersion uint64 `json:"base_version"`
}

// Config is the fleet configuration, the content of the object.
type Config struct {
	// WriteID is random for each write. A writer that lost the reply compares it
	// to find out whether its write was applied.
	WriteID    string      `json:"write_id"`
	Defaults   Values      `json:"defaults"`
	Exceptions []Exception `json:"exceptions,omitempty"`
	History    []Edit      `json:"history,omitempty"`
}

// EffectiveValues returns the values that apply to target at the given time: the
// defaults, overridden by each matching exception, the least specific first.
func (c Config) EffectiveValues(target Scope, now time.Time) Values {
	matching := []Exception{}
	for _, e := range c.Exceptions {
		if e.Scope.matches(target) && !e.expired(now) {
			matching = append(matching, e)
		}
	}
	slices.SortStableFunc(matching, func(a, b Exception) int {
		return a.Scope.specificity() - b.Scope.specificity()
	})
	values := overlay(BuiltIn(), c.Defaults)
	for _, e := range matching {
		values = overlay(values, e.Values)
	}
	return values
}

// BuiltIn returns the values that apply where operators have set none. All
// fields except Weights and Adapters are set.
func BuiltIn() Values {
	return Values{
		RoleChangeCost:         ptr(1.0),
		MaxChangesInFlight:     ptr(3),
		ChangeDwell:            ptr(Duration(30 * time.Second)),
		Deadline:               ptr(Duration(30 * time.Second)),
		Class:                  ptr("normal"),
		Idempotent:             ptr(false),
		RetryShare:             ptr(0.1),
		AccountTokensPerSecond: ptr(0),
		ClaimRetention:         ptr(Duration(24 * time.Hour)),
		DrainTimeout:           ptr(Duration(30 * time.Second)),
		Drained:                ptr(false),
	}
}

func (s Scope) matches(target Scope) bool {
	return matchesField(s.Service, target.Service) &&
		matchesField(s.Model, target.Model) &&
		matchesField(s.DataCentre, target.DataCentre) &&
		matchesField(s.BackendServer, target.BackendServer)
}

func matchesField(pattern, value string) bool {
	return pattern == "" || pattern == value
}

// specificity returns the rank of a scope: one with a backend server is more
// specific than any without, and then the number of other fields decides.
func (s Scope) specificity() int {
	const backendServerRank = 4
	rank := 0
	for _, field := range []string{s.Service, s.Model, s.DataCentre} {
		if field != "" {
			rank++
		}
	}
	if s.BackendServer != "" {
		rank += backendServerRank
	}
	return rank
}

func (e Exception) expired(now time.Time) bool {
	return e.Expires != nil && !now.Before(*e.Expires)
}

// overlay returns base with the fields that are set in top replaced. The result
// shares its pointers with both, so the values they point to must not be modified.
func overlay(base, top Values) Values {
	merged := Values{
		RoleChangeCost:         firstSet(top.RoleChangeCost, base.RoleChangeCost),
		MaxChangesInFlight:     firstSet(top.MaxChangesInFlight, base.MaxChangesInFlight),
		ChangeDwell:            firstSet(top.ChangeDwell, base.ChangeDwell),
		Deadline:               firstSet(top.Deadline, base.Deadline),
		Class:                  firstSet(top.Class, base.Class),
		Idempotent:             firstSet(top.Idempotent, base.Idempotent),
		RetryShare:             firstSet(top.RetryShare, base.RetryShare),
		AccountTokensPerSecond: firstSet(top.AccountTokensPerSecond, base.AccountTokensPerSecond),
		ClaimRetention:         firstSet(top.ClaimRetention, base.ClaimRetention),
		DrainTimeout:           firstSet(top.DrainTimeout, base.DrainTimeout),
		Weights:                firstSet(top.Weights, base.Weights),
		Drained:                firstSet(top.Drained, base.Drained),
		Adapters:               base.Adapters,
	}
	if len(top.Adapters) > 0 {
		merged.Adapters = top.Adapters
	}
	return merged
}

func firstSet[T any](first, second *T) *T {
	if first != nil {
		return first
	}
	return second
}

func encodeValues(v Values) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}

func ptr[T any](v T) *T { return &v }
