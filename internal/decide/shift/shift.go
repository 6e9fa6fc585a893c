// Package shift decides which engine changes its role, and when. It is the
// planner's decision.
//
// It answers a prompt-to-output mix that swings within minutes and back. With
// fixed roles one side is short while the other idles, which one notices by
// goodput at half of what the same engines reach for another mix. A planner
// that follows each swing loses more: a change takes an engine away for
// seconds, the swing is over before the change has paid, and it is undone at
// the same price.
//
// So the cheap lever comes first: decode engines take short prefills, which
// costs no change. What it does not cover is treated as ski rental. The goodput
// lost to the imbalance adds up, and one engine changes once the sum exceeds
// the cost of its change times a factor that says how operators weigh
// changes; the sum shrinks again while the present roles do better. Against a
// planner that knows the future, the loss is then bounded by a small multiple
// of that planner's, whatever the swings. A dwell time and a bound on changes
// in flight keep a wrong picture from taking a role away.
package shift

import (
	"cmp"
	"slices"
	"time"
)

// Role says which work an engine takes.
type Role string

// The roles.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

const (
	// DefaultChangeTime is how long a role change takes an engine away.
	DefaultChangeTime = 8 * time.Second
	// DefaultRoleChangeCost is the factor on the goodput lost by a change.
	// 1 is the rule of ski rental: having lost as much as it costs.
	DefaultRoleChangeCost = 1.0
	// DefaultDwell is how long an engine keeps a role at least. It bounds what
	// a wrong picture can do; in the load player 45 s changes nothing.
	DefaultDwell = 30 * time.Second
	// DefaultMaxInFlight bounds the changes at any time: a quarter of a dozen
	// engines. One at a time, a mix that moves by three engines is followed
	// only after a minute and a half, when it may be about to turn.
	DefaultMaxInFlight = 3
	// DefaultPrefillHeadroom and DefaultDecodeHeadroom are by how much the
	// capacity of a role is wanted larger than its demand. Want of prefill is
	// seen at admission and costs refusals; want of decode comes to light
	// after the prefill, as answers that are late and work that is lost, and
	// a batch that is not full does less than its rate. So decode gets more.
	DefaultPrefillHeadroom = 0.1
	DefaultDecodeHeadroom  = 0.3
	// DefaultSpillPrompt is the longest prompt, in uncached tokens, that a
	// decode engine prefills: at a share of a half it is done in two seconds.
	DefaultMaxSpilloverPrompt = 8_000
	// DefaultSpillShare is the most of its time that a decode engine spends
	// on such prefills. A small batch leaves that much: see Spill.ShareFor.
	DefaultMaxSpilloverShare = 0.6
	// DefaultTokenGap is the time between tokens that prefills may stretch
	// the streams of a decode engine to: the 31 ms of the service level.
	DefaultMaxInterTokenLatency = 31 * time.Millisecond
	// maxStep bounds the time that one step accounts for: after a pause or an
	// outage of the store nothing is known about the time between.
	maxStep = 5 * time.Second
)

// Config sets a Planner. The zero value of a field means its default.
type Config struct {
	// RoleChangeCost scales the cost of a change: low where goodput weighs
	// more, high where changes weigh more.
	RoleChangeCost float64
	ChangeTime     time.Duration
	Dwell          time.Duration
	MaxInFlight    int
	// PrefillHeadroom and DecodeHeadroom are shares of the demand.
	PrefillHeadroom, DecodeHeadroom float64
	// LeastPerRole engines stay in each role.
	LeastPerRole int
	SpillPrompt  int
	SpillShare   float64
	TokenGap     time.Duration
}

// Engine is one engine as the planner sees it. Mixed engines count as capacity
// for both kinds of work and are never changed.
type Engine struct {
	Name string
	Role Role
	// Movable engines may change: up, not drained and not held by an exception
	// of the operators.
	Movable bool
	// Changing engines are on their way to Role.
	Changing bool
	// Since is when the role was last set.
	RoleSince time.Time
	// QueuedTokens breaks ties: the idlest engine changes.
	QueuedTokens int
	// Speed is the engine's measured rate over that of its peers; 0 means 1.
	Speed float64
}

// Demand is the work offered to one model, also what was refused for lack of
// room, as rates.
type Demand struct {
	// PrefillTokens a second are uncached prompt tokens; ShortPrefillTokens of
	// them belong to prompts short enough to spill.
	PrefillTokens      float64
	ShortPrefillTokens float64
	// DecodeTokens a second are output tokens.
	DecodeTokens float64
	// PrefillBacklog and DecodeBacklog are tokens that wait now, for the state
	// dump. They do not enter the decision: what waits was offered before and
	// is in the rates, and counting it twice made roles swing.
	PrefillBacklog, DecodeBacklog float64
}

// Capacity is what one engine does in a second when it does nothing else.
type Capacity struct {
	PrefillTokens float64
	DecodeTokens  float64
}

// Fleet is the input of one step: the engines of one model.
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

// Spill tells decode engines to take prefills.
type Spillover struct {
	// MaxPromptTokens is the longest such prompt; 0 means none.
	MaxPromptTokens int
	// Share of its time is the most that a decode engine spends on them.
	MaxTimeShare float64
	// TokenGap is the time between tokens that they may stretch streams to.
	MaxInterTokenLatency time.Duration
}

// ShareFor returns the share of its time that a decode engine may spend on
// prefills while one step of its batch takes the given time. Without it, a
// full batch would be stretched past the service level.
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

// Planner holds the loss summed up for each direction, in engine-seconds of
// goodput for each engine that would move. Its methods are for one
// goroutine.
type Planner struct {
	cfg  Config
	at   time.Time
	loss map[Role]float64
}

// New returns a Planner.
func New(cfg Config) *Planner {
	cfg.RoleChangeCost = cmp.Or(cfg.RoleChangeCost, DefaultRoleChangeCost)
	cfg.ChangeTime = cmp.Or(cfg.ChangeTime, DefaultChangeTime)
	cfg.Dwell = cmp.Or(cfg.Dwell, DefaultDwell)
	cfg.MaxInFlight = cmp.Or(cfg.MaxInFlight, DefaultMaxInFlight)
	cfg.PrefillHeadroom = cmp.Or(cfg.PrefillHeadroom, DefaultPrefillHeadroom)
	cfg.DecodeHeadroom = cmp.Or(cfg.DecodeHeadroom, DefaultDecodeHeadroom)
	cfg.LeastPerRole = cmp.Or(cfg.LeastPerRole, 1)
	cfg.SpillPrompt = cmp.Or(cfg.SpillPrompt, DefaultMaxSpilloverPrompt)
	cfg.SpillShare = cmp.Or(cfg.SpillShare, DefaultMaxSpilloverShare)
	cfg.TokenGap = cmp.Or(cfg.TokenGap, DefaultMaxInterTokenLatency)
	return &Planner{cfg: cfg, loss: make(map[Role]float64)}
}

// Step takes in the fleet as it is now and returns what to change. Without
// fresh reports the caller does not step: a frozen plan sums up no loss.
func (p *Planner) Step(now time.Time, f Fleet) Decision {
	dt := p.elapsed(now)
	c := count(f.Engines)
	d := Decision{Spillover: p.spill(c, f)}
	n := p.needOf(f)
	for _, to := range []Role{Prefill, Decode} {
		m := p.best(c, n, to)
		p.loss[to] = max(0, p.loss[to]+m.perEngine()*dt.Seconds())
		if d.Changes = p.changes(now, c, f, to, m); len(d.Changes) > 0 {
			clear(p.loss)
			break
		}
	}
	return d
}

// Loss returns the engine-seconds of goodput summed up for a change to the
// role, for the state dump.
func (p *Planner) Loss(to Role) float64 { return p.loss[to] }

func (p *Planner) elapsed(now time.Time) time.Duration {
	dt := now.Sub(p.at)
	if p.at.IsZero() || dt < 0 {
		dt = 0
	}
	p.at = now
	return min(dt, maxStep)
}

// counts are engines per role; those that change count at their new role.
type counts struct {
	prefill, decode, mixed, changing int
}

func count(engines []Engine) counts {
	var c counts
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

// changes returns the move, or as much of it as may be in flight, once the
// loss has reached its price.
func (p *Planner) changes(now time.Time, c counts, f Fleet, to Role, m move) []Change {
	price := p.cfg.RoleChangeCost * p.cfg.ChangeTime.Seconds()
	if m.engines == 0 || p.loss[to] < price {
		return nil
	}
	from := opposite(to)
	ready := p.candidates(now, f.Engines, from)
	room := min(m.engines, p.cfg.MaxInFlight-c.changing, c.of(from)-p.cfg.LeastPerRole, len(ready))
	var changes []Change
	for _, e := range ready[:max(0, room)] {
		changes = append(changes, Change{Name: e.Name, From: from, To: to, Reason: why(to, p.loss[to], price)})
	}
	return changes
}

// candidates returns the engines of the role that may change, idlest first and
// slow ones last. A slow engine is idle because routing spares it; moved for
// that, it would look new to its next peers, take a whole batch of streams and
// make all of them late.
func (p *Planner) candidates(now time.Time, engines []Engine, from Role) []Engine {
	var ready []Engine
	for _, e := range engines {
		if e.Role == from && e.Movable && !e.Changing && now.Sub(e.RoleSince) >= p.cfg.Dwell {
			ready = append(ready, e)
		}
	}
	slices.SortFunc(ready, func(a, b Engine) int {
		return cmp.Or(slowFirst(b, a), cmp.Compare(a.QueuedTokens, b.QueuedTokens), cmp.Compare(a.Name, b.Name))
	})
	return ready
}

// slowSpeed is the speed below which an engine counts as slow; engines of one
// kind differ by less.
const slowSpeed = 0.7

// slowFirst orders slow engines before the others.
func slowFirst(a, b Engine) int {
	slow := func(e Engine) int {
		if cmp.Or(e.Speed, 1) < slowSpeed {
			return 0
		}
		return 1
	}
	return cmp.Compare(slow(a), slow(b))
}

func opposite(r Role) Role {
	if r == Prefill {
		return Decode
	}
	return Prefill
}

func (c counts) of(r Role) int {
	if r == Prefill {
		return c.prefill
	}
	return c.decode
}

func (c counts) moved(to Role, engines int) counts {
	if to == Decode {
		engines = -engines
	}
	c.prefill += engines
	c.decode -= engines
	return c
}
