package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

var _ = Describe("a request to a plain service", func() {
	var (
		w    *world
		a, b *runner.Runner
	)
	BeforeEach(func() {
		w = newWorld()
		w.configure("1")
		a = w.add("plain", runner.New("i-a", ""))
		b = w.add("plain", runner.New("i-b", ""))
		w.ready(2)
	})
	runs := func() int { return len(a.Runs()) + len(b.Runs()) }

	It("gets the server's whole answer, and the server the request as it came", func() {
		got := w.ask(http.MethodPost, "/hold/a%2Fb?x=&y", "r1", "X-Kept", "1", "Kv-Source", "forged")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(runner.Body("r1")))
		Expect(got.header.Get("Response-Seal")).To(Equal(runner.Seal("r1")))
		run := append(a.Runs(), b.Runs()...)[0]
		Expect(run.Target).To(Equal("/hold/a%2Fb?x=&y"))
		Expect(run.Header.Get("X-Kept")).To(Equal("1"))
		Expect(run.Header.Get("Kv-Source")).To(BeEmpty())
	})

	// A booking server places a hold and dies before its answer is out. Sent to
	// the next server, the hold would stand twice.
	It("that may run once is not sent again when its answer is lost", func() {
		a.SetFault(runner.LosingAnswers)
		b.SetFault(runner.LosingAnswers)
		got := w.ask(http.MethodPost, "/hold/1", "r1")
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.header.Get(verdict.Header)).To(Equal("may_have_run"))
		Expect(runs()).To(Equal(1))
	})

	// A calendar server loses the answer of a lookup; the caller must not
	// notice, for another server can answer.
	It("that is idempotent goes to another server when its answer is lost", func() {
		a.SetFault(runner.LosingAnswers)
		for range 6 {
			Expect(w.ask(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusOK))
		}
	})

	It("that is idempotent is tried again after a server's own failure", func() {
		a.SetFault(runner.Failing)
		for range 6 {
			Expect(w.ask(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusOK))
		}
	})

	// All servers are full and say that they ran nothing. The caller is told
	// so, with the time to come back, and it is true.
	It("that no server ran is refused with a time to come back", func() {
		a.SetFault(runner.Shedding)
		b.SetFault(runner.Shedding)
		got := w.ask(http.MethodPost, "/hold/1", "r1")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(got.header.Get(verdict.Header)).To(Equal("not_run"))
		Expect(runs()).To(BeZero())
	})

	// A server sends a success that does not carry its code. It may be some
	// other program's; the caller must not take it for the answer.
	DescribeTable("never gets as a success what is not the server's answer",
		func(f runner.Fault) {
			a.SetFault(f)
			b.SetFault(f)
			got := w.ask(http.MethodPost, "/hold/1", "r1")
			Expect(got.status).To(Equal(http.StatusBadGateway))
		},
		Entry("no code", runner.Unsealed),
		Entry("no HTTP", runner.Nonsense),
	)

	// A server answers one request twice on a kept connection. The second
	// answer must not go to the next caller.
	It("never gets the answer to another request", func() {
		a.SetFault(runner.ExtraAnswer)
		b.SetFault(runner.ExtraAnswer)
		Expect(w.ask(http.MethodPost, "/hold/1", "r1").body).To(Equal("ok"))
		a.SetFault(runner.Healthy)
		b.SetFault(runner.Healthy)
		for _, id := range []string{"r2", "r3", "r4"} {
			Expect(w.ask(http.MethodPost, "/hold/1", id).body).To(Equal(runner.Body(id)))
		}
	})

	// An answer never comes. The caller hears at the deadline, and not later.
	It("ends at its deadline when the server is silent", func() {
		a.SetFault(runner.Silent)
		b.SetFault(runner.Silent)
		got := w.ask(http.MethodPost, "/hold/1", "r1", "Deadline-Ms", "150")
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(runs()).To(Equal(1))
	})

	// A server leaves: what is sent afterwards would be cut when it exits.
	It("does not go to a server that drains", func() {
		w.store.Put("servers", "i-a", a.Entry("plain", w.address["i-a"], "z", "draining"))
		Eventually(func() int { return len(w.dir.View().Service("plain")) }).Should(Equal(1))
		for range 5 {
			Expect(w.ask(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusOK))
		}
		Expect(a.Runs()).To(BeEmpty())
	})

	// A server crashes, and another one gets its address. It would run a
	// request of a service that is not its own.
	It("is not run by another server at a known address", func() {
		a.ID = "i-other"
		for range 5 {
			Expect(w.ask(http.MethodPost, "/hold/1", "r1").status).To(Equal(http.StatusOK))
		}
		Expect(a.Runs()).To(BeEmpty())
	})

	It("over the limit of heads is refused unrun", func() {
		got := w.raw("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\nX-Long: " +
			strings.Repeat("x", 17_000) + "\r\n\r\n")
		Expect(got).To(HavePrefix("HTTP/1.1 431"))
		Expect(runs()).To(BeZero())
	})

	// A caller sends half of its body and then nothing. It would hold memory and
	// a connection for good, and a few hundred such callers all of them.
	It("whose body does not come is ended at its deadline, unrun", func() {
		got := w.raw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nDeadline-Ms: 150\r\n" +
			"Connection: close\r\nContent-Length: 100\r\n\r\nhalf")
		Expect(got).To(HavePrefix("HTTP/1.1 408"))
		Expect(runs()).To(BeZero())
		Eventually(func() int64 { return w.gateway.Dump(time.Now()).BodyBytes }).Should(BeZero())
	})

	// A caller leaves while its lookup runs. The server must hear of it, or it
	// works on for nobody.
	It("ends at the server when its caller leaves", func() {
		a.SetFault(runner.Silent)
		b.SetFault(runner.Silent)
		Expect(w.raw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")).To(BeEmpty())
		Eventually(func() int { return a.Open() + b.Open() }).Should(BeZero())
	})

	It("over the limit of bodies is refused unrun", func() {
		body := strings.Repeat("x", 200_001)
		head := "POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\n"
		Expect(w.raw(head + "Content-Length: 200001\r\n\r\n" + body)).To(HavePrefix("HTTP/1.1 413"))
		Expect(runs()).To(BeZero())
	})

	// A caller hides a second request in the first one's body, by two lengths
	// that disagree. The server must see one request, with that body.
	It("cannot smuggle another one", func() {
		inner := "POST /hold/2 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: evil\r\n\r\n"
		got := w.raw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\n" +
			"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner)
		Expect(got).To(HavePrefix("HTTP/1.1 "))
		for _, run := range append(a.Runs(), b.Runs()...) {
			Expect(run.ID).NotTo(Equal("evil"))
		}
	})

	It("is seen in a dump of the state with what it rests on", func() {
		d := w.gateway.Dump(time.Now())
		Expect(d.Ready).To(BeTrue())
		Expect(d.ConfigVersion).To(BeEquivalentTo(1))
		Expect(d.Servers).To(HaveLen(2))
		Expect(d.BodyBytes).To(BeZero())
	})

	It("without an id is refused", func() {
		Expect(w.raw("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")).To(HavePrefix("HTTP/1.1 400"))
	})
})

var _ = Describe("routes", func() {
	// A process has just started and the store is away. It cannot know which
	// routes there are, so it must not say that one does not exist.
	It("that are not known yet are refused with a time to come back", func() {
		w := newWorld()
		got := w.ask(http.MethodGet, "/read/1", "r1")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(w.gateway.Ready()).To(BeFalse())
	})

	It("that do not exist are not found, as long as the configuration is fresh", func() {
		w := newWorld()
		w.configure("1")
		w.ready(0)
		Expect(w.ask(http.MethodGet, "/nowhere/", "r1").status).To(Equal(http.StatusNotFound))
	})

	// The store refuses this one process. A route that was added meanwhile is
	// not known here, and "not found" would tell the caller never to ask again.
	It("that are missing from a configuration that may be old are refused, not denied", func() {
		w := newWorld()
		w.configure("1")
		w.ready(0)
		w.store.SetFaults(objectstore.Faults{Refuse: true})
		Eventually(func() int { return w.ask(http.MethodGet, "/nowhere/", "r1").status }).
			WithTimeout(10 * time.Second).Should(Equal(http.StatusServiceUnavailable))
	})

	// An operator adds a route. This gateway has read the configuration a moment
	// before, and hears from another that there is a newer one, which it cannot read
	// yet. Callers of the new route who are told "not found" do not ask again.
	It("that a newer configuration may have are refused, not denied", func() {
		w := newWorld()
		w.configure("1")
		w.ready(0)
		w.store.SetFaults(objectstore.Faults{Silent: true})
		w.dir.RemoteConfirmation(time.Now(), directory.Confirmation{ConfigRevision: w.dir.View().TableRevision + 1})
		got := w.ask(http.MethodGet, "/nowhere/", "r1")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("without servers are refused at once", func() {
		w := newWorld()
		w.configure("1")
		w.ready(0)
		began := time.Now()
		Expect(w.ask(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusServiceUnavailable))
		Expect(w.ask(http.MethodPost, "/stream-once/1", "r2").status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
})

// placements counts what a gateway tells the others.
type placements struct{ count atomic.Int64 }

func (p *placements) AnnouncePlacement(place.Placement)           { p.count.Add(1) }
func (p *placements) AnnouncePrefillDone(place.JobID)             {}
func (p *placements) AnnounceFinished(place.JobID)                {}
func (p *placements) AnnounceAvoid(string, string, time.Duration) {}
func (p *placements) GatewayCount() int                           { return 1 }
func (p *placements) AnnounceTermination(quarantine.Evidence)     {}
func (p *placements) ReannounceTermination(quarantine.Evidence)   {}
func (p *placements) AnnounceServerLimit(ratelimit.Notice)        {}
func (p *placements) ReannounceServerLimit(ratelimit.Notice)      {}
func (p *placements) RankFor(string, uint64) ratelimit.Rank       { return ratelimit.Rank{Total: 1} }
func (p *placements) MembershipVersion() uint64                   { return 0 }
func (p *placements) JoinGroup(uint64) place.Group                { return place.Group{} }

var _ = Describe("a prompt", func() {
	var (
		w               *world
		reader, decoder *runner.Runner
	)
	BeforeEach(func() {
		w = newWorld()
		w.configure("1")
		reader = w.add("llm", runner.New("i-p", "prefill"))
		decoder = w.add("llm", runner.New("i-d", "decode"))
		w.ready(2)
	})
	prompt := []string{"Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000"}

	It("is read by one engine and answered by another", func() {
		got := w.ask(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(stream("r1", 1, 3)))
		Expect(reader.Prefills()).To(HaveLen(1))
		Expect(decoder.Runs()).To(HaveLen(1))
	})

	// The engine that should read prompts refuses all. The one that decodes
	// can read too, only slower, and the caller gets the answer.
	It("is read by the decoding engine when the other refuses", func() {
		reader.SetFault(runner.Shedding)
		got := w.ask(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(stream("r1", 1, 3)))
		Expect(decoder.Runs()).To(HaveLen(1))
	})

	// The engine that should generate refuses, after a long prompt has been
	// read for it. Another one takes what was read; to have it read again would
	// cost the fleet as much as a second request.
	It("is not read again when the engine that should generate refuses", func() {
		other := w.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(3))
		decoder.SetFault(runner.Shedding)
		for _, id := range []string{"r1", "r2", "r3"} {
			Expect(w.ask(http.MethodPost, "/stream-once/1", id, prompt...).status).To(Equal(http.StatusOK))
		}
		Expect(len(reader.Prefills())).To(BeNumerically("<=", 3))
		Expect(other.Runs()).To(HaveLen(3))
	})

	// An engine crashes in the middle of the second event of a summary. Its
	// caller notices nothing: another engine goes on, and every event comes once.
	It("whose stream may be resumed goes on at another engine, each event once", func() {
		other := w.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(3))
		decoder.SetFault(runner.BreakingOff)
		resumed := 0
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			got := w.ask(http.MethodPost, "/stream-again/1", id, prompt...)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(stream(id, 1, 3)))
		}
		for _, run := range other.Runs() {
			if run.Resumed != "" {
				Expect(run.Resumed).To(Equal("1"))
				resumed++
			}
		}
		Expect(resumed).To(Equal(len(decoder.Runs())))
	})

	// An engine falls silent in the middle of a summary, with all connections open.
	// Its callers would leave after two seconds; they get every event, once.
	// Callers resume streams after breaks. Were the rest of an answer learned as a whole
	// one, all answers would seem shorter than they are.
	It("teaches the length of the whole answer when a stream was resumed", func() {
		w := newWorld()
		engine := w.add("llm", runner.New("d-1", "decode"))
		engine.Events, engine.EventGap = 10, 5*time.Millisecond
		w.configure("1")
		w.ready(1)
		for n := range 40 {
			got := w.ask(http.MethodPost, "/stream-again/x", "r"+strconv.Itoa(n),
				"Token-Count", "10,100", "Length-Hint", "10", "Last-Event-Id", "8")
			Expect(got.status).To(Equal(http.StatusOK))
		}
		Expect(w.gateway.LearnedState()["llm"].AnswerLengths.LogEvents).To(BeNumerically("~", 0, 0.1))
	})

	It("whose stream may be resumed goes on elsewhere when its engine falls silent", func() {
		other := w.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(3))
		stalled := 0
		for _, pair := range [][2]*runner.Runner{{decoder, other}, {other, decoder}} {
			pair[0].SetFault(runner.Stalling)
			pair[1].SetFault(runner.Healthy)
			before := len(pair[0].Runs())
			id := "r" + pair[0].ID
			got := w.ask(http.MethodPost, "/stream-again/1", id, prompt...)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(stream(id, 1, 3)))
			stalled += len(pair[0].Runs()) - before
		}
		Expect(stalled).To(BeNumerically(">", 0))
	})

	// The only engine that generates pauses for longer than a second within a
	// summary. Given up, the caller would lose an answer that comes whole.
	It("is not given up for a pause where no other engine could go on", func() {
		decoder.SetFault(runner.Shedding)
		only := w.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(3))
		w.store.Remove("servers", decoder.ID)
		Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(2))
		only.Events, only.EventGap = 2, 1200*time.Millisecond
		got := w.ask(http.MethodPost, "/stream-again/1", "r1", prompt...)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(stream("r1", 1, 2)))
		Expect(only.Runs()).To(HaveLen(1))
	})

	// An engine breaks off within a stream, and the next one answers with
	// something that is no stream. Joined to the first events, the caller would
	// take both for one answer.
	It("whose stream may be resumed is not joined with what is no stream", func() {
		other := w.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(3))
		broken := 0
		for _, pair := range [][2]*runner.Runner{{decoder, other}, {other, decoder}} {
			pair[0].SetFault(runner.BreakingOff)
			pair[1].SetFault(runner.ExtraAnswer)
			for _, id := range []string{"r1", "r2"} {
				got := w.ask(http.MethodPost, "/stream-again/1", pair[0].ID+id, prompt...)
				if got.err != nil {
					broken++
					continue
				}
				Expect(got.body).To(Equal("ok"))
			}
		}
		Expect(broken).To(BeNumerically(">", 0))
	})

	// An engine loses its answer before the first event. A summary may run
	// again; a draft may not.
	It("is sent again after a lost answer only if its stream may be resumed", func() {
		other := w.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(3))
		decoder.SetFault(runner.LosingAnswers)
		other.SetFault(runner.LosingAnswers)
		Expect(w.ask(http.MethodPost, "/stream-once/1", "r1", prompt...).status).To(Equal(http.StatusBadGateway))
		Expect(len(decoder.Runs()) + len(other.Runs())).To(Equal(1))
		Expect(w.ask(http.MethodPost, "/stream-again/1", "r2", prompt...).status).To(Equal(http.StatusBadGateway))
		Expect(len(decoder.Runs()) + len(other.Runs())).To(Equal(3))
	})

	// An engine crashes in the middle of an event. The caller must see that the
	// answer is not whole.
	It("whose stream may not be resumed ends visibly when the engine breaks off", func() {
		decoder.SetFault(runner.BreakingOff)
		got := w.ask(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.err).To(HaveOccurred())
		Expect(decoder.Runs()).To(HaveLen(1))
	})

	// Every engine refuses whatever is sent. Each try costs all entries a part
	// of a common budget, so a call must end when that is used up, and not have
	// its prompt read again and again until its deadline.
	It("is given up once the budget of repeated sends is used up", func() {
		w := newWorldWith(0)
		w.configure("1")
		reader := w.add("llm", runner.New("i-p", "prefill"))
		w.add("llm", runner.New("i-d", "decode")).SetFault(runner.Shedding)
		w.add("llm", runner.New("i-e", "decode")).SetFault(runner.Shedding)
		told := &placements{}
		w.gateway.SetGossip(told)
		w.ready(3)
		got := w.ask(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(len(reader.Prefills())).To(BeNumerically("<=", 2))
		Expect(told.count.Load()).To(BeNumerically("<=", 6))
	})
})

// A process restarts and reads the servers before the configuration. It knew
// engines from then on only when one of them changed, and refused all prompts
// until then.
var _ = Describe("engines", func() {
	It("are known whichever of configuration and servers is read first", func() {
		w := newWorld()
		w.add("llm", runner.New("i-d", "decode"))
		w.knowsServers()
		w.configure("1")
		Eventually(func() int { return w.ask(http.MethodPost, "/stream-once/1", "r1").status }).Should(Equal(http.StatusOK))
	})
})

var _ = Describe("a gateway that knows no configuration", func() {
	// Guards against callers who spend their one return within the outage that is the
	// reason for their refusal.
	It("asks its callers back late while the store answers nobody, and soon otherwise", func() {
		w := newWorld()
		Expect(w.ask("GET", "/read/x", "r1").header.Get("Retry-After")).To(Equal("0.30"))
		w.store.SetFaults(objectstore.Faults{Refuse: true})
		w.follow()
		Eventually(w.dir.StoreLost).Should(BeTrue())
		refused := w.ask("GET", "/read/x", "r2")
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.header.Get("Retry-After")).To(Equal("0.67"))
		Expect(w.ask("GET", "/read/x", "r3", "Deadline-Ms", "60000").header.Get("Retry-After")).To(Equal("2.00"))
		w.dir.RemoteConfirmation(time.Now(), directory.Confirmation{ConfigRevision: 1})
		Expect(w.ask("GET", "/read/x", "r4").header.Get("Retry-After")).To(Equal("0.30"))
		w.store.SetFaults(objectstore.Faults{})
		w.configure("1")
		Eventually(func() bool { return w.dir.View().Table != nil && !w.dir.StoreLost() }).Should(BeTrue())
	})
})
