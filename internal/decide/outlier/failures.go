package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minPeers is the number of peers from which servers are compared. With only two, it is
	// unknown which one is the outlier.
	minPeers = 3
	// chanceDeviations is by how many standard deviations the failures of a server must
	// exceed those expected by chance, beside MinFailures.
	chanceDeviations = 2.0
	// probingFraction and releasedFraction are the fractions of MinFailures that a server's
	// excess failures must fall below until it is probed, and until its weight is restored. One
	// more failure while it is probed is enough to lower its weight again.
	probingFraction  = 0.5
	releasedFraction = 0.25
	// Before anything is observed, the error rate of the peers counts as
	// priorFailures/priorCount: a few failures of a process that has just started prove
	// nothing about one server.
	priorFailures, priorCount = 0.3, 1.0
)

// Status is how a server with a lowered weight compares with its peers.
type Status struct {
	// Weight is as returned by Detector.Weight.
	Weight float64 `json:"weight"`
	// ErrorRate and PeerErrorRate are the fractions of its requests and of those of its
	// peers that failed.
	ErrorRate     float64 `json:"error_rate"`
	PeerErrorRate float64 `json:"peer_error_rate"`
	// Attempts is how many of its attempts are known, after decay.
	Attempts float64 `json:"attempts"`
	// Probing is set once most failures are forgotten: requests that may be repeated find
	// out whether the server has recovered, before the others are sent there again.
	Probing bool `json:"probing"`
}

// SetPeers sets the servers of the group, of which a bounded fraction may have a lowered
// weight. Others are forgotten.
func (d *Detector) SetPeers(names []string) {
	d.peers = make(map[string]bool, len(names))
	for _, name := range names {
		d.peers[name] = true
	}
	maps.DeleteFunc(d.servers, func(name string, _ *server) bool { return !d.peers[name] })
	d.weightsOutdated()
}

// Add records the outcomes of several attempts on the named backend server.
func (d *Detector) Add(now time.Time, name string, succeeded, failed float64) {
	s, ok := d.server(now, name)
	if !ok {
		return
	}
	s.count += succeeded + failed
	s.latencyRatioSum += succeeded + failed
	s.failures += failed
	if failed > 0 {
		d.weightsOutdated()
	}
}

// Raise sets the outcomes on the named backend server to those that another process knows,
// if these have more failures and its weight is not lowered yet. Otherwise processes that
// repeat to each other what they know would keep it from decaying.
func (d *Detector) Raise(now time.Time, name string, succeeded, failed float64) {
	s, ok := d.server(now, name)
	if !ok || s.failing || failed <= s.failures {
		return
	}
	s.failures = failed
	s.count = max(s.count, succeeded+failed)
	s.latencyRatioSum = s.count
	d.weightsOutdated()
}

// weightsOutdated makes the next use of the weights compare the failures again. Errors have
// to lower a weight before more requests are lost.
func (d *Detector) weightsOutdated() {
	if d.cfg.MinFailures > 0 {
		d.weights = nil
	}
}

// Outliers returns the servers whose weights are lowered because of their failures.
func (d *Detector) Outliers(now time.Time) map[string]Status {
	d.refreshWeights(now)
	return d.outliers
}

// compareFailures lowers the weights of servers that fail more often than their peers.
//
// The error rate of the peers is that of all servers but the worst, as many as may have a
// lowered weight, so that failing servers do not hide each other. A server whose failures
// exceed those expected at that rate gets the weight of its chance of success relative to
// theirs. Where all fail, or sound servers answer errors too, no server exceeds the others.
func (d *Detector) compareFailures(now time.Time) {
	d.outliers = make(map[string]Status)
	count, failures := 0.0, 0.0
	servers := make([]compared, 0, len(d.servers))
	for name, s := range d.servers {
		if s.decay(now, d.cfg.HalfLife); s.count < minTrackedCount {
			delete(d.servers, name)
			continue
		}
		count += s.count
		failures += s.failures
		servers = append(servers, compared{name: name, server: s})
	}
	if failures < minTrackedCount || max(len(servers), len(d.peers)) < minPeers {
		return
	}
	pooled := failures / count
	slices.SortFunc(servers, func(a, b compared) int {
		return cmp.Or(-cmp.Compare(a.excess(pooled), b.excess(pooled)), cmp.Compare(a.name, b.name))
	})
	// Of the peers without observations it is unknown whether they are better.
	limit := d.maxOutliers(len(servers))
	peerRate := errorRate(servers[min(limit, len(servers)):])
	for _, s := range servers {
		excess := s.excess(peerRate)
		if s.updateFailing(excess, d.cfg.MinFailures, peerRate); !s.failing || len(d.outliers) == limit {
			continue
		}
		rate := (s.failures + peerRate) / (s.count + 1)
		weight := max(d.cfg.MinWeight, min(1, (1-rate)/(1-peerRate)))
		d.weights[s.name] = weight
		d.outliers[s.name] = Status{
			Weight: weight, ErrorRate: s.failures / s.count, PeerErrorRate: peerRate, Attempts: s.count,
			Probing: excess < probingFraction*d.cfg.MinFailures,
		}
	}
}

// compared is a server that is compared with its peers.
type compared struct {
	name string
	*server
}

// errorRate returns the error rate of some servers together.
func errorRate(servers []compared) float64 {
	failures, count := priorFailures, priorCount
	for _, s := range servers {
		failures += s.failures
		count += s.count
	}
	return failures / count
}

// excess returns how many of the server's failures are not expected at an error rate.
func (s *server) excess(rate float64) float64 { return s.failures - rate*s.count }

func (s *server) updateFailing(excess, minFailures, peerRate float64) {
	switch {
	case excess >= minFailures+chanceDeviations*math.Sqrt(s.count*peerRate*(1-peerRate)):
		s.failing = true
	case excess < releasedFraction*minFailures:
		s.failing = false
	}
}
