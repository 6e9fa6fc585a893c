package gateway_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

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
		for i := range 6 {
			id := "r" + strconv.Itoa(i)
			got := f.send(http.MethodPost, "/stream-again/1", id)
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal(streamEvents(id, 1, 3)))
		}
		Expect(failing.Runs()).NotTo(BeEmpty())
		Expect(len(failing.Runs()) + len(healthy.Runs())).To(BeNumerically("<=", 12))
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
