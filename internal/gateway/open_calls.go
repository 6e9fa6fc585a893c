package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// maxOpenLogged limits the lines about requests that the end of the process cuts.
const maxOpenLogged = 200

// openCalls are the requests that are being handled.
type openCalls struct {
	mu    sync.Mutex
	calls map[*openCall]struct{}
	gauge metrics.Gauge
	// ending is set once all open requests have been asked to end.
	ending bool
}

// openCall is what is known of a request while it is handled. The fields that change are
// guarded by openCalls.mu.
type openCall struct {
	id       string
	received time.Time
	route    string
	// sends counts its attempts, prefills included, and server is that of the last one.
	sends  int
	server string
	// headSent is set once the head of the response has been sent.
	headSent bool
	// end makes the request end, and ended is set once it has been called.
	end   func()
	ended bool
}

func newOpenCalls() *openCalls {
	return &openCalls{
		calls: make(map[*openCall]struct{}),
		gauge: metrics.GetOrRegisterGauge("gateway.requests.open", nil),
	}
}

func (o *openCalls) add(id string, received time.Time) *openCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	added := &openCall{id: id, received: received, ended: o.ending}
	o.calls[added] = struct{}{}
	o.gauge.Update(int64(len(o.calls)))
	return added
}

func (o *openCalls) remove(ended *openCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, ended)
	o.gauge.Update(int64(len(o.calls)))
}

// listSend records an attempt at a server in the list of open calls.
func (c *call) listSend(server backend.Server) {
	c.gateway.calls.update(func() {
		c.listed.sends++
		c.listed.server = server.ID
	})
}

// update changes an open call.
func (o *openCalls) update(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

// setEnd sets what makes a request end. It returns false if that has been asked for already.
func (o *openCalls) setEnd(c *openCall, end func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.end = end
	return !c.ended
}

// endAll makes all open requests end, also those that have just begun. It returns their number.
func (o *openCalls) endAll() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ending = true
	for c := range o.calls {
		c.ended = true
		if c.end != nil {
			c.end()
		}
	}
	return len(o.calls)
}

func (o *openCalls) isEnded(c *openCall) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return c.ended
}

func (o *openCalls) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calls)
}

// logCut logs and counts the requests that the end of the process cuts, the oldest first. It
// returns their number.
func (o *openCalls) logCut(now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	cut := make([]*openCall, 0, len(o.calls))
	for c := range o.calls {
		cut = append(cut, c)
		processEnd.count()
	}
	slices.SortFunc(cut, func(a, b *openCall) int { return cmp.Or(a.received.Compare(b.received), cmp.Compare(a.id, b.id)) })
	for _, c := range cut[:min(maxOpenLogged, len(cut))] {
		log.WithFields(log.Fields{
			"request": c.id, "route": c.route, "age_ms": now.Sub(c.received).Milliseconds(),
			"sends": c.sends, "server": c.server, "head_sent": c.headSent,
		}).Warn("request cut by the end of the process")
	}
	return len(cut)
}
