package place

import (
	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
)

// Speed returns the speed of an engine relative to the others in its role; the zero
// Speed while it is unknown.
func (f *Fleet) Speed(id string) roles.Speed {
	e, ok := f.engines[id]
	if !ok || !e.roleSpeed().Calibrated() {
		return roles.Speed{}
	}
	return roles.Speed{Slowdown: e.roleSpeed().Slowdown(), RelativeError: e.roleSpeed().RelativeError()}
}

// roleSpeed returns the estimated speed of the engine at the task of its role.
func (e *engine) roleSpeed() *predict.EngineSpeed {
	if e.Role == backend.Prefill {
		return &e.prefillSpeed
	}
	return &e.decodeSpeed
}
