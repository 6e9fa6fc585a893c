package gateway

import (
	"maps"
	"slices"
	"strings"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/availability"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// excluded reports whether the request must not be sent to a server now: it was
// rejected or failed there, the server is leaving or rests, or its limit leaves no room.
// A request suspected of terminating servers is never sent to a server that states a
// limit, since that server is already under strain.
func (c *call) excluded(server string) bool {
	if c.excludedServers[server] {
		return true
	}
	statements := c.gateway.statements
	if statements.empty() {
		return false
	}
	reason := statements.check(c.gateway.registered(server)).Reason
	if reason == availability.Available && c.quarantineStatus.Suspected() && statements.hasLimit(server) {
		reason = availability.Limited
	}
	if reason == availability.Available {
		return false
	}
	c.recordSkip(server, reason)
	return true
}

// registered returns the registered start of a server, with an unknown incarnation if the
// server is not registered.
func (g *Gateway) registered(server string) backend.Instance {
	return backend.Instance{ID: server, Incarnation: g.directory.View().Servers[server].Incarnation}
}

func (c *call) recordSkip(server string, reason availability.Reason) {
	if c.skipped == nil {
		c.skipped = make(map[string]availability.Reason)
	}
	c.skipped[server] = reason
}

// checkBeforeSend returns an error if the request has been quarantined since it was planned, or
// if a server has stated since it was chosen that it wants no requests. The request is then not
// sent, which is no attempt, and in the latter case planned again without the server.
func (c *call) checkBeforeSend(server backend.Server) *verdict.Error {
	if e := c.checkQuarantine(); e != nil {
		return e
	}
	reason := c.gateway.statements.withdrawn(server.Instance()).Reason
	if reason == availability.Available {
		return nil
	}
	metrics.GetOrRegisterCounter("gateway.sends_withheld", nil).Inc(1)
	c.recordSkip(server.ID, reason)
	// A server that is skipped once for a request stays excluded from it, so that the
	// number of plans is bounded.
	c.exclude(server)
	return verdict.NewRejection(codeOf(reason), "the backend server is "+reason.String(), minRetryAfter)
}

// codeOf returns the code of a rejection because of what servers state.
func codeOf(reason availability.Reason) verdict.Code {
	switch reason {
	case availability.Leaving:
		return verdict.CodeServerLeaving
	case availability.Resting:
		return verdict.CodeServerRest
	default:
		return verdict.CodeServerLimit
	}
}

// withheld reports whether an error is from a request that was not sent because of what
// the server states, or of its software version.
func withheld(e *verdict.Error) bool {
	return e.Code == verdict.CodeServerLeaving || e.Code == verdict.CodeServerRest || e.Code == verdict.CodeVersionUnavailable
}

// noServerError returns the error of a request for which no server is eligible. last is
// the error of its last attempt, nil if there was none. If all servers of the
// service are leaving, rest or are limited, Retry-After is when the first of them may be
// asked. If all are leaving, nobody knows when others come; the caller is then to retry
// soon, as for a service without servers.
func (c *call) noServerError(message string, last *verdict.Error) *verdict.Error {
	first, ok := c.gateway.statements.earliest(c.answeringServers())
	switch {
	case last != nil && (c.verdict != verdict.NotRun || !ok || first.Available()):
		return last
	case !ok || (last == nil && len(c.skipped) == 0):
		return verdict.NewRejection(verdict.CodeNoBackend, message, defaultRetryAfter)
	case first.Reason == availability.Leaving:
		return verdict.NewRejection(verdict.CodeServerLeaving, message+" that is not leaving", defaultRetryAfter)
	case first.Reason == availability.Resting:
		message += " that does not rest"
	default:
		message += " that is not over its own limit"
	}
	wait := max(0, first.Until-boottime.Now())
	return verdict.NewRejection(codeOf(first.Reason), message, min(wait, max(minRetryAfter, place.MaxRetryAfter(c.remaining()))))
}

// answeringServers returns the servers of the service that could answer the request.
func (c *call) answeringServers() []backend.Server {
	return lo.Filter(c.gateway.directory.View().Service(c.service.Name), func(s backend.Server, _ int) bool {
		return s.Role != backend.Prefill && c.streamVersion.Allows(streamversion.Of(s))
	})
}

// logSkipped adds the servers that were skipped to the log line of the request, by reason.
func (c *call) logSkipped(fields log.Fields) {
	for _, reason := range []availability.Reason{availability.Limited, availability.Resting, availability.Leaving} {
		names := slices.Sorted(maps.Keys(lo.PickByValues(c.skipped, []availability.Reason{reason})))
		if len(names) > 0 {
			fields[reason.String()] = strings.Join(names[:min(maxLogged, len(names))], " ")
		}
	}
}

// countSkipped counts the request for each reason for which servers were skipped.
func (c *call) countSkipped() {
	for _, reason := range lo.Uniq(lo.Values(c.skipped)) {
		metrics.GetOrRegisterCounter("gateway.requests_"+reason.String(), nil).Inc(1)
	}
}
