package route

import "time"

const (
	// maxServers limits the backend servers of a LoadTracker: 600 servers with a
	// model engine and as many plain ones.
	maxServers = 1_200
	// maxRequestsPerServer limits the tracked requests in flight for one backend
	// server.
	maxRequestsPerServer = 1_024
	// requestTTL is the age at which a request that never finished, for example
	// because the link was lost, may be dropped.
	requestTTL = 2 * time.Minute
)

// LoadTracker tracks the load of the backend servers as seen by one entry: the last
// report of each, corrected by the requests that this entry has sent and
// finished since. With the report alone, the entry would send all requests to
// the server that was idle at its last report until the next one arrives.
type LoadTracker struct {
	servers map[string]*serverLoad
}

type serverLoad struct {
	load Load
	// measuredAt is when the load was measured, not when the report arrived.
	measuredAt time.Time
	requests   map[string]inFlight
	// finishedTokens counts the tokens of requests that were sent no later than
	// the report and finished after it.
	finishedTokens int
}

type inFlight struct {
	sentAt time.Time
	tokens int
}

// NewLoadTracker returns an empty LoadTracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{servers: make(map[string]*serverLoad)}
}

// Report sets the load of a server as measured at the given time. A report older
// than the last one is ignored.
func (t *LoadTracker) Report(measured time.Time, name string, l Load) {
	s := t.server(name)
	if s == nil || measured.Before(s.measuredAt) {
		return
	}
	s.load = l
	s.measuredAt = measured
	s.finishedTokens = 0
}

// AddRequest records a request sent to the server, with the number of its prompt
// tokens that are likely not cached there.
func (t *LoadTracker) AddRequest(now time.Time, name, id string, tokens int) {
	s := t.server(name)
	if s == nil {
		return
	}
	if len(s.requests) >= maxRequestsPerServer {
		s.expire(now)
	}
	if len(s.requests) < maxRequestsPerServer {
		s.requests[id] = inFlight{sentAt: now, tokens: tokens}
	}
}

// RemoveRequest records that a request no longer waits for its first token at the
// server: the answer began, or the request failed or was rejected.
func (t *LoadTracker) RemoveRequest(_ time.Time, name, id string) {
	s, ok := t.servers[name]
	if !ok {
		return
	}
	sent, ok := s.requests[id]
	if !ok {
		return
	}
	delete(s.requests, id)
	if !sent.sentAt.After(s.measuredAt) {
		s.finishedTokens += sent.tokens
	}
}

// Load returns the corrected load of a server and the age of its report, or
// false if there was none.
func (t *LoadTracker) Load(now time.Time, name string) (l Load, age time.Duration, ok bool) {
	s, ok := t.servers[name]
	if !ok {
		return Load{}, 0, false
	}
	l = s.load
	l.QueuedTokens = max(0, l.QueuedTokens-s.finishedTokens)
	for _, sent := range s.requests {
		if sent.sentAt.After(s.measuredAt) {
			l.QueuedTokens += sent.tokens
			l.Queued++
		}
	}
	return l, now.Sub(s.measuredAt), !s.measuredAt.IsZero()
}

// RemoveServer removes a backend server that has left.
func (t *LoadTracker) RemoveServer(name string) { delete(t.servers, name) }

func (t *LoadTracker) server(name string) *serverLoad {
	s, ok := t.servers[name]
	if ok {
		return s
	}
	if len(t.servers) >= maxServers {
		return nil
	}
	s = &serverLoad{requests: make(map[string]inFlight)}
	t.servers[name] = s
	return s
}

func (s *serverLoad) expire(now time.Time) {
	for id, sent := range s.requests {
		if now.Sub(sent.sentAt) > requestTTL {
			delete(s.requests, id)
		}
	}
}
