package safego

import (
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"
)

// LogSupervisorEvent is the EventHook of a supervisor, which restarts duties that panic or fail.
// It logs and counts what has happened.
func LogSupervisorEvent(event suture.Event) {
	switch e := event.(type) {
	case suture.EventServicePanic:
		metrics.GetOrRegisterCounter("supervisor.panics", nil).Inc(1)
		log.WithFields(log.Fields{
			"duty": e.ServiceName, "restarting": e.Restarting, "stack": e.Stacktrace[:min(len(e.Stacktrace), maxStack)],
		}).Error("supervisor event: panic: " + e.PanicMsg)
	case suture.EventServiceTerminate:
		metrics.GetOrRegisterCounter("supervisor.failures", nil).Inc(1)
		log.WithField("event", event.String()).Warn("supervisor event")
	default:
		log.WithField("event", event.String()).Warn("supervisor event")
	}
}
