package e2e_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/test/faultproxy"
	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

const (
	// balancerLag is how long the load balancer continues to send calls to an entry
	// that is not ready.
	balancerLag = time.Second
	// noNewWorkAfter is the time within which a backend server that is drained or
	// leaving must stop getting new work.
	noNewWorkAfter = 5 * time.Second
	stopTimeout    = 60 * time.Second
	// shortShutdown is a shutdown timeout shorter than some calls take.
	shortShutdown = time.Second
)

// expectNothingInterrupted checks that every call either succeeded or was rejected
// as not run with a Retry-After header, and that more than half succeeded.
func expectNothingInterrupted(results []fleet.Result) {
	GinkgoHelper()
	interrupted := lo.Filter(results, func(r fleet.Result, _ int) bool { return !r.OK() && !r.Rejected() })
	Expect(interrupted).To(BeEmpty(), "%d of %d calls were interrupted, for example:\n%s", len(interrupted), len(results), describeFirst(interrupted))
	Expect(lo.CountBy(results, fleet.Result.OK)).To(BeNumerically(">", len(results)/2))
}

var _ = Describe("A planned change", func() {
	// Guards against interrupted streams: operators set new weights for the whole
	// fleet under load, and the engines load them concurrently or without waiting
	// for their streams to finish.
	It("loads new weights on every engine without interrupting a call", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		mustTool(f, "entry-1", "defaults", "set", "weights=2")
		expectWeights(f, "2")
		expectRecovery(l)
		results := l.Stop()
		expectNothingInterrupted(results)
		expectGuarantees(f, results)
	})

	// Rolling restart: every process is replaced in turn under load.
	It("restarts every process in turn without interrupting a call", func() {
		o := smallFleet()
		o.ModifySettings = func(s *settings.Settings) {
			if s.Entry != nil {
				s.Entry.BalancerLag = balancerLag
			}
		}
		f := start(o)
		l := f.StartLoad()
		expectRecovery(l)
		for _, vm := range f.VMs {
			restart(f, l, vm.Name)
			expectRecovery(l)
		}
		results := l.Stop()
		expectNothingInterrupted(results)
		expectGuarantees(f, results)
	})

	// Guards against calls that are cut without an answer because they take longer than
	// their entry or sidecar has left when it stops.
	It("answers every call although processes that restart have no time for all", func() {
		o := smallFleet()
		o.ModifySettings = func(s *settings.Settings) {
			if s.Entry != nil {
				s.Entry.BalancerLag, s.Entry.ShutdownTimeout = balancerLag, shortShutdown
			} else {
				s.Sidecar.ShutdownTimeout = shortShutdown
			}
		}
		f := start(o)
		for _, name := range f.Services["holds"] {
			Expect(f.SetServiceFaults(context.Background(), name, plainservice.Faults{DelayMS: int(4 * shortShutdown / time.Millisecond)})).To(Succeed())
		}
		l := f.StartLoad()
		for _, name := range append(slices.Clone(f.Entries), f.Services["holds"]...) {
			time.Sleep(shortShutdown)
			restart(f, l, name)
		}
		results := l.Stop()
		unanswered := lo.Filter(results, func(r fleet.Result, _ int) bool { return r.TransferErr != nil && r.Kind != fleet.Stream })
		Expect(unanswered).To(BeEmpty(), "%d of %d calls have no answer, for example:\n%s", len(unanswered), len(results), describeFirst(unanswered))
		expectGuarantees(f, results)
	})

	It("gives a drained backend server no new work until it is undrained", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		mustTool(f, "entry-2", "drain", "engine-1", "-reason", "new accelerator", "-author", "e2e")
		expectNoNewWork(f, l, "engine-1")
		mustTool(f, "entry-1", "undrain", "engine-1", "-author", "e2e")
		before := engineRuns(f, "engine-1")
		Eventually(func() int { return engineRuns(f, "engine-1") }, eventuallyTimeout, "100ms").Should(BeNumerically(">", before))
		results := l.Stop()
		expectNothingInterrupted(results)
		expectGuarantees(f, results)
	})

	// Guards against sending work to a VM that the platform has marked as leaving,
	// where it would be lost. The VM list lags, and the store may be unavailable or
	// the link unresponsive at the same time.
	DescribeTable("gives a leaving backend server no new work", func(fault func(*fleet.Fleet)) {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		for i := range f.VMs {
			if f.VMs[i].Name == "engine-2" {
				f.VMs[i].Draining = true
			}
		}
		Expect(f.PublishVMs(context.Background())).To(Succeed())
		fault(f)
		expectNoNewWork(f, l, "engine-2")
		expectGuarantees(f, l.Stop())
	},
		Entry("known from the VM list", func(*fleet.Fleet) {}),
		Entry("known from the VM list, with an unresponsive link", func(f *fleet.Fleet) {
			f.Proxies["engine-2"].Set(faultproxy.Mode{BlackholeNew: true})
			f.Proxies["engine-2"].BlackholeExisting()
		}),
		Entry("known from its own announcement, with the platform unavailable", func(f *fleet.Fleet) {
			Expect(f.SetPlatformFaults(context.Background(), objectstore.Faults{Unavailable: true})).To(Succeed())
			f.Processes["engine-2"].Terminate()
		}),
	)

	// Guards against two sidecars that give orders to one engine: a second one is
	// started on the VM by mistake.
	It("does not start a second sidecar on one VM", func() {
		f := start(smallFleet())
		second := exec.Command(filepath.Join(bin, "pistachioroadd"), "-settings", filepath.Join(filepath.Dir(f.TokenFile()), "engine-1.yaml"))
		output, err := second.CombinedOutput()
		Expect(err).To(HaveOccurred(), string(output))
		Expect(second.ProcessState.ExitCode()).To(BeNumerically(">", 0))
		Expect(string(output)).To(ContainSubstring("address already in use"))
	})
})

// restart restarts one process gracefully with SIGTERM, as its supervisor does. If
// it is an entry, callers stop using it shortly after the signal, as the load
// balancer does for an entry that is not ready.
func restart(f *fleet.Fleet, l *fleet.Load, name string) {
	GinkgoHelper()
	p := f.Processes[name]
	p.Terminate()
	if lo.Contains(f.Entries, name) {
		time.Sleep(balancerLag / 4)
		l.SetEntries(lo.Without(f.Entries, name)...)
	}
	Expect(p.Wait(stopTimeout)).To(Equal(exitDone), name)
	Expect(p.Restart()).To(Succeed())
	Expect(p.WaitReady(context.Background())).To(Succeed())
	l.SetEntries(f.Entries...)
}

func engineRuns(f *fleet.Fleet, name string) int {
	GinkgoHelper()
	record, err := f.EngineRecord(context.Background(), name)
	Expect(err).NotTo(HaveOccurred())
	return len(record.Runs)
}

// expectNoNewWork waits for noNewWorkAfter, then checks that an engine gets no
// work while calls continue to succeed on the others.
func expectNoNewWork(f *fleet.Fleet, l *fleet.Load, name string) {
	GinkgoHelper()
	time.Sleep(noNewWorkAfter)
	before, succeeded := engineRuns(f, name), l.Count(fleet.Draft)
	time.Sleep(2 * time.Second)
	Expect(engineRuns(f, name)).To(Equal(before))
	Expect(l.Count(fleet.Draft)).To(BeNumerically(">", succeeded))
}

var _ = Describe("Configuration", func() {
	// Guards against lost edits: two operators edit the same version concurrently
	// through two entries, and one edit overwrites the other if both are accepted.
	It("accepts one of two concurrent edits and shows the other operator both values", func() {
		f := start(smallFleet())
		mustTool(f, "entry-1", "defaults", "set", "retry_share=0.08", "-author", "first")
		version := expectConfigActive(f, 0)
		type outcome struct {
			output string
			status int
		}
		outcomes := make(chan outcome)
		for _, entry := range f.Entries {
			go func() {
				defer GinkgoRecover()
				output, status := tool(f, entry, "defaults", "set", "role_change_cost="+entry[len(entry)-1:],
					"-version", fmt.Sprint(version), "-author", entry)
				outcomes <- outcome{output, status}
			}()
		}
		a, b := <-outcomes, <-outcomes
		Expect([]int{a.status, b.status}).To(ConsistOf(exitDone, exitConflict), a.output+b.output)
		loser := lo.Ternary(a.status == exitConflict, a, b)
		Expect(loser.output).To(ContainSubstring("role_change_cost"))
		expectConfigActive(f, version)
	})

	// Guards against a process that starts with an older configuration and reverts
	// its engine: the store becomes unavailable right after an edit, and processes
	// are restarted during the outage.
	It("never reverts the configuration when processes restart during a store outage", func() {
		f := start(smallFleet())
		mustTool(f, "entry-1", "defaults", "set", "weights=2")
		version := expectConfigActive(f, 0)
		expectWeights(f, "2")
		Expect(f.SetPlatformFaults(context.Background(), objectstore.Faults{Unavailable: true})).To(Succeed())
		output, exit := tool(f, "entry-1", "defaults", "set", "weights=3")
		Expect(exit).To(Equal(exitStoreUnavailable), output)
		for _, name := range []string{"engine-1", "holds-1"} {
			f.Processes[name].Kill()
			Expect(f.Processes[name].Restart()).To(Succeed())
		}
		Eventually(func() map[string]uint64 { return configVersions(f) }, eventuallyTimeout, "200ms").Should(
			And(HaveLen(len(f.VMs)), HaveEach(version)))
		Expect(f.SetPlatformFaults(context.Background(), objectstore.Faults{})).To(Succeed())
		Eventually(func() int {
			_, exit := tool(f, "entry-1", "defaults", "set", "weights=3")
			return exit
		}, eventuallyTimeout, "500ms").Should(Equal(exitDone))
		expectWeights(f, "3")
		expectConfigActive(f, version)
		expectNoViolations(f)
	})

	// Guards against a restarted entry that cannot serve during a platform outage,
	// when neither the VM list nor the store can be read: a rolling restart would
	// lose all entries. The entry gets the state from its peers.
	It("serves from a restarted entry while the platform is unavailable", func() {
		f := start(smallFleet())
		mustTool(f, "entry-1", "defaults", "set", "retry_share=0.05")
		version := expectConfigActive(f, 0)
		Expect(f.SetPlatformFaults(context.Background(), objectstore.Faults{Unavailable: true})).To(Succeed())
		f.Processes["entry-2"].Kill()
		restarted := time.Now()
		Expect(f.Processes["entry-2"].Restart()).To(Succeed())
		// configVersions fails the spec if the tool cannot connect.
		expectOperatorListener(f, "entry-2")
		Eventually(func() map[string]uint64 { return configVersions(f) }, eventuallyTimeout-time.Since(restarted), "200ms").Should(
			And(HaveLen(len(f.VMs)), HaveEach(version)))
		l := f.StartLoad()
		l.SetEntries("entry-2")
		expectCalls(l, fleet.Draft, fleet.Stream, fleet.LookUp)
		l.Stop()
	})

	// Guards against two active planners: the entry that holds the planner lease is
	// paused until the lease has expired and another has taken over, and resumes
	// with the state of a lease holder.
	It("follows only the new planner when the former one resumes", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		Eventually(func() string { return status(f, "entry-1").Planner }, eventuallyTimeout, "100ms").ShouldNot(BeEmpty())
		former := status(f, "entry-1").Planner
		other := lo.Without(f.Entries, former)[0]
		l.SetEntries(other)
		f.Processes[former].Pause()
		Eventually(func() string { return status(f, other).Planner }, eventuallyTimeout, "200ms").Should(Equal(other))
		mustTool(f, other, "defaults", "set", "weights=2")
		f.Processes[former].Resume()
		expectWeights(f, "2")
		expectRecovery(l)
		Eventually(func() string { return status(f, former).Planner }, eventuallyTimeout, "200ms").Should(Equal(other))
		expectGuarantees(f, l.Stop())
	})
})
