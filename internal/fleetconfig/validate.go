package fleetconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// Limits of the object. It must stay small, because every process holds it and
// receives all of it after each edit. The exceptions must also remain few enough
// to review; too many would amount to a second, hidden configuration.
const (
	MaxExceptions = 64
	// MaxHistory is the number of history entries that are retained.
	MaxHistory = 100
	// MaxReason and MaxName are maximum lengths in bytes.
	MaxReason = 500
	MaxName   = 128
	// MaxAdapters bounds the adapters that an engine may be configured to load.
	MaxAdapters = 64
)

// MaxRetryShare is the maximum of RetryShare. With a larger share, retries would
// add so much load to a failing fleet that it could not recover.
const MaxRetryShare = 0.1

const (
	maxRoleChangeCost         = 3600.0
	maxChangesInFlight        = 100
	maxAccountTokensPerSecond = 100_000_000
)

// Problems is the list of all errors in values or a configuration.
type Problems []string

// Error returns the problems, separated by semicolons.
func (p Problems) Error() string { return strings.Join(p, "; ") }

func (p *Problems) add(format string, args ...any) {
	*p = append(*p, fmt.Sprintf(format, args...))
}

func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Parse decodes a Config from the object's value and validates it. Unknown fields
// are errors, so that a process of an older release does not apply a
// configuration that it understands only in part.
func Parse(data []byte) (Config, error) {
	var c Config
	if err := decodeStrict(data, &c); err != nil {
		return Config{}, eris.Wrap(err, "fleet configuration")
	}
	return c, eris.Wrap(c.Validate(), "fleet configuration")
}

// Encode returns c encoded as the object's value.
func (c Config) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode fleet configuration")
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return eris.New("more than one JSON value")
	}
	return nil
}

// Validate returns a Problems with all errors in c, or nil.
func (c Config) Validate() error {
	var p Problems
	c.Defaults.check(&p, "defaults")
	if isTrue(c.Defaults.Drained) {
		p.add("defaults: drained would take the whole fleet out of service; drain backend servers by exceptions")
	}
	if len(c.Exceptions) > MaxExceptions {
		p.add("%d exceptions, at most %d are allowed: remove some, or change the defaults", len(c.Exceptions), MaxExceptions)
	}
	if len(c.History) > MaxHistory {
		p.add("%d lines of history, at most %d are kept", len(c.History), MaxHistory)
	}
	ids := map[string]bool{}
	for _, e := range c.Exceptions {
		e.check(&p)
		if ids[e.ID] {
			p.add("exception %s: there are two of this id", e.ID)
		}
		ids[e.ID] = true
	}
	return p.err()
}

func (e Exception) check(p *Problems) {
	where := "exception " + e.ID
	if blank(e.ID) || len(e.ID) > MaxName {
		p.add("exception %q: the id must have 1 to %d characters", e.ID, MaxName)
	}
	if blank(e.Reason) || len(e.Reason) > MaxReason || !utf8.ValidString(e.Reason) {
		p.add("%s: a reason of 1 to %d characters is required", where, MaxReason)
	}
	if blank(e.Author) || len(e.Author) > MaxName {
		p.add("%s: an author of 1 to %d characters is required", where, MaxName)
	}
	e.Scope.check(p, where)
	e.Values.check(p, where)
	if e.Values.isEmpty() {
		p.add("%s: it sets no value", where)
	}
	if isTrue(e.Values.Drained) && e.Scope.DataCentre == "" && e.Scope.BackendServer == "" {
		p.add("%s: drained needs the scope of a data centre or a backend server", where)
	}
}

func (s Scope) check(p *Problems, where string) {
	if s == (Scope{}) {
		p.add("%s: an empty scope matches everything; change the defaults instead", where)
	}
	for _, name := range []string{s.Service, s.Model, s.DataCentre, s.BackendServer} {
		if len(name) > MaxName || strings.TrimSpace(name) != name {
			p.add("%s: name %q in the scope must have at most %d characters and no spaces around it", where, name, MaxName)
		}
	}
}

// Validate returns a Problems with all errors in v, or nil.
func (v Values) Validate() error {
	var p Problems
	v.check(&p, "values")
	return p.err()
}

func (v Values) check(p *Problems, where string) {
	checkRange(p, where, "role_change_cost", v.RoleChangeCost, 0, maxRoleChangeCost)
	checkRange(p, where, "max_changes_in_flight", v.MaxChangesInFlight, 0, maxChangesInFlight)
	checkRange(p, where, "change_dwell", v.ChangeDwell, 0, Duration(24*time.Hour))
	checkRange(p, where, "deadline", v.Deadline, Duration(time.Millisecond), Duration(time.Hour))
	checkRange(p, where, "retry_share", v.RetryShare, 0, MaxRetryShare)
	checkRange(p, where, "account_tokens_per_second", v.AccountTokensPerSecond, 0, maxAccountTokensPerSecond)
	checkRange(p, where, "claim_retention", v.ClaimRetention, Duration(time.Minute), Duration(30*24*time.Hour))
	checkRange(p, where, "drain_timeout", v.DrainTimeout, 0, Duration(time.Hour))
	if v.Class != nil && !slices.Contains(classes, *v.Class) {
		p.add("%s: class is %q, expected one of %v", where, *v.Class, classes)
	}
	if v.Weights != nil {
		checkName(p, where, "weights", *v.Weights)
	}
	if len(v.Adapters) > MaxAdapters {
		p.add("%s: %d adapters, at most %d are allowed", where, len(v.Adapters), MaxAdapters)
	}
	for _, adapter := range v.Adapters {
		checkName(p, where, "adapters", adapter)
	}
}

var classes = []string{"interactive", "normal", "batch"}

func checkName(p *Problems, where, key, name string) {
	if blank(name) || len(name) > MaxName {
		p.add("%s: %s has %q, expected a name of 1 to %d characters", where, key, name, MaxName)
	}
}

func checkRange[T cmp.Ordered](p *Problems, where, key string, value *T, low, high T) {
	if value == nil {
		return
	}
	// The negated form also rejects NaN.
	if !(*value >= low && *value <= high) {
		p.add("%s: %s is %v, expected %v to %v", where, key, printable(*value), printable(low), printable(high))
	}
}

// printable converts a Duration to time.Duration, which prints with its unit.
func printable[T any](value T) any {
	if d, ok := any(value).(Duration); ok {
		return time.Duration(d)
	}
	return value
}

func (v Values) isEmpty() bool { return string(encodeValues(v)) == "{}" }

func blank(text string) bool { return strings.TrimSpace(text) == "" }

func isTrue(value *bool) bool { return value != nil && *value }
