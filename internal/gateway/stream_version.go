package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// versionQueries is how often the gateways that may know the version of a stream are
	// asked, and versionQueryInterval the time that they have for each answer. Datagrams
	// may be lost, and a gateway that has been killed does not answer.
	versionQueries       = 4
	versionQueryInterval = 25 * time.Millisecond
	// serversTimeout is how long a request waits for a list of servers that is confirmed
	// after it: longer than a watch of the store and the announcement of its result take.
	serversTimeout      = 1200 * time.Millisecond
	serversPollInterval = 20 * time.Millisecond
	// observeDelay is within which time a changed list of servers is observed. A server is in
	// the list for longer, even one that crashes at once.
	observeDelay = 500 * time.Millisecond
)

// streamVersions knows which software versions began streams.
type streamVersions struct {
	gossip Gossip
	view   func() *directory.View
	// observing is set while an observation of the list of servers is due.
	observing atomic.Bool

	mu      sync.Mutex
	records *streamversion.Records
	history *streamversion.History
	// queries are the queries in progress.
	queries map[streamversion.StreamID][]*versionQuery

	conflicts metrics.Counter
}

// versionQuery is a query for the version of a stream.
type versionQuery struct {
	// unknownAt are the gateways that have no record of it, by start ID.
	unknownAt map[uint32]bool
	// certain has the versions that such gateways state as the only ones that have served.
	certain map[streamversion.Version]bool
	// answered has room for one signal, which is sent with each answer.
	answered chan struct{}
}

func newStreamVersions(firstStart bool, view func() *directory.View) *streamVersions {
	return &streamVersions{
		gossip:    noGossip{},
		view:      view,
		records:   streamversion.NewRecords(),
		history:   streamversion.NewHistory(firstStart),
		queries:   make(map[streamversion.StreamID][]*versionQuery),
		conflicts: metrics.GetOrRegisterCounter("gateway.stream_version_conflicts", nil),
	}
}

// viewChanged observes which versions serve after observeDelay. With thousands of servers,
// an observation for each change would take a hundredth of a core.
func (s *streamVersions) viewChanged() {
	if s.observing.Swap(true) {
		return
	}
	time.AfterFunc(observeDelay, func() {
		s.observing.Store(false)
		s.observe()
	})
}

// observe observes which versions serve.
func (s *streamVersions) observe() {
	v := s.view()
	if v.ServersConfirmedAt.IsZero() {
		return
	}
	versions := lo.MapToSlice(v.Servers, func(_ string, b backend.Server) streamversion.Version { return streamversion.Of(b) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Observe(time.Now(), versions)
}

// add records the version that began a stream.
func (s *streamVersions) add(id streamversion.StreamID, v streamversion.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.records.Add(time.Now(), id, v) {
		s.conflicts.Inc(1)
	}
	s.signal(id)
}

// signal wakes the queries for a stream. s.mu must be held.
func (s *streamVersions) signal(id streamversion.StreamID) {
	for _, q := range s.queries[id] {
		select {
		case q.answered <- struct{}{}:
		default:
		}
	}
}

// known returns the recorded version of a stream.
func (s *streamVersions) known(id streamversion.StreamID) (streamversion.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Lookup(id)
}

// recorded returns the number of recorded streams.
func (s *streamVersions) recorded() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Len()
}

// served returns which versions of a service have served within the life of a stream.
func (s *streamVersions) served(service uint32, life time.Duration) streamversion.Served {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Served(time.Now(), service, life)
}

// query asks other gateways for the version of a stream, until one has a record of it, all
// have answered or the time for that is over.
func (s *streamVersions) query(ctx context.Context, query streamversion.Query) *versionQuery {
	q := &versionQuery{
		unknownAt: make(map[uint32]bool), certain: make(map[streamversion.Version]bool), answered: make(chan struct{}, 1),
	}
	s.begin(query.Stream, q)
	defer s.end(query.Stream, q)
	for range versionQueries {
		asked := s.gossip.QueryStreamVersion(query)
		if !s.gossip.GatewaysKnown() {
			// A gateway that has just started may know the others before the next query.
			asked = max(asked, 1)
		}
		if s.await(ctx, query.Stream, q, asked) {
			break
		}
	}
	return q
}

// await waits for the answers to a query. It returns false if some are missing.
func (s *streamVersions) await(ctx context.Context, id streamversion.StreamID, q *versionQuery, asked int) (complete bool) {
	timeout := time.NewTimer(versionQueryInterval)
	defer timeout.Stop()
	for {
		if _, ok := s.known(id); ok || s.unknownCount(q) >= asked {
			return true
		}
		select {
		case <-q.answered:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return true
		}
	}
}

func (s *streamVersions) begin(id streamversion.StreamID, q *versionQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries[id] = append(s.queries[id], q)
}

func (s *streamVersions) end(id streamversion.StreamID, q *versionQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queries[id] = lo.Without(s.queries[id], q); len(s.queries[id]) == 0 {
		delete(s.queries, id)
	}
}

func (s *streamVersions) unknownCount(q *versionQuery) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(q.unknownAt)
}

// RemoteStreamVersion records the version that began a stream, received from another
// gateway.
func (g *Gateway) RemoteStreamVersion(id streamversion.StreamID, v streamversion.Version) {
	g.streams.add(id, v)
}

// RemoteStreamUnknown records that another gateway has no record of a stream, and which
// version it states as the only one that has served.
func (g *Gateway) RemoteStreamUnknown(id streamversion.StreamID, from uint32, served streamversion.Served) {
	s := g.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queries[id] {
		q.unknownAt[from] = true
		if served.Certain() {
			q.certain[served.Version] = true
		}
	}
	s.signal(id)
}

// RecordedStreamVersion returns the version that began a stream, for another gateway.
func (g *Gateway) RecordedStreamVersion(id streamversion.StreamID) (streamversion.Version, bool) {
	return g.streams.known(id)
}

// ServedVersions returns which versions have served, for another gateway.
func (g *Gateway) ServedVersions(service uint32, life time.Duration) streamversion.Served {
	return g.streams.served(service, life)
}

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
	return c.route.Resumable && (c.request.LastEventID != "" || c.request.Resumes != "")
}

// streamID returns the ID of the call's stream.
func (c *call) streamID() streamversion.StreamID {
	if c.takesUp() && c.request.Resumes != "" {
		return streamversion.StreamIDOf(c.request.Resumes)
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
	}
	if v, ok := s.known(query.Stream); ok {
		return v, versionRecorded
	}
	served := s.served(query.Service, query.Life)
	var certain map[streamversion.Version]bool
	if c.request.Resumes != "" || !served.Complete {
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
	served.Complete = served.Complete || certain[served.Version]
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
	if c.trace.versionSource != "" {
		fields["resumed_after"], fields["resumes"] = c.request.LastEventID, c.request.Resumes
		fields["stream_version"], fields["version_source"] = c.versionName(), string(c.trace.versionSource)
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
