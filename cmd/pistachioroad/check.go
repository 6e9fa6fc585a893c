package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/configcheck"
	"pistachioroad.dev/pistachioroad/platform"
)

func checkConfigCommand() command {
	return command{
		name: "check-config", args: "FILE",
		summary: "Check a configuration of the users' platform before it is sent",
		details: "Calls no entry. Errors give exit status 6, with -strict warnings too.",
		example: "check-config -in-force main-41.json main-42.json",
		flags:   checkConfigFlags,
		run:     checkConfig,
		offline: true,
	}
}

func checkConfigFlags(set *flag.FlagSet, o *options) {
	set.StringVar(&o.inForce, "in-force", "", "`file` with the configuration in force, to show the differences")
	set.BoolVar(&o.strict, "strict", false, "treat warnings like errors in the exit status")
}

// checkResult is printed as JSON.
type checkResult struct {
	Errors      int                      `json:"errors"`
	Warnings    int                      `json:"warnings"`
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

func checkConfig(_ context.Context, a *app, args []string) error {
	if err := requireArgs(args, "FILE"); err != nil {
		return err
	}
	result := checkResult{Findings: []configcheck.Finding{}, Differences: []configcheck.Difference{}}
	next, failure, err := readConfig(args[0])
	if err != nil {
		return err
	}
	if failure != nil {
		result.Findings = append(result.Findings, *failure)
	} else {
		result.Findings = append(result.Findings, configcheck.Check(next)...)
	}
	if a.options.inForce != "" {
		inForce, broken, err := readConfig(a.options.inForce)
		if err != nil {
			return err
		}
		if broken != nil {
			return eris.Errorf("%s cannot be compared: %s: %s", a.options.inForce, broken.Place, broken.Text)
		}
		if failure == nil {
			differences, findings := configcheck.Compare(inForce, next)
			result.Differences = append(result.Differences, differences...)
			result.Findings = append(result.Findings, findings...)
		}
	}
	result.Errors = lo.CountBy(result.Findings, func(f configcheck.Finding) bool { return f.Severity == configcheck.Error })
	result.Warnings = len(result.Findings) - result.Errors
	return a.reportCheck(result)
}

// readConfig reads a configuration. The finding is nil unless it cannot be decoded.
func readConfig(path string) (configcheck.Document, *configcheck.Finding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return configcheck.Document{}, nil, eris.Wrap(err, "configuration")
	}
	document, finding := platform.ConfigDocument(data)
	return document, finding, nil
}

// reportCheck prints result. It returns an exitError if there are findings that count.
func (a *app) reportCheck(result checkResult) error {
	if a.options.json {
		if err := printJSON(a.stdout, result); err != nil {
			return err
		}
	} else {
		a.printCheck(result)
	}
	if result.Errors > 0 || (a.options.strict && result.Warnings > 0) {
		return &exitError{status: exitFindings}
	}
	return nil
}

func (a *app) printCheck(result checkResult) {
	for _, f := range result.Findings {
		fmt.Fprintf(a.stdout, "%s: %s: %s\n", f.Severity, printable(f.Place), printable(f.Text))
	}
	if len(result.Differences) > 0 {
		t := newTable(a.stdout)
		t.row("CHANGE", "SECTION", "NAME", "FIELD", "IN FORCE", "NEW")
		for _, d := range result.Differences {
			t.row(string(d.Change), d.Section, orDash(d.Name), orDash(d.Field), orDash(d.Old), orDash(d.New))
		}
		t.flush()
	}
	fmt.Fprintf(a.stdout, "%d errors, %d warnings, %d differences\n", result.Errors, result.Warnings, len(result.Differences))
}
