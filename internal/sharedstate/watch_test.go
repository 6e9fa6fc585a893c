package sharedstate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

var _ = Describe("Watch", func() {
	// Guards against operators being told that the store is down long after it has
	// recovered: a watch that is the probe waits for a change that does not come, and
	// every other call is rejected meanwhile.
	It("is not used as the probe after an outage", func() {
		var watches atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("watch") {
				watches.Add(1)
			}
			http.Error(w, "outage", http.StatusServiceUnavailable)
		}))
		DeferCleanup(server.Close)
		client := sharedstate.NewClient(sharedstate.ClientConfig{
			Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), CallsPerSecond: 1000,
		})
		Eventually(func() bool {
			_, _ = client.Get(context.Background(), "fleetconfig")
			return client.Health().Up
		}, "10s", "5ms").Should(BeFalse())
		for range 40 {
			_, err := client.Watch(context.Background(), "fleetconfig", 1)
			Expect(err).To(MatchError(sharedstate.ErrNotSent))
			time.Sleep(50 * time.Millisecond)
		}
		Expect(watches.Load()).To(BeZero())
	})

	// Guards against a change that is seen only by the next full read: the store keeps the
	// history of some seconds, the configuration changed last week, and a watch from that
	// revision fails permanently.
	It("sees a change of an object whose own history is compacted", func(ctx SpecContext) {
		store := objectstore.New()
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		client := sharedstate.NewClient(sharedstate.ClientConfig{
			Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), CallsPerSecond: 1000,
		})
		last := store.Put("fleetconfig", "fleetconfig", "old")
		store.Put("other", "a", 1)
		store.CompactHistory()
		seen := make(chan sharedstate.Object, 1)
		go func() {
			defer GinkgoRecover()
			o, err := client.Watch(ctx, "fleetconfig", uint64(last))
			Expect(err).NotTo(HaveOccurred())
			seen <- o
		}()
		Eventually(func() int { return store.Calls().Watches }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 1))
		Consistently(seen, "100ms").ShouldNot(Receive())
		store.Put("fleetconfig", "fleetconfig", "new")
		var got sharedstate.Object
		Eventually(seen).WithTimeout(5 * time.Second).Should(Receive(&got))
		Expect(got.Value).To(MatchJSON(`"new"`))
	}, NodeTimeout(20*time.Second))

	It("returns a change that was made before it", func() {
		store := objectstore.New()
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		client := sharedstate.NewClient(sharedstate.ClientConfig{Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"))})
		first := store.Put("plan", "seoul", 1)
		second := store.Put("plan", "seoul", 2)
		store.Put("plan", "busan", 3)
		o, err := client.Watch(context.Background(), "plan/seoul", uint64(first))
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(sharedstate.Object{Name: "plan/seoul", Version: uint64(second), Value: []byte("2")}))
	})
})
