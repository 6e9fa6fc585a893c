package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/retry"
)

var _ = Describe("Sends", func() {
	limit := retry.AttemptLimit{Share: 0.2, Slack: 80, Window: 10 * time.Second}

	// A service fails every request. Eight entries send each of them again as
	// often as they may; together they must stay within what the service bears.
	It("keeps all entries together within the bound in a storm", func() {
		const entries, perSecond = 8, 10
		extra := 0
		var all []*retry.AttemptLimiter
		for range entries {
			all = append(all, retry.NewAttemptLimiter(limit))
		}
		requests := 0
		for ms := range 10_000 {
			if ms%(1000/perSecond) != 0 {
				continue
			}
			for _, s := range all {
				now := at(time.Duration(ms) * time.Millisecond)
				s.CountRequest(now)
				requests++
				for s.Allow(now, entries) {
					extra++
				}
			}
		}
		Expect(float64(extra)).To(BeNumerically("<=", limit.Share*float64(requests)+limit.Slack))
		Expect(extra).To(BeNumerically(">", 80))
	})

	It("allows again once the window is over", func() {
		s := retry.NewAttemptLimiter(retry.AttemptLimit{Slack: 1, Window: 10 * time.Second})
		Expect(s.Allow(at(0), 1)).To(BeTrue())
		Expect(s.Allow(at(5*time.Second), 1)).To(BeFalse())
		Expect(s.Allow(at(11*time.Second), 1)).To(BeTrue())
	})
})
