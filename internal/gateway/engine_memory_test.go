package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

var _ = Describe("KV memory of engines", func() {
	// Guards against a prompt that crashes each engine it is sent to, since none can hold
	// it, and against settings that take effect only after a restart.
	It("is reserved once the settings say so", func() {
		f := newFixture()
		f.configure("1")
		f.add("llm", runner.New("e", "decode"))
		f.followUntilKnown(1)
		large := []string{"Token-Count", "100500,80", "Prefix-Hash", "aa:15000,bb:85500"}
		Expect(f.send(http.MethodPost, "/stream-once/1", "r1", large...).status).To(Equal(http.StatusOK))
		f.gateway.Reload(deployment.Deployment{Name: "f-1", DataCentre: "z", MemoryPressure: true})
		got := f.send(http.MethodPost, "/stream-once/1", "r2", large...)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.send(http.MethodPost, "/stream-once/1", "r3", "Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000").status).To(Equal(http.StatusOK))
		server, ok := lo.Find(f.gateway.Dump(time.Now()).Servers, func(s gateway.ServerDump) bool { return s.ID == "e" })
		Expect(ok).To(BeTrue())
		Expect(server.Estimates.TotalTokens).To(Equal(100_000))
		Expect(server.Estimates.ReservedTokens).To(BeZero())
	})
})
