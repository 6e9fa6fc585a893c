package directory

import "time"

// maxUnobserved is how long the servers may go unobserved without a doubt: the object of a
// server that has begun to serve stays in the store for longer.
const maxUnobserved = 2 * time.Second

// Coverage is the span of time in which every server that the store has had is known. Its
// times are boot-time clock readings: a suspended VM knows nothing of the time meanwhile. The
// zero Coverage covers nothing.
type Coverage struct {
	// Since may be in the future, where servers that are there are not in the store yet.
	Since, Until time.Duration
}

// Extend records that all changes up to a time are known, without a gap.
func (c *Coverage) Extend(until time.Duration) {
	if c.Since > 0 {
		c.Until = max(c.Until, until)
	}
}

// Relist records a list of all servers at a time, before which changes may have been missed.
func (c *Coverage) Relist(at time.Duration) {
	if c.Since == 0 || at-c.Until > maxUnobserved {
		c.Since = max(c.Since, at)
	}
	c.Until = max(c.Until, at)
}

// Break records that servers may have been missed before a time.
func (c *Coverage) Break(before time.Duration) {
	if c.Since > 0 {
		c.Since = max(c.Since, before)
	}
}

// Covers reports whether every server that has been there for some time before now is known.
func (c Coverage) Covers(now, span time.Duration) bool {
	return c.Since > 0 && c.Since < now-span && now-c.Until <= maxUnobserved
}

// Span returns for how long before now every server that has been there is known, 0 if it is
// not known what is there now.
func (c Coverage) Span(now time.Duration) time.Duration {
	if !c.Covers(now, 0) {
		return 0
	}
	return now - c.Since
}
