package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/retry"
)

var _ = Describe("AttemptLimiter", func() {
	limit := retry.AttemptLimit{Share: 0.2, Slack: 80, Window: 10 * time.Second}

	// Guards against retry storms: a service fails every request and eight gateways retry
	// as often as they may. Together they must stay within the service's limit.
	It("keeps all gateways together within the limit in a retry storm", func() {
		const gateways, perSecond = 8, 10
		extra := 0
		var all []*retry.AttemptLimiter
		for range gateways {
			all = append(all, retry.NewAttemptLimiter(limit))
		}
		requests := 0
		for ms := range 10_000 {
			if ms%(1000/perSecond) != 0 {
				continue
			}
			for _, l := range all {
				now := at(time.Duration(ms) * time.Millisecond)
				l.CountRequest(now)
				requests++
				for l.Allow(now, gateways) {
					extra++
				}
			}
		}
		Expect(float64(extra)).To(BeNumerically("<=", limit.Share*float64(requests)+limit.Slack))
		Expect(extra).To(BeNumerically(">", 80))
	})

	It("allows attempts again after the window", func() {
		s := retry.NewAttemptLimiter(retry.AttemptLimit{Slack: 1, Window: 10 * time.Second})
		Expect(s.Allow(at(0), 1)).To(BeTrue())
		Expect(s.Allow(at(5*time.Second), 1)).To(BeFalse())
		Expect(s.Allow(at(11*time.Second), 1)).To(BeTrue())
	})
})
