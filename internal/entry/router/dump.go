package router

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/route"
)

// Dump is the router's state for people.
type Dump struct {
	Servers map[string]ServerDump `json:"servers"`
	Pieces  int                   `json:"cached_pieces"`
	Groups  []string              `json:"groups"`
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
	// ReportAge is how old the load report is, as time.Duration prints it.
	ReportAge string `json:"report_age"`
}

func (s *state) dump(now time.Time) Dump {
	d := Dump{Servers: map[string]ServerDump{}, Pieces: s.prefix.Len()}
	for key := range s.groups {
		d.Groups = append(d.Groups, key.service+" "+key.model)
	}
	for name, known := range s.servers {
		load, age, _ := s.prefills.Load(now, name)
		d.Servers[name] = ServerDump{
			Service:   known.vm.Service,
			Link:      known.link.String(),
			Leaving:   known.vm.Leaving,
			Drained:   known.drained,
			Admitting: known.load.GetAdmitting(),
			Role:      known.load.GetRole(),
			Models:    known.load.GetModels(),
			Load:      load,
			ReportAge: age.Round(time.Millisecond).String(),
		}
	}
	return d
}

// loads returns the last report of each backend server that sent one.
func (s *state) loads() map[string]LoadReport {
	loads := make(map[string]LoadReport, len(s.servers))
	for name, known := range s.servers {
		loads[name] = LoadReport{ReceivedAt: known.loadAt, Load: known.load, LinkState: known.link, Drained: known.drained}
	}
	return loads
}
