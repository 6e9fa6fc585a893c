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
		"two accepted prefills":                  {"aa", 1},
		"three accepted prefills":                {"aaa", 2},
		"two accepted prefills and a send":       {"aas", 1},
		"a prefill rejected after an accepted":   {"ar", 1},
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
	kind := retry.Prefill
	if attempt == 's' || attempt == 'n' {
		kind = retry.Send
	}
	a.Begin(kind)
	switch attempt {
	case 'a':
		a.End(kind, retry.PrefillAccepted)
	case 'n':
		a.End(kind, retry.NotSent)
	default:
		a.End(kind, retry.Arrived)
	}
}

// Guards against a count that is below what servers see while outcomes are unknown, against
// a prefill whose send is not paid for with it, and against parts that would have to be
// taken back after they were spent.
func TestArrivalsWithUnknownOutcomesAreNeverUndercounted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	kinds := []retry.Kind{retry.Send, retry.Prefill}
	for range 20_000 {
		var a retry.Arrivals
		arrived, pending := map[retry.Kind]int{}, map[retry.Kind]int{}
		accepted := false
		for range random.IntN(12) {
			reserved, ended := a.ExtraAfterPrefill(), a.ExtraEnded()
			kind := kinds[random.IntN(2)]
			switch {
			case pending[kind] == 0 || random.IntN(2) == 0:
				a.Begin(kind)
				pending[kind]++
				arrived[kind]++
			case random.IntN(3) == 0:
				a.End(kind, retry.NotSent)
				pending[kind]--
				arrived[kind]--
			case random.IntN(2) == 0 || kind == retry.Send:
				a.End(kind, retry.Arrived)
				pending[kind]--
			default:
				a.End(kind, retry.PrefillAccepted)
				pending[kind]--
				accepted = true
				if after := max(a.Extra(), a.ExtraAfterSend()); after > reserved {
					t.Fatalf("an accepted prefill and its send make %d extra attempts, %d were reserved", after, reserved)
				}
			}
			extra := arrived[retry.Send] + arrived[retry.Prefill] - 1
			if accepted && arrived[retry.Send] > 0 {
				extra--
			}
			if extra = max(0, extra); a.Extra() != extra {
				t.Fatalf("%d extra attempts of %d sends and %d prefills, accepted %v, want %d", a.Extra(), arrived[retry.Send], arrived[retry.Prefill], accepted, extra)
			}
			if a.ExtraEnded() < ended || a.ExtraEnded() > a.Extra() {
				t.Fatalf("%d extra attempts have ended, before %d, of %d", a.ExtraEnded(), ended, a.Extra())
			}
		}
	}
}
