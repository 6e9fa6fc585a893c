package place

import (
	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
)

// Pace returns how slow an engine is compared with the others in its role; the
// zero Pace while that is not known.
func (f *Fleet) Pace(id string) roles.Pace {
	e, ok := f.engines[id]
	if !ok || !e.pace().Known() {
		return roles.Pace{}
	}
	return roles.Pace{Slowness: e.pace().Slowness(), Doubt: e.pace().Doubt()}
}

// pace is what is believed of the engine's speed at what its role has it do.
func (e *engine) pace() *predict.Engine {
	if e.Role == backend.Prefill {
		return &e.speed
	}
	return &e.generating
}
