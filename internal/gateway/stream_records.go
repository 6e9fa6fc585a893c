package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/safego"
)

const (
	// versionQueries is how often the gateways that may know the version of a stream are
	// asked, and versionQueryInterval the time that they have for each answer. Datagrams
	// may be lost, and a gateway that has been killed does not answer.
	versionQueries       = 4
	versionQueryInterval = 25 * time.Millisecond
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

func newStreamVersions(view func() *directory.View) *streamVersions {
	return &streamVersions{
		gossip:    noGossip{},
		view:      view,
		records:   streamversion.NewRecords(),
		history:   streamversion.NewHistory(),
		queries:   make(map[streamversion.StreamID][]*versionQuery),
		conflicts: metrics.GetOrRegisterCounter("gateway.stream_version_conflicts", nil),
	}
}

// viewChanged observes which versions serve after observeDelay. Each observation reads the
// whole list of servers, which may change many times a second.
func (s *streamVersions) viewChanged() {
	if s.observing.Swap(true) {
		return
	}
	safego.AfterFunc(observeDelay, "observation of software versions", func() {
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

// sawServer records that a server is there, also one that is gone at the next observation.
func (s *streamVersions) sawServer(server backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Saw(time.Now(), streamversion.Of(server))
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
	covered := s.view().ServersCoverage.Covers(boottime.Now(), life)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Served(time.Now(), service, life, covered)
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
func (g *Gateway) ServedVersions(q streamversion.Query) streamversion.Served {
	if q.Era != g.directory.View().StoreEra {
		return streamversion.Served{}
	}
	return g.streams.served(q.Service, q.Life)
}
