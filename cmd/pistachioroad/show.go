package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/operator"
)

func statusCommand() command {
	return command{
		name:    "status",
		summary: "Show processes, versions in force, engines, pending changes and the store",
		example: "status",
		run:     showStatus,
	}
}

func defaultsGetCommand() command {
	return command{
		name: "defaults get", args: "[KEY...]",
		summary: "Show the fleet-wide defaults and their version",
		example: "defaults get role_change_cost",
		run:     getDefaults,
	}
}

func exceptionListCommand() command {
	return command{
		name:    "exception list",
		summary: "Show the exceptions with their reasons",
		example: "exception list",
		run:     listExceptions,
	}
}

func historyCommand() command {
	return command{
		name:    "config history",
		summary: "Show the last edits of defaults and exceptions",
		example: "config history",
		run:     showHistory,
	}
}

func dumpCommand() command {
	return command{
		name: "dump", args: "PROCESS",
		summary: "Show the state of each duty of a process",
		example: "dump gangnam-draft-1",
		run:     dumpProcess,
	}
}

func explainCommand() command {
	return command{
		name: "explain", args: "REQUEST|ENGINE",
		summary: "Show what was decided about a request or an engine, and why",
		details: "All processes are asked. Each remembers a bounded number of decisions, so old\n" +
			"ones are forgotten. The exit status is 1 if nobody remembers any.",
		example: "explain gangnam-draft-1",
		run:     explainSubject,
	}
}

// config reads the configuration. It prints a notice if the entry returned its active
// version because the store is unreachable.
func (a *app) config(ctx context.Context) (operator.ConfigView, error) {
	var view operator.ConfigView
	if err := a.client.get(ctx, "/fleet/config", &view); err != nil {
		return view, err
	}
	if view.Source != operator.SourceStore {
		fmt.Fprintln(a.stderr, "the platform's store cannot be reached; this is the version in force at the entry")
	}
	return view, nil
}

// defaultsOutput is the JSON output of "defaults get".
type defaultsOutput struct {
	Version uint64             `json:"version"`
	Source  string             `json:"source"`
	Set     fleetconfig.Values `json:"set"`
	InForce fleetconfig.Values `json:"in_force"`
}

func getDefaults(ctx context.Context, a *app, args []string) error {
	for _, key := range args {
		if !slices.Contains(fleetconfig.Keys(), key) {
			return usageError("there is no default %q; keys: %s", key, strings.Join(fleetconfig.Keys(), ", "))
		}
	}
	view, err := a.config(ctx)
	if err != nil {
		return err
	}
	set := view.Config.Defaults
	if a.options.json {
		withoutExceptions := fleetconfig.Config{Defaults: set}
		return printJSON(a.stdout, defaultsOutput{
			Version: view.Version, Source: view.Source,
			Set: set, InForce: withoutExceptions.EffectiveValues(fleetconfig.Scope{}, time.Now()),
		})
	}
	fmt.Fprintf(a.stdout, "version %d\n", view.Version)
	t := newTable(a.stdout)
	t.row("KEY", "VALUE")
	for _, key := range fleetconfig.Keys() {
		if len(args) == 0 || slices.Contains(args, key) {
			t.row(key, lo.CoalesceOrEmpty(set.Text(key), fleetconfig.BuiltInText(key)))
		}
	}
	t.flush()
	return nil
}

func listExceptions(ctx context.Context, a *app, args []string) error {
	if err := requireArgs(args); err != nil {
		return err
	}
	view, err := a.config(ctx)
	if err != nil {
		return err
	}
	if a.options.json {
		return printJSON(a.stdout, orEmpty(view.Config.Exceptions))
	}
	fmt.Fprintf(a.stdout, "version %d, %d of at most %d exceptions\n",
		view.Version, len(view.Config.Exceptions), fleetconfig.MaxExceptions)
	t := newTable(a.stdout)
	t.row("ID", "SCOPE", "VALUES", "AUTHOR", "AT", "EXPIRES", "REASON")
	for _, e := range view.Config.Exceptions {
		expires := "never"
		if e.Expires != nil {
			expires = timeText(*e.Expires)
		}
		t.row(e.ID, e.Scope.String(), e.Values.String(), e.Author, timeText(e.At), expires, e.Reason)
	}
	t.flush()
	return nil
}

func showHistory(ctx context.Context, a *app, args []string) error {
	if err := requireArgs(args); err != nil {
		return err
	}
	view, err := a.config(ctx)
	if err != nil {
		return err
	}
	if a.options.json {
		return printJSON(a.stdout, orEmpty(view.Config.History))
	}
	fmt.Fprintf(a.stdout, "version %d\n", view.Version)
	t := newTable(a.stdout)
	t.row("AT", "AUTHOR", "MADE ON", "WHAT", "EDIT")
	for _, e := range view.Config.History {
		t.row(timeText(e.At), e.Author, fmt.Sprint("version ", e.BaseVersion), e.What, e.EditID)
	}
	t.flush()
	return nil
}

func dumpProcess(ctx context.Context, a *app, args []string) error {
	if err := requireArgs(args, "PROCESS"); err != nil {
		return err
	}
	var dump operator.Dump
	if err := a.client.get(ctx, "/fleet/dump/"+url.PathEscape(args[0]), &dump); err != nil {
		return err
	}
	if a.options.json {
		return printJSON(a.stdout, dump)
	}
	fmt.Fprintf(a.stdout, "%s at %s\n", dump.Process, timeText(dump.At))
	for _, name := range slices.Sorted(maps.Keys(dump.Duties)) {
		duty := dump.Duties[name]
		fmt.Fprintf(a.stdout, "\n%s\n", strings.TrimSpace(name+": "+duty.Condition+" "+printable(duty.Detail)))
		if err := a.printState(duty.State); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) printState(state json.RawMessage) error {
	if len(state) == 0 {
		return nil
	}
	return printJSON(a.stdout, state)
}

func explainSubject(ctx context.Context, a *app, args []string) error {
	if err := requireArgs(args, "REQUEST|ENGINE"); err != nil {
		return err
	}
	var found operator.FleetExplanation
	if err := a.client.get(ctx, "/fleet/explain?subject="+url.QueryEscape(args[0]), &found); err != nil {
		return err
	}
	if a.options.json {
		if err := printJSON(a.stdout, found); err != nil {
			return err
		}
	} else {
		a.printExplanation(found)
	}
	if len(found.Records) == 0 {
		return &exitError{status: exitFailed, message: "no process that answered remembers " + args[0]}
	}
	return nil
}

func (a *app) printExplanation(found operator.FleetExplanation) {
	t := newTable(a.stdout)
	t.row("AT", "PROCESS", "DECISION", "WHY")
	for _, r := range found.Records {
		t.row(r.At.UTC().Format(time.RFC3339Nano), r.Process, r.Decision, r.Reason)
	}
	t.flush()
	for _, peer := range found.Silent {
		fmt.Fprintf(a.stderr, "%s did not answer: %s\n", peer.Process, printable(peer.Error))
	}
}

func showStatus(ctx context.Context, a *app, args []string) error {
	if err := requireArgs(args); err != nil {
		return err
	}
	var status operator.Status
	if err := a.client.get(ctx, "/fleet/status", &status); err != nil {
		return err
	}
	if a.options.json {
		return printJSON(a.stdout, status)
	}
	a.printSummary(status)
	a.printProcesses(status.Processes)
	a.printEngines(status.Engines)
	a.printChanges(status.Changes)
	return nil
}

func (a *app) printSummary(s operator.Status) {
	fmt.Fprintf(a.stdout, "as seen by %s at %s\n", s.Entry, timeText(s.At))
	store := "healthy"
	if !s.Store.Healthy {
		store = "NOT HEALTHY: " + printable(s.Store.Error)
	}
	fmt.Fprintf(a.stdout, "store: %s (last success %s ago)\n", store, durationText(s.Store.LastSuccess))
	fmt.Fprintf(a.stdout, "VM list: read %s ago\n", durationText(s.VMListAge))
	fmt.Fprintf(a.stdout, "planner: %s\n", orDash(s.Planner))
}

func (a *app) printProcesses(processes []operator.ProcessStatus) {
	fmt.Fprintf(a.stdout, "\n%d processes\n", len(processes))
	t := newTable(a.stdout)
	t.row("PROCESS", "KIND", "DATA CENTRE", "SERVICE", "STATE", "WORK", "HEARD", "VERSIONS IN FORCE")
	for _, p := range processes {
		t.row(p.Name, p.Kind, p.DataCentre, orDash(p.Service), string(p.State),
			workText(p.Work), durationText(p.LastHeard), versionsText(p.Versions))
	}
	t.flush()
}

func workText(w *operator.WorkStatus) string {
	switch {
	case w == nil:
		return "-"
	case w.Drained:
		return fmt.Sprintf("drained, %d running", w.Running)
	case !w.Admitting:
		return fmt.Sprintf("not admitting, %d running", w.Running)
	default:
		return fmt.Sprintf("%d running, %d queued", w.Running, w.Queued)
	}
}

func versionsText(versions map[string]uint64) string {
	parts := lo.Map(slices.Sorted(maps.Keys(versions)), func(name string, _ int) string {
		return name + "=" + strconv.FormatUint(versions[name], 10)
	})
	return orDash(strings.Join(parts, " "))
}

func (a *app) printEngines(engines []operator.EngineStatus) {
	fmt.Fprintf(a.stdout, "\n%d engines\n", len(engines))
	t := newTable(a.stdout)
	t.row("ENGINE", "DATA CENTRE", "WANTED", "ACTUAL", "STATE", "RUNNING", "QUEUED")
	for _, e := range engines {
		t.row(e.BackendServer, e.DataCentre, engineText(e.Wanted), engineText(e.Actual),
			engineCondition(e), strconv.Itoa(e.Running), strconv.Itoa(e.Queued))
	}
	t.flush()
}

func engineText(s operator.EngineState) string {
	if s.Generation == 0 && s.Role == "" {
		return "-"
	}
	return strings.Join([]string{
		orDash(s.Role), orDash(s.Model), orDash(s.Weights), fmt.Sprint("gen ", s.Generation),
	}, " ")
}

func engineCondition(e operator.EngineStatus) string {
	switch {
	case e.Drained:
		return "drained"
	case e.Changing:
		return "changing"
	case !e.Admitting:
		return "not admitting"
	default:
		return "serving"
	}
}

func (a *app) printChanges(changes []operator.PendingChange) {
	fmt.Fprintf(a.stdout, "\n%d pending changes\n", len(changes))
	if len(changes) == 0 {
		return
	}
	t := newTable(a.stdout)
	t.row("ENGINE", "CHANGE", "REASON")
	for _, c := range changes {
		t.row(c.BackendServer, c.What, c.Reason)
	}
	t.flush()
}
