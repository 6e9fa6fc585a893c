package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

var _ = Describe("the shares of client accounts", func() {
	prompt := []string{"Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000", "Deadline-Ms", "5000", "Authorization", "Bearer " + deskKey}
	reload := func(f *fixture, pressure bool) {
		f.gateway.Reload(deployment.Deployment{
			Name: "f-1", DataCentre: "z", MaxMemoryBytes: 64 << 20, MemoryPressure: pressure,
			Bounds: deployment.Bounds{RetryShare: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, GracePeriod: 8 * time.Second, DrainTimeout: 2 * time.Second},
		})
	}
	start := func(configure func(*fixture), pressure bool, roles ...string) *fixture {
		f := newFixture()
		reload(f, pressure)
		configure(f)
		for _, role := range roles {
			f.add("llm", runner.New("i-"+role[:1], role))
		}
		f.followUntilKnown(len(roles))
		Expect(f.send(http.MethodPost, "/stream-once/1", "r1", prompt...).status).To(Equal(http.StatusOK))
		return f
	}
	withAccounts := func(f *fixture) { f.configureAccounts("1", bothAccounts) }

	It("count the requests of this gateway and of others", func() {
		f := start(withAccounts, true, "prefill", "decode")
		f.gateway.RemotePlacement("llm", place.Placement{
			ID: 1, Account: fairshare.AccountIDOf("brand"), Remaining: time.Second,
			Plan: place.Plan{PrefillEngine: "i-p", DecodeEngine: "i-d"},
		})
		f.gateway.RemotePlacement("llm", place.Placement{
			ID: 2, Account: 7, Remaining: time.Second, Plan: place.Plan{PrefillEngine: "i-p", DecodeEngine: "i-d"},
		})
		shares := f.gateway.Dump(time.Now()).AccountShares
		Expect(shares).To(HaveLen(1))
		Expect(shares[0].Service).To(Equal("llm"))
		Expect(shares[0].Accounts).To(Equal(3))
		Expect(shares[0].Heaviest[0].Account).To(Equal("desk"))
		Expect(shares[0].Heaviest[0].Rate).To(BeNumerically(">", 3_000))
		Expect(shares[0].Heaviest[1:]).To(ConsistOf(HaveField("Account", "brand"), HaveField("Account", "7")))
	})

	// Guards against a rejection that callers and operators cannot tell from overload: the
	// queue is just short enough for everybody's objective, and only the account with most of
	// the usage is rejected.
	It("reject the account above its share with a code of its own", func() {
		f := start(withAccounts, true, "decode")
		next := place.JobID(100)
		remote := func(tokens int) place.JobID {
			next++
			p := place.Placement{
				ID: next, Account: fairshare.AccountIDOf("desk"), Remaining: time.Minute,
				Plan: place.Plan{PrefillEngine: "i-d", DecodeEngine: "i-d"},
			}
			p.Prompt.Tokens = tokens
			f.gateway.RemotePlacement("llm", p)
			return next
		}
		finish := func(id place.JobID) {
			f.gateway.RemotePrefillDone(id)
			f.gateway.RemoteFinished(id)
		}
		for range 60 {
			id := remote(1_000)
			time.Sleep(5 * time.Millisecond)
			finish(id)
		}
		firstToken := func() float64 {
			for _, s := range f.gateway.Dump(time.Now()).Servers {
				return s.Estimates.QueueDelayMS + s.Estimates.PrefillLatencyMS
			}
			return 0
		}
		lines := captureLog()
		var waiting []place.JobID
		ask := func(key string) response {
			for _, id := range waiting {
				f.gateway.RemoteFinished(id)
			}
			waiting = nil
			for firstToken() < 370 {
				waiting = append(waiting, remote(100))
			}
			return f.send(http.MethodPost, "/stream-once/1", "r2", "Token-Count", "16,0", "Prefix-Hash", "cc:16", "Deadline-Ms", "5000", "Authorization", "Bearer "+key)
		}
		var got response
		Eventually(func() string {
			got = ask(deskKey)
			return got.body
		}).WithTimeout(10 * time.Second).Should(ContainSubstring("account_limit"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(lines.String()).To(ContainSubstring(`"account_share"`))
		Expect(ask(brandKey).status).To(Equal(http.StatusOK))
	})

	// Guards against limits in deployments that have not asked for them.
	DescribeTable("are off", func(configure func(*fixture), pressure bool) {
		f := start(configure, pressure, "prefill", "decode")
		Expect(f.gateway.Dump(time.Now()).AccountShares).To(BeEmpty())
		// Nothing was counted meanwhile.
		reload(f, true)
		for _, s := range f.gateway.Dump(time.Now()).AccountShares {
			Expect(s.Accounts).To(BeZero())
		}
	},
		Entry("without memory pressure", withAccounts, false),
		Entry("without client accounts", func(f *fixture) { f.configure("1") }, true),
	)
})
