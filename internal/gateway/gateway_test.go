package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/balance"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/serverhealth"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

var _ = Describe("a request to a plain service", func() {
	var (
		f    *fixture
		a, b *runner.BackendServer
	)
	BeforeEach(func() {
		f = newFixture()
		f.configure("1")
		a = f.add("plain", runner.New("i-a", ""))
		b = f.add("plain", runner.New("i-b", ""))
		f.followUntilKnown(2)
	})
	runs := func() int { return len(a.Runs()) + len(b.Runs()) }

	It("is forwarded unchanged and gets the server's complete response", func() {
		got := f.send(http.MethodPost, "/hold/a%2Fb?x=&y", "r1", "X-Kept", "1", "Kv-Source", "forged")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(runner.Body("r1")))
		Expect(got.header.Get("Response-Seal")).To(Equal(runner.Seal("r1")))
		run := append(a.Runs(), b.Runs()...)[0]
		Expect(run.Target).To(Equal("/hold/a%2Fb?x=&y"))
		Expect(run.Header.Get("X-Kept")).To(Equal("1"))
		Expect(run.Header.Get("Kv-Source")).To(BeEmpty())
	})

	// Guards against running an unsafe request twice: a booking server places a hold
	// and crashes before it responds, and a retry at another server places a second one.
	It("that is unsafe is not retried when its response is lost", func() {
		a.SetFault(runner.DroppingAnswers)
		b.SetFault(runner.DroppingAnswers)
		got := f.send(http.MethodPost, "/hold/1", "r1")
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.header.Get(verdict.Header)).To(Equal("may_have_run"))
		Expect(runs()).To(Equal(1))
	})

	// Guards against failing a request that another server could serve: a calendar
	// server loses the response to a lookup.
	It("that is idempotent is retried at another server when its response is lost", func() {
		a.SetFault(runner.DroppingAnswers)
		for range 6 {
			Expect(f.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusOK))
		}
	})

	It("that is idempotent is retried after a server error", func() {
		a.SetFault(runner.Failing)
		for range 6 {
			Expect(f.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a rejection with a wrong verdict or without Retry-After: all
	// servers are full and state that they ran nothing.
	It("that no server ran is rejected with Retry-After", func() {
		a.SetFault(runner.Shedding)
		b.SetFault(runner.Shedding)
		got := f.send(http.MethodPost, "/hold/1", "r1")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(got.header.Get(verdict.Header)).To(Equal("not_run"))
		Expect(runs()).To(BeZero())
	})

	// Guards against forwarding a success that another program may have sent: it has
	// no authentication code of the server, or is not HTTP.
	DescribeTable("never succeeds with a response that is not the server's",
		func(fault runner.Fault) {
			a.SetFault(fault)
			b.SetFault(fault)
			got := f.send(http.MethodPost, "/hold/1", "r1")
			Expect(got.status).To(Equal(http.StatusBadGateway))
		},
		Entry("no authentication code", runner.Unsealed),
		Entry("no HTTP", runner.MalformedAnswer),
	)

	// Guards against sending a response to the wrong caller: a server responds twice to
	// one request on a reused connection.
	It("never gets the response to another request", func() {
		a.SetFault(runner.DuplicateAnswer)
		b.SetFault(runner.DuplicateAnswer)
		Expect(f.send(http.MethodPost, "/hold/1", "r1").body).To(Equal("ok"))
		a.SetFault(runner.Healthy)
		b.SetFault(runner.Healthy)
		for _, id := range []string{"r2", "r3", "r4"} {
			Expect(f.send(http.MethodPost, "/hold/1", id).body).To(Equal(runner.Body(id)))
		}
	})

	// Guards against a response after the deadline: the server never responds.
	It("fails at its deadline when the server does not respond", func() {
		a.SetFault(runner.Unresponsive)
		b.SetFault(runner.Unresponsive)
		got := f.send(http.MethodPost, "/hold/1", "r1", "Deadline-Ms", "150")
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(runs()).To(Equal(1))
	})

	// Guards against requests that are cut off when a draining server exits.
	It("is not sent to a draining server", func() {
		f.store.Put("servers", "i-a", a.Registration("plain", f.addresses["i-a"], "z", "draining"))
		Eventually(func() int { return len(f.dir.View().Service("plain")) }).Should(Equal(1))
		for range 5 {
			Expect(f.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusOK))
		}
		Expect(a.Runs()).To(BeEmpty())
	})

	// Guards against running a request at the wrong server: a server crashes, and one
	// of another service gets its address.
	It("is not run by another server at a known address", func() {
		a.ID = "i-other"
		for range 5 {
			Expect(f.send(http.MethodPost, "/hold/1", "r1").status).To(Equal(http.StatusOK))
		}
		Expect(a.Runs()).To(BeEmpty())
	})

	It("with a head over the limit is rejected and not run", func() {
		got := f.sendRaw("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\nX-Long: " +
			strings.Repeat("x", 17_000) + "\r\n\r\n")
		Expect(got).To(HavePrefix("HTTP/1.1 431"))
		Expect(runs()).To(BeZero())
	})

	// Guards against exhaustion of memory and connections: callers send half of a body
	// and then nothing. A few hundred of them would occupy everything.
	It("with an incomplete body is rejected at its deadline and not run", func() {
		got := f.sendRaw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nDeadline-Ms: 150\r\n" +
			"Connection: close\r\nContent-Length: 100\r\n\r\nhalf")
		Expect(got).To(HavePrefix("HTTP/1.1 408"))
		Expect(runs()).To(BeZero())
		Eventually(func() int64 { return f.gateway.Dump(time.Now()).BodyBytes }).Should(BeZero())
	})

	// Guards against wasted work: a caller disconnects while its request runs, and the
	// server does not notice.
	It("is canceled at the server when its caller disconnects", func() {
		a.SetFault(runner.Unresponsive)
		b.SetFault(runner.Unresponsive)
		Expect(f.sendRaw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")).To(BeEmpty())
		Eventually(func() int { return a.InFlight() + b.InFlight() }).Should(BeZero())
	})

	It("with a body over the limit is rejected and not run", func() {
		body := strings.Repeat("x", 200_001)
		head := "POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\n"
		Expect(f.sendRaw(head + "Content-Length: 200001\r\n\r\n" + body)).To(HavePrefix("HTTP/1.1 413"))
		Expect(runs()).To(BeZero())
	})

	// Guards against request smuggling: a second request is hidden in the body by a
	// Content-Length that contradicts Transfer-Encoding.
	It("cannot smuggle another one", func() {
		inner := "POST /hold/2 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: evil\r\n\r\n"
		got := f.sendRaw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\n" +
			"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner)
		Expect(got).To(HavePrefix("HTTP/1.1 "))
		for _, run := range append(a.Runs(), b.Runs()...) {
			Expect(run.ID).NotTo(Equal("evil"))
		}
	})

	It("can be explained from a dump of the configuration and servers in use", func() {
		d := f.gateway.Dump(time.Now())
		Expect(d.Ready).To(BeTrue())
		Expect(d.ConfigVersion).To(BeEquivalentTo(1))
		Expect(d.Servers).To(HaveLen(2))
		Expect(d.BodyBytes).To(BeZero())
	})

	It("without an ID is rejected", func() {
		Expect(f.sendRaw("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")).To(HavePrefix("HTTP/1.1 400"))
	})
})

var _ = Describe("routes", func() {
	// Guards against a false 404: the process has just started, cannot reach the store
	// and does not know which routes exist.
	It("that are not known yet are rejected with Retry-After", func() {
		f := newFixture()
		got := f.send(http.MethodGet, "/read/1", "r1")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.gateway.Ready()).To(BeFalse())
	})

	It("that do not exist are not found while the configuration is current", func() {
		f := newFixture()
		f.configure("1")
		f.followUntilKnown(0)
		Expect(f.send(http.MethodGet, "/nowhere/", "r1").status).To(Equal(http.StatusNotFound))
	})

	// Guards against a false 404, which callers do not retry: the store rejects this one
	// process, which therefore misses a route that is added.
	It("that are missing from a configuration that may be outdated get 503, not 404", func() {
		f := newFixture()
		f.configure("1")
		f.followUntilKnown(0)
		f.store.SetFaults(objectstore.Faults{Unavailable: true})
		Eventually(func() int { return f.send(http.MethodGet, "/nowhere/", "r1").status }).
			WithTimeout(10 * time.Second).Should(Equal(http.StatusServiceUnavailable))
	})

	// Guards against a false 404, which callers do not retry: an operator adds a route
	// just after this gateway read the configuration. Another gateway announces that
	// there is a newer one, which this gateway cannot read yet.
	It("that a newer configuration may contain get 503, not 404", func() {
		f := newFixture()
		f.configure("1")
		f.followUntilKnown(0)
		f.store.SetFaults(objectstore.Faults{Unresponsive: true})
		f.dir.RemoteConfirmation(time.Now(), directory.Confirmation{ConfigRevision: f.dir.View().TableRevision + 1})
		got := f.send(http.MethodGet, "/nowhere/", "r1")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("without servers are rejected immediately", func() {
		f := newFixture()
		f.configure("1")
		f.followUntilKnown(0)
		began := time.Now()
		Expect(f.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.send(http.MethodPost, "/stream-once/1", "r2").status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
})

// placementCounter is a Gossip that counts announced placements.
type placementCounter struct{ count atomic.Int64 }

func (p *placementCounter) AnnouncePlacement(place.Placement)           { p.count.Add(1) }
func (p *placementCounter) AnnounceServerReport(string, balance.Report) {}
func (p *placementCounter) AnnouncePrefillDone(place.JobID, float64)    {}
func (p *placementCounter) AnnounceFinished(place.JobID)                {}
func (p *placementCounter) AnnounceAvoid(string, string, time.Duration) {}
func (p *placementCounter) GatewayCount() int                           { return 1 }
func (p *placementCounter) AnnounceTermination(quarantine.Evidence)     {}
func (p *placementCounter) ReannounceTermination(quarantine.Evidence)   {}
func (p *placementCounter) AnnounceCrash(quarantine.Crash)              {}
func (p *placementCounter) ReannounceCrash(quarantine.Crash)            {}
func (p *placementCounter) AnnounceServerLimit(ratelimit.Notice)        {}
func (p *placementCounter) ReannounceServerLimit(ratelimit.Notice)      {}
func (p *placementCounter) GatewaysKnown() bool                         { return true }
func (p *placementCounter) GatewaysSharing() int                        { return 1 }
func (p *placementCounter) FirstProcess() bool                          { return false }
func (p *placementCounter) RankFor(string, uint64) ratelimit.Rank       { return ratelimit.Rank{Total: 1} }
func (p *placementCounter) MembershipVersion() uint64                   { return 0 }
func (p *placementCounter) AnnounceStreamVersion(streamversion.StreamID, streamversion.Version) {
}

func (p *placementCounter) QueryStreamVersion(streamversion.Query) int    { return 0 }
func (p *placementCounter) AnnounceOutcomes([]serverhealth.Outcome, bool) {}
func (p *placementCounter) JoinGroup(uint64) place.Group                  { return place.Group{} }

var _ = Describe("a prompt", func() {
	var (
		f                           *fixture
		prefillEngine, decodeEngine *runner.BackendServer
	)
	BeforeEach(func() {
		f = newFixture()
		f.configure("1")
		prefillEngine = f.add("llm", runner.New("i-p", "prefill"))
		decodeEngine = f.add("llm", runner.New("i-d", "decode"))
		f.followUntilKnown(2)
	})
	prompt := []string{"Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000"}

	It("is prefilled by one engine and answered by another", func() {
		got := f.send(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(streamEvents("r1", 1, 3)))
		Expect(prefillEngine.Prefills()).To(HaveLen(1))
		Expect(decodeEngine.Runs()).To(HaveLen(1))
	})

	// Guards against failing a request because the prefill engine rejects it: the decode
	// engine can prefill too, only more slowly.
	It("is prefilled by the decode engine when the prefill engine rejects it", func() {
		prefillEngine.SetFault(runner.Shedding)
		got := f.send(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(streamEvents("r1", 1, 3)))
		Expect(decodeEngine.Runs()).To(HaveLen(1))
	})

	// Guards against prefilling a long prompt twice: the decode engine rejects the
	// request after the prefill. Another engine can use the KV cache; a second prefill
	// would cost as much as a second request.
	It("is not prefilled again when the decode engine rejects it", func() {
		other := f.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
		decodeEngine.SetFault(runner.Shedding)
		for _, id := range []string{"r1", "r2", "r3"} {
			Expect(f.send(http.MethodPost, "/stream-once/1", id, prompt...).status).To(Equal(http.StatusOK))
		}
		Expect(len(prefillEngine.Prefills())).To(BeNumerically("<=", 3))
		Expect(other.Runs()).To(HaveLen(3))
	})

	// Guards against lost or repeated events: an engine crashes within the second event
	// of a resumable stream, and another engine resumes it.
	It("with a resumable stream is resumed at another engine, each event once", func() {
		other := f.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
		decodeEngine.SetFault(runner.TruncatingStream)
		resumed := 0
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			got := f.send(http.MethodPost, "/stream-again/1", id, prompt...)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(streamEvents(id, 1, 3)))
		}
		for _, run := range other.Runs() {
			if run.LastEventID != "" {
				Expect(run.LastEventID).To(Equal("1"))
				resumed++
			}
		}
		Expect(resumed).To(Equal(len(decodeEngine.Runs())))
	})

	// Guards against underestimating answer lengths: callers resume streams after
	// interruptions, and the rest of an answer is learned as a complete one.
	It("trains the length estimate on the complete answer when a stream is resumed", func() {
		f := newFixture()
		engine := f.add("llm", runner.New("d-1", "decode"))
		engine.Events, engine.EventInterval = 10, 5*time.Millisecond
		f.configure("1")
		f.followUntilKnown(1)
		prompt := []string{"Token-Count", "10,100", "Length-Hint", "10"}
		Expect(f.send(http.MethodPost, "/stream-again/x", "begun", prompt...).status).To(Equal(http.StatusOK))
		for n := range 40 {
			got := f.send(http.MethodPost, "/stream-again/x", "r"+strconv.Itoa(n), append(prompt, "Last-Event-Id", "8", "Resumes", "begun")...)
			Expect(got.status).To(Equal(http.StatusOK))
		}
		Expect(f.gateway.LearnedState()["llm"].AnswerLengths.LogEvents).To(BeNumerically("~", 0, 0.1))
	})

	// Guards against callers that leave after two seconds: an engine stalls in the middle
	// of a resumable stream with all connections open.
	It("with a resumable stream is resumed at another engine after a stall, each event once", func() {
		other := f.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
		stalled := 0
		for _, pair := range [][2]*runner.BackendServer{{decodeEngine, other}, {other, decodeEngine}} {
			pair[0].SetFault(runner.Stalling)
			pair[1].SetFault(runner.Healthy)
			before := len(pair[0].Runs())
			id := "r" + pair[0].ID
			got := f.send(http.MethodPost, "/stream-again/1", id, prompt...)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(streamEvents(id, 1, 3)))
			stalled += len(pair[0].Runs()) - before
		}
		Expect(stalled).To(BeNumerically(">", 0))
	})

	// Guards against canceling a stream that would complete: the only decode engine pauses
	// for longer than a second within a resumable stream.
	It("is not canceled for a stall if no other engine could resume it", func() {
		decodeEngine.SetFault(runner.Shedding)
		only := f.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
		f.store.Remove("servers", decodeEngine.ID)
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(2))
		only.Events, only.EventInterval = 2, 1200*time.Millisecond
		got := f.send(http.MethodPost, "/stream-again/1", "r1", prompt...)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(streamEvents("r1", 1, 2)))
		Expect(only.Runs()).To(HaveLen(1))
	})

	// Guards against a mixed-up answer: an engine interrupts a stream, and the next one
	// sends a response that is no stream, which is appended to the first events.
	It("with a resumable stream is not continued by a response that is no stream", func() {
		other := f.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
		broken := 0
		for _, pair := range [][2]*runner.BackendServer{{decodeEngine, other}, {other, decodeEngine}} {
			pair[0].SetFault(runner.TruncatingStream)
			pair[1].SetFault(runner.DuplicateAnswer)
			for _, id := range []string{"r1", "r2"} {
				got := f.send(http.MethodPost, "/stream-again/1", pair[0].ID+id, prompt...)
				if got.err != nil {
					broken++
					continue
				}
				Expect(got.body).To(Equal("ok"))
			}
		}
		Expect(broken).To(BeNumerically(">", 0))
	})

	// Guards against a second run on a route that is not resumable: an engine's response
	// is lost before the first event.
	It("is retried after a lost response only if its stream is resumable", func() {
		other := f.add("llm", runner.New("i-e", "decode"))
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
		decodeEngine.SetFault(runner.DroppingAnswers)
		other.SetFault(runner.DroppingAnswers)
		Expect(f.send(http.MethodPost, "/stream-once/1", "r1", prompt...).status).To(Equal(http.StatusBadGateway))
		Expect(len(decodeEngine.Runs()) + len(other.Runs())).To(Equal(1))
		Expect(f.send(http.MethodPost, "/stream-again/1", "r2", prompt...).status).To(Equal(http.StatusBadGateway))
		Expect(len(decodeEngine.Runs()) + len(other.Runs())).To(Equal(3))
	})

	// Guards against a truncated answer that looks complete: an engine crashes within an
	// event.
	It("without a resumable stream fails when the engine interrupts it", func() {
		decodeEngine.SetFault(runner.TruncatingStream)
		got := f.send(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.err).To(HaveOccurred())
		Expect(decodeEngine.Runs()).To(HaveLen(1))
	})

	// Guards against prefilling a prompt again and again until the deadline: every engine
	// rejects all requests. Each attempt takes from a retry budget that all gateways
	// share, so the request must fail once that is exhausted.
	It("fails once the retry budget is exhausted", func() {
		f := newFixtureWith(0)
		f.configure("1")
		prefillEngine := f.add("llm", runner.New("i-p", "prefill"))
		f.add("llm", runner.New("i-d", "decode")).SetFault(runner.Shedding)
		f.add("llm", runner.New("i-e", "decode")).SetFault(runner.Shedding)
		announced := &placementCounter{}
		f.gateway.SetGossip(announced)
		f.followUntilKnown(3)
		got := f.send(http.MethodPost, "/stream-once/1", "r1", prompt...)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(len(prefillEngine.Prefills())).To(BeNumerically("<=", 2))
		Expect(announced.count.Load()).To(BeNumerically("<=", 6))
	})
})

// Guards against rejecting all prompts after a restart: the process reads the servers
// before the configuration, and does not know the engines until one of them changes.
var _ = Describe("engines", func() {
	It("are known whether the configuration or the servers are read first", func() {
		f := newFixture()
		f.add("llm", runner.New("i-d", "decode"))
		f.followServers()
		f.configure("1")
		Eventually(func() int { return f.send(http.MethodPost, "/stream-once/1", "r1").status }).Should(Equal(http.StatusOK))
	})
})

var _ = Describe("a gateway without a configuration", func() {
	// Guards against callers that use up their single retry within the outage that caused
	// the rejection.
	It("sends a long Retry-After while no gateway can reach the store, and a short one otherwise", func() {
		f := newFixture()
		Expect(f.send("GET", "/read/x", "r1").header.Get("Retry-After")).To(Equal("0.30"))
		f.store.SetFaults(objectstore.Faults{Unavailable: true})
		f.follow()
		Eventually(f.dir.StoreUnreachable).Should(BeTrue())
		rejected := f.send("GET", "/read/x", "r2")
		Expect(rejected.status).To(Equal(http.StatusServiceUnavailable))
		Expect(rejected.header.Get("Retry-After")).To(Equal("0.67"))
		Expect(f.send("GET", "/read/x", "r3", "Deadline-Ms", "60000").header.Get("Retry-After")).To(Equal("2.00"))
		f.dir.RemoteConfirmation(time.Now(), directory.Confirmation{ConfigRevision: 1})
		Expect(f.send("GET", "/read/x", "r4").header.Get("Retry-After")).To(Equal("0.30"))
		f.store.SetFaults(objectstore.Faults{})
		f.configure("1")
		Eventually(func() bool { return f.dir.View().Table != nil && !f.dir.StoreUnreachable() }).Should(BeTrue())
	})
})
