package gateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/decide/balance"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// reportRecorder is a Gossip that records announced contention.
type reportRecorder struct {
	placementCounter
	mu       sync.Mutex
	prefills []float64
	servers  map[string]balance.Report
}

func (r *reportRecorder) AnnouncePrefillDone(_ place.JobID, factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefills = append(r.prefills, factor)
}

func (r *reportRecorder) AnnounceServerReport(server string, report balance.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[server] = report
}

var _ = Describe("the load that servers report", func() {
	var (
		f         *fixture
		announced *reportRecorder
	)
	BeforeEach(func() {
		f = newFixture()
		f.configure("1")
		announced = &reportRecorder{servers: map[string]balance.Report{}}
		f.gateway.SetGossip(announced)
	})

	It("is announced and in the dump, for a plain server with contention", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		Expect(f.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusOK))
		Expect(announced.servers).To(BeEmpty())
		Expect(dumpOf(f, "i-a").Contention).To(BeNil())
		a.SetLoad("2,1,6,250")
		Expect(f.send(http.MethodGet, "/read/1", "r2").status).To(Equal(http.StatusOK))
		Expect(announced.servers["i-a"].Busy).To(Equal(3))
		Expect(announced.servers["i-a"].Contention).To(BeEquivalentTo(2.5))
		Expect(dumpOf(f, "i-a").Contention.Factor).To(BeEquivalentTo(2.5))
		f.gateway.RemoteServerReport(place.EngineHash("i-a"), balance.Report{Contention: 1, At: time.Now()})
		Expect(dumpOf(f, "i-a").Contention.Factor).To(BeEquivalentTo(1))
		f.gateway.RemoteServerReport(place.EngineHash("i-gone"), balance.Report{Contention: 1, At: time.Now()})
	})

	It("is announced with the end of a prefill, and of another gateway's in the dump", func() {
		f.add("llm", runner.New("i-p", "prefill")).SetLoad("1,0,64,250")
		f.add("llm", runner.New("i-d", "decode")).SetLoad("1,0,64,100")
		f.followUntilKnown(2)
		got := f.send(http.MethodPost, "/stream-once/1", "r1", "Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(announced.prefills).To(Equal([]float64{2.5}))
		Expect(dumpOf(f, "i-p").Contention.Factor).To(BeEquivalentTo(2.5))
		Expect(dumpOf(f, "i-d").Contention.Factor).To(BeEquivalentTo(1))

		remote := place.Placement{ID: 7, Plan: place.Plan{PrefillEngine: "i-p", DecodeEngine: "i-d"}, Remaining: time.Second}
		f.gateway.RemotePlacement("llm", remote)
		f.gateway.RemoteContention(7, contention.Report{Factor: 1.5, At: time.Now()})
		Expect(dumpOf(f, "i-p").Contention.Factor).To(BeEquivalentTo(1.5))
		f.gateway.RemoteContention(7, contention.Report{Factor: 3, At: time.Now().Add(-200 * time.Millisecond)})
		Expect(dumpOf(f, "i-p").Contention.Factor).To(BeEquivalentTo(1.5), "a late announcement")
	})

	It("is counted and otherwise ignored if it is invalid", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		invalid := metrics.GetOrRegisterCounter("gateway.server_loads_invalid", nil).Count()
		for i, text := range []string{"1,2,3,4,5", "-1,0,6,100", "1,0,6,0", "x"} {
			a.SetLoad(text)
			Expect(f.send(http.MethodGet, "/read/1", "r"+text).status).To(Equal(http.StatusOK))
			Expect(metrics.GetOrRegisterCounter("gateway.server_loads_invalid", nil).Count()).To(Equal(invalid + int64(i) + 1))
		}
		Expect(dumpOf(f, "i-a").Contention).To(BeNil())
	})
})
