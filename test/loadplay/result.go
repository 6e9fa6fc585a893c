package loadplay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
)

// outcome is how an admitted call ended.
type outcome int

const (
	outcomeGood outcome = iota
	// outcomeExpired was taken out of a queue without having run.
	outcomeExpired
	// outcomeLate was cancelled at its deadline.
	outcomeLate
	// outcomeFailed broke off, or found no server, and was not retried.
	outcomeFailed
)

// Row is the measures of one play.
type Row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Offered counts drafts; of these Good were finished in full and in time,
	// Refused at once, Expired in a queue before they ran, Late and Failed.
	Offered int `json:"offered"`
	Good    int `json:"good"`
	Refused int `json:"refused"`
	// OverShare of the Refused were above their share.
	OverShare int `json:"over_share"`
	Expired   int `json:"expired"`
	Late      int `json:"late"`
	Failed    int `json:"failed"`
	// Goodput is the useful work finished in full and in time, in engines;
	// BoundShare is its share of Bound.
	Goodput    float64 `json:"goodput"`
	BoundShare float64 `json:"bound_share"`
	// OracleShare is the goodput's share of the oracle's, and EagerChanges
	// the changes' share of the eager threshold's, where those were played.
	OracleShare  float64 `json:"oracle_share,omitempty"`
	EagerChanges float64 `json:"eager_changes,omitempty"`
	Changes      int     `json:"changes"`
	// First token and time between tokens, in milliseconds.
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
	GapP50   float64 `json:"gap_p50_ms"`
	GapP95   float64 `json:"gap_p95_ms"`
	GapP99   float64 `json:"gap_p99_ms"`
	// LookupsGood is the share of lookups answered in time, LookupP99 how
	// long they took.
	LookupsGood float64 `json:"lookups_good"`
	LookupP99   float64 `json:"lookup_p99_ms"`
	// Wasted is the share of the engines' work that went into drafts that
	// were not finished in time.
	Wasted float64 `json:"wasted"`
	// Jain is the fairness of what callers got of what they were entitled to
	// over the whole play. LightGood is the share of drafts finished in time
	// among callers clearly under their share: those that offered, within a
	// window of 20 s, at most half of the fair share of the work done for the
	// requests of that window; LightFirstP95 is their first token.
	Jain          float64 `json:"jain"`
	LightGood     float64 `json:"light_good"`
	LightRequests int     `json:"light_requests"`
	LightFirstP95 float64 `json:"light_first_p95_ms"`
	// Retried is the share of the work that was sent again.
	Retried float64 `json:"retried"`
	// CacheHits is the share of prompt tokens found cached.
	CacheHits float64 `json:"cache_hits"`
}

// Sample is one second of a play.
type Sample struct {
	At                         time.Duration
	Prefills, Decodes, Changes int
	// NeedPrefill and NeedDecode are the demand in engines.
	NeedPrefill, NeedDecode float64
	// Goodput is the useful work finished within the second, in engines.
	Goodput float64
}

type result struct {
	row0    Row
	works   []work
	trace   []Request
	bound   float64
	good    float64 // engine-seconds
	window  float64
	changes int
	retried int
	sent    int
	useful  float64
	wasted  float64
	prompts int
	cached  int
	lookups [2]int // in time, all
	first   *hdrhistogram.Histogram
	lookup  *hdrhistogram.Histogram
	gap     *hdrhistogram.Histogram
	callers map[string]*callerResult
	windows []map[string]*callerResult
	samples []Sample
}

type callerResult struct {
	offered, got float64
	// requests and met are counts, firsts the first tokens.
	requests, met int
	firsts        []time.Duration
}

// fairWindow is the time over which a caller is under or above its share.
const fairWindow = 20 * time.Second

// light is the part of its fair share up to which a caller is clearly under it.
const light = 0.5

// The histograms count microseconds up to two minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

func newResult(d Deployment, s Scenario, p Policy, seed uint64, trace []Request) *result {
	r := &result{
		row0:    Row{Deployment: d.Name, Scenario: s.Name, Policy: p.Name, Seed: seed},
		works:   ideal(trace),
		trace:   trace,
		bound:   Bound(d, s, trace),
		first:   newHistogram(),
		lookup:  newHistogram(),
		gap:     newHistogram(),
		callers: make(map[string]*callerResult),
	}
	for i, req := range trace {
		if req.Service == Lookups {
			continue
		}
		r.row0.Offered++
		for _, c := range r.of(req) {
			c.offered += r.works[i].total()
			c.requests++
		}
	}
	return r
}

// of returns what to count a request in: its caller's play and window.
func (r *result) of(req Request) []*callerResult {
	at := int(req.At / fairWindow)
	for len(r.windows) <= at {
		r.windows = append(r.windows, make(map[string]*callerResult))
	}
	return []*callerResult{entryOf(r.callers, req.Caller), entryOf(r.windows[at], req.Caller)}
}

func entryOf(callers map[string]*callerResult, name string) *callerResult {
	c, ok := callers[name]
	if !ok {
		c = &callerResult{}
		callers[name] = c
	}
	return c
}

func (r *result) refuse(c *call, reason admit.Reason) {
	if c.req.Service == Lookups {
		r.lookups[1]++
		return
	}
	r.row0.Refused++
	if reason == admit.OverShare {
		r.row0.OverShare++
	}
}

func (r *result) gaps(step time.Duration, streams int) {
	_ = r.gap.RecordValues(step.Microseconds(), int64(streams))
}

func (r *result) end(c *call, o outcome) {
	if c.req.Service == Lookups {
		r.lookups[1]++
		if o == outcomeGood {
			r.lookups[0]++
			_ = r.lookup.RecordValue(max(1, c.first.Sub(epoch.Add(c.req.At)).Microseconds()))
		}
		return
	}
	r.sent += c.cost
	r.prompts += c.req.Prompt
	r.cached += c.job.cached
	if !c.first.IsZero() {
		first := c.first.Sub(epoch.Add(c.req.At))
		_ = r.first.RecordValue(max(1, first.Microseconds()))
		for _, caller := range r.of(c.req) {
			caller.firsts = append(caller.firsts, first)
		}
	}
	switch o {
	case outcomeGood:
		r.finish(c)
		return
	case outcomeExpired:
		r.row0.Expired++
	case outcomeLate:
		r.row0.Late++
	case outcomeFailed:
		r.row0.Failed++
	}
	r.wasted += c.work
}

func (r *result) finish(c *call) {
	value := r.works[c.req.ID].total()
	r.row0.Good++
	r.good += value
	r.window += value
	for _, caller := range r.of(c.req) {
		caller.got += value
		caller.met++
	}
	r.useful += c.job.work
	r.wasted += c.work - c.job.work
}

func (r *result) sample(p *play) {
	f := p.fleet(p.demand)
	prefills, decodes, changing := roles(f.Engines)
	r.samples = append(r.samples, Sample{
		At:          p.now.Sub(epoch),
		Prefills:    prefills,
		Decodes:     decodes,
		Changes:     changing,
		NeedPrefill: f.Demand.PrefillTokens / prefillRate,
		NeedDecode:  f.Demand.DecodeTokens / decodeRate,
		Goodput:     r.window,
	})
	r.window = 0
}

func (r *result) row(p *play) Row {
	row := r.row0
	row.Goodput = r.good / p.scenario.Length.Seconds()
	row.BoundShare = ratio(r.good, r.bound)
	row.Changes = r.changes
	row.FirstP50, row.FirstP95, row.FirstP99 = quantiles(r.first)
	row.GapP50, row.GapP95, row.GapP99 = quantiles(r.gap)
	row.LookupsGood = ratio(float64(r.lookups[0]), float64(r.lookups[1]))
	_, _, row.LookupP99 = quantiles(r.lookup)
	row.Wasted = ratio(r.wasted, r.useful+r.wasted)
	row.Retried = ratio(float64(r.retried), float64(r.sent))
	row.CacheHits = ratio(float64(r.cached), float64(r.prompts))
	r.fairness(&row)
	return row
}

// fairness compares what each caller got with what it was entitled to: the
// max-min shares of the work that was done for all.
func (r *result) fairness(row *Row) {
	names := sortedNames(r.callers)
	level := fairLevel(r.callers)
	var sum, squares float64
	for _, name := range names {
		c := r.callers[name]
		got := c.got / min(c.offered, level)
		sum += got
		squares += got * got
	}
	row.Jain = ratio(sum*sum, float64(len(names))*squares)
	r.lights(row)
}

// lights sums up the callers clearly under their share, window by window.
func (r *result) lights(row *Row) {
	var requests, met int
	var firsts []time.Duration
	for _, window := range r.windows {
		level := fairLevel(window)
		for _, name := range sortedNames(window) {
			if c := window[name]; c.offered <= light*level {
				requests += c.requests
				met += c.met
				firsts = append(firsts, c.firsts...)
			}
		}
	}
	row.LightGood, row.LightRequests = 1, requests
	if requests > 0 {
		row.LightGood = float64(met) / float64(requests)
	}
	if len(firsts) > 0 {
		slices.Sort(firsts)
		row.LightFirstP95 = firsts[len(firsts)*95/100].Seconds() * 1_000
	}
}

func sortedNames(callers map[string]*callerResult) []string {
	return slices.Sorted(maps.Keys(callers))
}

// fairLevel is the level at which the callers' offers, each cut at it, add up
// to what was done for all.
func fairLevel(callers map[string]*callerResult) float64 {
	names := sortedNames(callers)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(callers[a].offered, callers[b].offered)
	})
	left := 0.0
	for _, name := range names {
		left += callers[name].got
	}
	level := 0.0
	for i, name := range names {
		level = left / float64(len(names)-i)
		if callers[name].offered > level {
			return level
		}
		left -= callers[name].offered
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
