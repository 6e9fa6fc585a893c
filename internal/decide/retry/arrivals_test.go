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
		a.End(retry.PrefillAccepted)
	case 'n':
		a.End(retry.NotSent)
	default:
		a.End(retry.Arrived)
	}
}

// Guards against a count that is below what servers see while outcomes are unknown, against
// a prefill whose send is not paid for with it, and against parts that would have to be
// taken back after they were spent.
func TestArrivalsWithUnknownOutcomesAreNeverUndercounted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		var a retry.Arrivals
		arrived, accepted, pending := 0, 0, 0
		for range random.IntN(12) {
			reserved, ended := a.ExtraAfterPrefill(), a.ExtraEnded()
			switch {
			case pending == 0 || random.IntN(2) == 0:
				a.Begin()
				pending++
				arrived++
			case random.IntN(3) == 0:
				a.End(retry.NotSent)
				pending--
				arrived--
			case random.IntN(2) == 0:
				a.End(retry.Arrived)
				pending--
			default:
				a.End(retry.PrefillAccepted)
				pending--
				accepted++
				if after := a.ExtraAfter(1); after > reserved {
					t.Fatalf("the send after an accepted prefill makes %d extra attempts, %d were reserved", after, reserved)
				}
			}
			if extra := max(0, arrived-min(1, accepted)-1); a.Extra() != extra {
				t.Fatalf("%d extra attempts of %d arrivals, %d of them accepted prefills, want %d", a.Extra(), arrived, accepted, extra)
			}
			if a.ExtraEnded() < ended || a.ExtraEnded() > a.Extra() {
				t.Fatalf("%d extra attempts have ended, before %d, of %d", a.ExtraEnded(), ended, a.Extra())
			}
		}
	}
}
