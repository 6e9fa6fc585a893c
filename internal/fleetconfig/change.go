package fleetconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

// EditMetadata is the metadata of an edit: its author, time and ids.
type EditMetadata struct {
	Author string
	At     time.Time
	// EditID is random for each edit, WriteID for each write.
	EditID  string
	WriteID string
	// BaseVersion is the version of the object that the edit is based on.
	BaseVersion uint64
}

// Change is one change to the configuration. Exactly one field must be set.
type Change struct {
	// SetDefaults has the defaults to set; nil fields are left unchanged.
	SetDefaults *Values `json:"set_defaults,omitempty"`
	// UnsetDefaults lists the keys to reset to their built-in values.
	UnsetDefaults []string `json:"unset_defaults,omitempty"`
	// AddException is an exception to add.
	AddException *NewException `json:"add_exception,omitempty"`
	// RemoveException is the id of the exception to remove.
	RemoveException string `json:"remove_exception,omitempty"`
	// Drain has the backend server to take out of service.
	Drain *Drain `json:"drain,omitempty"`
	// Undrain is the name of the backend server to put back into service.
	Undrain string `json:"undrain,omitempty"`
}

// NewException is an exception to add. Apply assigns its id, author and time.
type NewException struct {
	Scope   Scope      `json:"scope"`
	Values  Values     `json:"values"`
	Reason  string     `json:"reason" doc:"Why there is an exception; must not be blank"`
	Expires *time.Time `json:"expires,omitempty" doc:"When it ends by itself; none: never"`
}

// Drain is an exception that takes one backend server out of service.
type Drain struct {
	BackendServer string `json:"backend_server"`
	Reason        string `json:"reason"`
}

// ErrInvalidChange means that a change is invalid for this configuration.
var ErrInvalidChange = eris.New("change not possible")

// Apply returns a copy of c with the changes applied, each with an entry in the
// history. On an error it returns c unchanged. It removes exceptions that have
// expired by metadata.At.
func Apply(c Config, metadata EditMetadata, changes ...Change) (Config, error) {
	if blank(metadata.Author) || len(metadata.Author) > MaxName {
		return c, eris.Wrapf(ErrInvalidChange, "an author of 1 to %d characters is required", MaxName)
	}
	if len(changes) == 0 {
		return c, eris.Wrap(ErrInvalidChange, "there is nothing to change")
	}
	e := editor{config: c.clone(), metadata: metadata}
	e.removeExpired()
	for _, change := range changes {
		if err := e.apply(change); err != nil {
			return c, err
		}
	}
	e.config.WriteID = metadata.WriteID
	e.config.History = lastEdits(e.config.History, MaxHistory)
	if err := e.config.Validate(); err != nil {
		return c, eris.Wrap(ErrInvalidChange, err.Error())
	}
	return e.config, nil
}

// editor applies changes to its own copy of a configuration.
type editor struct {
	config          Config
	metadata        EditMetadata
	addedExceptions int
}

func (e *editor) apply(change Change) error {
	if change.countKinds() != 1 {
		return eris.Wrap(ErrInvalidChange, "a change must have exactly one kind")
	}
	switch {
	case change.SetDefaults != nil:
		return e.setDefaults(*change.SetDefaults)
	case change.UnsetDefaults != nil:
		return e.unsetDefaults(change.UnsetDefaults)
	case change.AddException != nil:
		return e.addException(*change.AddException)
	case change.RemoveException != "":
		return e.removeException(change.RemoveException)
	case change.Drain != nil:
		return e.drain(*change.Drain)
	default:
		return e.undrain(change.Undrain)
	}
}

// countKinds returns the number of fields that are set.
func (c Change) countKinds() int {
	return lo.CountBy([]bool{
		c.SetDefaults != nil, c.UnsetDefaults != nil, c.AddException != nil,
		c.RemoveException != "", c.Drain != nil, c.Undrain != "",
	}, func(isSet bool) bool { return isSet })
}

func (e *editor) setDefaults(v Values) error {
	if v.isEmpty() {
		return eris.Wrap(ErrInvalidChange, "no default is given")
	}
	e.config.Defaults = overlay(e.config.Defaults, v)
	e.addHistory("set defaults " + v.String())
	return nil
}

func (e *editor) unsetDefaults(keys []string) error {
	for _, key := range keys {
		if !slices.Contains(Keys(), key) {
			return eris.Wrapf(ErrInvalidChange, "there is no default %q", key)
		}
		e.config.Defaults = e.config.Defaults.without(key)
	}
	e.addHistory("unset defaults " + strings.Join(keys, ", "))
	return nil
}

func (e *editor) addException(n NewException) error {
	if n.Expires != nil && !n.Expires.After(e.metadata.At) {
		return eris.Wrap(ErrInvalidChange, "the exception would have expired already")
	}
	if err := checkScopeOfKeys(n); err != nil {
		return err
	}
	added := Exception{
		ID:      e.newID(),
		Scope:   n.Scope,
		Values:  n.Values,
		Reason:  strings.TrimSpace(n.Reason),
		Author:  e.metadata.Author,
		At:      e.metadata.At,
		Expires: n.Expires,
	}
	e.config.Exceptions = append(e.config.Exceptions, added)
	e.addHistory(fmt.Sprintf("add exception %s for %s: %s (%s)", added.ID, added.Scope, added.Values, added.Reason))
	return nil
}

// serviceScopedKeys are looked up by service and model only: an entry needs them
// before it has selected a backend server, and the planner uses them for all
// engines of a model together.
var serviceScopedKeys = []string{
	"account_tokens_per_second", "change_dwell", "class", "deadline", "idempotent",
	"max_changes_in_flight", "retry_share", "role_change_cost",
}

// checkScopeOfKeys rejects values that are never looked up within their scope.
// They would be listed as if they were effective.
func checkScopeOfKeys(n NewException) error {
	if n.Scope.DataCentre == "" && n.Scope.BackendServer == "" {
		return nil
	}
	without := lo.Intersect(serviceScopedKeys, lo.Keys(n.Values.jsonFields()))
	if len(without) > 0 {
		return eris.Wrapf(ErrInvalidChange, "%s has no effect for a single data centre or backend server; use the scope of a service or model",
			strings.Join(without, ", "))
	}
	return nil
}

func (e *editor) removeException(id string) error {
	remaining := lo.Filter(e.config.Exceptions, func(x Exception, _ int) bool { return x.ID != id })
	if len(remaining) == len(e.config.Exceptions) {
		return eris.Wrapf(ErrInvalidChange, "there is no exception %q", id)
	}
	e.config.Exceptions = remaining
	e.addHistory("remove exception " + id)
	return nil
}

func (e *editor) drain(d Drain) error {
	if blank(d.BackendServer) {
		return eris.Wrap(ErrInvalidChange, "drain needs a backend server")
	}
	return e.addException(NewException{
		Scope:  Scope{BackendServer: d.BackendServer},
		Values: Values{Drained: ptr(true)},
		Reason: d.Reason,
	})
}

// undrain removes the exceptions that only drain the backend server.
func (e *editor) undrain(backendServer string) error {
	remaining := lo.Reject(e.config.Exceptions, func(x Exception, _ int) bool {
		return x.Scope == Scope{BackendServer: backendServer} && x.Values.String() == drainedText
	})
	if len(remaining) == len(e.config.Exceptions) {
		return eris.Wrapf(ErrInvalidChange, "no exception drains just %q", backendServer)
	}
	e.config.Exceptions = remaining
	e.addHistory("undrain " + backendServer)
	return nil
}

const drainedText = "drained=true"

func (e *editor) removeExpired() {
	e.config.Exceptions = lo.Reject(e.config.Exceptions, func(x Exception, _ int) bool {
		if x.expired(e.metadata.At) {
			e.addHistory("exception " + x.ID + " has expired")
			return true
		}
		return false
	})
}

// exceptionIDLength is the number of trailing characters of the edit's id that
// are used in an exception's id.
const exceptionIDLength = 8

// newID returns an id that is short enough to type. It is not a sequence number,
// because numbers would be reused after a removal, and an operator with an
// outdated listing would remove the wrong exception.
func (e *editor) newID() string {
	e.addedExceptions++
	id := e.metadata.EditID
	id = "x" + id[max(0, len(id)-exceptionIDLength):]
	if e.addedExceptions > 1 {
		id += fmt.Sprintf("-%d", e.addedExceptions)
	}
	return id
}

func (e *editor) addHistory(what string) {
	const maxLine = MaxReason + 4*MaxName
	e.config.History = append(e.config.History, Edit{
		At:          e.metadata.At,
		Author:      e.metadata.Author,
		What:        strings.ToValidUTF8(what[:min(len(what), maxLine)], ""),
		EditID:      e.metadata.EditID,
		WriteID:     e.metadata.WriteID,
		BaseVersion: e.metadata.BaseVersion,
	})
}

// HasEdit reports whether the history of c contains the edit. An edit is no
// longer found once MaxHistory newer entries have replaced it.
func (c Config) HasEdit(editID string) bool {
	return slices.ContainsFunc(c.History, func(e Edit) bool { return e.EditID == editID })
}

// EditsSince returns the history entries of edits based on version or a later
// one, and whether the history is complete back to version.
func (c Config) EditsSince(version uint64) (edits []Edit, complete bool) {
	edits = lo.Filter(c.History, func(e Edit, _ int) bool { return e.BaseVersion >= version })
	return edits, len(c.History) < MaxHistory || len(edits) < len(c.History)
}

func (c Config) clone() Config {
	c.Exceptions = slices.Clone(c.Exceptions)
	c.History = slices.Clone(c.History)
	return c
}

func lastEdits(history []Edit, count int) []Edit {
	return history[max(0, len(history)-count):]
}
