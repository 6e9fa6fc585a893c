package router

import (
	"context"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// remoteDemandTTL is how long the demand announced by another entry is used.
	// It tolerates the loss of a few announcements.
	remoteDemandTTL = 10 * time.Second
	// maxRemoteDemands bounds the entries whose demand is stored.
	maxRemoteDemands = 512
)

// remoteDemand is the demand announced by another entry.
type remoteDemand struct {
	receivedAt time.Time
	byModel    map[string]shift.Demand
}

// Demand returns the work offered to the entries of the region for each model,
// including rejected requests. The planner sizes the engine roles by it: the load of the
// backend servers shows only admitted work, which never exceeds the capacity of
// the scarcer role, however much more is offered.
func (r *Router) Demand(ctx context.Context) (map[string]shift.Demand, error) {
	reply := make(chan map[string]shift.Demand, 1)
	return query(ctx, r, demandMessage{reply: reply}, reply)
}

type demandMessage struct {
	reply chan<- map[string]shift.Demand
}

func (m demandMessage) apply(now time.Time, s *state) { m.reply <- s.regionDemand(now) }

// localDemand returns the demand offered to this entry for each model.
func (s *state) localDemand(now time.Time) map[string]shift.Demand {
	own := map[string]shift.Demand{}
	for key, g := range s.groups {
		if key.model != "" {
			own[key.model] = own[key.model].Plus(g.demandMeter.Demand(now))
		}
	}
	return own
}

// regionDemand returns the sum of the demand of this entry and of those with a
// current announcement, scaled to all entries of the region: the balancer spreads
// callers evenly, so the others are assumed to have the same demand.
func (s *state) regionDemand(now time.Time) map[string]shift.Demand {
	total := s.localDemand(now)
	counted := 1.0
	for process, remote := range s.remoteDemand {
		if now.Sub(remote.receivedAt) > remoteDemandTTL {
			delete(s.remoteDemand, process)
			continue
		}
		counted++
		for model, d := range remote.byModel {
			total[model] = total[model].Plus(d)
		}
	}
	entries := 1 / s.entryShare()
	return lo.MapValues(total, func(d shift.Demand, _ string) shift.Demand {
		return scaleDemand(d, max(1, entries/counted))
	})
}

func scaleDemand(d shift.Demand, factor float64) shift.Demand {
	d.PrefillTokens *= factor
	d.ShortPrefillTokens *= factor
	d.DecodeTokens *= factor
	return d
}

// gossipDemand returns the local demand in the form announced to other entries.
func (s *state) gossipDemand(now time.Time) []*wire.Accounts_Demand {
	return lo.MapToSlice(s.localDemand(now), func(model string, d shift.Demand) *wire.Accounts_Demand {
		return &wire.Accounts_Demand{
			Model:              model,
			PrefillTokens:      d.PrefillTokens,
			ShortPrefillTokens: d.ShortPrefillTokens,
			DecodeTokens:       d.DecodeTokens,
		}
	})
}

// setRemoteDemand stores the demand announced by another entry.
func (s *state) setRemoteDemand(now time.Time, p member.PeerUsage) {
	if _, known := s.remoteDemand[p.Process]; !known && len(s.remoteDemand) >= maxRemoteDemands {
		return
	}
	byModel := map[string]shift.Demand{}
	for _, d := range p.Accounts.GetDemand() {
		byModel[d.GetModel()] = shift.Demand{
			PrefillTokens:      d.GetPrefillTokens(),
			ShortPrefillTokens: d.GetShortPrefillTokens(),
			DecodeTokens:       d.GetDecodeTokens(),
		}
	}
	s.remoteDemand[p.Process] = remoteDemand{receivedAt: now, byModel: byModel}
}
