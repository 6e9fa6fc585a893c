package ratelimit

import (
	"math"
	"time"
)

const (
	// minRate is the rate, in requests a second, at which requests are sent to a server
	// with a lower limit. Without any request, no gateway would learn that the limit
	// has ended.
	minRate = 0.25
	// extraSenders is the maximum number of senders beyond the number of requests a second
	// that the server accepts.
	extraSenders = 4
	// burstWindow bounds bursts: a gateway may send its share for this time in one burst.
	burstWindow = 250 * time.Millisecond
	// joinDelay is how long a gateway that becomes a sender waits, so that the one it
	// replaces has learned of the change as well.
	joinDelay = 4 * time.Second
	// recoveryPeriod is how long the rate grows after a limit has ended, and doublingTime
	// how long it takes to double.
	recoveryPeriod = 3 * time.Second
	doublingTime   = 500 * time.Millisecond
	// minSilence and silenceRequests are after how long, or after how many expected
	// requests if that is longer, a server without a known response counts as not used
	// by its senders.
	minSilence      = 10 * time.Second
	silenceRequests = 4
)

// Rank is a gateway's position among those that could send to a server.
type Rank struct {
	// Position counts from 0. Total is the number of gateways, 0 if unknown.
	Position, Total int
}

// Ranking returns the rank of this gateway for a server and round. Gateways that know the
// same set of gateways agree on the ranks, which differ between servers and rounds.
type Ranking func(server string, round uint64) Rank

// allowance is the token bucket of one gateway for a server.
//
// A limit is often smaller than the number of gateways. If all had equal shares, the first
// requests of all of them would together exceed the limit. A few gateways, the senders,
// therefore have equal shares, and the others send nothing. Senders are selected by rank,
// which needs no messages. Over any period, together they send at most the limit plus one
// burst each: one request, or the sender's share for burstWindow if that is more.
type allowance struct {
	tokens     float64
	refilledAt time.Duration
	rank       Rank
	// round is the round for which rank was computed.
	round uint64
	// blockedUntil delays a gateway that has just become a sender.
	blockedUntil time.Duration
}

// totalRate returns how many requests a second all gateways together may send to the
// server, or false if it is no longer limited.
func (l *serverLimit) totalRate(now time.Duration) (float64, bool) {
	if l.latest.Limited {
		return max(minRate, l.latest.PerSecond), true
	}
	elapsed := now - l.endedAt
	if elapsed >= recoveryPeriod {
		return 0, false
	}
	return max(minRate, l.endedLimit) * math.Exp2(float64(elapsed)/float64(doublingTime)), true
}

// senderCount returns how many of the gateways may send at a rate.
func senderCount(rate float64, round uint64, gateways int) int {
	if round > 0 {
		return 1
	}
	return max(1, min(int(rate+min(1+rate, extraSenders)), gateways))
}

// isSender reports whether this gateway is one of the senders at a rate.
func (l *serverLimit) isSender(rate float64) bool {
	return l.rank.Total > 0 && l.rank.Position < senderCount(rate, l.round, l.rank.Total)
}

// currentRound returns the number of periods of silence since the last known response of
// the server. In each one, a different gateway probes whether the limit still applies.
func (l *serverLimit) currentRound(now time.Duration, rate float64) uint64 {
	if !l.latest.Limited {
		return 0
	}
	silence := max(minSilence, time.Duration(silenceRequests/rate*float64(time.Second)))
	return uint64(max(0, now-l.latest.ReceivedAt) / silence)
}

// refresh updates the allowance to now. It returns this gateway's share of the rate and
// whether it is a sender; limited is false if the server is no longer limited.
func (l *serverLimit) refresh(now time.Duration, ranking Ranking) (share float64, sender, limited bool) {
	rate, limited := l.totalRate(now)
	if !limited {
		return 0, false, false
	}
	if round := l.currentRound(now, rate); round != l.round {
		l.round = round
		l.rank = ranking(l.latest.Server.ID, round)
	}
	share = rate / float64(senderCount(rate, l.round, l.rank.Total))
	l.fill(now, share)
	return share, l.isSender(rate) && now >= l.blockedUntil, true
}

// fill adds the tokens for the time since the last call.
func (a *allowance) fill(now time.Duration, share float64) {
	elapsed := max(0, now-a.refilledAt)
	a.refilledAt = now
	a.tokens = min(max(1, share*burstWindow.Seconds()), a.tokens+share*elapsed.Seconds())
}

// Allows reports whether this gateway may send a request to a server now.
func (t *Table) Allows(now time.Duration, server string) bool {
	l, ok := t.limits[server]
	if !ok {
		return true
	}
	_, sender, limited := l.refresh(now, t.ranking)
	return !limited || (sender && l.tokens >= 1)
}

// Share returns this gateway's share of a server's limit, in requests a second, or 0 if it
// must not send to the server now.
func (t *Table) Share(now time.Duration, server string) float64 {
	l, ok := t.limits[server]
	if !ok {
		return 0
	}
	if share, sender, _ := l.refresh(now, t.ranking); sender {
		return share
	}
	return 0
}

// Take records a request to a server, including one that Allows would have rejected.
func (t *Table) Take(now time.Duration, server string) {
	if l, ok := t.limits[server]; ok {
		l.refresh(now, t.ranking)
		l.tokens--
	}
}

// RetryAfter returns the time until this or another gateway may send a request to a server, 0
// if the server is not limited.
func (t *Table) RetryAfter(now time.Duration, server string) time.Duration {
	l, ok := t.limits[server]
	if !ok {
		return 0
	}
	share, sender, limited := l.refresh(now, t.ranking)
	switch {
	case !limited:
		return 0
	case sender:
		return time.Duration(max(0, 1-l.tokens) / share * float64(time.Second))
	default:
		// The senders together send at the total rate.
		rate, _ := l.totalRate(now)
		return time.Duration(float64(time.Second) / rate)
	}
}

// UpdateRanks recomputes the rank of this gateway for all servers with a limit. It is to be
// called when the set of gateways may have changed.
func (t *Table) UpdateRanks(now time.Duration) {
	for _, l := range t.limits {
		rate, limited := l.totalRate(now)
		if !limited {
			continue
		}
		wasSender := l.isSender(rate)
		l.rank = t.ranking(l.latest.Server.ID, l.round)
		if l.isSender(rate) && !wasSender {
			l.blockedUntil = now + joinDelay
		}
	}
}
