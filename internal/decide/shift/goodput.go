package shift

import "fmt"

// need is the demand in engines: how many would be busy all the time.
type need struct {
	prefill, short, decode float64
}

func needOf(f Fleet, headroom float64) need {
	if f.Capacity.PrefillTokens <= 0 || f.Capacity.DecodeTokens <= 0 {
		return need{}
	}
	room := 1 + headroom
	return need{
		prefill: (f.Demand.PrefillTokens + f.Demand.PrefillBacklog/backlogSeconds) * room / f.Capacity.PrefillTokens,
		short:   f.Demand.ShortPrefillTokens * room / f.Capacity.PrefillTokens,
		decode:  (f.Demand.DecodeTokens + f.Demand.DecodeBacklog/backlogSeconds) * room / f.Capacity.DecodeTokens,
	}
}

// backlogSeconds is the time in which a backlog should be gone.
const backlogSeconds = 10

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

// gain is how much more goodput, in engines, one engine moved to the role
// would bring.
func (p *Planner) gain(c counts, f Fleet, to Role) float64 {
	if c.of(opposite(to)) <= p.cfg.LeastPerRole {
		return 0
	}
	n := needOf(f, p.cfg.Headroom)
	now := p.served(c, n)
	then := p.served(c.moved(to), n)
	return (then - now) * (n.prefill + n.decode)
}

func (p *Planner) spill(c counts, f Fleet) Spill {
	n := needOf(f, p.cfg.Headroom)
	decode, prefill := p.useMixed(float64(c.mixed), float64(c.decode), float64(c.prefill), n)
	taken := p.spilled(decode, prefill, n)
	if taken <= 0 {
		return Spill{}
	}
	return Spill{MaxPromptTokens: p.cfg.SpillPrompt, Share: p.cfg.SpillShare, TokenGap: p.cfg.TokenGap}
}

func why(to Role, loss, price float64) string {
	return fmt.Sprintf("%.1f engine-seconds of goodput lost for want of %s, a change costs %.1f", loss, to, price)
}
