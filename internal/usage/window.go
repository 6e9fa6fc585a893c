// Package usage counts the requests of client accounts by windows of true time, and
// combines the counts of all gateways.
package usage

import "time"

// Window is the number of a window: window k begins k lengths after the start of 1970.
type Window int64

// WindowAt returns the window of a given length that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	k := t.UnixNano() / int64(length)
	if t.UnixNano()%int64(length) < 0 {
		k--
	}
	return Window(k)
}

// End returns the end of a window of a given length.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, int64(w+1)*int64(length))
}

// Counts are numbers of requests by client account.
type Counts map[string]int64

// Total returns the sum of the counts.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}
