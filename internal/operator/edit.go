package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/danielgtaylor/huma/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// readTimeout bounds a read of the configuration from the store.
	readTimeout  = 3 * time.Second
	maxEditBytes = 256 << 10
)

// Sources of a ConfigView.
const (
	// SourceStore means that the configuration was read from the store.
	SourceStore = "store"
	// SourceActive means that the store could not be read and that the
	// configuration is the one active on the responding entry.
	SourceActive = "in_force"
)

// ConfigView is the fleet configuration as an entry returns it.
type ConfigView struct {
	Version uint64 `json:"version"`
	Source  string `json:"source" enum:"store,in_force"`
	// InForce is the version active on the responding entry.
	InForce uint64             `json:"in_force"`
	Config  fleetconfig.Config `json:"config"`
}

// EditRequest requests changes to the configuration.
type EditRequest struct {
	// EditID is random for each edit. A request that is repeated with the same
	// id is applied only once.
	EditID      string               `json:"edit_id" minLength:"8" maxLength:"64" pattern:"^[0-9A-Za-z-]+$"`
	Author      string               `json:"author" minLength:"1" maxLength:"128"`
	BaseVersion uint64               `json:"base_version" doc:"Version that the edit was made on; 0: there is none yet"`
	Changes     []fleetconfig.Change `json:"changes" minItems:"1" maxItems:"16"`
}

// EditOutcome is the outcome of an edit.
type EditOutcome string

// Outcomes of an edit.
const (
	EditApplied EditOutcome = "applied"
	// EditConflict means that another edit was applied first; nothing was changed.
	EditConflict EditOutcome = "conflict"
	// EditRejected means that the edit is invalid; nothing was changed.
	EditRejected EditOutcome = "refused"
	// EditUnknown means that the edit may have been applied or may still be applied.
	EditUnknown EditOutcome = "unknown"
	// EditStoreUnavailable means that the store could not be reached; nothing
	// was changed.
	EditStoreUnavailable EditOutcome = "store_unavailable"
)

// EditResult is the response to an EditRequest.
type EditResult struct {
	Outcome EditOutcome `json:"outcome"`
	EditID  string      `json:"edit_id"`
	Message string      `json:"message"`
	// Version is the last known version of the object in the store.
	Version uint64 `json:"version"`
	// Differences and Since are set on a conflict: the requested values next to
	// the current ones, and the edits made since the base version.
	Differences []fleetconfig.Difference `json:"differences,omitempty"`
	Since       []fleetconfig.Edit       `json:"since,omitempty"`
	// Warnings lists names in the changes that are not in the VM list.
	Warnings []string `json:"warnings,omitempty"`
}

var statusOfOutcome = map[EditOutcome]int{
	EditApplied:          http.StatusOK,
	EditConflict:         http.StatusConflict,
	EditRejected:         http.StatusUnprocessableEntity,
	EditUnknown:          http.StatusGatewayTimeout,
	EditStoreUnavailable: http.StatusServiceUnavailable,
}

// errConflict and errAlreadyApplied abort an update before it writes.
var (
	errConflict       = eris.New("another edit came first")
	errAlreadyApplied = eris.New("the edit is already applied")
)

type configOutput struct{ Body ConfigView }

type editInput struct{ Body EditRequest }

type editOutput struct {
	Status int
	Body   EditResult
}

func editOperation(o *huma.Operation) { o.MaxBodyBytes = maxEditBytes }

func (s *Server) getConfig(ctx context.Context, _ *struct{}) (*configOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	active := s.sources.Fleet.Config()
	view := ConfigView{Source: SourceStore, InForce: active.Version}
	object, err := s.sources.Store.Get(ctx, fleetconfig.ObjectName)
	if err != nil {
		object = active
		view.Source = SourceActive
	}
	view.Version = object.Version
	view.Config, err = decodeConfig(object)
	if err != nil {
		return nil, huma.Error500InternalServerError("the stored configuration cannot be read", err)
	}
	return &configOutput{Body: view}, nil
}

func (s *Server) edit(ctx context.Context, in *editInput) (*editOutput, error) {
	// The edit continues if the operator disconnects, so that its outcome is
	// still determined and logged.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.EditTimeout)
	defer cancel()
	request := in.Body
	now := time.Now().UTC()
	object, outcome, err := sharedstate.Update(ctx, s.sources.Store, fleetconfig.ObjectName,
		func(base sharedstate.Object, writeID string) ([]byte, error) {
			return applyEdit(base, writeID, request, now)
		})
	result := newEditResult(request, object, outcome, err)
	if result.Outcome == EditApplied {
		s.sources.Fleet.Accept(object)
		result.Warnings = s.warnings(ctx, request.Changes)
	}
	log.WithFields(log.Fields{
		"edit_id": request.EditID, "author": request.Author,
		"outcome": result.Outcome, "version": result.Version,
	}).Info("edit of the fleet configuration")
	return &editOutput{Status: statusOfOutcome[result.Outcome], Body: result}, nil
}

// applyEdit returns the value of the object with the edit applied.
func applyEdit(base sharedstate.Object, writeID string, r EditRequest, now time.Time) ([]byte, error) {
	config, err := decodeConfig(base)
	if err != nil {
		return nil, err
	}
	if config.HasEdit(r.EditID) {
		return nil, errAlreadyApplied
	}
	if base.Version != r.BaseVersion {
		return nil, errConflict
	}
	config, err = fleetconfig.Apply(config, fleetconfig.EditMetadata{
		Author:      r.Author,
		At:          now,
		EditID:      r.EditID,
		WriteID:     writeID,
		BaseVersion: base.Version,
	}, r.Changes...)
	if err != nil {
		return nil, err
	}
	return config.Encode()
}

// newEditResult converts the outcome of an update to the operator's response.
// It must keep two kinds of store errors apart: those after which the edit has
// certainly not been applied, and those after which it may have been.
func newEditResult(r EditRequest, object sharedstate.Object, outcome sharedstate.Outcome, err error) EditResult {
	result := EditResult{EditID: r.EditID, Version: object.Version}
	switch {
	case outcome == sharedstate.Applied, errors.Is(err, errAlreadyApplied):
		result.Outcome = EditApplied
		result.Message = fmt.Sprintf("in force as of version %d", object.Version)
	case outcome == sharedstate.Superseded, errors.Is(err, errConflict), errors.Is(err, sharedstate.ErrConflict):
		return conflictResult(r, object, outcome)
	case outcome == sharedstate.OutcomeUnknown:
		return unknownResult(r, object)
	case errors.Is(err, sharedstate.ErrUnavailable), errors.Is(err, sharedstate.ErrNotSent):
		result.Outcome = EditStoreUnavailable
		result.Message = "the platform's store cannot be reached; nothing was changed: " + err.Error()
	default:
		result.Outcome = EditRejected
		result.Message = err.Error()
	}
	return result
}

// conflictResult returns the requested and the current values for an edit that
// conflicts with another one, or an unknown result if the configuration cannot be
// decoded or its history does not reach back far enough to show whether the edit
// was applied.
func conflictResult(r EditRequest, current sharedstate.Object, outcome sharedstate.Outcome) EditResult {
	config, err := decodeConfig(current)
	since, complete := config.EditsSince(r.BaseVersion)
	if err != nil || (outcome == sharedstate.Superseded && !complete) {
		return unknownResult(r, current)
	}
	return EditResult{
		Outcome: EditConflict,
		EditID:  r.EditID,
		Version: current.Version,
		Message: fmt.Sprintf("made on version %d, but version %d is in force; nothing was changed",
			r.BaseVersion, current.Version),
		Differences: fleetconfig.Compare(config, r.Changes),
		Since:       since,
	}
}

func unknownResult(r EditRequest, object sharedstate.Object) EditResult {
	return EditResult{
		Outcome: EditUnknown,
		EditID:  r.EditID,
		Version: object.Version,
		Message: "the store's reply was lost; the edit may be in force, now or later. " +
			"Read the history back and look for edit " + r.EditID,
	}
}

// warnings lists the names in changes that are not in the VM list. They are not
// errors, because a VM may not be listed yet; but without a warning, a mistyped
// name in a drain would be noticed only when the wrong machine is serviced.
func (s *Server) warnings(ctx context.Context, changes []fleetconfig.Change) []string {
	peers, err := s.sources.Fleet.Peers(ctx)
	if err != nil {
		return []string{"names were not compared with the VM list: " + err.Error()}
	}
	warnings := []string{}
	for _, scope := range changedScopes(changes) {
		if !hasPeer(peers, scope.BackendServer, func(p Peer) string { return p.Name }) {
			warnings = append(warnings, "the VM list has no backend server "+scope.BackendServer)
		}
		if !hasPeer(peers, scope.DataCentre, func(p Peer) string { return p.DataCentre }) {
			warnings = append(warnings, "the VM list has no data centre "+scope.DataCentre)
		}
	}
	return warnings
}

// changedScopes returns the scopes of the exceptions and drains in changes.
func changedScopes(changes []fleetconfig.Change) []fleetconfig.Scope {
	return lo.FilterMap(changes, func(c fleetconfig.Change, _ int) (fleetconfig.Scope, bool) {
		switch {
		case c.AddException != nil:
			return c.AddException.Scope, true
		case c.Drain != nil:
			return fleetconfig.Scope{BackendServer: c.Drain.BackendServer}, true
		default:
			return fleetconfig.Scope{}, false
		}
	})
}

// hasPeer reports whether a field of any peer equals name, or name is empty.
func hasPeer(peers []Peer, name string, field func(Peer) string) bool {
	return name == "" || lo.ContainsBy(peers, func(p Peer) bool { return field(p) == name })
}

// decodeConfig decodes an object. An object that does not exist decodes to an
// empty Config.
func decodeConfig(o sharedstate.Object) (fleetconfig.Config, error) {
	if o.Version == 0 {
		return fleetconfig.Config{}, nil
	}
	return fleetconfig.Parse(o.Value)
}
