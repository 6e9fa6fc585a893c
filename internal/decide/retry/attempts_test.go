package retry_test

import (
	"testing"
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
			all = append(all, retry.NewAttemptLimiter(limit, -2*limit.Window))
		}
		requests := 0
		for ms := range 10_000 {
			if ms%(1000/perSecond) != 0 {
				continue
			}
			for _, l := range all {
				now := time.Duration(ms) * time.Millisecond
				l.CountRequest(now, gateways)
				requests++
				for l.Hold(now, gateways).Allowed {
					l.Spend(now)
					extra++
				}
			}
		}
		Expect(float64(extra)).To(BeNumerically("<=", limit.Share*float64(requests)+limit.Slack))
		Expect(extra).To(BeNumerically(">", 80))
	})

	// Guards against twice the allowed attempts within a window: a storm at its end and
	// another right after it.
	It("keeps any span of the window's length within the limit", func() {
		for offset := range 500 {
			l := retry.NewAttemptLimiter(retry.AttemptLimit{Slack: 20, Window: 10 * time.Second}, -20*time.Second)
			var allowed []time.Duration
			for _, storm := range []time.Duration{0, 9 * time.Second, 9900 * time.Millisecond, 10_400 * time.Millisecond} {
				for ms := range 50 {
					now := storm + time.Duration(offset+ms)*time.Millisecond
					if l.Hold(now, 1).Allowed {
						l.Spend(now)
						allowed = append(allowed, now)
					}
				}
			}
			for i, first := range allowed {
				within := 0
				for _, later := range allowed[i:] {
					if later-first < 10*time.Second {
						within++
					}
				}
				Expect(within).To(BeNumerically("<=", 20))
			}
		}
	})

	// Guards against a retry storm of a process that does not know what the one before it,
	// or the other gateways, have used.
	DescribeTable("allows only the share of its requests after a start, and while the gateways are unknown", func(first bool, slackFrom time.Duration) {
		for _, gateways := range []int{0, 8} {
			l := retry.NewAttemptLimiter(limit, 0)
			if first {
				l.SetFirst()
			}
			allowed := func(now time.Duration, gateways int) (n int) {
				for l.Hold(now, gateways).Allowed {
					l.Spend(now)
					n++
				}
				return n
			}
			Expect(allowed(time.Second, gateways)).To(BeZero())
			requests, extra := 0, 0
			for now := time.Second; now < slackFrom; now += 20 * time.Millisecond {
				l.CountRequest(now, gateways)
				requests++
				extra += allowed(now, gateways)
				Expect(float64(extra)).To(BeNumerically("<=", limit.Share*float64(requests)))
				if now < limit.Window {
					Expect(float64(extra)).To(BeNumerically(">=", limit.Share*float64(requests)-1))
				}
			}
			Expect(float64(extra)).To(BeNumerically(">=", 0.95*limit.Share*float64(requests)))
			Expect(allowed(40*time.Second, 0)).To(BeZero(), "no slack while the gateways are unknown")
			Expect(allowed(40*time.Second, 8)).To(Equal(10))
		}
	},
		Entry("of the first process of its VM for a window", true, limit.Window),
		Entry("of a later one for two", false, 2*limit.Window),
	)

	It("allows attempts again after the window", func() {
		s := retry.NewAttemptLimiter(retry.AttemptLimit{Slack: 1, Window: 10 * time.Second}, -20*time.Second)
		Expect(s.Hold(0, 1).Allowed).To(BeTrue())
		s.Spend(0)
		Expect(s.Hold(5*time.Second, 1).Allowed).To(BeFalse())
		Expect(s.Hold(11*time.Second, 1).Allowed).To(BeTrue())
	})

	// Guards against attempts that reach servers in another window than the one in which
	// they were allowed.
	It("counts an attempt that is made late when it is made, and before that all the time", func() {
		const parts = 10
		l := retry.NewAttemptLimiter(retry.AttemptLimit{Slack: parts, Window: 10 * time.Second}, -20*time.Second)
		for range parts {
			Expect(l.Hold(0, 1).Allowed).To(BeTrue())
		}
		Expect(l.Hold(12*time.Second, 1).Allowed).To(BeFalse(), "all parts are held")
		for range parts {
			l.Spend(12 * time.Second)
		}
		Expect(l.Hold(21*time.Second, 1).Allowed).To(BeFalse(), "all parts are spent within the window")
		Expect(l.Hold(23*time.Second, 1).Allowed).To(BeTrue())
		l.Release()
		for range parts {
			Expect(l.Hold(23*time.Second, 1).Allowed).To(BeTrue())
		}
	})
})

// BenchmarkHold measures a request with one extra attempt.
func BenchmarkHold(b *testing.B) {
	l := retry.NewAttemptLimiter(retry.AttemptLimit{Share: 0.2, Slack: 80, Window: 10 * time.Second}, -20*time.Second)
	for n := range b.N {
		now := time.Duration(n) * time.Millisecond
		l.CountRequest(now, 8)
		if l.Hold(now, 8).Allowed {
			l.Spend(now)
		}
	}
}
