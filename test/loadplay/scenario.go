package loadplay

import (
	"math"
	"time"
)

// Scenario is a pattern of load with the faults that go with it.
type Scenario struct {
	Name   string
	Length time.Duration
	// Sources is given a factor from the seed, within some percent of 1, so
	// that no threshold is tuned to one size.
	Sources func(scale float64) []Source
	Faults  []Fault
}

// Fault is something that goes wrong between two times of a play.
type Fault struct {
	From, To time.Duration
	// Slow servers run at this speed: the first Engines engines and the first
	// Plains plain services. Failing is the chance that a draft breaks off
	// there.
	Slow            float64
	Failing         float64
	Engines, Plains int
	// LostReports and LostEvents are the shares of load reports and cache
	// events that never come; ReportLag is added to those that do.
	LostReports, LostEvents float64
	ReportLag               time.Duration
	// StoreOut freezes the plan.
	StoreOut bool
}

const length = 300 * time.Second

var (
	office  = callers("office", 24)
	heavy   = callers("heavy", 3)
	clerks  = callers("clerk", 12)
	archive = callers("archive", 2)
)

// Scenarios lists all of them.
var Scenarios = []Scenario{
	{Name: "burst", Length: length, Sources: burst},
	{Name: "heavy-callers", Length: length, Sources: heavyCallers},
	{Name: "hot-prefix", Length: length, Sources: hotPrefix},
	{Name: "slow-server", Length: length, Sources: steady, Faults: []Fault{
		{From: 60 * time.Second, To: 200 * time.Second, Slow: 0.25, Failing: 0.1, Engines: 1, Plains: 1},
	}},
	{Name: "long-among-short", Length: length, Sources: longAmongShort},
	{Name: "saturation", Length: length, Sources: saturation},
	{Name: "swing", Length: length, Sources: swing},
	{Name: "late-reports", Length: length, Sources: swing, Faults: []Fault{
		{From: 30 * time.Second, To: 280 * time.Second, LostReports: 0.4, ReportLag: 2 * time.Second},
	}},
	{Name: "lost-events", Length: length, Sources: steady, Faults: []Fault{
		{From: 30 * time.Second, To: 280 * time.Second, LostEvents: 0.7},
	}},
	{Name: "store-out", Length: length, Sources: swing, Faults: []Fault{
		{From: 70 * time.Second, To: 170 * time.Second, StoreOut: true},
	}},
	{Name: "several", Length: length, Sources: several, Faults: []Fault{
		{From: 50 * time.Second, To: 150 * time.Second, Slow: 0.25, Failing: 0.1, Engines: 1},
		{From: 90 * time.Second, To: 250 * time.Second, LostReports: 0.4, ReportLag: 2 * time.Second, LostEvents: 0.7},
		{From: 150 * time.Second, To: 210 * time.Second, StoreOut: true},
	}},
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between is the rate within [from, to), and else outside.
func between(from, to time.Duration, rate, otherwise float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return rate
		}
		return otherwise
	}
}

// wave goes from low to high and back within the period, resting at each.
func wave(low, high float64, period time.Duration, phase float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		x := math.Sin(2 * math.Pi * (t.Seconds()/period.Seconds() + phase))
		part := min(1, max(0, 0.5+x)) // flat at both ends
		return low + (high-low)*part
	}
}

func lookups(scale float64) Source {
	return Source{Kind: lookup, Rate: constant(120 * scale), Callers: clerks}
}

func steady(scale float64) []Source {
	return []Source{
		{Kind: longRead, Rate: constant(5.5 * scale), Callers: office},
		{Kind: reply, Rate: constant(5 * scale), Callers: office},
		lookups(scale),
	}
}

func burst(scale float64) []Source {
	return []Source{
		{Kind: longRead, Rate: between(100*time.Second, 130*time.Second, 16*scale, 4*scale), Callers: office},
		{Kind: reply, Rate: between(100*time.Second, 130*time.Second, 14*scale, 4*scale), Callers: office},
		lookups(scale),
	}
}

func heavyCallers(scale float64) []Source {
	return append(steady(0.6*scale),
		Source{Kind: longRead, Rate: between(60*time.Second, 240*time.Second, 12*scale, 0), Callers: heavy})
}

func hotPrefix(scale float64) []Source {
	return []Source{
		{Kind: hotRead, Rate: constant(14 * scale), Callers: office},
		{Kind: longRead, Rate: constant(2.5 * scale), Callers: office},
		lookups(scale),
	}
}

func longAmongShort(scale float64) []Source {
	return []Source{
		{Kind: reply, Rate: constant(9 * scale), Callers: office},
		{Kind: giant, Rate: constant(0.55 * scale), Callers: archive},
		lookups(scale),
	}
}

func saturation(scale float64) []Source {
	return []Source{
		{Kind: longRead, Rate: constant(11 * scale), Callers: office},
		{Kind: reply, Rate: constant(10 * scale), Callers: office},
		lookups(scale),
	}
}

// swing is the mix that goes from long reads to replies and back within
// minutes.
func swing(scale float64) []Source {
	return []Source{
		{Kind: longRead, Rate: wave(1.5*scale, 8.5*scale, 140*time.Second, 0), Callers: office},
		{Kind: reply, Rate: wave(2*scale, 15*scale, 140*time.Second, 0.5), Callers: office},
		lookups(scale),
	}
}

func several(scale float64) []Source {
	sources := append(swing(0.8*scale),
		Source{Kind: longRead, Rate: between(100*time.Second, 200*time.Second, 6*scale, 0), Callers: heavy},
		Source{Kind: giant, Rate: constant(0.1 * scale), Callers: archive})
	return sources
}
