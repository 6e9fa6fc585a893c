package e2e_test

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/fleet"
)

// holdRuns returns how often each hold ran, summed over the backend servers of the
// service.
func holdRuns(f *fleet.Fleet) map[string]int {
	runs := map[string]int{}
	for _, name := range f.Services["holds"] {
		record, err := f.ServiceRecord(context.Background(), name)
		Expect(err).NotTo(HaveOccurred())
		for subject, n := range record.Runs {
			runs[subject] += n
		}
	}
	return runs
}

// expectGuarantees checks what must hold under any fault: successful answers are
// whole and the caller's own, holds ran at most once, the verdicts "not_run" and
// "ran" are true, and no engine recorded a violation.
func expectGuarantees(f *fleet.Fleet, results []fleet.Result) {
	GinkgoHelper()
	runs := holdRuns(f)
	for subject, n := range runs {
		Expect(n).To(BeNumerically("<=", 1), "runs of %s", subject)
	}
	for _, r := range results {
		Expect(r.Incorrect).To(BeFalse(), "wrong answer: %s", r)
		if r.Kind != fleet.Hold {
			continue
		}
		switch r.Answer.Verdict {
		case "not_run":
			Expect(runs[r.Subject]).To(BeZero(), "%s was answered with verdict not_run: %s", r.Subject, r.Answer.Body)
		case "ran":
			Expect(runs[r.Subject]).To(Equal(1), "%s was answered with verdict ran", r.Subject)
		}
	}
	expectNoViolations(f)
}

func expectNoViolations(f *fleet.Fleet) {
	GinkgoHelper()
	for _, name := range f.Engines {
		record, err := f.EngineRecord(context.Background(), name)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Violations).To(BeEmpty(), name)
	}
}

// expectNoneFailed checks that no call failed and that there were calls of every
// kind.
func expectNoneFailed(results []fleet.Result) {
	GinkgoHelper()
	failed := lo.Filter(results, func(r fleet.Result, _ int) bool { return !r.OK() })
	Expect(failed).To(BeEmpty(), "%d of %d calls failed, for example:\n%s", len(failed), len(results), describeFirst(failed))
	byKind := lo.CountValuesBy(results, func(r fleet.Result) fleet.Kind { return r.Kind })
	for _, kind := range fleet.Kinds {
		Expect(byKind[kind]).To(BeNumerically(">", 0), "calls of kind %s", kind)
	}
}

// describeFirst describes the first five results.
func describeFirst(results []fleet.Result) string {
	lines := lo.Map(lo.Slice(results, 0, 5), func(r fleet.Result, _ int) string { return r.String() })
	return strings.Join(lines, "\n")
}

// expectRecovery waits until calls of every kind succeed.
func expectRecovery(l *fleet.Load) {
	GinkgoHelper()
	expectCalls(l, fleet.Kinds...)
}

// expectCalls waits until more than five further calls of each of the kinds have
// succeeded.
func expectCalls(l *fleet.Load, kinds ...fleet.Kind) {
	GinkgoHelper()
	for _, kind := range kinds {
		before := l.Count(kind)
		Eventually(func() int { return l.Count(kind) }, eventuallyTimeout, "50ms").Should(BeNumerically(">", before+5), string(kind))
	}
}
