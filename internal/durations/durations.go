// Package durations has samples of how long requests took.
package durations

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxSamples is the size of the sample of each route, and decay its decay:
	// half of the weight is on the last 14 s.
	maxSamples = 256
	decay      = 0.05
	// longQuantile is the quantile of the durations that requests are expected not to exceed.
	longQuantile = 0.95
)

// Durations has samples of how long requests took, by route. It is safe for concurrent use.
type Durations struct {
	mu      sync.Mutex
	samples map[string]metrics.Sample
}

// New returns a Durations without samples.
func New() *Durations {
	return &Durations{samples: make(map[string]metrics.Sample)}
}

// Observe records how long a request took that a backend server has answered.
func (r *Durations) Observe(route string, d time.Duration) {
	r.mu.Lock()
	sample, ok := r.samples[route]
	if !ok {
		sample = metrics.NewExpDecaySample(maxSamples, decay)
		r.samples[route] = sample
	}
	r.mu.Unlock()
	sample.Update(int64(d))
}

// Long returns how long requests of a route take at most, but for a few; 0 if that is unknown.
func (r *Durations) Long(route string) time.Duration {
	r.mu.Lock()
	sample, ok := r.samples[route]
	r.mu.Unlock()
	if !ok {
		return 0
	}
	return time.Duration(sample.Percentile(longQuantile))
}
