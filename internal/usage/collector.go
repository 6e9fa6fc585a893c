package usage

import (
	"maps"
	"slices"
	"sync"
)

// Source is one start of a gateway.
type Source struct {
	VM    string
	Start uint32
}

// Update has counts of one source for one window. The counts replace those of earlier
// updates, so that a lost or repeated update does no harm.
type Update struct {
	Source Source
	Window Window
	// Sequence increases with each update of a source.
	Sequence uint32
	// Total is the sum of all counts of the source.
	Total int64
	// Closed is set if the window is over at the source.
	Closed bool
	Counts Counts
}

// MaxDistance is the number of windows by which an update may differ from the current one.
// Others are dropped, and older windows are not reported any more.
const MaxDistance = 12

// Collector combines the counts of all sources. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	windows map[Window]map[Source]*contribution
}

// contribution is what is known of one source and window.
type contribution struct {
	counts map[string]numbered
	// sequence is that of the newest update, from which total and closed are.
	sequence uint32
	total    int64
	closed   bool
}

// numbered is a count and the sequence of its update.
type numbered struct {
	count    int64
	sequence uint32
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{windows: make(map[Window]map[Source]*contribution)}
}

// Add applies an update. It reports whether the update's window is near the current one.
func (c *Collector) Add(u Update, current Window) bool {
	if u.Window < current-MaxDistance || u.Window > current+MaxDistance {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows[u.Window] == nil {
		c.windows[u.Window] = make(map[Source]*contribution)
	}
	known, ok := c.windows[u.Window][u.Source]
	if !ok {
		known = &contribution{counts: make(map[string]numbered)}
		c.windows[u.Window][u.Source] = known
	}
	known.apply(u)
	return true
}

func (k *contribution) apply(u Update) {
	if u.Sequence >= k.sequence {
		k.sequence, k.total = u.Sequence, u.Total
	}
	k.closed = k.closed || u.Closed
	for account, count := range u.Counts {
		if old, ok := k.counts[account]; !ok || u.Sequence >= old.sequence {
			k.counts[account] = numbered{count: count, sequence: u.Sequence}
		}
	}
}

// complete reports whether the window is over at the source and all its counts are known.
func (k *contribution) complete() bool {
	sum := int64(0)
	for _, n := range k.counts {
		sum += n.count
	}
	return k.closed && sum == k.total
}

// Sum returns the counts of all sources for a window, without those that are zero.
func (c *Collector) Sum(w Window) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(Counts)
	for _, known := range c.windows[w] {
		for account, n := range known.counts {
			sum[account] += n.count
		}
	}
	maps.DeleteFunc(sum, func(_ string, n int64) bool { return n <= 0 })
	return sum
}

// Missing returns the VMs that sent counts of a window, or of the one before it, and of
// which no start has sent all counts of the window. Their requests may be missing in Sum.
func (c *Collector) Missing(w Window) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := make(map[string]bool)
	for _, window := range []Window{w - 1, w} {
		for source, known := range c.windows[window] {
			complete[source.VM] = complete[source.VM] || (window == w && known.complete())
		}
	}
	maps.DeleteFunc(complete, func(_ string, done bool) bool { return done })
	return slices.Sorted(maps.Keys(complete))
}

// Forget drops the windows before a given one.
func (c *Collector) Forget(before Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.windows, func(w Window, _ map[Source]*contribution) bool { return w < before })
}
