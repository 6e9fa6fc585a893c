package route

import "time"

const (
	// DefaultServers bounds the backend servers of a Picture: the letter's 600
	// runners and as many plain ones.
	DefaultServers = 1_200
	// maxSends bounds the requests in flight that are remembered for one
	// backend server.
	maxSends = 1_024
	// sendTTL forgets a request that never ended, for one thing because its
	// link did.
	sendTTL = 2 * time.Minute
)

// Picture is the load of the backend servers as one entry sees it: the last
// report of each, corrected by what this entry has sent and finished since. An
// entry that trusted the report alone would send everything to the server
// that was idle when it reported, until the next report comes.
type LoadTracker struct {
	servers map[string]*serverPicture
}

type serverPicture struct {
	load Load
	// at is when the load was measured, not when its report came.
	at    time.Time
	sends map[string]send
	// finished counts tokens sent before the report and finished after it.
	finished int
}

type send struct {
	at     time.Time
	tokens int
}

// NewPicture returns an empty Picture.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{servers: make(map[string]*serverPicture)}
}

// Report takes in a load measured at the given time. An older one than the last
// is dropped.
func (p *LoadTracker) Report(measured time.Time, name string, l Load) {
	s := p.server(name)
	if s == nil || measured.Before(s.at) {
		return
	}
	s.load = l
	s.at = measured
	s.finished = 0
}

// Sent notes a request on its way to name, with the prompt tokens that are
// likely uncached.
func (p *LoadTracker) AddRequest(now time.Time, name, id string, tokens int) {
	s := p.server(name)
	if s == nil {
		return
	}
	if len(s.sends) >= maxSends {
		s.expire(now)
	}
	if len(s.sends) < maxSends {
		s.sends[id] = send{at: now, tokens: tokens}
	}
}

// Done notes that a request no longer waits for its first token at name: it
// began to answer, failed or was refused.
func (p *LoadTracker) RemoveRequest(_ time.Time, name, id string) {
	s, ok := p.servers[name]
	if !ok {
		return
	}
	sent, ok := s.sends[id]
	if !ok {
		return
	}
	delete(s.sends, id)
	if !sent.at.After(s.at) {
		s.finished += sent.tokens
	}
}

// Load returns the corrected load, and how old its report is; false without a
// report.
func (p *LoadTracker) Load(now time.Time, name string) (l Load, age time.Duration, ok bool) {
	s, ok := p.servers[name]
	if !ok {
		return Load{}, 0, false
	}
	l = s.load
	l.QueuedTokens = max(0, l.QueuedTokens-s.finished)
	for _, sent := range s.sends {
		if sent.at.After(s.at) {
			l.QueuedTokens += sent.tokens
			l.Queued++
		}
	}
	return l, now.Sub(s.at), !s.at.IsZero()
}

// Forget drops a backend server that has left.
func (p *LoadTracker) RemoveServer(name string) { delete(p.servers, name) }

func (p *LoadTracker) server(name string) *serverPicture {
	s, ok := p.servers[name]
	if ok {
		return s
	}
	if len(p.servers) >= DefaultServers {
		return nil
	}
	s = &serverPicture{sends: make(map[string]send)}
	p.servers[name] = s
	return s
}

func (s *serverPicture) expire(now time.Time) {
	for id, sent := range s.sends {
		if now.Sub(sent.at) > sendTTL {
			delete(s.sends, id)
		}
	}
}
