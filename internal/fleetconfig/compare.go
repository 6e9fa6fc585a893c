package fleetconfig

import (
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Difference compares a value that a change would set with the current one.
type Difference struct {
	Key     string `json:"key"`
	Yours   string `json:"yours" doc:"What the edit would have set"`
	Current string `json:"current" doc:"What is set now"`
}

const (
	textNone    = "none"
	textRemoved = "removed"
)

// Compare returns the values that the changes would set and the current ones in
// c. It is shown to an operator whose edit conflicts with an earlier one.
func Compare(c Config, changes []Change) []Difference {
	return lo.FlatMap(changes, func(change Change, _ int) []Difference { return c.compare(change) })
}

func (c Config) compare(change Change) []Difference {
	switch {
	case change.SetDefaults != nil:
		return c.compareDefaults(*change.SetDefaults)
	case change.UnsetDefaults != nil:
		return lo.Map(change.UnsetDefaults, func(key string, _ int) Difference {
			return Difference{Key: key, Yours: BuiltInText(key), Current: c.defaultText(key)}
		})
	case change.AddException != nil:
		return c.compareScope(change.AddException.Scope, change.AddException.Values.String())
	case change.RemoveException != "":
		return c.compareRemoved(change.RemoveException)
	case change.Drain != nil:
		return c.compareScope(Scope{BackendServer: change.Drain.BackendServer}, drainedText)
	default:
		return c.compareScope(Scope{BackendServer: change.Undrain}, textRemoved)
	}
}

func (c Config) compareDefaults(v Values) []Difference {
	keys := lo.Keys(v.jsonFields())
	slices.Sort(keys)
	return lo.Map(keys, func(key string, _ int) Difference {
		return Difference{Key: key, Yours: v.Text(key), Current: c.defaultText(key)}
	})
}

func (c Config) compareScope(scope Scope, yours string) []Difference {
	same := lo.FilterMap(c.Exceptions, func(x Exception, _ int) (string, bool) {
		return x.ID + " " + x.Values.String() + " (" + x.Author + ": " + x.Reason + ")", x.Scope == scope
	})
	current := textNone
	if len(same) > 0 {
		current = strings.Join(same, "; ")
	}
	return []Difference{{Key: "exceptions for " + scope.String(), Yours: yours, Current: current}}
}

func (c Config) compareRemoved(id string) []Difference {
	current := textNone
	found, ok := lo.Find(c.Exceptions, func(x Exception) bool { return x.ID == id })
	if ok {
		current = found.Scope.String() + ": " + found.Values.String()
	}
	return []Difference{{Key: "exception " + id, Yours: textRemoved, Current: current}}
}

func (c Config) defaultText(key string) string {
	if text := c.Defaults.Text(key); text != "" {
		return text
	}
	return BuiltInText(key)
}

// BuiltInText returns the built-in value of a key as it is shown to operators.
func BuiltInText(key string) string {
	text := BuiltIn().Text(key)
	if text == "" {
		return "(not set)"
	}
	return text + " (built in)"
}
