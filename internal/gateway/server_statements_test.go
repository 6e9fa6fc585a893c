package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// dumpOf returns a server in the dump.
func dumpOf(f *fixture, id string) gateway.ServerDump {
	s, ok := lo.Find(f.gateway.Dump(time.Now()).Servers, func(s gateway.ServerDump) bool { return s.ID == id })
	Expect(ok).To(BeTrue())
	return s
}

var _ = Describe("what a server states about itself", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		f.configure("1")
	})

	It("is in the dump and the metrics: that it is leaving", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		f.send(http.MethodGet, "/read/1", "r1")
		Expect(dumpOf(f, "i-a").Leaving).To(BeFalse())
		named := metrics.GetOrRegisterCounter("gateway.server_leaving_named", nil).Count()
		a.SetLeaving(runner.Successes)
		Expect(f.send(http.MethodGet, "/read/1", "r2").header.Get("Server-Leaving")).To(Equal("1"))
		Expect(dumpOf(f, "i-a").Leaving).To(BeTrue())
		f.send(http.MethodGet, "/read/1", "r3")
		Expect(metrics.GetOrRegisterCounter("gateway.server_leaving_named", nil).Count()).To(Equal(named + 1))
		Expect(metrics.GetOrRegisterGauge("gateway.servers_leaving", nil).Value()).To(Equal(int64(1)))
	})

	It("is in the dump: that it rests, and for how long", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		a.SetRest("2.5")
		f.send(http.MethodGet, "/read/1", "r1")
		rest, err := time.ParseDuration(dumpOf(f, "i-a").Rest)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(And(BeNumerically(">", 2*time.Second), BeNumerically("<=", 2500*time.Millisecond)))
	})

	It("is ignored if it is no valid rest", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		invalid := metrics.GetOrRegisterCounter("gateway.server_rests_invalid", nil).Count()
		a.SetRest("soon")
		f.send(http.MethodGet, "/read/1", "r1")
		Expect(dumpOf(f, "i-a").Rest).To(BeEmpty())
		Expect(metrics.GetOrRegisterCounter("gateway.server_rests_invalid", nil).Count()).To(Equal(invalid + 1))
	})

	// Guards against statements from responses that the server did not send.
	It("is not taken from unauthenticated successes or other servers", func() {
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		a.SetLeaving(runner.EveryAnswer)
		a.SetFault(runner.Unsealed)
		Expect(f.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusBadGateway))
		Expect(dumpOf(f, "i-a").Leaving).To(BeFalse())
		a.SetFault(runner.Healthy)
		a.ID = "i-other"
		f.send(http.MethodGet, "/read/1", "r2")
		Expect(dumpOf(f, "i-a").Leaving).To(BeFalse())
	})
})
