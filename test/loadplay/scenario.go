package loadplay

import (
	"math"
	"time"
)

// Scenario is a load pattern with the faults injected into it.
type Scenario struct {
	Name     string
	Duration time.Duration
	// Sources returns the load sources. The scale, drawn from the seed within
	// some percent of 1, keeps thresholds from being tuned to one load level.
	Sources func(scale float64) []Source
	Faults  []Fault
}

// Fault is a fault that is active between two times of a simulation.
type Fault struct {
	From, To time.Duration
	// SlowSpeed is the relative speed of the first Engines engines and the first
	// PlainServices plain services; FailureRate is the probability that a draft
	// fails there.
	SlowSpeed              float64
	FailureRate            float64
	Engines, PlainServices int
	// LostReports and LostEvents are the fractions of load reports and cache
	// events that are lost; ReportDelay is added to the delay of load reports.
	LostReports, LostEvents float64
	ReportDelay             time.Duration
	// StoreDown makes the store unavailable, which stops the planner.
	StoreDown bool
}

const scenarioDuration = 300 * time.Second

var (
	office  = callerNames("office", 24)
	heavy   = callerNames("heavy", 3)
	clerks  = callerNames("clerk", 12)
	archive = callerNames("archive", 2)
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{Name: "burst", Duration: scenarioDuration, Sources: burst},
	{Name: "heavy-callers", Duration: scenarioDuration, Sources: heavyCallers},
	{Name: "hot-prefix", Duration: scenarioDuration, Sources: hotPrefix},
	{Name: "slow-server", Duration: scenarioDuration, Sources: steady, Faults: []Fault{
		{From: 60 * time.Second, To: 200 * time.Second, SlowSpeed: 0.25, FailureRate: 0.1, Engines: 1, PlainServices: 1},
	}},
	{Name: "long-among-short", Duration: scenarioDuration, Sources: longAmongShort},
	{Name: "saturation", Duration: scenarioDuration, Sources: saturation},
	{Name: "swing", Duration: scenarioDuration, Sources: swing},
	{Name: "late-reports", Duration: scenarioDuration, Sources: swing, Faults: []Fault{
		{From: 30 * time.Second, To: 280 * time.Second, LostReports: 0.4, ReportDelay: 2 * time.Second},
	}},
	{Name: "lost-events", Duration: scenarioDuration, Sources: steady, Faults: []Fault{
		{From: 30 * time.Second, To: 280 * time.Second, LostEvents: 0.7},
	}},
	{Name: "store-out", Duration: scenarioDuration, Sources: swing, Faults: []Fault{
		{From: 70 * time.Second, To: 170 * time.Second, StoreDown: true},
	}},
	{Name: "several", Duration: scenarioDuration, Sources: several, Faults: []Fault{
		{From: 50 * time.Second, To: 150 * time.Second, SlowSpeed: 0.25, FailureRate: 0.1, Engines: 1},
		{From: 90 * time.Second, To: 250 * time.Second, LostReports: 0.4, ReportDelay: 2 * time.Second, LostEvents: 0.7},
		{From: 150 * time.Second, To: 210 * time.Second, StoreDown: true},
	}},
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between returns rate within [from, to), and otherwise outside.
func between(from, to time.Duration, rate, otherwise float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return rate
		}
		return otherwise
	}
}

// wave goes from low to high and back within the period, with a plateau at each.
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
		{Kind: longPrompt, Rate: constant(5.5 * scale), Callers: office},
		{Kind: shortPrompt, Rate: constant(5 * scale), Callers: office},
		lookups(scale),
	}
}

func burst(scale float64) []Source {
	return []Source{
		{Kind: longPrompt, Rate: between(100*time.Second, 130*time.Second, 16*scale, 4*scale), Callers: office},
		{Kind: shortPrompt, Rate: between(100*time.Second, 130*time.Second, 14*scale, 4*scale), Callers: office},
		lookups(scale),
	}
}

func heavyCallers(scale float64) []Source {
	return append(steady(0.6*scale),
		Source{Kind: longPrompt, Rate: between(60*time.Second, 240*time.Second, 12*scale, 0), Callers: heavy})
}

func hotPrefix(scale float64) []Source {
	return []Source{
		{Kind: hotPrompt, Rate: constant(14 * scale), Callers: office},
		{Kind: longPrompt, Rate: constant(2.5 * scale), Callers: office},
		lookups(scale),
	}
}

func longAmongShort(scale float64) []Source {
	return []Source{
		{Kind: shortPrompt, Rate: constant(9 * scale), Callers: office},
		{Kind: hugePrompt, Rate: constant(0.55 * scale), Callers: archive},
		lookups(scale),
	}
}

func saturation(scale float64) []Source {
	return []Source{
		{Kind: longPrompt, Rate: constant(11 * scale), Callers: office},
		{Kind: shortPrompt, Rate: constant(10 * scale), Callers: office},
		lookups(scale),
	}
}

// swing alternates between mostly long prompts and mostly short prompts within
// minutes.
func swing(scale float64) []Source {
	return []Source{
		{Kind: longPrompt, Rate: wave(1.5*scale, 8.5*scale, 140*time.Second, 0), Callers: office},
		{Kind: shortPrompt, Rate: wave(2*scale, 15*scale, 140*time.Second, 0.5), Callers: office},
		lookups(scale),
	}
}

func several(scale float64) []Source {
	sources := append(swing(0.8*scale),
		Source{Kind: longPrompt, Rate: between(100*time.Second, 200*time.Second, 6*scale, 0), Callers: heavy},
		Source{Kind: hugePrompt, Rate: constant(0.1 * scale), Callers: archive})
	return sources
}
