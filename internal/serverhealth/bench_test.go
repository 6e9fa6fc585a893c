package serverhealth_test

import (
	"strconv"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/serverhealth"
)

// Measures what a request costs: its failure rates and its outcome. A failure, which makes
// the peers be compared again, is one request in the given number, 0 for none.
func BenchmarkRequest(b *testing.B) {
	for _, oneIn := range []int{0, 30, 1} {
		b.Run("failure one in "+strconv.Itoa(oneIn), func(b *testing.B) {
			servers := make(map[string]backend.Server)
			for i := range 52 {
				servers[strconv.Itoa(i)] = backend.Server{ID: strconv.Itoa(i), Service: "s"}
			}
			t := serverhealth.New(func([]serverhealth.Outcome, bool) {})
			t.Update(servers)
			at := time.Unix(1_000_000_000, 0)
			n := 0
			for b.Loop() {
				n++
				at = at.Add(7 * time.Millisecond)
				failed := oneIn > 0 && n%oneIn == 0
				t.FailureRates(at, "s", false)
				t.Observe(at, strconv.Itoa(n%52), failed)
			}
		})
	}
}
