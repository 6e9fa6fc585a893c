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

// limitOf returns the limit of a server in the dump, nil for none.
func limitOf(w *world, id string) *gateway.LimitDump {
	s, ok := lo.Find(w.gateway.Dump(time.Now()).Servers, func(s gateway.ServerDump) bool { return s.ID == id })
	Expect(ok).To(BeTrue())
	return s.Limit
}

var _ = Describe("what a gateway knows of a server's limit", func() {
	var w *world
	BeforeEach(func() {
		w = newWorld()
		w.configure("1")
	})
	limited := func(server string, perSecond float64) {
		GinkgoHelper()
		l := limitOf(w, server)
		Expect(l).NotTo(BeNil())
		Expect(l.PerSecond).To(Equal(perSecond))
		Expect(l.Part).To(BeNumerically("~", max(0.25, perSecond), 1e-9))
	}

	It("is in the dump from the answer that names it to the one that does not", func() {
		a := w.add("plain", runner.New("i-a", ""))
		w.ready(1)
		w.ask(http.MethodGet, "/read/1", "r1")
		Expect(limitOf(w, "i-a")).To(BeNil())
		a.SetLimit("4.2", runner.AllAnswers)
		Expect(w.ask(http.MethodGet, "/read/1", "r2").header.Get("Server-Limit")).To(Equal("4.2"))
		limited("i-a", 4.2)
	})

	// Guards against limits of engines that are named in answers that no caller gets.
	It("comes from rejections and reads as well", func() {
		prefill := w.add("llm", runner.New("i-p", "prefill"))
		decode := w.add("llm", runner.New("i-d", "decode"))
		w.ready(2)
		prefill.SetLimit("3.5", runner.Reads)
		decode.SetLimit("2.5", runner.Rejections)
		decode.SetFault(runner.Shedding)
		w.ask(http.MethodPost, "/stream-again/1", "r1", "Token-Count", "1000,10", "Prefix-Hash", "a:1000")
		limited("i-p", 3.5)
		limited("i-d", 2.5)
	})

	// Guards against limits that another server named, or nobody.
	It("does not come from answers that are not the server's", func() {
		a := w.add("plain", runner.New("i-a", ""))
		w.ready(1)
		a.SetLimit("4.2", runner.AllAnswers)
		a.SetFault(runner.Unsealed)
		Expect(w.ask(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusBadGateway))
		Expect(limitOf(w, "i-a")).To(BeNil())
	})

	It("stays when the server names one that is not understood", func() {
		a := w.add("plain", runner.New("i-a", ""))
		w.ready(1)
		a.SetLimit("1000", runner.AllAnswers)
		w.ask(http.MethodGet, "/read/1", "r1")
		a.SetLimit("many", runner.AllAnswers)
		w.ask(http.MethodGet, "/read/1", "r2")
		limited("i-a", 1000)
	})

	// Guards against requests that wait, or go to a server in need, though no other has
	// room for them.
	It("has requests refused at once that no server has room for", func() {
		a := w.add("plain", runner.New("i-a", ""))
		p := w.add("llm", runner.New("i-p", "prefill"))
		d := w.add("llm", runner.New("i-d", "decode"))
		w.ready(3)
		for _, r := range []*runner.Runner{a, p, d} {
			r.SetLimit("0.5", runner.AllAnswers)
		}
		w.ask(http.MethodGet, "/read/1", "r1")
		w.ask(http.MethodPost, "/stream-again/1", "r2", "Token-Count", "1000,10", "Prefix-Hash", "a:1000")
		limited("i-a", 0.5)
		limited("i-d", 0.5)
		before := len(a.Got()) + len(d.Got())
		for _, target := range []string{"/read/1", "/hold/1", "/stream-again/1", "/stream-once/1"} {
			got := w.ask(http.MethodPost, target, "r3", "Token-Count", "1000,10", "Prefix-Hash", "a:1000")
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.header.Get(verdict.Header)).To(Equal("not_run"))
			Expect(got.body).To(ContainSubstring(`"server_limit"`))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">", 0), BeNumerically("<=", 0.67)))
		}
		Expect(len(a.Got()) + len(d.Got())).To(Equal(before))
	})

	It("sends requests to the servers that have room", func() {
		a := w.add("plain", runner.New("i-a", ""))
		w.add("plain", runner.New("i-b", ""))
		w.ready(2)
		a.SetLimit("0.5", runner.AllAnswers)
		for n := range 20 {
			Expect(w.ask(http.MethodGet, "/read/1", "r"+strconv.Itoa(n)).status).To(Equal(http.StatusOK))
		}
		Expect(len(a.Got())).To(BeNumerically("<", 10))
	})
})
