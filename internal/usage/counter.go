package usage

import (
	"maps"
	"sync"
	"time"
)

// keptWindows is the number of windows before the current one that a Counter keeps. A
// request is answered, or known not to have run, within that time.
const keptWindows = 3

// Mark identifies a counted request, so that it can be removed.
type Mark struct {
	account string
	window  Window
}

// Counter counts the requests that began to run at the servers of this gateway. It is safe
// for concurrent use.
type Counter struct {
	length time.Duration
	// trueTime returns the true time at a reading of time.Now.
	trueTime func(time.Time) time.Time

	mu      sync.Mutex
	windows map[Window]Counts
	// changed are the accounts whose count has changed since the last Changes.
	changed map[Window]map[string]bool
}

// NewCounter returns a Counter for windows of a given length.
func NewCounter(length time.Duration, trueTime func(time.Time) time.Time) *Counter {
	return &Counter{length: length, trueTime: trueTime, windows: make(map[Window]Counts), changed: make(map[Window]map[string]bool)}
}

// Window returns the window that contains now.
func (c *Counter) Window(now time.Time) Window { return WindowAt(c.trueTime(now), c.length) }

// Add counts a request of an account that began to run now.
func (c *Counter) Add(account string, now time.Time) Mark {
	m := Mark{account: account, window: c.Window(now)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.change(m, 1)
	return m
}

// Remove removes a counted request that did not run after all.
func (c *Counter) Remove(m Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows[m.window][m.account] > 0 {
		c.change(m, -1)
	}
}

func (c *Counter) change(m Mark, by int64) {
	counts, ok := c.windows[m.window]
	if !ok {
		counts = make(Counts)
		c.windows[m.window], c.changed[m.window] = counts, make(map[string]bool)
	}
	counts[m.account] += by
	c.changed[m.window][m.account] = true
}

// Snapshot returns the counts of a window.
func (c *Counter) Snapshot(w Window) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.windows[w])
}

// Changes returns the counts of a window that have changed since the last call, and the
// total of the window.
func (c *Counter) Changes(w Window) (changed Counts, total int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[w]
	changed = make(Counts, len(c.changed[w]))
	for account := range c.changed[w] {
		changed[account] = counts[account]
	}
	clear(c.changed[w])
	return changed, counts.Total()
}

// Forget drops the windows that are older than keptWindows.
func (c *Counter) Forget(current Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := func(w Window) bool { return w < current-keptWindows }
	maps.DeleteFunc(c.windows, func(w Window, _ Counts) bool { return old(w) })
	maps.DeleteFunc(c.changed, func(w Window, _ map[string]bool) bool { return old(w) })
}
