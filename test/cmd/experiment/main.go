// Command experiment simulates load scenarios on the decision code and prints one
// row for each deployment, scenario and policy.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"text/tabwriter"

	"pistachioroad.dev/pistachioroad/test/loadplay"
)

func main() {
	scenario := flag.String("scenario", "all", "name of the scenario, or all")
	deployment := flag.String("deployment", "all", "hanbit, authority, or all")
	policy := flag.String("policy", "all", "name of the policy, or all")
	seed := flag.Uint64("seed", 1, "seed of the traces and plays")
	asJSON := flag.Bool("json", false, "print the rows as JSON, one a line")
	plots := flag.String("plots", "", "directory for plots of mix, roles and goodput")
	parallel := flag.Int("parallel", max(1, runtime.NumCPU()/3), "plays at a time")
	flag.Parse()

	runs := runExperiments(*seed, *scenario, *deployment, *policy, *parallel)
	if len(runs) == 0 {
		fmt.Fprintln(os.Stderr, "experiment: no such scenario, deployment or policy")
		os.Exit(2)
	}
	show := printTable
	if *asJSON {
		show = printJSON
	}
	if err := show(runs); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
	if *plots == "" {
		return
	}
	for _, r := range runs {
		if err := writePlot(*plots, r); err != nil {
			fmt.Fprintln(os.Stderr, "experiment:", err)
			os.Exit(1)
		}
	}
}

func runExperiments(seed uint64, scenario, deployment, policy string, parallel int) []loadplay.Comparison {
	var policies []loadplay.Policy
	for _, p := range loadplay.Policies {
		if policy == "all" || policy == p.Name {
			policies = append(policies, p)
		}
	}
	var runs []loadplay.Comparison
	for _, d := range loadplay.Deployments {
		for _, s := range loadplay.Scenarios {
			if (scenario == "all" || scenario == s.Name) && (deployment == "all" || deployment == d.Name) {
				runs = append(runs, loadplay.Comparison{Deployment: d, Scenario: s})
			}
		}
	}
	if len(policies) == 0 {
		return nil
	}
	limit := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, r := range runs {
		wg.Go(func() { runs[i] = loadplay.Experiment(seed, r.Deployment, r.Scenario, policies, limit) })
	}
	wg.Wait()
	return runs
}

func printJSON(runs []loadplay.Comparison) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, run := range runs {
		for _, row := range run.Rows {
			if err := encoder.Encode(row); err != nil {
				return err
			}
		}
	}
	return nil
}

const header = "deployment\tscenario\tpolicy\tgood/offered\tgoodput\tof bound\tof oracle\tchanges\tof eager\t" +
	"first p50/p95/p99 ms\tgap p50/p95/p99 ms\trefused\texpired\tlate\tfailed\twasted\tJain\tlight good (of)\tlight first p95\t" +
	"lookups good\tlookup p99 ms\tretried\tcached"

func printTable(runs []loadplay.Comparison) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, run := range runs {
		for _, r := range run.Rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%.2f\t%.1f%%\t%.1f%%\t%d\t%.2f\t%.0f/%.0f/%.0f\t%.0f/%.0f/%.0f\t%d\t%d\t%d\t%d\t%.1f%%\t%.3f\t%.1f%% (%d)\t%.0f\t%.2f%%\t%.0f\t%.2f%%\t%.0f%%\n",
				r.Deployment, r.Scenario, r.Policy, r.Good, r.Offered, r.Goodput, 100*r.BoundFraction, 100*r.OracleFraction,
				r.Changes, r.EagerChangeRatio, r.TTFTP50, r.TTFTP95, r.TTFTP99, r.InterTokenP50, r.InterTokenP95, r.InterTokenP99,
				r.Rejected, r.Expired, r.Late, r.Failed, 100*r.WastedFraction, r.Jain, 100*r.LightGood, r.LightRequests, r.LightTTFTP95,
				100*r.LookupsGood, r.LookupP99, 100*r.RetriedFraction, 100*r.CacheHitRate)
		}
	}
	return w.Flush()
}
