package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
)

// loadReports processes the load that servers report in the heads of their responses.
type loadReports struct {
	engines       *engines
	plain         *plainBalancer
	contended     metrics.Histogram
	invalid       metrics.Counter
	loggedInvalid atomic.Bool
}

func newLoadReports(e *engines, p *plainBalancer) *loadReports {
	return &loadReports{
		engines:   e,
		plain:     p,
		invalid:   metrics.GetOrRegisterCounter("gateway.server_loads_invalid", nil),
		contended: metrics.GetOrRegisterHistogram("gateway.server_contention_percent", nil, metrics.NewUniformSample(contentionSamples)),
	}
}

// contentionSamples is the size of the sample of reported contentions for the metric.
const contentionSamples = 256

// observe processes the load in the head of a response.
func (l *loadReports) observe(info direct.ResponseInfo) {
	if info.LoadInvalid != "" {
		l.countInvalid(info)
	}
	// A misdirected request was answered by another server.
	if !info.LoadKnown || info.Status == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	if info.Load.Contention > 0 {
		const percentPerUnit = 100
		l.contended.Update(int64(percentPerUnit * info.Load.Contention))
		if l.engines.contended(now, info.Server, info.Load.Contention) {
			return
		}
	}
	if info.Server.Role == backend.NoRole {
		l.plain.reported(now, info.Server.ID, info.Load)
	}
}

// countInvalid counts an invalid load. Only the first is logged: a server repeats it in each
// response.
func (l *loadReports) countInvalid(info direct.ResponseInfo) {
	l.invalid.Inc(1)
	if !l.loggedInvalid.Swap(true) {
		log.WithFields(log.Fields{"server": info.Server.ID, "value": info.LoadInvalid, "known": info.LoadKnown}).
			Warn("server reports an invalid load; what is invalid is ignored, and later ones are only counted")
	}
}
