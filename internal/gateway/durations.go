package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// durationSamples is the size of the sample of each route, and durationDecay its decay:
	// half of the weight is on the last 14 s.
	durationSamples = 256
	durationDecay   = 0.05
	// longQuantile is the quantile of the durations that requests are expected not to exceed.
	longQuantile = 0.95
)

// routeDurations has samples of how long requests took, by route.
type routeDurations struct {
	mu      sync.Mutex
	samples map[string]metrics.Sample
}

func newRouteDurations() *routeDurations {
	return &routeDurations{samples: make(map[string]metrics.Sample)}
}

// observe records how long a request took that a backend server has answered.
func (r *routeDurations) observe(route string, d time.Duration) {
	r.mu.Lock()
	sample, ok := r.samples[route]
	if !ok {
		sample = metrics.NewExpDecaySample(durationSamples, durationDecay)
		r.samples[route] = sample
	}
	r.mu.Unlock()
	sample.Update(int64(d))
}

// long returns how long requests of a route take at most, but for a few; 0 if that is unknown.
func (r *routeDurations) long(route string) time.Duration {
	r.mu.Lock()
	sample, ok := r.samples[route]
	r.mu.Unlock()
	if !ok {
		return 0
	}
	return time.Duration(sample.Percentile(longQuantile))
}
