package ratelimit

import (
	"math"
	"time"
)

const (
	// leastRate is the rate, in requests a second, at which a server is sent requests that
	// names a smaller limit: without any nobody would hear that the limit has ended.
	leastRate = 0.25
	// extraMembers is by how many, at most, the gateways that may send are more than the
	// requests a second that a server takes.
	extraMembers = 4
	// burst is the time whose part of the limit a gateway may send at once.
	burst = 250 * time.Millisecond
	// settle is how long a gateway that is newly among those that may send waits, so that
	// the one whose place it takes has heard of the same change.
	settle = 4 * time.Second
	// recovery is for how long the rate of a server whose limit ended grows, and doubling
	// how long it takes to double.
	recovery = 3 * time.Second
	doubling = 500 * time.Millisecond
	// leastSilence and silentSends are after how long, and how many expected sends, a
	// server of which no answer is known counts as not used by those that may send.
	leastSilence = 10 * time.Second
	silentSends  = 4
)

// Rank is a gateway's place among those that could send to a server.
type Rank struct {
	// Position counts from 0, Of is how many gateways there are, 0 if that is not known.
	Position, Total int
}

// Ranking ranks this gateway by a key. All gateways that know the same gateways agree on
// it, and it differs from key to key.
type Ranking func(server string, round uint64) Rank

// allowance is what one gateway may still send to a server.
//
// A limit is often smaller than the number of gateways. If each had an equal part, the
// first request of each would be over the limit. So a few gateways have equal parts, and
// the others send nothing. They are found by ranking, which needs no message, and over any
// time send the limit and a burst each at most: one request, or its part of burst.
type allowance struct {
	tokens   float64
	refilled time.Duration
	rank     Rank
	// round is that of the rank.
	round uint64
	// heldUntil keeps a gateway back that is newly among those that may send.
	heldUntil time.Duration
}

// rate returns how many requests a second the server may get from all gateways; false if
// there is no limit any more.
func (e *entry) rate(now time.Duration) (float64, bool) {
	if e.last.Limited {
		return max(leastRate, e.last.PerSecond), true
	}
	passed := now - e.endedAt
	if passed >= recovery {
		return 0, false
	}
	return max(leastRate, e.before) * math.Exp2(float64(passed)/float64(doubling)), true
}

// members returns how many of the gateways may send at a rate.
func members(rate float64, round uint64, of int) int {
	if round > 0 {
		return 1
	}
	return max(1, min(int(rate+min(1+rate, extraMembers)), of))
}

// chosen reports whether this gateway is one of those that may send at a rate.
func (e *entry) chosen(rate float64) bool {
	return e.rank.Total > 0 && e.rank.Position < members(rate, e.round, e.rank.Total)
}

// currentRound counts the times for which no answer of the server was known. In each, one
// other gateway looks whether the limit still holds.
func (e *entry) currentRound(now time.Duration, rate float64) uint64 {
	if !e.last.Limited {
		return 0
	}
	silence := max(leastSilence, time.Duration(silentSends/rate*float64(time.Second)))
	return uint64(max(0, now-e.last.ReceivedAt) / silence)
}

// refresh brings the allowance up to a moment, and returns this gateway's part of the rate
// and whether it may send; limited is false if there is no limit any more.
func (e *entry) refresh(now time.Duration, ranking Ranking) (part float64, member, limited bool) {
	rate, limited := e.rate(now)
	if !limited {
		return 0, false, false
	}
	if round := e.currentRound(now, rate); round != e.round {
		e.round = round
		e.rank = ranking(e.last.Server.ID, round)
	}
	part = rate / float64(members(rate, e.round, e.rank.Total))
	e.fill(now, part)
	return part, e.chosen(rate) && now >= e.heldUntil, true
}

// fill adds the tokens of the time since the last call.
func (a *allowance) fill(now time.Duration, part float64) {
	passed := max(0, now-a.refilled)
	a.refilled = now
	a.tokens = min(max(1, part*burst.Seconds()), a.tokens+part*passed.Seconds())
}

// Allows reports whether this gateway may send a request to a server now.
func (t *Table) Allows(now time.Duration, server string) bool {
	e, ok := t.entries[server]
	if !ok {
		return true
	}
	_, member, limited := e.refresh(now, t.ranking)
	return !limited || (member && e.tokens >= 1)
}

// Part returns how many requests a second this gateway may send to a server with a limit,
// 0 if it may send none now.
func (t *Table) Share(now time.Duration, server string) float64 {
	e, ok := t.entries[server]
	if !ok {
		return 0
	}
	if part, member, _ := e.refresh(now, t.ranking); member {
		return part
	}
	return 0
}

// Take notes a request to a server, also one that Allows would not have let through.
func (t *Table) Take(now time.Duration, server string) {
	if e, ok := t.entries[server]; ok {
		e.refresh(now, t.ranking)
		e.tokens--
	}
}

// Wait returns after how long a request to a server may be let through, here or by
// another gateway; 0 if there is no limit.
func (t *Table) RetryAfter(now time.Duration, server string) time.Duration {
	e, ok := t.entries[server]
	if !ok {
		return 0
	}
	part, member, limited := e.refresh(now, t.ranking)
	switch {
	case !limited:
		return 0
	case member:
		return time.Duration(max(0, 1-e.tokens) / part * float64(time.Second))
	default:
		// One of the others sends as often as all together may.
		rate, _ := e.rate(now)
		return time.Duration(float64(time.Second) / rate)
	}
}

// Rank ranks this gateway anew for all servers with a limit. It is called from time to
// time, as gateways come and go.
func (t *Table) UpdateRanks(now time.Duration) {
	for _, e := range t.entries {
		rate, limited := e.rate(now)
		if !limited {
			continue
		}
		was := e.chosen(rate)
		e.rank = t.ranking(e.last.Server.ID, e.round)
		if e.chosen(rate) && !was {
			e.heldUntil = now + settle
		}
	}
}
