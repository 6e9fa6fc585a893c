package place

import (
	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
)

// Pace returns how slow an engine is compared with the others in its role; the
// zero Pace while that is not known.
func (f *Fleet) Speed(id string) roles.Speed {
	e, ok := f.engines[id]
	if !ok || !e.pace().Calibrated() {
		return roles.Speed{}
	}
	return roles.Speed{Slowdown: e.pace().Slowdown(), RelativeError: e.pace().RelativeError()}
}

// pace is what is believed of the engine's speed at what its role has it do.
func (e *engine) pace() *predict.EngineSpeed {
	if e.Role == backend.Prefill {
		return &e.speed
	}
	return &e.generating
}
