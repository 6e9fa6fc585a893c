package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var start = time.Unix(1_000_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var _ = Describe("Budget", func() {
	// Guards against running a request twice: the connection to a backend server breaks
	// while it may be running a request with side effects, which a retry would repeat.
	It("never retries a request that may have run and is not idempotent", func() {
		b := retry.New(retry.Config{})
		b.Succeeded(start, 1_000_000)
		Expect(b.Allow(start, retry.Attempt{CostTokens: 1, Remaining: time.Minute})).To(BeFalse())
		Expect(b.Allow(start, retry.Attempt{NotRun: true, CostTokens: 1, Remaining: time.Minute})).To(BeTrue())
		Expect(b.Allow(start, retry.Attempt{Idempotent: true, CostTokens: 1, Remaining: time.Minute})).To(BeTrue())
	})

	// Guards against retry storms: half of the backend servers fail. If each failed attempt
	// were retried until it succeeds, the other half would carry twice its load, and its
	// callers would wait as well.
	It("keeps retries below a tenth of the work in a retry storm", func() {
		b := retry.New(retry.Config{Share: 0.5}) // Above MaxShare.
		work, retried := 0, 0
		for i := range 60_000 {
			now := at(time.Duration(i) * time.Millisecond)
			work += 1_000
			if i%2 == 0 {
				b.Succeeded(now, 1_000)
				continue
			}
			if b.Allow(now, retry.Attempt{NotRun: true, CostTokens: 1_000, Remaining: time.Minute}) {
				retried += 1_000
			}
		}
		Expect(float64(retried) / float64(work)).To(BeNumerically("<", 0.1))
		Expect(retried).To(BeNumerically(">", 0))
	})

	It("stops soon after successes stop", func() {
		b := retry.New(retry.Config{})
		b.Succeeded(start, 10_000_000)
		allowed := 0
		for i := range 3_600 {
			if b.Allow(at(10*time.Minute+time.Duration(i)*time.Second), retry.Attempt{NotRun: true, CostTokens: 4_000, Remaining: time.Minute}) {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("<=", 2*3_600/10), "twice the floor of 4,000 tokens per 10 s")
	})

	It("rejects a retry that would miss the deadline", func() {
		b := retry.New(retry.Config{})
		a := retry.Attempt{NotRun: true, CostTokens: 1, Remaining: time.Second, RunTime: 2 * time.Second}
		Expect(b.Allow(start, a)).To(BeFalse())
	})
})
