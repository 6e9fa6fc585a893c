package gateway

import (
	"sync/atomic"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/direct"
)

// loadReports processes the load that servers report in the heads of their responses.
type loadReports struct {
	invalid       metrics.Counter
	loggedInvalid atomic.Bool
}

func newLoadReports() *loadReports {
	return &loadReports{invalid: metrics.GetOrRegisterCounter("gateway.server_loads_invalid", nil)}
}

// observe processes the load in the head of a response.
func (l *loadReports) observe(info direct.ResponseInfo) {
	if info.LoadInvalid != "" {
		l.countInvalid(info)
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
