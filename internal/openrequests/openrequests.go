// Package openrequests lists the requests that a process is handling, so that a shutdown can end
// them and name those that it cuts.
package openrequests

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// maxLogged limits the lines about requests that the end of the process cuts.
const maxLogged = 200

// List has the requests that are being handled.
type List struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
	gauge    metrics.Gauge
	// cut counts the requests that the end of the process cuts.
	cut metrics.Counter
	// ending is set once all open requests have been asked to end.
	ending bool
}

// Request is what is known of a request while it is handled. The fields that change
// are changed in Update.
type Request struct {
	ID       string
	Received time.Time
	Route    string
	// Sends counts its attempts, prefills included, and Server is that of the last one.
	Sends  int
	Server string
	// HeadSent is set once the head of the response has been sent.
	HeadSent bool
	// end makes the request end, and ended is set once it has been called.
	end   func()
	ended bool
}

// New returns an empty List. prefix begins the names of its metrics.
func New(prefix string) *List {
	return &List{
		requests: make(map[*Request]struct{}),
		cut:      metrics.GetOrRegisterCounter(prefix+".requests.unanswered.process_end", nil),
		gauge:    metrics.GetOrRegisterGauge(prefix+".requests.open", nil),
	}
}

// Add lists a request.
func (o *List) Add(id string, received time.Time) *Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	added := &Request{ID: id, Received: received, ended: o.ending}
	o.requests[added] = struct{}{}
	o.gauge.Update(int64(len(o.requests)))
	return added
}

// Remove removes a request that has ended.
func (o *List) Remove(ended *Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, ended)
	o.gauge.Update(int64(len(o.requests)))
}

// Update changes a Request.
func (o *List) Update(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

// SetEnd sets what makes a request end. It returns false if that has been asked for already.
func (o *List) SetEnd(c *Request, end func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.end = end
	return !c.ended
}

// EndAll makes all open requests end, also those that have just begun. It returns their number.
func (o *List) EndAll() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ending = true
	for c := range o.requests {
		c.ended = true
		if c.end != nil {
			c.end()
		}
	}
	return len(o.requests)
}

// Ended reports whether the request has been made to end.
func (o *List) Ended(c *Request) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return c.ended
}

// Count returns the number of open requests.
func (o *List) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests)
}

// LogCut logs and counts the requests that the end of the process cuts, the oldest first. It
// returns their number.
func (o *List) LogCut(now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	cut := make([]*Request, 0, len(o.requests))
	for c := range o.requests {
		cut = append(cut, c)
		o.cut.Inc(1)
	}
	slices.SortFunc(cut, func(a, b *Request) int { return cmp.Or(a.Received.Compare(b.Received), cmp.Compare(a.ID, b.ID)) })
	for _, c := range cut[:min(maxLogged, len(cut))] {
		log.WithFields(log.Fields{
			"request": c.ID, "route": c.Route, "age_ms": now.Sub(c.Received).Milliseconds(),
			"sends": c.Sends, "server": c.Server, "head_sent": c.HeadSent,
		}).Warn("request cut by the end of the process")
	}
	return len(cut)
}
