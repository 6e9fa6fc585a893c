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
		id         string
		role       backend.Role
		contention float64
	}{
		"engine three fields": {"i-1", backend.Prefill, 0}, "engine four fields": {"i-1", backend.Prefill, 2.5},
		"plain three fields": {"i-2", backend.NoRole, 0}, "plain four fields": {"i-2", backend.NoRole, 2.5},
	} {
		b.Run(name, func(b *testing.B) {
			statements := newServerStatements()
			e := newEngines(statements)
			e.fleet("llm").SetEngines([]place.Engine{{ID: "i-1", Role: backend.Prefill}})
			l := newLoadReports(e, newPlainBalancer(statements))
			info := direct.ResponseInfo{
				Server:       backend.Server{ID: c.id, Service: "llm", Role: c.role},
				ResponseHead: request.ResponseHead{LoadKnown: true, Load: backend.Load{Running: 3, Slots: 6, Contention: c.contention}},
			}
			b.ReportAllocs()
			for b.Loop() {
				l.observe(info)
			}
		})
	}
}
