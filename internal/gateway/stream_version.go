package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// serversTimeout is how long a request waits for a list of servers that is confirmed
	// after it: longer than a watch of the store and the announcement of its result take.
	serversTimeout      = 1200 * time.Millisecond
	serversPollInterval = 20 * time.Millisecond
)

// versionSource is how the version of a stream that is taken up became known.
type versionSource string

// The sources.
const (
	// versionRecorded: this gateway had a record of the stream.
	versionRecorded versionSource = "recorded"
	// versionReceived: another gateway had one.
	versionReceived versionSource = "received"
	// versionSingle: no other version has served within the life of a stream.
	versionSingle versionSource = "single"
	// versionUnknown: several versions have served, or that is not certain.
	versionUnknown versionSource = "unknown"
)

// takesUp reports whether the caller takes up a stream of which it has events.
func (c *call) takesUp() bool {
	return c.route.Resumable && (c.request.LastEventID != "" || c.request.BegunBy != "")
}

// streamID returns the ID of the call's stream.
func (c *call) streamID() streamversion.StreamID {
	if c.takesUp() && c.request.BegunBy != "" {
		return streamversion.StreamIDOf(c.request.BegunBy)
	}
	return streamversion.StreamIDOf(c.request.ID)
}

// resolveStreamVersion finds the version that began a stream that the caller takes up. It
// returns an error if that is not known: the stream could go on at another version.
func (c *call) resolveStreamVersion() *verdict.Error {
	if !c.takesUp() {
		return nil
	}
	version, source := c.lookupStreamVersion()
	c.trace.versionSource = source
	if source == versionUnknown {
		return verdict.NewRejection(verdict.CodeVersionUnknown, "not known which software version began the stream", defaultRetryAfter)
	}
	c.streamVersion = streamversion.Only(version)
	return nil
}

// lookupStreamVersion returns the version that began the stream that the caller takes up.
func (c *call) lookupStreamVersion() (streamversion.Version, versionSource) {
	s := c.gateway.streams
	query := streamversion.Query{
		Stream: c.streamID(), Service: streamversion.HashOf(c.service.Name), Life: streamversion.StreamLife(c.route.Timeout),
		Era: s.view().StoreEra,
	}
	if v, ok := s.known(query.Stream); ok {
		return v, versionRecorded
	}
	s.observe()
	served := s.served(query.Service, query.Life)
	var certain map[streamversion.Version]bool
	asked := boottime.Now()
	if c.request.BegunBy != "" || !served.Complete {
		began := time.Now()
		certain = s.query(c.ctx, query).certain
		metrics.GetOrRegisterTimer("gateway.stream_version_query", nil).UpdateSince(began)
		if v, ok := s.known(query.Stream); ok {
			return v, versionReceived
		}
	}
	if !served.Single || !c.awaitServers() {
		return streamversion.Version{}, versionUnknown
	}
	served = s.served(query.Service, query.Life)
	// What another gateway is certain of ends with its answer.
	continued := s.view().ServersCoverage.Since <= asked
	served.Complete = served.Complete || (certain[served.Version] && continued)
	if !served.Certain() {
		return streamversion.Version{}, versionUnknown
	}
	return served.Version, versionSingle
}

// awaitServers waits for a list of servers that the store has confirmed since the request
// was received, and reports whether there is one. It has every server that can have begun
// a stream that the request takes up.
func (c *call) awaitServers() bool {
	ctx, cancel := context.WithTimeout(c.ctx, serversTimeout)
	defer cancel()
	for {
		if v := c.gateway.directory.View(); !v.ServersConfirmedAt.Before(c.received) {
			c.gateway.streams.observe()
			return true
		}
		if c.gateway.directory.StoreUnreachable() || !pause.Sleep(ctx, serversPollInterval) {
			return false
		}
	}
}

// fixStreamVersion records that a server has sent the first event that is forwarded. From
// then on, the stream goes on only at the server's software version.
func (c *call) fixStreamVersion(server backend.Server) {
	version, fixed := c.streamVersion.Version()
	if !fixed {
		version = streamversion.Of(server)
		c.streamVersion = streamversion.Only(version)
	}
	id := c.streamID()
	c.gateway.streams.add(id, version)
	c.gateway.streams.gossip.AnnounceStreamVersion(id, version)
}

// checkVersion returns an error if a stream must not go on at a server.
func (c *call) checkVersion(server backend.Server) *verdict.Error {
	if c.streamVersion.Allows(streamversion.Of(server)) {
		return nil
	}
	c.exclude(server)
	return verdict.NewRejection(verdict.CodeVersionUnavailable, "the server has software version "+server.Version+", the stream "+c.versionName(), minRetryAfter)
}

// noEligibleError returns the error of a request for which no server is eligible. last is
// the error of its last attempt, nil if there was none.
func (c *call) noEligibleError(message string, last *verdict.Error) *verdict.Error {
	if _, fixed := c.streamVersion.Version(); !fixed || len(c.answeringServers()) > 0 {
		return c.noServerError(message, last)
	}
	message += " of software version " + c.versionName() + ", which began the stream"
	if last != nil && c.verdict != verdict.NotRun {
		return verdict.New(last.Verdict, verdict.CodeVersionUnavailable, message+"; before: "+last.Message)
	}
	return verdict.NewRejection(verdict.CodeVersionUnavailable, message, defaultRetryAfter)
}

// drainMargin is the part of the drain timeout that is left for requests on their way.
const drainMargin = 300 * time.Millisecond

// drainingEngine returns an engine that is draining, and that can go on with the stream
// because it still accepts requests. It is for streams whose version no other engine has.
func (c *call) drainingEngine(now time.Time) (backend.Server, bool) {
	if _, fixed := c.streamVersion.Version(); !fixed {
		return backend.Server{}, false
	}
	// The store accepted the leaving after LastReady.
	accepts := c.gateway.deployment.Load().Bounds.DrainTimeout - drainMargin
	engines := lo.Filter(lo.Values(c.gateway.directory.View().Servers), func(s backend.Server, _ int) bool {
		return s.Draining && s.Service == c.service.Name && s.Role != backend.Prefill &&
			c.streamVersion.Allows(streamversion.Of(s)) &&
			!s.LastReady.IsZero() && now.Sub(s.LastReady) < accepts && !c.excluded(s.ID)
	})
	if len(engines) == 0 {
		return backend.Server{}, false
	}
	return lo.Sample(engines), true
}

// versionName returns the name of the version that began the stream, for logs and errors:
// its hash if no server has it any more.
func (c *call) versionName() string {
	version, fixed := c.streamVersion.Version()
	if !fixed {
		return "any"
	}
	for _, s := range c.gateway.directory.View().Servers {
		if streamversion.Of(s) == version {
			return s.Version
		}
	}
	return "#" + strconv.FormatUint(uint64(version.Software), 16)
}

// logStreamVersion adds what is known of the stream to the log line of the request.
func (c *call) logStreamVersion(fields log.Fields) {
	if c.takesUp() {
		fields["resumed_after"], fields["begun_by"] = c.request.LastEventID, c.request.BegunBy
	}
	if c.trace.versionSource != "" {
		fields["stream_version"], fields["version_source"] = c.versionName(), string(c.trace.versionSource)
		fields["servers_covered_ms"] = c.gateway.directory.View().ServersCoverage.Span(boottime.Now()).Milliseconds()
	}
}

// countStream counts the new and the taken-up streams, those of them that got events, and
// the rejected ones by reason.
func (c *call) countStream() {
	if !c.route.Resumable {
		return
	}
	kind := "gateway.streams_new"
	if c.takesUp() {
		kind = "gateway.streams_taken_up"
		metrics.GetOrRegisterCounter("gateway.stream_version_"+string(c.trace.versionSource), nil).Inc(1)
	}
	metrics.GetOrRegisterCounter(kind, nil).Inc(1)
	switch {
	case c.trace.bytes > 0 && c.trace.status == http.StatusOK:
		metrics.GetOrRegisterCounter(kind+".with_events", nil).Inc(1)
	case c.trace.code != "":
		metrics.GetOrRegisterCounter(kind+".failed."+string(c.trace.code), nil).Inc(1)
	}
}
