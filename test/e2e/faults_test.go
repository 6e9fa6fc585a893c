package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

// faultDuration is the duration of a fault, long enough to miss two heartbeats.
const faultDuration = 4 * time.Second

var _ = Describe("A fleet under load", func() {
	It("answers all calls when there is no fault", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		results := l.Stop()
		expectNoneFailed(results)
		expectGuarantees(f, results)
	})

	// Guards against callers waiting until their deadlines: a NAT or firewall loses
	// the state of a link's connection, which stays open and carries nothing, while
	// new connections work.
	It("recovers from links that are open but carry nothing", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		f.Proxies["holds-1"].BlackholeExisting()
		f.Proxies["engine-1"].BlackholeExisting()
		expectRecovery(l)
		expectGuarantees(f, l.Stop())
	})

	// Guards against a false "not run", after which the caller retries and the hold
	// is placed twice: a sidecar is killed with calls before, during and after their
	// run, and is restarted without its memory of them.
	It("returns true verdicts about holds when their sidecar is killed", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		for _, name := range f.Services["holds"] {
			Expect(f.SetServiceFaults(context.Background(), name, plainservice.Faults{DelayMS: 30})).To(Succeed())
		}
		expectRecovery(l)
		for _, name := range []string{"holds-1", "holds-2", "engine-1"} {
			f.Processes[name].Kill()
			Expect(f.Processes[name].Restart()).To(Succeed())
		}
		expectRecovery(l)
		expectGuarantees(f, l.Stop())
	})

	// Guards against running a call whose caller has already received "not run": a
	// sidecar is paused until after the deadlines of its queued calls, and resumed.
	It("runs no call after its deadline when a sidecar is resumed", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		f.Processes["holds-1"].Pause()
		f.Processes["engine-2"].Pause()
		time.Sleep(2 * faultDuration)
		f.Processes["holds-1"].Resume()
		f.Processes["engine-2"].Resume()
		expectRecovery(l)
		expectGuarantees(f, l.Stop())
	})

	// Guards against placing holds twice: an entry is killed with holds in flight,
	// and the callers retry with the same keys through another entry.
	It("places a hold once when its entry is killed and the caller retries through another", func() {
		f := start(smallFleet())
		for _, name := range f.Services["holds"] {
			Expect(f.SetServiceFaults(context.Background(), name, plainservice.Faults{DelayMS: 300})).To(Succeed())
		}
		first := make(chan fleet.Result)
		const holds = 8
		for i := range holds {
			go func() { first <- fleet.PlaceHold(f.URL("entry-1"), fmt.Sprintf("h%d", i), fmt.Sprintf("k%d", i)) }()
		}
		time.Sleep(150 * time.Millisecond)
		f.Processes["entry-1"].Kill()
		for range holds {
			<-first
		}
		for i := range holds {
			subject, key := fmt.Sprintf("h%d", i), fmt.Sprintf("k%d", i)
			Eventually(func() int {
				return fleet.PlaceHold(f.URL("entry-2"), subject, key).Answer.Status
			}, eventuallyTimeout, "100ms").Should(Equal(http.StatusCreated), subject)
		}
		for i := range holds {
			Expect(holdRuns(f)[fmt.Sprintf("h%d", i)]).To(Equal(1))
		}
		expectGuarantees(f, nil)
	})

	// Guards against callers getting a truncated answer that looks complete: an
	// engine crashes in the middle of its streams. Other engines finish the calls.
	It("finishes completions on other engines when an engine crashes", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		backend := f.Processes[fleet.BackendProcess("engine-1")]
		backend.Kill()
		time.Sleep(faultDuration)
		Expect(backend.Restart()).To(Succeed())
		expectRecovery(l)
		// expectGuarantees fails the spec if it cannot read the engine's record.
		Expect(backend.WaitReady(context.Background())).To(Succeed())
		results := l.Stop()
		expectNoneFailed(results)
		expectGuarantees(f, results)
	})

	// The links of one engine and one service in turn lose all bytes in one
	// direction, lose those in the other, carry nothing on new connections, are
	// slow, and are closed.
	It("recovers from network partitions of every kind", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		for _, mode := range []faultproxy.Mode{
			{DropToServer: true},
			{DropToClient: true},
			{BlackholeNew: true},
			{Delay: 50 * time.Millisecond},
			{Cut: true},
		} {
			f.Proxies["engine-2"].Set(mode)
			f.Proxies["holds-2"].Set(mode)
			time.Sleep(faultDuration)
			f.Proxies["engine-2"].Set(faultproxy.Mode{})
			f.Proxies["holds-2"].Set(faultproxy.Mode{})
			expectRecovery(l)
		}
		expectGuarantees(f, l.Stop())
	})

	// Guards against callers waiting for holds during an outage of the platform's
	// store: without the store no hold can be claimed. Completions and lookups need
	// no store.
	It("serves completions and lookups, and rejects holds immediately, while the store is unavailable", func() {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		Expect(f.SetPlatformFaults(context.Background(), objectstore.Faults{Unavailable: true})).To(Succeed())
		time.Sleep(faultDuration)
		rejected := fleet.PlaceHold(f.URL("entry-1"), "during the outage", "during the outage")
		Expect(rejected.Answer.Verdict).To(Equal("not_run"), rejected.Answer.Body)
		Expect(rejected.Answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		expectCalls(l, fleet.Draft, fleet.Stream, fleet.LookUp)
		Expect(f.SetPlatformFaults(context.Background(), objectstore.Faults{})).To(Succeed())
		expectRecovery(l)
		expectGuarantees(f, l.Stop())
	})

	// Guards against a sidecar that treats a claim without a reply as failed, which
	// would let the key be claimed again: the store writes claims but loses its
	// replies, or writes them late.
	DescribeTable("places holds once when the store's replies are lost or late", func(faults objectstore.Faults) {
		f := start(smallFleet())
		l := f.StartLoad()
		expectRecovery(l)
		Expect(f.SetPlatformFaults(context.Background(), faults)).To(Succeed())
		time.Sleep(faultDuration)
		Expect(f.SetPlatformFaults(context.Background(), objectstore.Faults{})).To(Succeed())
		expectRecovery(l)
		expectGuarantees(f, l.Stop())
	},
		Entry("lost replies", objectstore.Faults{LoseReplies: true}),
		Entry("late writes", objectstore.Faults{LateWritesMS: 400}),
		Entry("slow", objectstore.Faults{DelayMS: 300}),
	)
})
