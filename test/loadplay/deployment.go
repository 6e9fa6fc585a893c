package loadplay

import "time"

// Deployment is a fleet with the cost that its operators assign to a role
// change.
type Deployment struct {
	Name        string
	DataCentres []string
	Entries     int
	Engines     int
	// PrefillEngines of the engines start in the prefill role.
	PrefillEngines int
	// PlainServices is the number of backend servers without a model, such as
	// booking calendars or registries.
	PlainServices  int
	RoleChangeCost float64
}

// Hanbit assigns role changes a low cost, in favour of goodput.
var Hanbit = Deployment{
	Name:           "hanbit",
	DataCentres:    []string{"gangnam", "mapo", "jongno", "seongsu"},
	Entries:        4,
	Engines:        12,
	PrefillEngines: 7,
	PlainServices:  4,
	RoleChangeCost: 1,
}

// Authority assigns role changes a high cost, at the expense of goodput.
var Authority = Deployment{
	Name:           "authority",
	DataCentres:    []string{"qld-bne", "qld-tsv", "qld-rok"},
	Entries:        3,
	Engines:        12,
	PrefillEngines: 7,
	PlainServices:  3,
	RoleChangeCost: 2,
}

// Deployments lists all deployments.
var Deployments = []Deployment{Hanbit, Authority}

// Parameters of the fake engine: round figures for a mid-size model on one
// accelerator. They need not be exact, since policies are compared on the same
// engine.
const (
	prefillRate = 10_000.0 // tokens a second
	// A decode step takes stepBase plus stepStream for each stream.
	stepBase   = 10 * time.Millisecond
	stepStream = 300 * time.Microsecond
	slots      = 64
	// prefillSlots prompts are started at a time and prefilled one after the other.
	prefillSlots = 2
	// runningKVBlocks is the KV cache for running requests, cacheKVBlocks that for
	// cached prefixes, in blocks of kvBlockTokens.
	runningKVBlocks = 400
	cacheKVBlocks   = 300
	kvBlockTokens   = 2_000
	changeTime      = 8 * time.Second
	// blockTransferTime is the time to transfer one KV block between two engines.
	blockTransferTime = 2 * time.Millisecond
	// drainTime is how long running streams may finish on an engine before a role
	// change; the rest then move to other engines.
	drainTime = 2 * time.Second

	plainSlots = 8
	plainTime  = 20 * time.Millisecond

	tick = 10 * time.Millisecond
	// reportPeriod and reportDelay apply to load reports, eventDelay to cache
	// events; planDelay is the time until a plan or state change has spread.
	reportPeriod       = 500 * time.Millisecond
	reportDelay        = 700 * time.Millisecond
	eventDelay         = time.Second
	planDelay          = 200 * time.Millisecond
	gossipPeriod       = time.Second
	latencyCheckPeriod = time.Second
	planPeriod         = time.Second
)

// fullBatchStep is the decode step time of a full batch.
const fullBatchStep = stepBase + slots*stepStream

// decodeRate is the output tokens per second of a full batch.
var decodeRate = slots / fullBatchStep.Seconds()

// outputTokenCost is the cost of an output token in prompt tokens.
var outputTokenCost = prefillRate / decodeRate
