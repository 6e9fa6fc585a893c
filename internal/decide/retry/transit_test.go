package retry_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/retry"
)

// Guards against extra attempts that are taken for made before they can have arrived, and
// against parts of the limit that stay held or are spent twice.
func TestExtraAttemptsInTransitAreMadeOnceWhenTheirServersAnswer(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 2_000 {
		var transit retry.Transit
		owed, attempts := 0, 0
		unanswered := map[string]int{}
		for second := range 40 {
			now := at(time.Duration(second) * time.Second)
			address := strconv.Itoa(random.IntN(3))
			if random.IntN(3) > 0 {
				var given []retry.Unanswered
				for n := range 1 + random.IntN(3) {
					given = append(given, retry.Unanswered{Address: strconv.Itoa(n), EndedAt: now})
					unanswered[strconv.Itoa(n)]++
				}
				extra := len(given) - random.IntN(2)
				transit.Add("s", extra, given)
				owed += extra
				attempts += len(given)
				continue
			}
			if made := transit.Answered(address, now.Add(-time.Minute)); len(made) > 0 {
				t.Fatalf("%d extra attempts made by an answer to an attempt that was sent before", len(made))
			}
			made := len(transit.Answered(address, now))
			attempts -= unanswered[address]
			if made > unanswered[address] || transit.Len() != attempts {
				t.Fatalf("%d extra attempts made by an answer to %d attempts, %d are left of %d", made, unanswered[address], transit.Len(), attempts)
			}
			unanswered[address] = 0
			owed -= made
		}
		if owed -= len(transit.Expire(at(80 * time.Second))); owed != 0 || transit.Len() != 0 {
			t.Fatalf("%d extra attempts and %d attempts are left", owed, transit.Len())
		}
	}
}

// Guards against a part of the limit that is spent while the attempt may be on its way, and
// against one that is held for ever.
func TestAttemptsInTransitExpire(t *testing.T) {
	var transit retry.Transit
	transit.Add("s", 1, []retry.Unanswered{{Address: "a", EndedAt: at(0)}})
	if made := transit.Expire(at(29 * time.Second)); len(made) > 0 {
		t.Error("taken for made after 29 s")
	}
	if made := transit.Expire(at(30 * time.Second)); len(made) != 1 {
		t.Error("still held after 30 s")
	}
}
