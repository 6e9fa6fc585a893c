// Package shift decides which engines change their role, and when, on behalf of
// the planner.
//
// The ratio of prefill to decode work can swing within minutes and back. With
// fixed roles, one kind of engine is overloaded while the other is idle, and
// goodput drops to half of what the same engines reach for another ratio.
// Following each swing is worse: a role change makes an engine unavailable for
// seconds, and the swing may be over before the change has paid off and must be
// undone at the same cost.
//
// So decode engines first take over short prefills, which needs no role change.
// The remaining imbalance is treated as a ski rental problem. The goodput lost to
// it is summed up, and engines change once the sum per engine exceeds the cost of
// a change times a factor set by operators; the sum shrinks while the current
// roles do better. For any demand, the loss is then at most a small multiple of
// that of a planner that knows the future. A dwell time and a limit on
// concurrent changes prevent wrong load data from depriving a role of its engines.
package shift

import (
	"cmp"
	"slices"
	"time"
)

// Role is the kind of work that an engine does.
type Role string

// The roles.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

const (
	// DefaultChangeTime is how long a role change makes an engine unavailable.
	DefaultChangeTime = 8 * time.Second
	// DefaultRoleChangeCost is the factor on the goodput lost by a change.
	// 1 is the rule of ski rental: change once the loss equals the cost.
	DefaultRoleChangeCost = 1.0
	// DefaultMinDwell is the minimum time between two role changes of an engine.
	// It limits the effect of wrong load data. 45 s made no difference in
	// simulations.
	DefaultMinDwell = 30 * time.Second
	// DefaultMaxInFlight limits concurrent changes: a quarter of twelve engines.
	// With one at a time, following a shift of three engines takes a minute and a
	// half, when the demand may be about to shift back.
	DefaultMaxInFlight = 3
	// DefaultPrefillHeadroom and DefaultDecodeHeadroom are the spare capacity of
	// a role relative to its demand. Decode gets more: a prefill shortage is
	// detected at admission and costs rejections, but a decode shortage shows only
	// after the prefill, as late answers and wasted work. Also, a batch that is
	// not full decodes below the nominal rate.
	DefaultPrefillHeadroom = 0.1
	DefaultDecodeHeadroom  = 0.3
	// DefaultMaxSpilloverPrompt is the longest prompt, in uncached tokens, that a decode
	// engine prefills. With half of the engine's time it takes two seconds.
	DefaultMaxSpilloverPrompt = 8_000
	// DefaultMaxSpilloverShare limits the fraction of its time that a decode engine
	// spends on such prefills. Small batches leave that much time; for larger ones
	// see Spillover.TimeShareFor.
	DefaultMaxSpilloverShare = 0.6
	// DefaultMaxInterTokenLatency is the inter-token latency that prefills may cause on a
	// decode engine: the service level objective of 31 ms.
	DefaultMaxInterTokenLatency = 31 * time.Millisecond
	// maxStep limits the time that one step accounts for. After a pause or an
	// outage of the store, the demand in the meantime is unknown.
	maxStep = 5 * time.Second
)

// Config configures a Planner. A field of zero means its default.
type Config struct {
	// RoleChangeCost scales the cost of a change: low values favour goodput, high
	// values favour fewer changes.
	RoleChangeCost float64
	ChangeTime     time.Duration
	MinDwell       time.Duration
	MaxInFlight    int
	// PrefillHeadroom and DecodeHeadroom are fractions of the demand.
	PrefillHeadroom, DecodeHeadroom float64
	// MinPerRole is the minimum number of engines in each role; the default is 1.
	MinPerRole           int
	MaxSpilloverPrompt   int
	MaxSpilloverShare    float64
	MaxInterTokenLatency time.Duration
}

// Engine is the state of one engine. Mixed engines count as capacity for both
// kinds of work and never change their role.
type Engine struct {
	Name string
	Role Role
	// Movable engines may change their role: they are up and neither drained
	// nor held by an operator's exception.
	Movable bool
	// Changing engines are in transition to Role.
	Changing bool
	// RoleSince is when the role was last set.
	RoleSince time.Time
	// QueuedTokens orders the candidates: the least loaded engine changes first.
	QueuedTokens int
	// Speed is the engine's measured rate relative to its peers; 0 means 1.
	Speed float64
}

// Demand is the work requested of one model, as rates. It includes requests that
// were rejected for lack of capacity.
type Demand struct {
	// PrefillTokens is the rate of uncached prompt tokens per second.
	// ShortPrefillTokens of them belong to prompts that decode engines may take.
	PrefillTokens      float64
	ShortPrefillTokens float64
	// DecodeTokens is the rate of output tokens per second.
	DecodeTokens float64
	// PrefillBacklog and DecodeBacklog are queued tokens, for the state dump. The
	// decision ignores them: queued work is already included in the rates, and
	// counting it twice made roles oscillate.
	PrefillBacklog, DecodeBacklog float64
}

// Capacity is the rate of one engine for each kind of work, in tokens per second,
// while it does nothing else.
type Capacity struct {
	PrefillTokens float64
	DecodeTokens  float64
}

// Fleet is the input of one step: the engines, demand and capacity of one model.
type Fleet struct {
	Engines  []Engine
	Demand   Demand
	Capacity Capacity
}

// Change is one engine's new role.
type Change struct {
	Name     string
	From, To Role
	Reason   string
}

// Spillover limits the prefills that decode engines take over from prefill engines.
type Spillover struct {
	// MaxPromptTokens is the longest such prompt; 0 means none.
	MaxPromptTokens int
	// MaxTimeShare limits the fraction of its time that a decode engine spends on them.
	MaxTimeShare float64
	// MaxInterTokenLatency is the inter-token latency that they may cause.
	MaxInterTokenLatency time.Duration
}

// TimeShareFor returns the fraction of its time that a decode engine may spend on
// prefills while one step of its batch takes the given time. Without it, a full
// batch would exceed the inter-token latency objective.
func (s Spillover) TimeShareFor(step time.Duration) float64 {
	if s.MaxInterTokenLatency <= 0 {
		return s.MaxTimeShare
	}
	return max(0, min(s.MaxTimeShare, 1-float64(step)/float64(s.MaxInterTokenLatency)))
}

// Decision is the outcome of one step.
type Decision struct {
	Changes   []Change
	Spillover Spillover
}

// Planner decides on role changes. It accumulates the loss for each target role,
// in engine-seconds of goodput per engine that would move. It is not safe for
// concurrent use.
type Planner struct {
	cfg      Config
	lastStep time.Time
	loss     map[Role]float64
}

// New returns a Planner.
func New(cfg Config) *Planner {
	cfg.RoleChangeCost = cmp.Or(cfg.RoleChangeCost, DefaultRoleChangeCost)
	cfg.ChangeTime = cmp.Or(cfg.ChangeTime, DefaultChangeTime)
	cfg.MinDwell = cmp.Or(cfg.MinDwell, DefaultMinDwell)
	cfg.MaxInFlight = cmp.Or(cfg.MaxInFlight, DefaultMaxInFlight)
	cfg.PrefillHeadroom = cmp.Or(cfg.PrefillHeadroom, DefaultPrefillHeadroom)
	cfg.DecodeHeadroom = cmp.Or(cfg.DecodeHeadroom, DefaultDecodeHeadroom)
	cfg.MinPerRole = cmp.Or(cfg.MinPerRole, 1)
	cfg.MaxSpilloverPrompt = cmp.Or(cfg.MaxSpilloverPrompt, DefaultMaxSpilloverPrompt)
	cfg.MaxSpilloverShare = cmp.Or(cfg.MaxSpilloverShare, DefaultMaxSpilloverShare)
	cfg.MaxInterTokenLatency = cmp.Or(cfg.MaxInterTokenLatency, DefaultMaxInterTokenLatency)
	return &Planner{cfg: cfg, loss: make(map[Role]float64)}
}

// Step accounts for the time since the last step and returns the changes to make.
// It must not be called without recent load reports, so that no loss accumulates
// on stale data.
func (p *Planner) Step(now time.Time, f Fleet) Decision {
	elapsed := p.elapsed(now)
	c := countRoles(f.Engines)
	d := Decision{Spillover: p.spillover(c, f)}
	n := p.enginesNeeded(f)
	for _, to := range []Role{Prefill, Decode} {
		m := p.bestMove(c, n, to)
		p.loss[to] = max(0, p.loss[to]+m.perEngine()*elapsed.Seconds())
		if d.Changes = p.changes(now, c, f, to, m); len(d.Changes) > 0 {
			clear(p.loss)
			break
		}
	}
	return d
}

// Loss returns the accumulated loss, in engine-seconds of goodput, for changes to
// the role. It is for the state dump.
func (p *Planner) Loss(to Role) float64 { return p.loss[to] }

func (p *Planner) elapsed(now time.Time) time.Duration {
	elapsed := now.Sub(p.lastStep)
	if p.lastStep.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.lastStep = now
	return min(elapsed, maxStep)
}

// roleCounts has the number of engines by role. Engines in transition count in
// their new role, and in changing.
type roleCounts struct {
	prefill, decode, mixed, changing int
}

func countRoles(engines []Engine) roleCounts {
	var c roleCounts
	for _, e := range engines {
		switch e.Role {
		case Prefill:
			c.prefill++
		case Decode:
			c.decode++
		default:
			c.mixed++
		}
		if e.Changing {
			c.changing++
		}
	}
	return c
}

// changes returns the changes of the move once the accumulated loss has reached
// the cost, as many as the limits allow.
func (p *Planner) changes(now time.Time, c roleCounts, f Fleet, to Role, m move) []Change {
	cost := p.cfg.RoleChangeCost * p.cfg.ChangeTime.Seconds()
	if m.engines == 0 || p.loss[to] < cost {
		return nil
	}
	from := opposite(to)
	eligible := p.candidates(now, f.Engines, from)
	limit := min(m.engines, p.cfg.MaxInFlight-c.changing, c.of(from)-p.cfg.MinPerRole, len(eligible))
	var changes []Change
	for _, e := range eligible[:max(0, limit)] {
		changes = append(changes, Change{Name: e.Name, From: from, To: to, Reason: reason(to, p.loss[to], cost)})
	}
	return changes
}

// candidates returns the engines of the role that may change, least loaded first
// and slow ones last. A slow engine is idle because routing avoids it. After a
// change of role it would have no history of being slow, get a full batch of
// streams and delay all of them.
func (p *Planner) candidates(now time.Time, engines []Engine, from Role) []Engine {
	var eligible []Engine
	for _, e := range engines {
		if e.Role == from && e.Movable && !e.Changing && now.Sub(e.RoleSince) >= p.cfg.MinDwell {
			eligible = append(eligible, e)
		}
	}
	slices.SortFunc(eligible, func(a, b Engine) int {
		return cmp.Or(compareSlowFirst(b, a), cmp.Compare(a.QueuedTokens, b.QueuedTokens), cmp.Compare(a.Name, b.Name))
	})
	return eligible
}

// slowEngineSpeed is the speed below which an engine counts as slow. Healthy
// engines of one hardware type differ by less.
const slowEngineSpeed = 0.7

// compareSlowFirst orders slow engines before the others.
func compareSlowFirst(a, b Engine) int {
	rank := func(e Engine) int {
		if cmp.Or(e.Speed, 1) < slowEngineSpeed {
			return 0
		}
		return 1
	}
	return cmp.Compare(rank(a), rank(b))
}

func opposite(r Role) Role {
	if r == Prefill {
		return Decode
	}
	return Prefill
}

func (c roleCounts) of(r Role) int {
	if r == Prefill {
		return c.prefill
	}
	return c.decode
}

func (c roleCounts) afterMove(to Role, engines int) roleCounts {
	if to == Decode {
		engines = -engines
	}
	c.prefill += engines
	c.decode -= engines
	return c
}
