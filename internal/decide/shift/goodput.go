package shift

import "fmt"

// enginesNeeded is the demand expressed as the number of engines that it would
// keep fully busy, including headroom.
type enginesNeeded struct {
	prefill, shortPrefill, decode float64
}

func (p *Planner) enginesNeeded(f Fleet) enginesNeeded {
	if f.Capacity.PrefillTokens <= 0 || f.Capacity.DecodeTokens <= 0 {
		return enginesNeeded{}
	}
	return enginesNeeded{
		prefill:      f.Demand.PrefillTokens * (1 + p.cfg.PrefillHeadroom) / f.Capacity.PrefillTokens,
		shortPrefill: f.Demand.ShortPrefillTokens * (1 + p.cfg.PrefillHeadroom) / f.Capacity.PrefillTokens,
		decode:       f.Demand.DecodeTokens * (1 + p.cfg.DecodeHeadroom) / f.Capacity.DecodeTokens,
	}
}

// servedFraction returns the fraction of the demand that can be completed. A
// request needs both prefill and decode, so the scarcer one limits it.
func (p *Planner) servedFraction(c roleCounts, n enginesNeeded) float64 {
	prefill, decode := float64(c.prefill), float64(c.decode)
	decode, prefill = p.allocateMixed(float64(c.mixed), decode, prefill, n)
	spillover := p.spilloverWork(decode, prefill, n)
	return min(1, ratio(prefill, n.prefill-spillover), ratio(decode-spillover, n.decode))
}

// allocateMixed divides the time of mixed engines between decode and prefill in
// proportion to the shortage of each, and returns the resulting capacities.
func (p *Planner) allocateMixed(mixed, decode, prefill float64, n enginesNeeded) (float64, float64) {
	prefillShortage := max(0, n.prefill-prefill)
	decodeShortage := max(0, n.decode-decode)
	if prefillShortage+decodeShortage == 0 {
		return decode + mixed/2, prefill + mixed/2
	}
	toPrefill := mixed * prefillShortage / (prefillShortage + decodeShortage)
	return decode + mixed - toPrefill, prefill + toPrefill
}

// spilloverWork returns the prefill work, in engines, that decode engines take
// over. It is limited by the shortage of prefill engines, the spare capacity of
// decode engines, their MaxSpilloverShare and the amount of short prompts.
func (p *Planner) spilloverWork(decode, prefill float64, n enginesNeeded) float64 {
	shortage := max(0, n.prefill-prefill)
	spare := max(0, decode-n.decode)
	return min(shortage, spare, n.shortPrefill, decode*p.cfg.MaxSpilloverShare)
}

func ratio(capacity, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return max(0, capacity) / demand
}

// move is a number of engines to change to a role and the goodput, in engines,
// that this would gain. The gain is negative if the current roles do better.
type move struct {
	engines int
	gain    float64
}

// perEngine returns the gain per engine moved. Its sum over time is comparable
// between moves of different sizes, and with the cost of one change.
func (m move) perEngine() float64 { return m.gain / float64(max(1, m.engines)) }

// minGainFraction is the fraction of the largest possible gain that a move must
// reach. The last engine of a larger move costs as much as the first and often
// gains little.
const minGainFraction = 0.6

// bestMove returns the smallest move to the role that reaches minGainFraction of
// the largest gain. If none gains anything, it returns the gain of moving one
// engine, with no engines.
func (p *Planner) bestMove(c roleCounts, n enginesNeeded, to Role) move {
	var moves []move
	largest := 0.0
	current := p.servedFraction(c, n)
	for k := 1; k <= c.of(opposite(to))-p.cfg.MinPerRole; k++ {
		gain := (p.servedFraction(c.afterMove(to, k), n) - current) * (n.prefill + n.decode)
		moves = append(moves, move{engines: k, gain: gain})
		largest = max(largest, gain)
	}
	for _, m := range moves {
		if largest > 0 && m.gain >= minGainFraction*largest {
			return m
		}
	}
	if len(moves) == 0 {
		return move{}
	}
	return move{gain: moves[0].gain}
}

func (p *Planner) spillover(c roleCounts, f Fleet) Spillover {
	n := p.enginesNeeded(f)
	decode, prefill := p.allocateMixed(float64(c.mixed), float64(c.decode), float64(c.prefill), n)
	work := p.spilloverWork(decode, prefill, n)
	if work <= 0 {
		return Spillover{}
	}
	return Spillover{MaxPromptTokens: p.cfg.MaxSpilloverPrompt, MaxTimeShare: p.cfg.MaxSpilloverShare, MaxInterTokenLatency: p.cfg.MaxInterTokenLatency}
}

func reason(to Role, loss, cost float64) string {
	return fmt.Sprintf("%.1f engine-seconds of goodput lost for want of %s, a change costs %.1f", loss, to, cost)
}
