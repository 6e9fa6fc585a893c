package gateway_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// limitOf returns the limit of a server in the dump, or nil.
func limitOf(f *fixture, id string) *gateway.LimitDump {
	s, ok := lo.Find(f.gateway.Dump(time.Now()).Servers, func(s gateway.ServerDump) bool { return s.ID == id })
	Expect(ok).To(BeTrue())
	return s.Limit
}

var _ = Describe("the limit that a server states", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		f.configure("1")
	})
	limited := func(server string, perSecond float64) {
		GinkgoHelper()
		l := limitOf(f, server)
		Expect(l).NotTo(BeNil())
		Expect(l.PerSecond).To(Equal(perSecond))
		Expect(l.Share).To(BeNumerically("~", max(0.25, perSecond), 1e-9))
	}

	It("is in the dump after a response that states it", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		f.send(http.MethodGet, "/read/1", "r1")
		Expect(limitOf(f, "i-a")).To(BeNil())
		a.SetLimit("4.2", runner.AllAnswers)
		Expect(f.send(http.MethodGet, "/read/1", "r2").header.Get("Server-Limit")).To(Equal("4.2"))
		limited("i-a", 4.2)
	})

	// Guards against ignoring limits that are stated only in responses that are not
	// forwarded to a caller.
	It("is also taken from rejections and prefill responses", func() {
		prefill := f.add("llm", runner.New("i-p", "prefill"))
		decode := f.add("llm", runner.New("i-d", "decode"))
		f.followUntilKnown(2)
		prefill.SetLimit("3.5", runner.PrefillAnswers)
		decode.SetLimit("2.5", runner.Rejections)
		decode.SetFault(runner.Shedding)
		f.send(http.MethodPost, "/stream-again/1", "r1", "Token-Count", "1000,10", "Prefix-Hash", "a:1000")
		limited("i-p", 3.5)
		limited("i-d", 2.5)
	})

	// Guards against limits from responses that the server did not send.
	It("is not taken from unauthenticated successes", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		a.SetLimit("4.2", runner.AllAnswers)
		a.SetFault(runner.Unsealed)
		Expect(f.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusBadGateway))
		Expect(limitOf(f, "i-a")).To(BeNil())
	})

	It("stays when the server then states an invalid one", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		a.SetLimit("1000", runner.AllAnswers)
		f.send(http.MethodGet, "/read/1", "r1")
		a.SetLimit("many", runner.AllAnswers)
		f.send(http.MethodGet, "/read/1", "r2")
		limited("i-a", 1000)
	})

	// Guards against requests that wait, or are sent beyond the limit, when no server
	// has room for them.
	It("causes immediate rejection of requests that no server has room for", func() {
		a := f.add("plain", runner.New("i-a", ""))
		p := f.add("llm", runner.New("i-p", "prefill"))
		d := f.add("llm", runner.New("i-d", "decode"))
		f.followUntilKnown(3)
		for _, r := range []*runner.BackendServer{a, p, d} {
			r.SetLimit("0.5", runner.AllAnswers)
		}
		f.send(http.MethodGet, "/read/1", "r1")
		f.send(http.MethodPost, "/stream-again/1", "r2", "Token-Count", "1000,10", "Prefix-Hash", "a:1000")
		limited("i-a", 0.5)
		limited("i-d", 0.5)
		before := len(a.RequestTimes()) + len(d.RequestTimes())
		for _, target := range []string{"/read/1", "/hold/1", "/stream-again/1", "/stream-once/1"} {
			got := f.send(http.MethodPost, target, "r3", "Token-Count", "1000,10", "Prefix-Hash", "a:1000")
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.header.Get(verdict.Header)).To(Equal("not_run"))
			Expect(got.body).To(ContainSubstring(`"server_limit"`))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">", 0), BeNumerically("<=", 0.67)))
		}
		Expect(len(a.RequestTimes()) + len(d.RequestTimes())).To(Equal(before))
	})

	It("diverts requests to servers that have room", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.add("plain", runner.New("i-b", ""))
		f.followUntilKnown(2)
		a.SetLimit("0.5", runner.AllAnswers)
		for n := range 20 {
			Expect(f.send(http.MethodGet, "/read/1", "r"+strconv.Itoa(n)).status).To(Equal(http.StatusOK))
		}
		Expect(len(a.RequestTimes())).To(BeNumerically("<", 10))
	})
})
