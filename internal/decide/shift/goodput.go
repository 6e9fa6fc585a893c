package shift

import "fmt"

// need is the demand in engines: how many would be busy all the time.
type need struct {
	prefill, short, decode float64
}

func (p *Planner) needOf(f Fleet) need {
	if f.Capacity.PrefillTokens <= 0 || f.Capacity.DecodeTokens <= 0 {
		return need{}
	}
	return need{
		prefill: f.Demand.PrefillTokens * (1 + p.cfg.PrefillHeadroom) / f.Capacity.PrefillTokens,
		short:   f.Demand.ShortPrefillTokens * (1 + p.cfg.PrefillHeadroom) / f.Capacity.PrefillTokens,
		decode:  f.Demand.DecodeTokens * (1 + p.cfg.DecodeHeadroom) / f.Capacity.DecodeTokens,
	}
}

// served is the share of the demand that finishes: a request needs both its
// prefill and its decode, so the scarcer one decides.
func (p *Planner) served(c counts, n need) float64 {
	prefill, decode := float64(c.prefill), float64(c.decode)
	decode, prefill = p.useMixed(float64(c.mixed), decode, prefill, n)
	spill := p.spilled(decode, prefill, n)
	return min(1, part(prefill, n.prefill-spill), part(decode-spill, n.decode))
}

// useMixed gives the mixed engines' time to the two kinds of work in
// proportion to what each lacks.
func (p *Planner) useMixed(mixed, decode, prefill float64, n need) (float64, float64) {
	lackPrefill := max(0, n.prefill-prefill)
	lackDecode := max(0, n.decode-decode)
	if lackPrefill+lackDecode == 0 {
		return decode + mixed/2, prefill + mixed/2
	}
	toPrefill := mixed * lackPrefill / (lackPrefill + lackDecode)
	return decode + mixed - toPrefill, prefill + toPrefill
}

// spilled is the prefill work, in engines, that decode engines take: what the
// prefill engines lack, the decode engines can spare and the prompts allow.
func (p *Planner) spilled(decode, prefill float64, n need) float64 {
	lack := max(0, n.prefill-prefill)
	spare := max(0, decode-n.decode)
	return min(lack, spare, n.short, decode*p.cfg.SpillShare)
}

func part(have, want float64) float64 {
	if want <= 0 {
		return 1
	}
	return max(0, have) / want
}

// move is a number of engines to change to a role, and the goodput, in engines,
// that they would bring; it is negative where the present roles do better.
type move struct {
	engines int
	gain    float64
}

// perEngine is the gain for each engine moved. Sums of it can be compared
// between moves of different sizes, and with the price of one change.
func (m move) perEngine() float64 { return m.gain / float64(max(1, m.engines)) }

// enough is the part of the greatest gain that the smallest move has to bring:
// the last engine of a move costs as much as the first and often brings little.
const enough = 0.6

// best returns the smallest move to the role that brings nearly as much as any.
func (p *Planner) best(c counts, n need, to Role) move {
	var moves []move
	most := 0.0
	now := p.served(c, n)
	for k := 1; k <= c.of(opposite(to))-p.cfg.LeastPerRole; k++ {
		gain := (p.served(c.moved(to, k), n) - now) * (n.prefill + n.decode)
		moves = append(moves, move{engines: k, gain: gain})
		most = max(most, gain)
	}
	for _, m := range moves {
		if most > 0 && m.gain >= enough*most {
			return m
		}
	}
	if len(moves) == 0 {
		return move{}
	}
	return move{gain: moves[0].gain}
}

func (p *Planner) spill(c counts, f Fleet) Spillover {
	n := p.needOf(f)
	decode, prefill := p.useMixed(float64(c.mixed), float64(c.decode), float64(c.prefill), n)
	taken := p.spilled(decode, prefill, n)
	if taken <= 0 {
		return Spillover{}
	}
	return Spillover{MaxPromptTokens: p.cfg.SpillPrompt, MaxTimeShare: p.cfg.SpillShare, MaxInterTokenLatency: p.cfg.TokenGap}
}

func why(to Role, loss, price float64) string {
	return fmt.Sprintf("%.1f engine-seconds of goodput lost for want of %s, a change costs %.1f", loss, to, price)
}
