package soakproc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Storm is a play of a retry storm: all servers shed most requests, next to what makes
// gateways lose count of the retries.
type Storm struct {
	Name string
	// PerSecond is the rate of requests, half of them for each service.
	PerSecond float64
	// Share and Slack are the retry budget of each service.
	Share float64
	Slack int
	// Bootstrap is in the settings files, which are written once.
	Bootstrap bool
	// FirstAlone makes the first gateway lose the store before the others start, after it has
	// run for AloneFor.
	FirstAlone bool
	AloneFor   time.Duration
	// Held is for how long the links of most servers hold all bytes back before the servers
	// shed, 0 for not at all.
	Held time.Duration
	// ClosedWhileHeld makes the links close the connections to the gateways every
	// stormCloseInterval meanwhile, as a middlebox with a short time-out does. What they hold
	// still arrives.
	ClosedWhileHeld bool
	// Kills is how often all gateways are killed and started again while the servers shed.
	// With KilledWhileHeld, they are also killed in the middle of the time for which links are
	// held, so that processes which know nothing of the held requests have run for a window
	// before the storm ends.
	Kills           int
	KilledWhileHeld bool
	// Paused is for how long PausedGateways stand still before the servers shed, 0 for not at
	// all.
	Paused         time.Duration
	PausedGateways int
	// Rounds is the number of storms.
	Rounds int
}

const (
	// stormLead is how long the gateways serve before the first storm: longer than a window
	// of the retry budget, so that no process has just started.
	stormLead = 11 * time.Second
	// stormDuration is how long the servers shed, and stormPause the time until the next
	// storm.
	stormDuration = 9 * time.Second
	stormPause    = 2 * time.Second
	// stormKillDelay is the time from the beginning of a storm to the first kill, and
	// stormKillInterval the time between two kills.
	stormKillDelay     = 1500 * time.Millisecond
	stormKillInterval  = 3500 * time.Millisecond
	stormCloseInterval = 500 * time.Millisecond
	// stormRounds is the number of storms of a play.
	stormRounds = 2
	// stormConns limits the connections of a caller.
	stormConns = 200
)

// StormReport is the result of a storm.
type StormReport struct {
	Storm Storm
	Seed  uint64
	// Used is the largest fraction of the retry budget that a window used, by service.
	Used map[string]float64
	// Answers counts the answers by status.
	Answers map[int]int
	// BeyondAttempts counts the requests that ran at more servers than their route allows,
	// and LateDeadlines those that arrived again over lateArrival later with a deadline
	// over lateArrival after the caller's, LateArrivals all that arrived again so late.
	BeyondAttempts, LateDeadlines, LateArrivals int
	Violations                                  []string
}

// RunStorm plays a storm. The programs are in bin; logs and settings are written to dir. The
// error is one of the set-up.
func RunStorm(s Storm, seed uint64, bin, dir string) (StormReport, error) {
	report := StormReport{Storm: s, Seed: seed}
	env, err := startWith(seed, bin, dir, options{budget: retryBudget{share: s.Share, slack: s.Slack}, bootstrap: s.Bootstrap, firstAlone: s.FirstAlone, aloneFor: s.AloneFor})
	defer env.stop()
	if err != nil {
		return report, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	for _, g := range env.gateways {
		if err := g.process.WaitReady(ctx); err != nil {
			return report, err
		}
	}
	l := newRequestLog()
	stop := env.startLoad(ctx, s.PerSecond, seed, l)
	time.Sleep(stormLead)
	for range s.Rounds {
		env.storm(s)
	}
	stop()
	report.Used = env.checkRetryBudgets(l)
	env.checkHandedTime(l)
	env.checkAttempts(l)
	report.Answers, report.Violations = l.statuses, l.violations
	report.LateDeadlines, report.LateArrivals = env.lateDeadlines(l)
	report.BeyondAttempts = len(env.beyondAttempts(l))
	return report, nil
}

// storm makes the servers shed for a while.
func (env *environment) storm(s Storm) {
	env.hold(s)
	resume := env.pause(s)
	env.setFault(runner.SheddingMost)
	resume()
	ended := time.After(stormDuration)
	time.Sleep(stormKillDelay)
	for range s.Kills {
		env.restartAll()
		time.Sleep(stormKillInterval)
	}
	<-ended
	env.setFault(runner.Healthy)
	time.Sleep(stormPause)
}

// hold makes the links of most servers of each service hold all bytes back for a while.
func (env *environment) hold(s Storm) {
	if s.Held == 0 {
		return
	}
	spared := map[string]bool{}
	for _, server := range env.servers {
		// One server of each service and role goes on.
		if role := server.service + server.Phase; spared[role] {
			server.proxy.Set(faultproxy.Mode{Hold: true})
		} else {
			spared[role] = true
		}
	}
	stopClosing := noop
	if s.ClosedWhileHeld {
		stopClosing = env.keepClosing()
	}
	time.Sleep(s.Held / 2)
	if s.KilledWhileHeld {
		env.restartAll()
	}
	time.Sleep(s.Held / 2)
	stopClosing()
	for _, server := range env.servers {
		server.proxy.Set(faultproxy.Mode{})
	}
}

// keepClosing has the links to servers close the connections to the gateways every
// stormCloseInterval, until the returned function is called.
func (env *environment) keepClosing() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var closing sync.WaitGroup
	closing.Go(func() {
		for wait(ctx, stormCloseInterval) {
			for _, server := range env.servers {
				server.proxy.CloseClients()
			}
		}
	})
	return func() {
		cancel()
		closing.Wait()
	}
}

// pause makes some gateways stand still for a while. The returned function ends that.
func (env *environment) pause(s Storm) (resume func()) {
	if s.Paused == 0 {
		return noop
	}
	for _, g := range env.gateways[:s.PausedGateways] {
		g.process.Pause()
	}
	time.Sleep(s.Paused)
	return func() {
		for _, g := range env.gateways[:s.PausedGateways] {
			g.process.Resume()
		}
	}
}

// restartAll kills all gateways and starts them again.
func (env *environment) restartAll() {
	for _, g := range env.gateways {
		g.process.Kill()
	}
	for _, g := range env.gateways {
		_ = g.process.Restart()
	}
}

func (env *environment) setFault(f runner.Fault) {
	for _, s := range env.servers {
		s.SetFault(f)
	}
}

// stormRequests are the requests of a storm, of which each may be sent to two servers.
var stormRequests = []request{
	{method: "GET", target: "/read/1", kind: "read"},
	{method: "POST", target: "/stream-again/1", kind: "again"},
}

// startLoad sends requests at a rate, whatever becomes of them, until the returned function
// is called.
func (env *environment) startLoad(ctx context.Context, perSecond float64, seed uint64, l *requestLog) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var clients []*http.Client
	for range env.gateways {
		clients = append(clients, &http.Client{
			Timeout:   callerTimeout + time.Second,
			Transport: &http.Transport{MaxConnsPerHost: stormConns, MaxIdleConnsPerHost: stormConns, DisableCompression: true},
		})
	}
	var requests sync.WaitGroup
	requests.Go(func() {
		r := rand.New(rand.NewPCG(seed, 2))
		next := time.Now()
		for wait(ctx, time.Until(next)) {
			next = next.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
			req, n := stormRequests[r.IntN(len(stormRequests))], r.IntN(len(env.gateways))
			req.id = l.nextID()
			requests.Go(func() { l.record(req, send(clients[n], env.gateways[n].address, req), false) })
		}
	})
	return func() {
		cancel()
		requests.Wait()
	}
}

// String returns one line on the storm.
func (r StormReport) String() string {
	return fmt.Sprintf("%s, seed %d: retry budget used %.2f (%s) and %.2f (%s), answers %v, %d beyond the attempts, %d of %d late arrivals past the deadline",
		r.Storm.Name, r.Seed, r.Used[plainService], plainService, r.Used[modelService], modelService, r.Answers, r.BeyondAttempts, r.LateDeadlines, r.LateArrivals)
}

// The budgets of storms.
var (
	tinyBudget  = retryBudget{share: 0.002, slack: 20}
	smallBudget = retryBudget{share: 0.05, slack: 20}
	largeBudget = retryBudget{share: 0.2, slack: 108}
)

// Storms are all plays.
var Storms = storms()

func storms() (all []Storm) {
	add := func(kind string, perSecond float64, b retryBudget, s Storm) {
		s.Name = fmt.Sprintf("%s, %.0f requests/s, %v and %d", kind, perSecond, b.share, b.slack)
		s.PerSecond, s.Share, s.Slack, s.Rounds = perSecond, b.share, b.slack, stormRounds
		all = append(all, s)
	}
	for _, load := range []struct {
		perSecond float64
		budget    retryBudget
	}{{120, largeBudget}, {120, smallBudget}, {120, tinyBudget}, {700, tinyBudget}, {700, largeBudget}} {
		add("rejections alone", load.perSecond, load.budget, Storm{})
		add("restarts", load.perSecond, load.budget, Storm{Kills: 2})
		add("restarts as at a first start", load.perSecond, load.budget, Storm{Kills: 2, Bootstrap: true})
		add("first gateway alone", load.perSecond, load.budget, Storm{FirstAlone: true})
		add("gateways join one without the store", load.perSecond, load.budget, Storm{FirstAlone: true, AloneFor: 8 * time.Second})
		add("gateways paused 14 s", load.perSecond, load.budget, Storm{Paused: 14 * time.Second, PausedGateways: 3})
		add("gateways paused 30 s", load.perSecond, load.budget, Storm{Paused: 30 * time.Second, PausedGateways: 3})
		add("all gateways paused 6 s", load.perSecond, load.budget, Storm{Paused: 6 * time.Second, PausedGateways: gatewayCount})
		add("held 4 s", load.perSecond, load.budget, Storm{Held: 4 * time.Second})
		add("held 8 s", load.perSecond, load.budget, Storm{Held: 8 * time.Second})
		add("closed while held 8 s", load.perSecond, load.budget, Storm{Held: 8 * time.Second, ClosedWhileHeld: true})
		add("killed while held 8 s", load.perSecond, load.budget, Storm{Held: 8 * time.Second, KilledWhileHeld: true})
	}
	return all
}
