package gateway

import (
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

// setMemoryReservation sets whether the KV memory of engines is reserved.
func (e *engines) setMemoryReservation(enabled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reserveMemory == enabled {
		return
	}
	e.reserveMemory = enabled
	for name, f := range e.fleets {
		r := e.reservations[name]
		r.Enabled = enabled
		f.SetMemoryReservation(r)
	}
	log.WithField("enabled", enabled).Info("reservation of engine memory")
}

// countMemoryShortage counts a request that was rejected for want of memory.
func (c *call) countMemoryShortage() {
	if s := c.trace.memory; s != place.NoShortage {
		metrics.GetOrRegisterCounter("gateway.rejected_memory_"+s.String(), nil).Inc(1)
	}
}

// logLongRoom logs that small requests begin to leave room for prompts as long as a job's.
func logLongRoom(service string, j place.Job) {
	metrics.GetOrRegisterCounter("gateway.memory_room_for_long", nil).Inc(1)
	log.WithFields(log.Fields{"service": service, "route": j.Route, "tokens": j.Prompt.Tokens}).Info("engine memory kept for long prompts")
}
