package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/platform"
)

var _ = Describe("Watch", func() {
	// The platform was out and is back. A watch that is let through as the one
	// attempt waits for a change that does not come, and every other call is
	// refused meanwhile: operators are told that the store is out long after it
	// is well.
	It("is not the attempt that finds out whether the platform is back", func() {
		var watches atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("watch") {
				watches.Add(1)
			}
			http.Error(w, "outage", http.StatusServiceUnavailable)
		}))
		DeferCleanup(server.Close)
		client := platform.NewClient(platform.ClientConfig{
			Address: strings.TrimPrefix(server.URL, "http://"), CallsPerSecond: 1000,
		})
		Eventually(func() bool {
			_, _ = client.Get(context.Background(), "fleetconfig")
			return client.Health().Up
		}, "10s", "5ms").Should(BeFalse())
		for range 40 {
			_, err := client.Watch(context.Background(), "fleetconfig", 1)
			Expect(err).To(MatchError(platform.ErrNotSent))
			time.Sleep(50 * time.Millisecond)
		}
		Expect(watches.Load()).To(BeZero())
	})
})
