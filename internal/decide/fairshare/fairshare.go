// Package fairshare has what decisions on fair shares of capacity among client accounts have
// in common: decaying rates, weighted max-min shares, and when an account is back within its
// share.
//
// It handles saturation by few accounts: the load of one account grows until requests of all
// accounts queue, and each waits for the work of that one. Shares are in the cost of the
// work and not in requests, because one long prompt costs as much as a hundred short ones.
// The package does no I/O and reads no clock; callers pass in the time.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the rate that an account asks for, and its weight.
type Demand struct{ Rate, Weight float64 }

// MaxMin returns the weighted max-min share per unit of weight: the value at which the
// demands, each capped at share x weight, add up to the capacity. It is infinite if the
// capacity meets all demands. It sorts the demands.
func MaxMin(capacity float64, demands []Demand) float64 {
	slices.SortFunc(demands, func(x, y Demand) int {
		return cmp.Or(cmp.Compare(x.Rate/x.Weight, y.Rate/y.Weight), cmp.Compare(x.Rate, y.Rate))
	})
	weights := 0.0
	for _, d := range demands {
		weights += d.Weight
	}
	for _, d := range demands {
		share := capacity / weights
		if d.Rate/d.Weight > share {
			return share
		}
		capacity -= d.Rate
		weights -= d.Weight
	}
	return math.Inf(1)
}

// DecayFactor returns the factor by which a sum with a time constant decays.
func DecayFactor(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// DecayTime returns how long a rate takes to decay to the target, at most the given time.
func DecayTime(rate, target float64, window, atMost time.Duration) time.Duration {
	if target <= 0 {
		return atMost
	}
	seconds := math.Log(rate/target) * window.Seconds()
	return time.Duration(min(seconds, atMost.Seconds()) * float64(time.Second))
}
