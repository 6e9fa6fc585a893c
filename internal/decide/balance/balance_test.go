package balance_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/balance"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

var start = time.Unix(1_000_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// load simulates many gateways that send short requests to a few servers. The machine of each
// server is contended 15% of the time, for 600 ms at a time. A step is 1 ms.
type load struct {
	gateways, servers, slots int
	perMS, workMS            float64
	// contention says that servers report it, lost is the fraction of shared reports that
	// get lost, late by how many milliseconds the others arrive, and alter what is wrong with
	// the reports of the first server.
	contention bool
	lost       float64
	late       int
	alter      func(*balance.Report)

	rng              *rand.Rand
	balancers        []*balance.Balancer
	factors          []float64
	running, waiting [][]*simRequest
	events           map[int][]func()
	times            []int
	sent             []int
	shared           int
}

type simRequest struct {
	gateway, server, begin int
	left                   float64
}

func (l *load) choose(ms, gateway int) int {
	servers := make([]balance.Server, l.servers)
	for i := range servers {
		servers[i] = balance.Server{ID: strconv.Itoa(i), Slots: l.slots, Remote: i%3 != gateway%3}
	}
	chosen, ok := l.balancers[gateway].Choose(at(ms), servers, l.rng.Float64)
	Expect(ok).To(BeTrue())
	l.sent[chosen]++
	return chosen
}

// answer has a gateway receive the answer to a request, with a report.
func (l *load) answer(ms int, r *simRequest, report balance.Report) {
	b, id := l.balancers[r.gateway], strconv.Itoa(r.server)
	share := b.Report(at(ms), id, report)
	b.Done(id)
	l.times = append(l.times, ms-r.begin)
	if !share {
		return
	}
	l.shared++
	for g, other := range l.balancers {
		if g != r.gateway && l.rng.Float64() >= l.lost {
			arrives := ms + 1 + l.late + l.rng.IntN(20)
			l.events[arrives] = append(l.events[arrives], func() { other.RemoteReport(at(arrives), id, report) })
		}
	}
}

func (l *load) work(ms, i int) {
	if (ms+200*i)%600 == 0 {
		l.factors[i] = 1
		if l.rng.Float64() < 0.15 {
			l.factors[i] = 2.5
		}
	}
	for len(l.running[i]) < l.slots && len(l.waiting[i]) > 0 {
		l.running[i] = append(l.running[i], l.waiting[i][0])
		l.waiting[i] = l.waiting[i][1:]
	}
	l.running[i] = slices.DeleteFunc(l.running[i], func(r *simRequest) bool {
		if r.left -= 1 / l.factors[i]; r.left > 0 {
			return false
		}
		report := balance.Report{Busy: len(l.running[i]) + len(l.waiting[i])}
		if l.contention {
			report.Contention = l.factors[i]
		}
		report.At = at(ms + 1)
		if l.alter != nil && i == 0 {
			l.alter(&report)
		}
		l.events[ms+1] = append(l.events[ms+1], func() { l.answer(ms+1, r, report) })
		return true
	})
}

// run returns quantiles of the times that callers wait, in milliseconds.
func (l load) run() (p50, p95, p99 int, after load) {
	l.rng = rand.New(rand.NewPCG(1, 1))
	l.events = make(map[int][]func())
	l.factors, l.sent = make([]float64, l.servers), make([]int, l.servers)
	l.running, l.waiting = make([][]*simRequest, l.servers), make([][]*simRequest, l.servers)
	for i := range l.factors {
		l.factors[i] = 1
	}
	for range l.gateways {
		l.balancers = append(l.balancers, balance.New())
	}
	for ms := range 60_000 {
		for _, event := range l.events[ms] {
			event()
		}
		delete(l.events, ms)
		for i := range l.servers {
			l.work(ms, i)
		}
		if l.rng.Float64() < l.perMS {
			gateway := l.rng.IntN(l.gateways)
			r := &simRequest{gateway: gateway, server: l.choose(ms, gateway), begin: ms, left: l.workMS * (0.5 + l.rng.Float64())}
			l.events[ms+1] = append(l.events[ms+1], func() { l.waiting[r.server] = append(l.waiting[r.server], r) })
		}
	}
	slices.Sort(l.times)
	quantile := func(percent int) int { return l.times[len(l.times)*percent/100] }
	return quantile(50), quantile(95), quantile(99), l
}

var thirtyGateways = load{gateways: 30, servers: 3, slots: 6, workMS: 60}

// withReports returns the load with reports of contention.
func withReports(perMS float64, change func(*load)) load {
	l := thirtyGateways
	l.perMS, l.contention = perMS, true
	if change != nil {
		change(&l)
	}
	return l
}

var _ = Describe("balancing by reports with contention", func() {
	// Guards against requests that queue at one server or run at contended ones while
	// others are idle. Without contention, reports are used as where servers send none.
	It("shortens the wait of callers, also if shared reports are lost or late", func() {
		for _, perMS := range []float64{0.065, 0.13, 0.2} {
			before := thirtyGateways
			before.perMS = perMS
			a50, a95, a99, _ := before.run()
			for name, change := range map[string]func(*load){
				"all":         nil,
				"half lost":   func(l *load) { l.lost = 0.5 },
				"none shared": func(l *load) { l.lost = 1 },
				"late":        func(l *load) { l.late = 250 },
			} {
				b50, b95, b99, after := withReports(perMS, change).run()
				GinkgoWriter.Println(perMS, name, "before", a50, a95, a99, "after", b50, b95, b99, "shared", after.shared)
				Expect(b50).To(BeNumerically("<=", a50+1), name)
				// Without the reports of others there may be no gain, and the margin is for chance.
				Expect(float64(b95)).To(BeNumerically("<=", 1.05*float64(a95)), name)
				Expect(float64(b99)).To(BeNumerically("<=", 1.05*float64(a99)), name)
				if change == nil {
					Expect(b95).To(BeNumerically("<", 0.9*float64(a95)))
				}
			}
		}
	})

	// Guards against a server that attracts or loses all requests by false reports.
	It("limits the effect of false reports", func() {
		_, _, honest, _ := withReports(0.065, nil).run()
		for name, alter := range map[string]func(*balance.Report){
			"zero":     func(r *balance.Report) { r.Busy, r.Contention = 0, 0.001 },
			"huge":     func(r *balance.Report) { r.Busy, r.Contention = 1<<24, 1e9 },
			"negative": func(r *balance.Report) { r.Busy, r.Contention = -5, -1 },
			"stale":    func(r *balance.Report) { r.At = r.At.Add(-time.Hour) },
			"future":   func(r *balance.Report) { r.At = r.At.Add(time.Hour) },
		} {
			_, _, p99, after := withReports(0.065, func(l *load) { l.alter = alter }).run()
			share := float64(after.sent[0]) / float64(len(after.times))
			GinkgoWriter.Println(name, "p99", p99, "share", share)
			Expect(p99).To(BeNumerically("<", 2*honest), name)
			Expect(share).To(BeNumerically("<", 0.75), name)
			Expect(share).To(BeNumerically(">", 0.01), name)
		}
	})

	// Guards against gossip that grows with the number of gateways and their requests.
	It("shares few reports, and none without contention", func() {
		l := withReports(0.9, func(l *load) { l.gateways, l.workMS = 100, 10 })
		_, _, _, after := l.run()
		Expect(after.shared).To(BeNumerically("<", 60*150))
		GinkgoWriter.Println("shared a second", after.shared/60)
		l.contention = false
		_, _, _, after = l.run()
		Expect(after.shared).To(BeZero())
	})

	It("avoids failed servers while there are others, and uses them otherwise", func() {
		b := balance.New()
		servers := []balance.Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}, {ID: "c", Slots: 1}}
		b.Report(at(0), "a", balance.Report{Contention: 1, At: at(0)})
		b.Avoid("a", at(1_000))
		b.Avoid("b", at(1_000))
		for range 50 {
			i, ok := b.Choose(at(1), servers, rand.Float64)
			Expect(ok).To(BeTrue())
			Expect(servers[i].ID).To(Equal("c"))
		}
		_, ok := b.Choose(at(1), servers[:2], rand.Float64)
		Expect(ok).To(BeTrue())
		_, ok = b.Choose(at(1), servers[:1], rand.Float64)
		Expect(ok).To(BeTrue())
		_, ok = b.Choose(at(1), nil, rand.Float64)
		Expect(ok).To(BeFalse())
	})

	// Guards against a gateway that sends all its requests of a moment to the server that was
	// idle in the last report.
	It("counts what this gateway has sent since the report", func() {
		b := balance.New()
		servers := []balance.Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}}
		b.Report(at(0), "a", balance.Report{Busy: 0, Contention: 1, At: at(0)})
		b.Report(at(0), "b", balance.Report{Busy: 4, Contention: 1, At: at(0)})
		sent := [2]int{}
		for range 12 {
			i, _ := b.Choose(at(1), servers, rand.Float64)
			sent[i]++
		}
		Expect(sent).To(Equal([2]int{8, 4}))
	})

	// Guards against the load of a server that is forgotten while requests run there, and
	// against a map that grows with each restart of a server.
	It("forgets servers that are gone once they have no requests", func() {
		b := balance.New()
		b.Report(at(0), "a", balance.Report{Contention: 2, At: at(0)})
		_, _ = b.Choose(at(0), []balance.Server{{ID: "a", Slots: 1}}, rand.Float64)
		b.Prune(func(string) bool { return false })
		Expect(b.Contention("a").Factor).To(BeEquivalentTo(2))
		b.Done("a")
		b.Prune(func(string) bool { return false })
		Expect(b.Contention("a").Factor).To(BeZero())
	})
})

var _ = Describe("balancing without reports of contention", func() {
	// Guards against a change for deployments whose servers report three fields: the lowest
	// load per slot is chosen, and reports count in full for 400 ms.
	It("chooses the lowest load", func() {
		b := balance.New()
		servers := []balance.Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6, Remote: true}}
		choose := func(ms int) string {
			i, _ := b.Choose(at(ms), servers, func() float64 { return 0.5 })
			b.Done(servers[i].ID)
			return servers[i].ID
		}
		Expect(choose(0)).To(Equal("a"))
		b.Report(at(0), "a", balance.Report{Busy: 1, At: at(0)})
		Expect(choose(399)).To(Equal("b"))
		Expect(choose(400)).To(Equal("a"))
		b.Report(at(500), "a", balance.Report{Contention: 1, At: at(500)})
		b.Report(at(10_500), "a", balance.Report{Busy: 1, At: at(10_500)})
		for range 20 {
			Expect(choose(10_501)).To(Equal("b"), "reports of contention have ended")
		}
	})
})
