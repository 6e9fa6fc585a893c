package gateway

import (
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/verdict"
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

// rejected returns the error of a request that is not admitted.
func (c *call) rejected(a place.Admission) *verdict.Error {
	c.trace.memory = a.Memory
	message := "the answer would come too late"
	switch a.Memory {
	case place.NoRoom:
		message = "no engine has enough free memory"
	case place.TooLarge:
		message = "the request exceeds the memory of every engine"
	}
	return verdict.NewRejection(verdict.CodeOverloaded, message, a.RetryAfter)
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
