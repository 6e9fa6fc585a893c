package router

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/route"
)

// Dump is the state of the router for operators.
type Dump struct {
	Servers      map[string]ServerDump `json:"servers"`
	CachedBlocks int                   `json:"cached_pieces"`
	Groups       []string              `json:"groups"`
}

// ServerDump is one backend server in a Dump.
type ServerDump struct {
	Service   string     `json:"service"`
	Link      string     `json:"link"`
	Leaving   bool       `json:"leaving"`
	Drained   bool       `json:"drained"`
	Admitting bool       `json:"admitting"`
	Role      string     `json:"role,omitempty"`
	Models    []string   `json:"models,omitempty"`
	Load      route.Load `json:"load"`
	// ReportAge is the age of the load report, formatted as a time.Duration.
	ReportAge string `json:"report_age"`
}

func (s *state) dump(now time.Time) Dump {
	d := Dump{Servers: map[string]ServerDump{}, CachedBlocks: s.prefixIndex.Len()}
	for key := range s.groups {
		d.Groups = append(d.Groups, key.service+" "+key.model)
	}
	for name, srv := range s.servers {
		load, age, _ := s.prefillLoads.Load(now, name)
		d.Servers[name] = ServerDump{
			Service:   srv.vm.Service,
			Link:      srv.link.String(),
			Leaving:   srv.vm.Draining,
			Drained:   srv.drained,
			Admitting: srv.load.GetAdmitting(),
			Role:      srv.load.GetRole(),
			Models:    srv.load.GetModels(),
			Load:      load,
			ReportAge: age.Round(time.Millisecond).String(),
		}
	}
	return d
}

// loadReports returns the last load report and link state of each backend server.
func (s *state) loadReports() map[string]LoadReport {
	loads := make(map[string]LoadReport, len(s.servers))
	for name, srv := range s.servers {
		loads[name] = LoadReport{ReceivedAt: srv.loadReceivedAt, Load: srv.load, LinkState: srv.link, Drained: srv.drained}
	}
	return loads
}
