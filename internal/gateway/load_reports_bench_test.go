package gateway

import (
	"testing"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// Measures what the reported load costs for each response head.
func BenchmarkLoadReports(b *testing.B) {
	for name, c := range map[string]struct {
		role       backend.Role
		contention float64
	}{"engine three fields": {backend.Prefill, 0}, "engine four fields": {backend.Prefill, 2.5}, "plain three fields": {"", 0}, "plain four fields": {"", 2.5}} {
		b.Run(name, func(b *testing.B) {
			statements := newServerStatements()
			e := newEngines(statements)
			e.fleet("llm").SetEngines([]place.Engine{{ID: "i-1", Role: backend.Prefill}})
			l := newLoadReports(e, newPlainBalancer(statements))
			info := direct.ResponseInfo{
				Server:       backend.Server{ID: "i-1", Service: "llm", Role: c.role},
				ResponseHead: request.ResponseHead{LoadKnown: true, Load: backend.Load{Running: 3, Slots: 6, Contention: c.contention}},
			}
			b.ReportAllocs()
			for b.Loop() {
				l.observe(info)
			}
		})
	}
}
