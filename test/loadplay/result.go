package loadplay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
)

// outcome is how an admitted call finished.
type outcome int

const (
	outcomeGood outcome = iota
	// outcomeExpired was removed from a queue, or rejected by a decode queue.
	outcomeExpired
	// outcomeLate was cancelled at its deadline.
	outcomeLate
	// outcomeFailed failed, or found no server, and was not retried.
	outcomeFailed
)

// Row holds the results of one simulation.
type Row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Offered counts drafts. Good ones completed in time, Rejected ones were not
	// admitted; for the others see the outcomes.
	Offered  int `json:"offered"`
	Good     int `json:"good"`
	Rejected int `json:"refused"`
	// OverShare counts the Rejected whose caller was above its fair share.
	OverShare int `json:"over_share"`
	Expired   int `json:"expired"`
	Late      int `json:"late"`
	Failed    int `json:"failed"`
	// Goodput is the minimum work of the good drafts per time, in engines;
	// BoundFraction is its fraction of WorkBound.
	Goodput       float64 `json:"goodput"`
	BoundFraction float64 `json:"bound_share"`
	// OracleFraction is the goodput relative to the oracle's, EagerChangeRatio
	// the role changes relative to those of the eager planner; 0 if those
	// policies were not simulated.
	OracleFraction   float64 `json:"oracle_share,omitempty"`
	EagerChangeRatio float64 `json:"eager_changes,omitempty"`
	Changes          int     `json:"changes"`
	// Time to first token and inter-token latency.
	TTFTP50       float64 `json:"first_p50_ms"`
	TTFTP95       float64 `json:"first_p95_ms"`
	TTFTP99       float64 `json:"first_p99_ms"`
	InterTokenP50 float64 `json:"gap_p50_ms"`
	InterTokenP95 float64 `json:"gap_p95_ms"`
	InterTokenP99 float64 `json:"gap_p99_ms"`
	// LookupsGood is the fraction of lookups answered in time, LookupP99 their
	// latency.
	LookupsGood float64 `json:"lookups_good"`
	LookupP99   float64 `json:"lookup_p99_ms"`
	// WastedFraction is the fraction of the engines' work spent on drafts that
	// did not complete in time, or on earlier attempts of those that did.
	WastedFraction float64 `json:"wasted"`
	// Jain is Jain's fairness index of the fractions of their fair share that
	// callers got over the whole simulation. LightGood is the fraction of good
	// drafts among callers clearly under their fair share: those that offered,
	// within a window of 20 s, at most half of the fair share of the work done
	// for the requests of that window. LightTTFTP95 is their time to first token.
	Jain          float64 `json:"jain"`
	LightGood     float64 `json:"light_good"`
	LightRequests int     `json:"light_requests"`
	LightTTFTP95  float64 `json:"light_first_p95_ms"`
	// RetriedFraction is the cost of retries relative to all calls.
	RetriedFraction float64 `json:"retried"`
	// CacheHitRate is the fraction of prompt tokens found cached.
	CacheHitRate float64 `json:"cache_hits"`
}

// Sample is the state of a simulation at the end of a second.
type Sample struct {
	At                                             time.Duration
	PrefillEngines, DecodeEngines, ChangingEngines int
	// PrefillDemand and DecodeDemand are in engines.
	PrefillDemand, DecodeDemand float64
	// Goodput is the work of drafts that completed within the second, in engines.
	Goodput float64
}

type result struct {
	counts        Row
	minimumWork   []work
	trace         []Request
	bound         float64
	goodWork      float64 // engine-seconds
	sampleWork    float64
	changes       int
	retriedTokens int
	sentTokens    int
	usefulWork    float64
	wastedWork    float64
	promptTokens  int
	cachedTokens  int
	lookups       [2]int // in time, all
	ttft          *hdrhistogram.Histogram
	lookupLatency *hdrhistogram.Histogram
	interToken    *hdrhistogram.Histogram
	callers       map[string]*callerResult
	windows       []map[string]*callerResult
	samples       []Sample
}

type callerResult struct {
	offered, served float64
	// requests and good are counts, ttfts the times to first token.
	requests, good int
	ttfts          []time.Duration
}

// fairnessWindow is the time over which a caller's share is evaluated.
const fairnessWindow = 20 * time.Second

// lightFraction is the fraction of its fair share up to which a caller is clearly
// under it.
const lightFraction = 0.5

// newHistogram returns a histogram of microseconds, up to two minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

func newResult(d Deployment, s Scenario, p Policy, seed uint64, trace []Request) *result {
	r := &result{
		counts:        Row{Deployment: d.Name, Scenario: s.Name, Policy: p.Name, Seed: seed},
		minimumWork:   minimumWork(trace),
		trace:         trace,
		bound:         WorkBound(d, s, trace),
		ttft:          newHistogram(),
		lookupLatency: newHistogram(),
		interToken:    newHistogram(),
		callers:       make(map[string]*callerResult),
	}
	for i, req := range trace {
		if req.Service == Lookups {
			continue
		}
		r.counts.Offered++
		for _, c := range r.callerResults(req) {
			c.offered += r.minimumWork[i].total()
			c.requests++
		}
	}
	return r
}

// callerResults returns the results that a request counts in: those of its caller
// for the whole simulation and for the request's window.
func (r *result) callerResults(req Request) []*callerResult {
	at := int(req.At / fairnessWindow)
	for len(r.windows) <= at {
		r.windows = append(r.windows, make(map[string]*callerResult))
	}
	return []*callerResult{resultOf(r.callers, req.Caller), resultOf(r.windows[at], req.Caller)}
}

func resultOf(callers map[string]*callerResult, name string) *callerResult {
	c, ok := callers[name]
	if !ok {
		c = &callerResult{}
		callers[name] = c
	}
	return c
}

func (r *result) addRejection(c *call, reason admit.Reason) {
	if c.req.Service == Lookups {
		r.lookups[1]++
		return
	}
	r.counts.Rejected++
	if reason == admit.OverShare {
		r.counts.OverShare++
	}
}

func (r *result) addInterTokenLatency(step time.Duration, streams int) {
	_ = r.interToken.RecordValues(step.Microseconds(), int64(streams))
}

func (r *result) addOutcome(c *call, o outcome) {
	if c.req.Service == Lookups {
		r.lookups[1]++
		if o == outcomeGood {
			r.lookups[0]++
			_ = r.lookupLatency.RecordValue(max(1, c.firstTokenAt.Sub(epoch.Add(c.req.At)).Microseconds()))
		}
		return
	}
	r.sentTokens += c.costTokens
	r.promptTokens += c.req.PromptTokens
	r.cachedTokens += c.job.cachedTokens
	if !c.firstTokenAt.IsZero() {
		first := c.firstTokenAt.Sub(epoch.Add(c.req.At))
		_ = r.ttft.RecordValue(max(1, first.Microseconds()))
		for _, caller := range r.callerResults(c.req) {
			caller.ttfts = append(caller.ttfts, first)
		}
	}
	switch o {
	case outcomeGood:
		r.addGood(c)
		return
	case outcomeExpired:
		r.counts.Expired++
	case outcomeLate:
		r.counts.Late++
	case outcomeFailed:
		r.counts.Failed++
	}
	r.wastedWork += c.work
}

func (r *result) addGood(c *call) {
	value := r.minimumWork[c.req.ID].total()
	r.counts.Good++
	r.goodWork += value
	r.sampleWork += value
	for _, caller := range r.callerResults(c.req) {
		caller.served += value
		caller.good++
	}
	r.usefulWork += c.job.work
	r.wastedWork += c.work - c.job.work
}

func (r *result) addSample(sim *simulation) {
	f := sim.plannerView(sim.reportedDemand)
	prefills, decodes, changing := countRoles(f.Engines)
	r.samples = append(r.samples, Sample{
		At:              sim.now.Sub(epoch),
		PrefillEngines:  prefills,
		DecodeEngines:   decodes,
		ChangingEngines: changing,
		PrefillDemand:   f.Demand.PrefillTokens / prefillRate,
		DecodeDemand:    f.Demand.DecodeTokens / decodeRate,
		Goodput:         r.sampleWork,
	})
	r.sampleWork = 0
}

func (r *result) row(sim *simulation) Row {
	row := r.counts
	row.Goodput = r.goodWork / sim.scenario.Duration.Seconds()
	row.BoundFraction = ratio(r.goodWork, r.bound)
	row.Changes = r.changes
	row.TTFTP50, row.TTFTP95, row.TTFTP99 = quantiles(r.ttft)
	row.InterTokenP50, row.InterTokenP95, row.InterTokenP99 = quantiles(r.interToken)
	row.LookupsGood = ratio(float64(r.lookups[0]), float64(r.lookups[1]))
	_, _, row.LookupP99 = quantiles(r.lookupLatency)
	row.WastedFraction = ratio(r.wastedWork, r.usefulWork+r.wastedWork)
	row.RetriedFraction = ratio(float64(r.retriedTokens), float64(r.sentTokens))
	row.CacheHitRate = ratio(float64(r.cachedTokens), float64(r.promptTokens))
	r.fairness(&row)
	return row
}

// fairness computes Jain's index over the fractions that callers got of their
// max-min fair share of all work done.
func (r *result) fairness(row *Row) {
	names := sortedNames(r.callers)
	level := fairLevel(r.callers)
	var sum, squares float64
	for _, name := range names {
		c := r.callers[name]
		got := c.served / min(c.offered, level)
		sum += got
		squares += got * got
	}
	row.Jain = ratio(sum*sum, float64(len(names))*squares)
	r.lightCallers(row)
}

// lightCallers sums up the callers clearly under their fair share, per window.
func (r *result) lightCallers(row *Row) {
	var requests, good int
	var ttfts []time.Duration
	for _, window := range r.windows {
		level := fairLevel(window)
		for _, name := range sortedNames(window) {
			if c := window[name]; c.offered <= lightFraction*level {
				requests += c.requests
				good += c.good
				ttfts = append(ttfts, c.ttfts...)
			}
		}
	}
	row.LightGood, row.LightRequests = 1, requests
	if requests > 0 {
		row.LightGood = float64(good) / float64(requests)
	}
	if len(ttfts) > 0 {
		slices.Sort(ttfts)
		row.LightTTFTP95 = ttfts[len(ttfts)*95/100].Seconds() * 1_000
	}
}

func sortedNames(callers map[string]*callerResult) []string {
	return slices.Sorted(maps.Keys(callers))
}

// fairLevel returns the max-min fair level: the cap at which the callers' offered
// work adds up to all work done.
func fairLevel(callers map[string]*callerResult) float64 {
	names := sortedNames(callers)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(callers[a].offered, callers[b].offered)
	})
	remaining := 0.0
	for _, name := range names {
		remaining += callers[name].served
	}
	level := 0.0
	for i, name := range names {
		level = remaining / float64(len(names)-i)
		if callers[name].offered > level {
			return level
		}
		remaining -= callers[name].offered
		level = callers[name].offered
	}
	return level
}

func quantiles(h *hdrhistogram.Histogram) (p50, p95, p99 float64) {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1_000 }
	return at(50), at(95), at(99)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
