package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/usage"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

var _ = Describe("the usage of client accounts", func() {
	var (
		f       *fixture
		a, b    *runner.BackendServer
		counter *usage.Counter
	)
	BeforeEach(func() {
		f = newFixture()
		// One window contains the whole test.
		counter = usage.NewCounter(24*time.Hour, func(t time.Time) time.Time { return t })
		f.gateway.SetUsage(counter)
		f.configureAccounts("1", bothAccounts)
		a = f.add("plain", runner.New("i-a", ""))
		b = f.add("plain", runner.New("i-b", ""))
		f.followUntilKnown(2)
	})
	counts := func() usage.Counts { return counter.Snapshot(counter.Window(time.Now())) }
	send := func(method, target, id, key string, header ...string) response {
		return f.send(method, target, id, append([]string{"Authorization", "Bearer " + key}, header...)...)
	}
	faults := func(of runner.Fault) {
		a.SetFault(of)
		b.SetFault(of)
	}
	prompt := []string{"Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000", "Deadline-Ms", "5000"}

	It("has each request that ran, for its account", func() {
		for range 3 {
			Expect(send(http.MethodGet, "/read/1", "r1", deskKey).status).To(Equal(http.StatusOK))
		}
		Expect(send(http.MethodPost, "/hold/1", "r2", brandKey).status).To(Equal(http.StatusOK))
		Expect(f.send(http.MethodGet, "/open/1", "r3").status).To(Equal(http.StatusOK))
		Expect(counts()).To(Equal(usage.Counts{"desk": 3, "brand": 1}))
		dump := f.gateway.Dump(time.Now())
		Expect(dump.ClientKeys).To(Equal(2))
		Expect(*dump.Usage).To(Equal(gateway.UsageDump{Window: int64(counter.Window(time.Now())), Accounts: 2, Requests: 4}))
	})

	// Guards against accounts that pay for requests that no server ran.
	It("has no request that was rejected", func() {
		send(http.MethodGet, "/read/1", "r1", "unknown")
		faults(runner.Shedding)
		Expect(send(http.MethodPost, "/hold/1", "r2", deskKey).status).To(Equal(http.StatusServiceUnavailable))
		Expect(send(http.MethodPost, "/stream-once/1", "r3", deskKey, prompt...).status).To(Equal(http.StatusServiceUnavailable))
		Expect(counts()["desk"]).To(BeZero())
	})

	It("has a request once that was retried, and one whose answer was lost", func() {
		a.SetFault(runner.Shedding)
		b.SetFault(runner.DroppingAnswers)
		Expect(send(http.MethodPost, "/hold/1", "r1", deskKey).status).To(Equal(http.StatusBadGateway))
		a.SetFault(runner.DroppingAnswers)
		b.SetFault(runner.Healthy)
		for range 3 {
			Expect(send(http.MethodGet, "/read/1", "r2", deskKey).status).To(Equal(http.StatusOK))
		}
		Expect(counts()).To(Equal(usage.Counts{"desk": 4}))
	})

	It("has a stream once its first event has arrived, also if it is resumed", func() {
		prefillEngine := f.add("llm", runner.New("i-p", "prefill"))
		decodeEngine := f.add("llm", runner.New("i-d", "decode"))
		decodeEngine.EventInterval = 300 * time.Millisecond
		f.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(5))
		release := prefillEngine.HoldPrefills()
		wait := f.start(http.MethodPost, "/stream-once/1", "r1", append([]string{"Authorization", "Bearer " + deskKey}, prompt...)...)
		Consistently(func() int64 { return counts()["desk"] }, 200*time.Millisecond).Should(BeZero())
		release()
		Expect(wait().status).To(Equal(http.StatusOK))
		Expect(counts()["desk"]).To(BeEquivalentTo(1))
		decodeEngine.SetFault(runner.TruncatingStream)
		for range 3 {
			Expect(send(http.MethodPost, "/stream-again/1", "r2", deskKey, prompt...).status).To(Equal(http.StatusOK))
		}
		Expect(counts()["desk"]).To(BeEquivalentTo(4))
	})
})
