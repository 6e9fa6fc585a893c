package retry_test

import (
	"math/rand/v2"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/decide/retry"
)

// Guards against attempts that cost a service an arrival and the budget nothing: a rejected
// prefill and then a send, in any order and number.
func TestArrivalsBeyondTheFirstAreExtra(t *testing.T) {
	for name, c := range map[string]struct {
		attempts string
		want     int
	}{
		"nothing":                                {"", 0},
		"a send":                                 {"s", 0},
		"two sends":                              {"ss", 1},
		"an accepted prefill and a send":         {"as", 0},
		"a rejected prefill":                     {"r", 0},
		"a rejected prefill and a send":          {"rs", 1},
		"two rejected prefills":                  {"rr", 1},
		"two rejected prefills and a send":       {"rrs", 2},
		"an accepted prefill after two rejected": {"rras", 2},
		"a second accepted prefill":              {"asas", 2},
		"a send that was not sent":               {"sn", 0},
		"a prefill that was not sent":            {"nas", 0},
	} {
		var a retry.Arrivals
		for _, attempt := range c.attempts {
			record(&a, attempt)
		}
		if a.Extra() != c.want {
			t.Errorf("%s: %d extra attempts, want %d", name, a.Extra(), c.want)
		}
	}
}

// record records an attempt: s a send, a and r a prefill that is accepted or rejected, n
// one that is not sent.
func record(a *retry.Arrivals, attempt rune) {
	a.Begin()
	switch attempt {
	case 'a':
		a.PrefillAccepted()
	case 'n':
		a.NotSent()
	}
}

// Guards against a count that is below what servers see while the outcome of a prefill is
// unknown, and against a prefill whose send is not paid for with it.
func TestArrivalsWithUnknownOutcomesAreNeverUndercounted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		var a retry.Arrivals
		arrived, accepted := 0, 0
		for range random.IntN(8) {
			reserved := a.ExtraAfterPrefill()
			a.Begin()
			arrived++
			if random.IntN(2) == 0 {
				continue // A send, or a prefill that was rejected or whose outcome is unknown.
			}
			accepted++
			a.PrefillAccepted()
			if after := a.ExtraAfter(1); after > reserved {
				t.Fatalf("the send after an accepted prefill makes %d extra attempts, %d were reserved", after, reserved)
			}
		}
		if extra := max(0, arrived-min(1, accepted)-1); a.Extra() < extra {
			t.Fatalf("%d extra attempts of %d arrivals, %d of them accepted prefills, want at least %d", a.Extra(), arrived, accepted, extra)
		}
	}
}
