package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/operator"
)

// readBackTimeout is the timeout for reading back an edit of unknown outcome.
const readBackTimeout = 3 * time.Second

func defaultsSetCommand() command {
	return command{
		name: "defaults set", args: "KEY=VALUE...",
		summary: "Set fleet-wide defaults; KEY= gives a key its built-in value again",
		details: "Keys: " + strings.Join(fleetconfig.Keys(), ", ") + ".",
		example: "defaults set role_change_cost=2 retry_share=0.05",
		flags:   editFlags,
		run:     setDefaults,
	}
}

func exceptionAddCommand() command {
	return command{
		name: "exception add", args: "KEY=VALUE...",
		summary: "Add an exception with a scope and a reason",
		details: "At least one part of a scope is needed; several parts must all match.\n" +
			"The more specific of two exceptions wins. Keys: " + strings.Join(fleetconfig.Keys(), ", ") + ".",
		example: `exception add -model hanbit-draft -reason "fair week" -expires 72h role_change_cost=2`,
		flags: func(set *flag.FlagSet, o *options) {
			editFlags(set, o)
			reasonFlag(set, o)
			scopeFlagSet(set, o)
		},
		run: addException,
	}
}

func exceptionRemoveCommand() command {
	return command{
		name: "exception remove", args: "ID",
		summary: "Remove an exception",
		example: "exception remove x4f1c09aa",
		flags:   editFlags,
		run: func(ctx context.Context, a *app, args []string) error {
			if err := requireArgs(args, "ID"); err != nil {
				return err
			}
			return a.edit(ctx, fleetconfig.Change{RemoveException: args[0]})
		},
	}
}

func drainCommand() command {
	return command{
		name: "drain", args: "BACKEND",
		summary: "Take a backend server out of service; what runs there finishes",
		details: "A drain is an exception: it shows in exception list and stays until undrain.",
		example: `drain gangnam-draft-1 -reason "new accelerator"`,
		flags: func(set *flag.FlagSet, o *options) {
			editFlags(set, o)
			reasonFlag(set, o)
		},
		run: drain,
	}
}

func undrainCommand() command {
	return command{
		name: "undrain", args: "BACKEND",
		summary: "Take a drained backend server back into service",
		example: "undrain gangnam-draft-1",
		flags:   editFlags,
		run: func(ctx context.Context, a *app, args []string) error {
			if err := requireArgs(args, "BACKEND"); err != nil {
				return err
			}
			return a.edit(ctx, fleetconfig.Change{Undrain: args[0]})
		},
	}
}

func setDefaults(ctx context.Context, a *app, args []string) error {
	if len(args) == 0 {
		return usageError("expected KEY=VALUE")
	}
	pairs, unset := []string{}, []string{}
	for _, arg := range args {
		if key, ok := strings.CutSuffix(arg, "="); ok {
			unset = append(unset, key)
			continue
		}
		pairs = append(pairs, arg)
	}
	changes := []fleetconfig.Change{}
	if len(pairs) > 0 {
		values, err := fleetconfig.ParseValues(pairs)
		if err != nil {
			return usageError("%s", eris.ToString(err, false))
		}
		changes = append(changes, fleetconfig.Change{SetDefaults: &values})
	}
	if len(unset) > 0 {
		changes = append(changes, fleetconfig.Change{UnsetDefaults: unset})
	}
	return a.edit(ctx, changes...)
}

func addException(ctx context.Context, a *app, args []string) error {
	if len(args) == 0 {
		return usageError("expected KEY=VALUE")
	}
	values, err := fleetconfig.ParseValues(args)
	if err != nil {
		return usageError("%s", eris.ToString(err, false))
	}
	reason, err := a.reason()
	if err != nil {
		return err
	}
	expires, err := parseExpires(a.options.expires, time.Now())
	if err != nil {
		return err
	}
	scope := a.options.scope
	return a.edit(ctx, fleetconfig.Change{AddException: &fleetconfig.NewException{
		Scope: fleetconfig.Scope{
			Service:       scope.service,
			Model:         scope.model,
			DataCentre:    scope.dataCentre,
			BackendServer: scope.backendServer,
		},
		Values:  values,
		Reason:  reason,
		Expires: expires,
	}})
}

func drain(ctx context.Context, a *app, args []string) error {
	if err := requireArgs(args, "BACKEND"); err != nil {
		return err
	}
	reason, err := a.reason()
	if err != nil {
		return err
	}
	return a.edit(ctx, fleetconfig.Change{Drain: &fleetconfig.Drain{BackendServer: args[0], Reason: reason}})
}

func (a *app) reason() (string, error) {
	reason := strings.TrimSpace(a.options.reason)
	if reason == "" {
		return "", usageError("-reason is missing: whoever reads the list in a month must see why")
	}
	return reason, nil
}

// parseExpires parses an RFC 3339 time or a duration from now. It returns nil if text is
// empty.
func parseExpires(text string, now time.Time) (*time.Time, error) {
	if text == "" {
		return nil, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		t := now.Add(d).UTC().Truncate(time.Second)
		return &t, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return nil, usageError("-expires %q is neither a duration such as 4h nor a time such as 2026-11-02T18:00:00Z", text)
	}
	return &t, nil
}

// edit applies changes to the version given by -version, or else to the current one, and
// prints the result.
func (a *app) edit(ctx context.Context, changes ...fleetconfig.Change) error {
	if a.options.author == "" {
		return usageError("-author is missing")
	}
	base, err := a.baseVersion(ctx)
	if err != nil {
		return err
	}
	request := operator.EditRequest{
		EditID:      uuid.NewString(),
		Author:      a.options.author,
		BaseVersion: base,
		Changes:     changes,
	}
	result, err := a.client.edit(ctx, request)
	if errors.Is(err, errResponseLost) {
		result, err = operator.EditResult{
			Outcome: operator.EditUnknown, EditID: request.EditID, Message: err.Error(),
		}, nil
	}
	if err != nil {
		return err
	}
	if result.Outcome == operator.EditUnknown {
		result = a.readBack(ctx, result)
	}
	return a.reportResult(result)
}

// baseVersion returns the version that an edit is based on.
func (a *app) baseVersion(ctx context.Context) (uint64, error) {
	if a.options.version != 0 {
		return a.options.version, nil
	}
	var view operator.ConfigView
	if err := a.client.get(ctx, "/fleet/config", &view); err != nil {
		return 0, err
	}
	if view.Source != operator.SourceStore {
		return 0, &exitError{
			status:  exitStoreUnavailable,
			message: "the platform's store cannot be reached; nothing was changed",
		}
	}
	return view.Version, nil
}

// readBack searches the configuration for an edit of unknown outcome. If it is found, it
// was applied. If not, the outcome remains unknown, as the edit may still be in flight.
func (a *app) readBack(ctx context.Context, result operator.EditResult) operator.EditResult {
	// The timeout of the whole command may have expired.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	var view operator.ConfigView
	if err := a.client.get(ctx, "/fleet/config", &view); err != nil {
		return result
	}
	if view.Source == operator.SourceStore && view.Config.HasEdit(result.EditID) {
		result.Outcome = operator.EditApplied
		result.Message = fmt.Sprintf("found on reading back version %d", view.Version)
	}
	result.Version = view.Version
	return result
}

var exitStatusByOutcome = map[operator.EditOutcome]exitStatus{
	operator.EditApplied:          exitOK,
	operator.EditConflict:         exitConflict,
	operator.EditRejected:         exitFailed,
	operator.EditUnknown:          exitOutcomeUnknown,
	operator.EditStoreUnavailable: exitStoreUnavailable,
}

// reportResult prints result. It returns an exitError unless the edit was applied.
func (a *app) reportResult(result operator.EditResult) error {
	status, known := exitStatusByOutcome[result.Outcome]
	if !known {
		status = exitOutcomeUnknown
	}
	if a.options.json {
		if err := printJSON(a.stdout, result); err != nil {
			return err
		}
	} else {
		a.printResult(result)
	}
	if status == exitOK {
		return nil
	}
	return &exitError{status: status}
}

func (a *app) printResult(result operator.EditResult) {
	w := a.stdout
	if result.Outcome != operator.EditApplied {
		w = a.stderr
	}
	fmt.Fprintf(w, "%s: %s\n", result.Outcome, printable(result.Message))
	if result.Outcome == operator.EditUnknown {
		fmt.Fprintf(w, "Do not repeat it yet: look for edit %s in \"pistachioroad config history\".\n", result.EditID)
	}
	for _, warning := range result.Warnings {
		fmt.Fprintln(a.stderr, "warning: "+printable(warning))
	}
	if len(result.Differences) > 0 {
		t := newTable(w)
		t.row("KEY", "YOURS", "CURRENT")
		for _, d := range result.Differences {
			t.row(d.Key, d.Yours, d.Current)
		}
		t.flush()
	}
	for _, e := range result.Since {
		fmt.Fprintf(w, "since then: %s %s: %s\n", timeText(e.At), printable(e.Author), printable(e.What))
	}
}
