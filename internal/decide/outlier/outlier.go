// Package outlier detects backend servers that perform worse than their peers.
//
// It guards against a slow backend server: one with throttled hardware or a noisy
// neighbour still accepts requests, so that least-queue balancing keeps sending to it,
// and the slowest server sets the 95th percentile of all. Symptom: tail latency that
// correlates with one server. A Detector lowers the weight of such a server, keeps
// sending it enough requests to detect its recovery, and never lowers the weights of
// more than a bounded fraction, because when most servers look bad the cause is the
// load and not the servers.
//
// With Config.MinFailures it also guards against a server that passes its health check and
// answers errors to a part of its requests: it is idle, so that balancing prefers it, and it
// is to be found within a few requests. See compareFailures.
package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// DefaultLatencyRatio is how many times as slow as the median of its peers a
	// backend server may be before it loses weight. Engines of one kind differ by some
	// tens of percent with the batch; that does not reach twice the median.
	DefaultLatencyRatio = 2.0
	// DefaultErrorMargin is by how much the error rate of a backend server may exceed
	// the median before it loses weight.
	DefaultErrorMargin = 0.2
	// DefaultMinWeight is the minimum weight: enough requests to detect a recovery
	// within a minute, too few to show in a 95th percentile.
	DefaultMinWeight = 0.05
	// DefaultMaxOutlierFraction is the largest fraction of the peers whose weights may
	// be lowered at the same time. A fixed fleet at 80% load cannot lose more than a fifth
	// and still serve.
	DefaultMaxOutlierFraction = 0.25
	// DefaultHalfLife is the half-life of observations.
	DefaultHalfLife = 10 * time.Second
	// DefaultMinObservations is how many observations, after decay, are needed to
	// compare a backend server with its peers.
	DefaultMinObservations = 5.0
	// DefaultMaxServers limits the number of backend servers tracked.
	DefaultMaxServers = 1_024
)

// Config configures a Detector. The zero value of a field means its default.
type Config struct {
	LatencyRatio       float64
	ErrorMargin        float64
	MinWeight          float64
	MaxOutlierFraction float64
	HalfLife           time.Duration
	MinObservations    float64
	MaxServers         int
	// MinFailures, if positive, replaces ErrorMargin and MinObservations: a server loses
	// weight once it has this many failures, after decay, beyond those expected at the error
	// rate of its peers and its deviation by chance.
	MinFailures float64
}

// Observation is the outcome of one attempt.
type Observation struct {
	// Took is the measured time and Expected what the same work takes on a healthy
	// backend server; their ratio makes long and short work comparable.
	Took, Expected time.Duration
	Failed         bool
}

// Detector compares the backend servers of one group of peers: the same service, role
// and model. It is not safe for concurrent use.
type Detector struct {
	cfg              Config
	servers          map[string]*server
	weights          map[string]float64
	weightsUpdatedAt time.Time
	// outliers has the servers with a lowered weight, with MinFailures only.
	outliers map[string]Status
	// peers are the servers of the group, nil if they are not known.
	peers map[string]bool
}

// server holds sums that decay with the half-life.
type server struct {
	count, latencyRatioSum, failures float64
	decayedAt                        time.Time
	// failing is set from the time that a server has MinFailures until nearly all of them are
	// forgotten.
	failing bool
}

// New returns a Detector without observations.
func New(cfg Config) *Detector {
	cfg.LatencyRatio = cmp.Or(cfg.LatencyRatio, DefaultLatencyRatio)
	cfg.ErrorMargin = cmp.Or(cfg.ErrorMargin, DefaultErrorMargin)
	cfg.MinWeight = cmp.Or(cfg.MinWeight, DefaultMinWeight)
	cfg.MaxOutlierFraction = cmp.Or(cfg.MaxOutlierFraction, DefaultMaxOutlierFraction)
	cfg.HalfLife = cmp.Or(cfg.HalfLife, DefaultHalfLife)
	cfg.MinObservations = cmp.Or(cfg.MinObservations, DefaultMinObservations)
	cfg.MaxServers = cmp.Or(cfg.MaxServers, DefaultMaxServers)
	return &Detector{cfg: cfg, servers: make(map[string]*server)}
}

// Observe records the outcome of one attempt on the named backend server.
func (d *Detector) Observe(now time.Time, name string, o Observation) {
	s, ok := d.server(now, name)
	if !ok {
		return
	}
	s.count++
	if o.Failed {
		s.failures++
		d.weightsOutdated()
	}
	if o.Expected > 0 {
		s.latencyRatioSum += min(maxLatencyRatio, float64(o.Took)/float64(o.Expected))
	} else {
		s.latencyRatioSum++
	}
}

// server returns the observations of the named backend server, decayed to now; false if it
// is not tracked.
func (d *Detector) server(now time.Time, name string) (*server, bool) {
	s, ok := d.servers[name]
	if !ok {
		if len(d.servers) >= d.cfg.MaxServers || (d.peers != nil && !d.peers[name]) {
			return nil, false
		}
		s = &server{decayedAt: now}
		d.servers[name] = s
	}
	s.decay(now, d.cfg.HalfLife)
	return s, true
}

// Forget drops the observations of a backend server that has left.
func (d *Detector) Forget(name string) {
	delete(d.servers, name)
	delete(d.weights, name)
}

// Weight returns the fraction of its usual traffic that the named backend server should
// get, in (0, 1].
func (d *Detector) Weight(now time.Time, name string) float64 {
	d.refreshWeights(now)
	if w, ok := d.weights[name]; ok {
		return w
	}
	return 1
}

func (d *Detector) refreshWeights(now time.Time) {
	if d.weights == nil || now.Sub(d.weightsUpdatedAt) >= weightUpdateInterval {
		d.updateWeights(now)
	}
}

const (
	// weightUpdateInterval limits how often the peers are compared.
	weightUpdateInterval = 250 * time.Millisecond
	// maxLatencyRatio caps one observation, so that a single stall does not make a
	// server an outlier.
	maxLatencyRatio = 20
)

type score struct {
	name                    string
	latencyRatio, errorRate float64
	weight                  float64
}

func (d *Detector) updateWeights(now time.Time) {
	d.weightsUpdatedAt = now
	d.weights = make(map[string]float64)
	if d.cfg.MinFailures > 0 {
		d.compareFailures(now)
		return
	}
	scores := d.scores(now)
	if len(scores) < 3 {
		return // With only two, it is unknown which one is the outlier.
	}
	medianLatencyRatio := median(scores, func(s score) float64 { return s.latencyRatio })
	medianErrorRate := median(scores, func(s score) float64 { return s.errorRate })
	for i, s := range scores {
		scores[i].weight = d.weightOf(s, medianLatencyRatio, medianErrorRate)
	}
	slices.SortFunc(scores, func(a, b score) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	for _, s := range scores[:d.maxOutliers(len(scores))] {
		if s.weight < 1 {
			d.weights[s.name] = s.weight
		}
	}
}

// maxOutliers returns how many of a number of peers may have a lowered weight.
func (d *Detector) maxOutliers(peers int) int {
	return max(1, int(d.cfg.MaxOutlierFraction*float64(peers)))
}

func (d *Detector) scores(now time.Time) []score {
	var scores []score
	for name, s := range d.servers {
		s.decay(now, d.cfg.HalfLife)
		if s.count < minTrackedCount {
			delete(d.servers, name)
			continue
		}
		if s.count < d.cfg.MinObservations {
			continue
		}
		scores = append(scores, score{name: name, latencyRatio: s.latencyRatioSum / s.count, errorRate: s.failures / s.count})
	}
	return scores
}

// minTrackedCount is the decayed count below which a backend server is no longer
// tracked.
const minTrackedCount = 0.01

func (d *Detector) weightOf(s score, medianLatencyRatio, medianErrorRate float64) float64 {
	w := 1.0
	if limit := d.cfg.LatencyRatio * medianLatencyRatio; s.latencyRatio > limit {
		w = limit / s.latencyRatio / d.cfg.LatencyRatio
	}
	if s.errorRate > medianErrorRate+d.cfg.ErrorMargin {
		w = min(w, 1-s.errorRate)
	}
	return max(d.cfg.MinWeight, w)
}

func median(scores []score, of func(score) float64) float64 {
	values := make([]float64, len(scores))
	for i, s := range scores {
		values[i] = of(s)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (s *server) decay(now time.Time, halfLife time.Duration) {
	dt := now.Sub(s.decayedAt)
	if dt <= 0 {
		return
	}
	s.decayedAt = now
	factor := math.Exp2(-dt.Seconds() / halfLife.Seconds())
	s.count *= factor
	s.latencyRatioSum *= factor
	s.failures *= factor
}
