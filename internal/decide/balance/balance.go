// Package balance chooses the server of a plain service for each request of one gateway.
//
// The load that it handles is many gateways with few requests each: thirty gateways send two
// requests a second each to three servers with six slots. No gateway sees the load of a server
// often enough by itself, and all that learn at once of an idle server would choose it at once.
// A report of a server's load therefore loses its weight with its age, requests that this
// gateway has sent since count on top, and the better of two random servers is chosen. A
// server whose machine is contended has slower slots. Symptom without: requests queue at one
// server, or run at a contended one, while others are idle.
//
// Where no server reports contention, the server with the lowest load is chosen, by reports
// of the last 400 ms in full. The package is pure code; time and randomness are passed in.
package balance

import (
	"maps"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/contention"
)

const (
	// reportMaxAge is how long a report counts where no server reports contention.
	reportMaxAge = 400 * time.Millisecond
	// reportFadeTime is the age at which a report has lost its weight where servers do.
	reportFadeTime = 400 * time.Millisecond
	// shareInterval, times the number of servers that report contention, is the minimum time
	// between two reports of a server that gateways share. It bounds what each of them
	// receives to 50 reports a second, and those that several gateways share at a time.
	shareInterval = 20 * time.Millisecond
	// reportsEndAfter is how long after its last report of contention a service is taken for
	// one that reports none.
	reportsEndAfter = 10 * time.Second
	// remotePenalty is added to the load of a server in another data centre, in requests in
	// flight: the distance adds a millisecond to requests that take tens of milliseconds.
	remotePenalty = 0.3
	// remoteCost is what the distance costs where servers report contention, as a fraction of
	// the time of a request.
	remoteCost = 0.05
	// failurePenalty is what a certain failure adds to the load per slot of a server: a
	// request waits behind four others per slot rather than being lost.
	failurePenalty = 4
	// avoidPenalty exceeds any load.
	avoidPenalty = 1e6
	// tieBreakJitter spreads the gateways over servers of equal load.
	tieBreakJitter = 0.2
	// sentTimes is the number of requests sent last whose times are known: more than are sent
	// to a server between two reports where reports matter.
	sentTimes = 16
)

// Server is a server that a request may be sent to.
type Server struct {
	ID    string
	Slots int
	// Remote is set if it is in another data centre.
	Remote bool
	// FailureRate is the probability with which it fails the request if it fails more often
	// than its peers, otherwise 0.
	FailureRate float64
}

// Report is the load that a server has reported at a time.
type Report struct {
	// Busy is the number of its running and waiting requests, of all gateways.
	Busy int
	// Contention is how many times as long work takes on its machine; 0 if unknown.
	Contention float64
	At         time.Time
}

// Balancer tracks the servers of plain services. It is not safe for concurrent use.
type Balancer struct {
	servers map[string]*server
	usual   contention.Usual
	// contended is the number of servers that have reported contention.
	contended int
}

type server struct {
	inFlight   int
	report     Report
	contention contention.State
	avoidUntil time.Time
	// sent has the times of the requests sent last, next the index of the oldest.
	sent [sentTimes]time.Time
	next int
	// sharedAt is the time of the last report that gateways have shared.
	sharedAt time.Time
}

// New returns a Balancer without servers.
func New() *Balancer { return &Balancer{servers: make(map[string]*server)} }

func (b *Balancer) server(id string) *server {
	s, ok := b.servers[id]
	if !ok {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// Prune removes servers that are gone and have no requests in flight. Without it, the map
// would grow, because restarted servers get new names.
func (b *Balancer) Prune(exists func(id string) bool) {
	maps.DeleteFunc(b.servers, func(id string, s *server) bool { return s.inFlight == 0 && !exists(id) })
	b.contended = 0
	for _, s := range b.servers {
		if s.contention.Last().Factor > 0 {
			b.contended++
		}
	}
}

// Choose returns the index of the server for a request and counts the request there; false if
// there is none. random returns numbers in [0, 1).
func (b *Balancer) Choose(now time.Time, servers []Server, random func() float64) (int, bool) {
	if len(servers) == 0 {
		return 0, false
	}
	var chosen int
	if b.reportContention(now, servers) {
		chosen = b.betterOfTwo(now, servers, random)
	} else {
		chosen = b.leastLoaded(now, servers, random)
	}
	s := b.server(servers[chosen].ID)
	s.inFlight++
	s.sent[s.next] = now
	s.next = (s.next + 1) % sentTimes
	return chosen, true
}

// reportContention reports whether one of the servers has reported contention lately.
func (b *Balancer) reportContention(now time.Time, servers []Server) bool {
	for _, s := range servers {
		if last := b.server(s.ID).contention.Last(); last.Factor > 0 && now.Sub(last.At) < reportsEndAfter {
			return true
		}
	}
	return false
}

// leastLoaded returns the server with the lowest load per slot.
func (b *Balancer) leastLoaded(now time.Time, servers []Server, random func() float64) int {
	best, lowest := 0, -1.0
	for i, s := range servers {
		if load := b.server(s.ID).loadPerSlot(now, s, random()); lowest < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

// loadPerSlot returns the load of a server in requests per slot, with penalties and a
// random tie-breaker.
func (s *server) loadPerSlot(now time.Time, of Server, random float64) float64 {
	load := float64(s.inFlight)
	if now.Sub(s.report.At) < reportMaxAge {
		// The server's report includes the requests of all gateways.
		load = max(load, float64(s.report.Busy))
	}
	if of.Remote {
		load += remotePenalty
	}
	if now.Before(s.avoidUntil) {
		load += avoidPenalty
	}
	return (load+random*tieBreakJitter)/float64(max(1, of.Slots)) + failurePenalty*of.FailureRate
}

// betterOfTwo returns the one of two random servers where a request is expected to take less
// time. Avoided servers are among them only if there are no others.
func (b *Balancer) betterOfTwo(now time.Time, servers []Server, random func() float64) int {
	usable := make([]int, 0, len(servers))
	for i, s := range servers {
		if !now.Before(b.server(s.ID).avoidUntil) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		for i := range servers {
			usable = append(usable, i)
		}
	}
	first := below(len(usable), random)
	if len(usable) == 1 {
		return usable[0]
	}
	second := (first + 1 + below(len(usable)-1, random)) % len(usable)
	i, j := usable[first], usable[second]
	if b.server(servers[j].ID).cost(now, servers[j]) < b.server(servers[i].ID).cost(now, servers[i]) {
		return j
	}
	return i
}

// below returns a random index below n.
func below(n int, random func() float64) int { return min(int(random()*float64(n)), n-1) }

// cost returns the expected time of a request at a server, relative to that at an idle server
// without contention. It rises steeply where slots run out, and hardly before.
func (s *server) cost(now time.Time, of Server) float64 {
	utilization := (s.load(now) + 1) / float64(max(1, of.Slots))
	squared := utilization * utilization
	cost := s.contention.At(now).Now()*(1+squared*squared) + failurePenalty*of.FailureRate
	if of.Remote {
		cost += remoteCost
	}
	return cost
}

// load returns the expected number of requests at a server: as reported, with the weight of
// the report, and those that this gateway has sent since.
func (s *server) load(now time.Time) float64 {
	weight := max(0, 1-float64(now.Sub(s.report.At))/float64(reportFadeTime))
	since := min(s.sentSince(s.report.At), s.inFlight)
	return max(float64(s.inFlight), weight*float64(s.report.Busy)+float64(since))
}

// sentSince returns how many requests this gateway has sent since a time.
func (s *server) sentSince(t time.Time) int {
	count := 0
	for _, at := range s.sent {
		if at.After(t) {
			count++
		}
	}
	return count
}

// Done records that a request at a server has ended.
func (b *Balancer) Done(id string) { b.server(id).inFlight-- }

// Avoid makes requests avoid a server until a time if there are others.
func (b *Balancer) Avoid(id string, until time.Time) { b.server(id).avoidUntil = until }

// Report records what a server has reported to this gateway. It returns true if other gateways
// are to learn it: the server reports contention, and none of its reports was shared lately.
func (b *Balancer) Report(now time.Time, id string, r Report) (share bool) {
	s, ok := b.add(now, id, r)
	if !ok || contention.Clamp(r.Contention) == 0 {
		return false
	}
	if s.report.At.Sub(s.sharedAt) < time.Duration(b.contended)*shareInterval {
		return false
	}
	s.sharedAt = s.report.At
	return true
}

// RemoteReport records what a server has reported to another gateway.
func (b *Balancer) RemoteReport(now time.Time, id string, r Report) {
	if s, ok := b.add(now, id, r); ok {
		s.sharedAt = s.report.At
	}
}

// add records a report, unless it is invalid or a later one is known.
func (b *Balancer) add(now time.Time, id string, r Report) (*server, bool) {
	s := b.server(id)
	if r.At.After(now) {
		r.At = now
	}
	if r.Busy < 0 || r.At.Before(s.report.At) {
		return s, false
	}
	s.report = r
	known := s.contention.Last().Factor > 0
	s.contention.Add(now, contention.Report{Factor: r.Contention, At: r.At}, &b.usual)
	if !known && s.contention.Last().Factor > 0 {
		b.contended++
	}
	return s, true
}

// Contention returns the last contention that a server has reported, with Factor 0 if none.
func (b *Balancer) Contention(id string) contention.Report {
	s, ok := b.servers[id]
	if !ok {
		return contention.Report{}
	}
	return s.contention.Last()
}
