package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/serverhealth"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// outcomeRecorder is a Gossip that records the announced outcomes.
type outcomeRecorder struct {
	placementCounter
	mu       sync.Mutex
	outcomes []serverhealth.Outcome
}

func (r *outcomeRecorder) AnnounceOutcomes(outcomes []serverhealth.Outcome, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcomes...)
}

func (r *outcomeRecorder) all() []serverhealth.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.outcomes)
}

// Guards against idle servers that attract requests because they fail at once: one of four
// servers of a plain service and one of four engines answer errors.
var _ = Describe("a server that fails more often than its peers", func() {
	It("gets fewer requests that may not be repeated, and is in the dump", func() {
		f := newFixture()
		f.configure("1")
		targets := map[string]string{"plain": "/hold/1", "llm": "/stream-once/1"}
		failing := map[string]*runner.BackendServer{}
		for service := range targets {
			failing[service] = f.add(service, runner.New(service+"-0", "decode"))
			failing[service].SetFault(runner.Failing)
		}
		f.followUntilKnown(2)
		send := func(service string, count int) (errors int) {
			for i := range count {
				if f.send(http.MethodPost, targets[service], service+strconv.Itoa(i)).status != http.StatusOK {
					errors++
				}
			}
			return errors
		}
		// Without others, whatever fails may be the fault of the requests.
		for service := range targets {
			Expect(send(service, 10)).To(Equal(10))
			for i := range 3 {
				f.add(service, runner.New(service+"-"+strconv.Itoa(i+1), "decode"))
			}
		}
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(8))
		for service := range targets {
			Expect(send(service, 40)).To(BeNumerically("<=", 3))
			Expect(len(failing[service].Runs())).To(BeNumerically("<=", 13))
		}
		for _, s := range f.gateway.Dump(time.Now()).Servers {
			Expect(s.Failing != nil).To(Equal(failing[s.Service].ID == s.ID))
		}
	})

	// Guards against servers whose answers are no errors and reach no caller.
	DescribeTable("is announced to the other gateways",
		func(fault runner.Fault, announced bool) {
			f := newFixture()
			f.configure("1")
			f.add("plain", runner.New("i-a", "decode")).SetFault(fault)
			gossip := &outcomeRecorder{}
			f.gateway.SetGossip(gossip)
			f.followUntilKnown(1)
			Expect(f.send(http.MethodPost, "/hold/1", "r1").status).NotTo(Equal(http.StatusOK))
			if !announced {
				Expect(gossip.all()).To(BeEmpty())
				return
			}
			Expect(gossip.all()).To(Equal([]serverhealth.Outcome{{Server: serverhealth.Hash("i-a"), Failed: 1}}))
		},
		Entry("if it answers errors", runner.Failing, true),
		Entry("if its answers are no HTTP", runner.MalformedAnswer, true),
		Entry("if its answers have no authentication code", runner.Unsealed, true),
		Entry("not if the connection breaks, which may be the network", runner.DroppingAnswers, false),
		Entry("not if it rejects requests", runner.Shedding, false),
		Entry("not if the caller times out", runner.Unresponsive, false),
	)

	// Guards against needing failures of its own: another gateway has announced them.
	It("is known from the announcements of other gateways", func() {
		f := newFixture()
		f.configure("1")
		for i := range 4 {
			f.add("plain", runner.New("i-"+strconv.Itoa(i), "decode"))
		}
		f.followUntilKnown(4)
		for i := range 4 {
			outcome := serverhealth.Outcome{Server: serverhealth.Hash("i-" + strconv.Itoa(i)), Succeeded: 10}
			if i == 0 {
				outcome.Failed = 5
			}
			f.gateway.RemoteOutcome(outcome)
		}
		f.gateway.RemoteOutcome(serverhealth.Outcome{Server: 1, Failed: 5})
		Eventually(func() (failing []string) {
			for _, s := range f.gateway.Dump(time.Now()).Servers {
				if s.Failing != nil {
					failing = append(failing, s.ID)
				}
			}
			return failing
		}).Should(Equal([]string{"i-0"}))
	})
})

var _ = Describe("an engine that answers errors", func() {
	var (
		f                *fixture
		failing, healthy *runner.BackendServer
	)
	BeforeEach(func() {
		f = newFixture()
		f.configure("1")
		failing = f.add("llm", runner.New("i-a", "decode"))
		healthy = f.add("llm", runner.New("i-b", "decode"))
		f.followUntilKnown(2)
		failing.SetFault(runner.Failing)
	})

	// Guards against failing callers that another engine could serve.
	It("does not fail streams that may be repeated", func() {
		for _, pair := range [][2]*runner.BackendServer{{failing, healthy}, {healthy, failing}} {
			pair[0].SetFault(runner.Failing)
			pair[1].SetFault(runner.Healthy)
			for i := range 3 {
				id := pair[0].ID + strconv.Itoa(i)
				got := f.send(http.MethodPost, "/stream-again/1", id)
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(Equal(streamEvents(id, 1, 3)))
			}
		}
		// Six answers, and at least one error before.
		Expect(len(failing.Runs()) + len(healthy.Runs())).To(BeNumerically(">", 6))
	})

	// Guards against a second run, and against an error of the gateway in place of the
	// server's own.
	It("has its answer forwarded unchanged if the request may not be repeated", func() {
		healthy.SetFault(runner.Failing)
		for target, runs := range map[string]int{"/stream-once/1": 1, "/stream-again/1": 2} {
			before := len(failing.Runs()) + len(healthy.Runs())
			got := f.send(http.MethodPost, target, "r1")
			Expect(got.status).To(Equal(http.StatusInternalServerError))
			Expect(got.header.Get("Response-Seal")).To(Equal(runner.Seal("r1")))
			Expect(len(failing.Runs()) + len(healthy.Runs())).To(Equal(before + runs))
		}
	})

	// Guards against learning that an engine is fast because it fails at once.
	It("is not learned from", func() {
		healthy.SetFault(runner.Failing)
		for i := range 6 {
			f.send(http.MethodPost, "/stream-once/1", "r"+strconv.Itoa(i))
		}
		for _, s := range f.gateway.Dump(time.Now()).Servers {
			Expect(s.Estimates.Prefills).To(BeZero())
			Expect(s.InFlight).To(BeZero())
		}
	})
})
