package soakproc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// concentrationLead is how long callers use all gateways, and concentrationTime how long
	// most of their new connections then go to one of them.
	concentrationLead = 6 * time.Second
	concentrationTime = 9 * time.Second
	// concentrationShare is the share of these connections, and concentrationRate by how much
	// callers open connections more often meanwhile.
	concentrationShare = 0.9
	concentrationRate  = 2
	// minServedRatio is the least share of requests served, of that before.
	minServedRatio = 0.75
)

// ConcentrationReport is the result of a play in which most new connections go to one gateway.
type ConcentrationReport struct {
	PerSecond float64
	// Before and After are the shares of requests that were served at the first attempt, of
	// those that were answered: before, and from contact after the change on.
	Before, After float64
	// Slowest is the longest time of a request that was served after the change.
	Slowest    time.Duration
	Violations []string
}

// String returns one line on the play.
func (r ConcentrationReport) String() string {
	return fmt.Sprintf("%g requests/s: %.3f served before, %.3f after, slowest %v", r.PerSecond, r.Before, r.After, r.Slowest)
}

// RunConcentration plays callers with a connection for each request, most of which go to one
// gateway after a while. The programs are in bin; logs and settings are written to dir. The error
// is one of the set-up.
func RunConcentration(perSecond float64, seed uint64, bin, dir string) (ConcentrationReport, error) {
	report := ConcentrationReport{PerSecond: perSecond}
	env, err := startWith(seed, bin, dir, options{budget: largeBudget})
	defer env.stop()
	if err != nil {
		return report, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, g := range env.gateways {
		if err := g.process.WaitReady(ctx); err != nil {
			return report, err
		}
	}
	l := newRequestLog()
	r := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	env.sendFor(concentrationLead, perSecond, r, l, func() int { return r.IntN(len(env.gateways)) })
	changed := time.Now()
	env.sendFor(concentrationTime, concentrationRate*perSecond, r, l, func() int {
		if r.Float64() < concentrationShare {
			return 0
		}
		return r.IntN(len(env.gateways))
	})
	report.Before, _ = l.servedBetween(began, changed)
	report.After, report.Slowest = l.servedBetween(changed.Add(contact), changed.Add(concentrationTime))
	if report.After < minServedRatio*report.Before {
		l.addViolation("%.3f of the requests are served while one gateway gets most connections, %.3f before", report.After, report.Before)
	}
	report.Violations = l.violations
	return report, nil
}

// sendFor sends requests at a rate, each on a connection of its own, to the gateway that choose
// returns.
func (env *environment) sendFor(d time.Duration, perSecond float64, r *rand.Rand, l *requestLog, choose func() int) {
	client := &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var requests sync.WaitGroup
	for next, end := time.Now(), time.Now().Add(d); next.Before(end); {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		req, n := stormRequests[r.IntN(len(stormRequests))], choose()
		req.id = l.nextID()
		requests.Go(func() { l.record(req, send(client, env.gateways[n].address, req), false) })
	}
	requests.Wait()
}

// servedBetween returns the share of the requests sent between two times that were served, of
// those that a gateway answered, and the longest time that a served one took.
func (l *requestLog) servedBetween(begin, end time.Time) (share float64, slowest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, all := 0, 0
	for _, got := range l.outcomes {
		if got.sent.Before(begin) || !got.sent.Before(end) {
			continue
		}
		all++
		if got.status == http.StatusOK && got.err == nil {
			served++
			slowest = max(slowest, got.took)
		}
	}
	return float64(served) / float64(max(1, all)), slowest
}
