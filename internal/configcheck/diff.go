package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/accounts"
	"pistachioroad.dev/pistachioroad/internal/routes"
)

// Change is how an entry differs from the version in force.
type Change string

const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one difference to the version in force.
type Difference struct {
	Change Change `json:"change"`
	// Section and Name identify the entry. Name is empty for a section without entries.
	Section string `json:"section"`
	Name    string `json:"name,omitempty"`
	// Field, Old and New are set for a changed entry. Old and New contain no API key.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Compare returns the differences of next to inForce, and what is wrong with them. Entries
// are identified by their names; those without a name are not compared.
func Compare(inForce, next Document) ([]Difference, []Finding) {
	n := next.Names
	differences := slices.Concat(
		compareSection(n.Routes, routeValues(inForce), routeValues(next)),
		compareSection(n.Services, serviceValues(inForce), serviceValues(next)),
		compareSection(n.Accounts, accountValues(inForce), accountValues(next)),
		compareFields(n.Limits, "", limitValues(inForce), limitValues(next)),
	)
	c := &checker{doc: next, names: n}
	changed := len(differences) > 0 || (inForce.Accounts == nil) != (next.Accounts == nil)
	if next.Version < inForce.Version || (next.Version == inForce.Version && changed) {
		c.add(Warning, n.Version, "is %d, expected more than %d, the version in force", next.Version, inForce.Version)
	}
	for _, d := range differences {
		if d.Section != n.Services || d.Change != Removed {
			continue
		}
		users := lo.FilterMap(inForce.Routes, func(r Route, _ int) (string, bool) { return r.Name, r.leadsTo(d.Name) })
		if len(users) > 0 {
			c.add(Warning, n.Services, "service %q is removed, but the version in force uses it in the routes %s", d.Name, strings.Join(users, ", "))
		}
	}
	switch {
	case inForce.Accounts != nil && next.Accounts == nil:
		c.add(Warning, n.Accounts, "is removed: callers would need no key on any route")
	case inForce.Accounts == nil && next.Accounts != nil:
		c.add(Warning, n.Accounts, "is new: callers would need a key on all routes without %s", n.Route.Keyless)
	}
	if inForce.Version != next.Version {
		versions := func(d Document) []value { return []value{{n.Version, d.Version}} }
		differences = append(compareFields(n.Version, "", versions(inForce), versions(next)), differences...)
	}
	return differences, c.findings
}

// value is the value of a field.
type value struct {
	field string
	value any
}

// entryValues are the values of a named entry.
type entryValues struct {
	name   string
	values []value
}

func compareSection(section string, before, after []entryValues) []Difference {
	named := func(e entryValues) (string, []value) { return e.name, e.values }
	inForce, next := lo.Associate(before, named), lo.Associate(after, named)
	var differences []Difference
	for _, e := range lo.UniqBy(slices.Concat(before, after), func(e entryValues) string { return e.name }) {
		old, had := inForce[e.name]
		now, has := next[e.name]
		switch {
		case e.name == "":
		case !had:
			differences = append(differences, Difference{Change: Added, Section: section, Name: e.name})
		case !has:
			differences = append(differences, Difference{Change: Removed, Section: section, Name: e.name})
		default:
			differences = append(differences, compareFields(section, e.name, old, now)...)
		}
	}
	return differences
}

// compareFields compares values of the same fields in the same order.
func compareFields(section, name string, before, after []value) []Difference {
	var differences []Difference
	for i, old := range before {
		now := after[i]
		if old.value == now.value {
			continue
		}
		d := Difference{
			Change: Changed, Section: section, Name: name,
			Field: old.field, Old: fmt.Sprint(old.value), New: fmt.Sprint(now.value),
		}
		if d.Old == d.New {
			// Other keys of the same number.
			d.New += ", others"
		}
		differences = append(differences, d)
	}
	return differences
}

func routeValues(d Document) []entryValues {
	n := d.Names.Route
	return lo.Map(d.Routes, func(r Route, _ int) entryValues {
		targets := strings.Join(lo.Map(r.Targets, func(t routes.Target, _ int) string {
			if !r.Split {
				return t.Service
			}
			const weightScale = 1000
			return fmt.Sprintf("%s:%v", t.Service, float64(t.Weight)/weightScale)
		}), " ")
		return entryValues{r.Name, []value{
			{n.Host, strings.ToLower(r.Host)},
			{n.Prefix, r.Prefix},
			{n.Type, r.Type},
			{n.Timeout, r.Timeout},
			{n.Objective, r.LatencyObjective},
			{n.InterEvent, r.InterEventObjective},
			{n.Priority, r.Priority},
			{n.Service, targets},
			{n.Attempts, r.MaxAttempts},
			{n.Model, r.Model},
			{n.Resumable, r.Resumable},
			{n.Keyless, r.Keyless},
		}}
	})
}

func serviceValues(d Document) []entryValues {
	n := d.Names.Engine
	return lo.Map(d.Services, func(s routes.Service, _ int) entryValues {
		e := lo.FromPtr(s.Engine)
		engine := func(name string) string { return field(n.Engine, name) }
		return entryValues{s.Name, []value{
			{d.Names.HealthPath, s.HealthPath},
			{d.Names.MaxConns, s.MaxConns},
			{n.Engine, s.Engine != nil},
			{engine(n.Slots), e.Slots},
			{engine(n.KVTokens), e.KVTokens},
			{engine(n.KVTokenBytes), e.KVTokenBytes},
			{engine(n.LinkMbps), e.LinkMbps},
			{engine(n.HandleTTL), e.HandleTTL},
			{engine(n.SwitchTime), e.SwitchTime},
		}}
	})
}

// accountValues shows a change of keys by their number: a key or digest is not printed.
func accountValues(d Document) []entryValues {
	return lo.Map(d.Accounts, func(a accounts.Account, _ int) entryValues {
		return entryValues{a.Name, []value{
			{d.Names.AccountPriority, lo.Ternary(a.HasPriority, fmt.Sprint(a.Priority), "of the route")},
			{d.Names.Keys, newKeySet(a.Keys)},
		}}
	})
}

// keySet is a set of keys that compares by its digests and prints as their number.
type keySet struct {
	count   int
	digests string
}

func newKeySet(keys []accounts.Digest) keySet {
	texts := lo.Uniq(lo.Map(keys, func(k accounts.Digest, _ int) string { return k.String() }))
	slices.Sort(texts)
	return keySet{len(texts), strings.Join(texts, " ")}
}

// String implements fmt.Stringer.
func (s keySet) String() string { return fmt.Sprintf("%d keys", s.count) }

func limitValues(d Document) []value {
	n, l := d.Names.Limit, d.Limits
	return []value{
		{n.HeaderBytes, l.HeaderBytes},
		{n.BodyBytes, l.BodyBytes},
		{n.HeaderTimeout, l.HeaderTimeout},
		{n.IdleTimeout, l.IdleTimeout},
	}
}
