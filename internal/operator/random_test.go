package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// faultyStore randomly loses replies, delays writes and is unavailable for a
// number of calls.
type faultyStore struct {
	random *rand.Rand
	object sharedstate.Object
	// delayed are writes that were sent but have not taken effect yet.
	delayed []func()
	// downCalls is the number of further calls that fail.
	downCalls int
}

func (s *faultyStore) Get(context.Context, string) (sharedstate.Object, error) {
	if s.isDown() {
		return sharedstate.Object{}, sharedstate.ErrUnavailable
	}
	return s.object, nil
}

func (s *faultyStore) Put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	if s.isDown() {
		return 0, sharedstate.ErrNotSent
	}
	write := func() {
		if s.object.Version == version {
			s.object = sharedstate.Object{Name: name, Version: version + 1, Value: value}
		}
	}
	switch s.random.IntN(8) {
	case 0:
		write()
		return 0, sharedstate.ErrUnknown
	case 1:
		s.delayed = append(s.delayed, write)
		return 0, sharedstate.ErrUnknown
	case 2:
		return 0, sharedstate.ErrUnknown
	}
	if s.object.Version != version {
		return 0, sharedstate.ErrConflict
	}
	write()
	return s.object.Version, nil
}

func (s *faultyStore) Watch(context.Context, string, uint64) (sharedstate.Object, error) {
	return sharedstate.Object{}, sharedstate.ErrUnavailable
}

// isDown randomly applies delayed writes and starts outages, and reports whether
// the store is down for this call.
func (s *faultyStore) isDown() bool {
	if s.random.IntN(3) == 0 {
		s.applyDelayed()
	}
	if s.random.IntN(24) == 0 {
		s.downCalls = s.random.IntN(12)
	}
	s.downCalls = max(0, s.downCalls-1)
	return s.downCalls > 0
}

func (s *faultyStore) applyDelayed() {
	for _, write := range s.delayed {
		write()
	}
	s.delayed = nil
}

// runEdits makes edits by several operators, some based on outdated versions,
// checks each reported outcome against the final history and returns the number
// of edits by outcome.
func runEdits(seed uint64) map[operator.EditOutcome]int {
	GinkgoHelper()
	const edits, operators = 12, 3
	random := rand.New(rand.NewPCG(seed, 0))
	store := &faultyStore{random: random}
	server, err := operator.NewServer(
		operator.Config{TokenFile: tokenFile(), EditTimeout: 60 * time.Millisecond},
		operator.Sources{Process: "e1", Fleet: &fakeFleet{}, Store: store})
	Expect(err).NotTo(HaveOccurred())

	reported := map[string]operator.EditOutcome{}
	seen := make([]uint64, operators)
	highest := uint64(0)
	for i := range edits {
		who := random.IntN(operators)
		if random.IntN(3) > 0 {
			seen[who] = store.object.Version
		}
		request := roleChangeCostEdit(fmt.Sprintf("edit-%04d", i), fmt.Sprint("operator-", who), seen[who], float64(i))
		reported[request.EditID] = edit(server.Handler(), request).Outcome
		Expect(store.object.Version).To(BeNumerically(">=", highest))
		highest = store.object.Version
	}
	store.applyDelayed()

	config := fleetconfig.Config{}
	if store.object.Version > 0 {
		config, err = fleetconfig.Parse(store.object.Value)
		Expect(err).NotTo(HaveOccurred())
	}
	for id, outcome := range reported {
		count := lo.CountBy(config.History, func(e fleetconfig.Edit) bool { return e.EditID == id })
		switch outcome {
		case operator.EditApplied:
			Expect(count).To(Equal(1), "seed %d: %s was reported applied", seed, id)
		case operator.EditUnknown:
			Expect(count).To(BeNumerically("<=", 1), "seed %d: %s was reported unknown", seed, id)
		default:
			Expect(count).To(BeZero(), "seed %d: %s was reported %s", seed, id, outcome)
		}
	}
	return lo.CountValues(lo.Values(reported))
}

// edit sends the request to the handler directly, without a network.
func edit(handler http.Handler, r operator.EditRequest) operator.EditResult {
	GinkgoHelper()
	data, err := json.Marshal(r)
	Expect(err).NotTo(HaveOccurred())
	request := httptest.NewRequest(http.MethodPost, "/fleet/edits", bytes.NewReader(data))
	request.Header.Set("Authorization", "Bearer "+testToken)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var result operator.EditResult
	Expect(json.Unmarshal(recorder.Body.Bytes(), &result)).To(Succeed())
	return result
}

var _ = Describe("Concurrent edits on a faulty store", func() {
	// Guards against reporting a wrong outcome of an edit when replies are lost,
	// writes take effect late, the store goes down in between and operators edit
	// outdated versions.
	It("report outcomes that agree with the final history", func() {
		invariant.PanicOnViolation()
		outcomes := map[operator.EditOutcome]int{}
		for seed := range uint64(60) {
			for outcome, count := range runEdits(seed) {
				outcomes[outcome] += count
			}
		}
		for _, outcome := range []operator.EditOutcome{
			operator.EditApplied, operator.EditConflict, operator.EditUnknown, operator.EditStoreUnavailable,
		} {
			Expect(outcomes[outcome]).To(BeNumerically(">", 0), "no edit ended as %s", outcome)
		}
		GinkgoWriter.Println("outcomes:", outcomes)
	})
})
