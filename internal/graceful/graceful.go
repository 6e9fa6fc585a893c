// Package graceful shuts down a server of callers' requests without cutting one.
package graceful

import (
	"net"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
)

// EndMargin is the time before the process exits in which requests that are still open are
// ended and their callers get the answers.
const EndMargin = 300 * time.Millisecond

// Server is an HTTP server that is to be shut down.
type Server struct {
	Listener net.Listener
	// Served receives the result of http.Server.Serve, at the latest once the listener is closed.
	Served   <-chan error
	Conns    *callerconn.Conns
	Requests *openrequests.List
}

// LogStart logs the begin of the shutdown.
func (s Server) LogStart() {
	log.WithFields(log.Fields{"open_requests": s.Requests.Count(), "connections": s.Conns.Count()}).Info("shutting down, readiness is off")
}

// ShutDown keeps the listener open while the load balancer may send new connections, and then
// waits for requests in flight. Those that are open at the end of the schedule are ended; those
// that are open at exit are logged. It does not use http.Server.Shutdown, which drops requests
// that it has just read.
func (s Server) ShutDown(schedule shutdown.Schedule, exit time.Time) error {
	time.Sleep(time.Until(schedule.BalancedUntil))
	err := s.Conns.StopListening(s.Listener, s.Served)
	complete := s.finishRequests(schedule.End, exit)
	log.WithFields(log.Fields{
		"complete": complete, "cut_requests": s.Requests.LogCut(time.Now()), "connections": s.Conns.Count(),
	}).Info("shut down")
	return err
}

// finishRequests waits for open requests until end, then ends them and waits until exit. It
// reports whether all connections were closed by then.
func (s Server) finishRequests(end, exit time.Time) bool {
	if s.Conns.DrainUntil(end) {
		return true
	}
	if ended := s.Requests.EndAll(); ended > 0 {
		log.WithField("requests", ended).Warn("requests ended by the shutdown")
	}
	s.Conns.CloseWaiting()
	return s.Conns.DrainUntil(exit)
}
