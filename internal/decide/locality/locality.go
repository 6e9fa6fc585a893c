// Package locality decides when a request leaves its data centre, and how many do.
//
// It handles demand that is uneven between data centres. Traffic between them is slower and
// costs money, but a data centre's own servers are sometimes too few. Without a price, two
// requests in three go to another data centre for a difference of a millisecond; with a
// fixed one, requests wait at home in a burst although others have room. The price is
// therefore weighed against the wait: it is charged in full while the servers at home answer
// well within the objective, and fades to nothing before a request would be late. Where
// leaving pays, a share of the requests leaves that grows with the gain, because gateways
// that learn of each other's requests some milliseconds late would otherwise all leave at
// the same moment and come back at the next.
//
// The package is pure code; randomness is passed in.
package locality

import (
	"math/bits"
	"time"
)

const (
	// fullPriceFraction is the fraction of the objective up to which the price is charged in
	// full: a caller notices no wait below half of the objective.
	fullPriceFraction = 0.5
	// freeFraction is the fraction of the objective from which distance is free. Admission
	// rejects what is expected later than 0.85 of it.
	freeFraction = 0.8
)

// Price is what it is worth to keep traffic within a data centre: the wait that may be
// added to the answers of one megabyte. Zero makes distance free.
type Price time.Duration

// bytesPerMB is the unit of Price.
const bytesPerMB = 1_000_000

// Cost returns the cost of sending a number of bytes to another data centre, as a time.
func (p Price) Cost(bytes int) time.Duration {
	return time.Duration(float64(p) * float64(bytes) / bytesPerMB)
}

// Discount returns the fraction of the price that is charged for a request whose answer is
// expected at home after a time, with an objective for it.
func Discount(expected, objective time.Duration) float64 {
	full, free := fullPriceFraction*float64(objective), freeFraction*float64(objective)
	if free <= full {
		return 0
	}
	return min(1, max(0, (free-float64(expected))/(free-full)))
}

// Leaves reports whether a request leaves its data centre, where that costs gain less than
// staying, the price included. step is the time that one more request adds to a queue: the
// queues at home and elsewhere differ by about that much even if they are balanced. key
// identifies the request and decides which of them leave.
func Leaves(gain, step time.Duration, key uint64) bool {
	if gain <= 0 {
		return false
	}
	return float64(gain) > uniform(key)*float64(step)
}

// uniform maps a key to a number in [0, 1). Keys may be consecutive.
func uniform(key uint64) float64 {
	const (
		multiplier = 0x9e3779b97f4a7c15
		mantissa   = 53
	)
	hi, lo := bits.Mul64(key^multiplier, multiplier)
	return float64((hi^lo)>>(64-mantissa)) / (1 << mantissa)
}
