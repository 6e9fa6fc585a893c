// Package outlier finds backend servers that do worse than their peers.
//
// It answers a slow backend server: one whose hardware throttles or whose
// neighbour is noisy still accepts work, so a least-queue choice keeps feeding
// it, and the slowest one sets the 95th percentile of all. One notices by a
// latency tail that follows one name. A Detector lowers the weight of such a
// backend server, keeps a probe share so that its recovery is seen, and never
// sidelines more than a bounded part, because when most look bad the cause is
// the load and not the servers.
package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// DefaultRatio is how much slower than the median of its peers a backend
	// server may be before it loses weight. Engines of one kind differ by some
	// tens of percent with the batch; twice the median does not come from that.
	DefaultRatio = 2.0
	// DefaultErrors is the share of failed attempts above the median's from
	// which a backend server loses weight.
	DefaultErrors = 0.2
	// DefaultProbe is the least weight: enough requests to see a recovery
	// within a minute, few enough not to show in a 95th percentile.
	DefaultProbe = 0.05
	// DefaultPart is the largest part of the peers that may lose weight at
	// once. A fixed fleet that is loaded to four fifths cannot lose more than
	// a fifth and still serve.
	DefaultPart = 0.25
	// DefaultHalfLife is how fast observations are forgotten.
	DefaultHalfLife = 10 * time.Second
	// DefaultLeast is how many observations, after decay, a verdict needs.
	DefaultLeast = 5.0
	// DefaultServers bounds the backend servers tracked.
	DefaultServers = 1_024
)

// Config sets a Detector. The zero value of a field means its default.
type Config struct {
	Ratio    float64
	Errors   float64
	Probe    float64
	Part     float64
	HalfLife time.Duration
	Least    float64
	Servers  int
}

// Observation is the outcome of one attempt.
type Observation struct {
	// Took is the measured time and Expected what the same work takes on a
	// healthy backend server; their ratio makes long and short work comparable.
	Took, Expected time.Duration
	Failed         bool
}

// Detector compares the backend servers of one group of peers: the same
// service, role and model. Its methods are for one goroutine.
type Detector struct {
	cfg     Config
	servers map[string]*server
	weights map[string]float64
	weighed time.Time
}

// server holds sums that decay with the half-life.
type server struct {
	count, ratios, failures float64
	at                      time.Time
}

// New returns a Detector.
func New(cfg Config) *Detector {
	cfg.Ratio = cmp.Or(cfg.Ratio, DefaultRatio)
	cfg.Errors = cmp.Or(cfg.Errors, DefaultErrors)
	cfg.Probe = cmp.Or(cfg.Probe, DefaultProbe)
	cfg.Part = cmp.Or(cfg.Part, DefaultPart)
	cfg.HalfLife = cmp.Or(cfg.HalfLife, DefaultHalfLife)
	cfg.Least = cmp.Or(cfg.Least, DefaultLeast)
	cfg.Servers = cmp.Or(cfg.Servers, DefaultServers)
	return &Detector{cfg: cfg, servers: make(map[string]*server)}
}

// Observe takes in one outcome of the backend server called name.
func (d *Detector) Observe(now time.Time, name string, o Observation) {
	s, ok := d.servers[name]
	if !ok {
		if len(d.servers) >= d.cfg.Servers {
			return
		}
		s = &server{at: now}
		d.servers[name] = s
	}
	s.decay(now, d.cfg.HalfLife)
	s.count++
	if o.Failed {
		s.failures++
	}
	if o.Expected > 0 {
		s.ratios += min(maxRatio, float64(o.Took)/float64(o.Expected))
	} else {
		s.ratios++
	}
}

// Forget drops a backend server that has left.
func (d *Detector) Forget(name string) {
	delete(d.servers, name)
	delete(d.weights, name)
}

// Weight returns the share of its usual work that name should get, in (0, 1].
func (d *Detector) Weight(now time.Time, name string) float64 {
	if d.weights == nil || now.Sub(d.weighed) >= weighPeriod {
		d.weigh(now)
	}
	if w, ok := d.weights[name]; ok {
		return w
	}
	return 1
}

const (
	// weighPeriod bounds how often the peers are compared.
	weighPeriod = 250 * time.Millisecond
	// maxRatio caps one observation, so that a single stall is not a verdict.
	maxRatio = 20
)

type score struct {
	name            string
	ratio, failures float64
	weight          float64
}

func (d *Detector) weigh(now time.Time) {
	d.weighed = now
	d.weights = make(map[string]float64)
	scores := d.scores(now)
	if len(scores) < 3 {
		return // Of two, neither is the odd one out.
	}
	ratio := median(scores, func(s score) float64 { return s.ratio })
	failures := median(scores, func(s score) float64 { return s.failures })
	for i, s := range scores {
		scores[i].weight = d.weightOf(s, ratio, failures)
	}
	slices.SortFunc(scores, func(a, b score) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	most := max(1, int(d.cfg.Part*float64(len(scores))))
	for _, s := range scores[:most] {
		if s.weight < 1 {
			d.weights[s.name] = s.weight
		}
	}
}

func (d *Detector) scores(now time.Time) []score {
	var scores []score
	for name, s := range d.servers {
		s.decay(now, d.cfg.HalfLife)
		if s.count < forgetCount {
			delete(d.servers, name)
			continue
		}
		if s.count < d.cfg.Least {
			continue
		}
		scores = append(scores, score{name: name, ratio: s.ratios / s.count, failures: s.failures / s.count})
	}
	return scores
}

// forgetCount is the decayed count at which a backend server is unknown again.
const forgetCount = 0.01

func (d *Detector) weightOf(s score, ratio, failures float64) float64 {
	w := 1.0
	if limit := d.cfg.Ratio * ratio; s.ratio > limit {
		w = limit / s.ratio / d.cfg.Ratio
	}
	if s.failures > failures+d.cfg.Errors {
		w = min(w, 1-s.failures)
	}
	return max(d.cfg.Probe, w)
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
	dt := now.Sub(s.at)
	if dt <= 0 {
		return
	}
	s.at = now
	keep := math.Exp2(-dt.Seconds() / halfLife.Seconds())
	s.count *= keep
	s.ratios *= keep
	s.failures *= keep
}
