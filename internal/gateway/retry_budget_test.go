package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

func newTestBudgets(share, slack float64) *retryBudgets {
	b := newRetryBudgets(-time.Minute)
	b.bounds = func() deployment.Bounds {
		return deployment.Bounds{RetryShare: share, RetrySlack: slack, RetryWindow: 10 * time.Second}
	}
	b.gateways = func() int { return 1 }
	return b
}

// budgetLine is called with the fields of each log line of a retry budget.
var budgetLine atomic.Pointer[func(log.Fields)]

// The handler is set before any goroutine logs.
func init() {
	next := log.Log.(*log.Logger).Handler
	log.SetHandler(log.HandlerFunc(func(line *log.Entry) error {
		if f := budgetLine.Load(); f != nil && line.Message == "retry budget" {
			(*f)(line.Fields)
		}
		return next.HandleLog(line)
	}))
}

// Guards against a log that a retry storm floods, and against refusals that no line or
// metric counts.
func TestDecisionsOfTheRetryBudgetAreLoggedOnceASecond(t *testing.T) {
	var lines []log.Fields
	record := func(fields log.Fields) {
		if fields["service"] == "s" {
			lines = append(lines, fields)
		}
	}
	budgetLine.Store(&record)
	t.Cleanup(func() { budgetLine.Store(nil) })

	b := newTestBudgets(0, 10)
	for ms := range 2_500 {
		b.now = func() time.Duration { return time.Duration(ms) * time.Millisecond }
		b.hold("s", sendAttempt)
	}
	if len(lines) != 3 {
		t.Fatalf("%d lines, want 3", len(lines))
	}
	allowed, refused := 0, 0
	for _, fields := range lines {
		allowed += fields["sends_allowed"].(int)
		refused += fields["sends_refused"].(int)
	}
	if allowed != 9 || refused != 2_001-9 {
		t.Errorf("%d allowed and %d refused decisions until the last line, want 9 and 1992", allowed, refused)
	}
	if s := b.service("s"); s.allowed.Count() != 9 || s.refused.Count() != 2_500-9 {
		t.Errorf("metrics count %d allowed and %d refused, want 9 and 2491", s.allowed.Count(), s.refused.Count())
	}
}

// Guards against a window that a step of the time of day empties. The clock of the bubble
// steps, the clock that is never set does not.
func TestStepOfTheTimeOfDayDoesNotRenewTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{retryBudgets: newTestBudgets(0, 10)}
		spend := func() (spent int) {
			for range 20 {
				c := &call{gateway: g, service: routes.Service{Name: "step"}}
				if c.holdRetries(sendAttempt, 1) {
					spent++
				}
			}
			return spent
		}
		first := spend()
		time.Sleep(12 * time.Second)
		if second := spend(); first != 9 || second != 0 {
			t.Errorf("%d extra attempts before and %d after the step, want 9 and none", first, second)
		}
	})
}

// Guards against extra attempts in another window than the one in which they were allowed:
// hedges are allowed one, search for seconds and then send it.
func TestRetryThatIsMadeLateCountsWhenItIsMade(t *testing.T) {
	const slack = 10
	b := newTestBudgets(0, slack)
	g := &Gateway{retryBudgets: b}
	at := func(d time.Duration) { b.now = func() time.Duration { return d } }
	begin := func() *call {
		c := &call{gateway: g, service: routes.Service{Name: "late"}}
		c.arrivals.Begin(retry.Send)
		if !c.holdRetries(sendAttempt, c.arrivals.ExtraAfterSend()) {
			return nil
		}
		return c
	}
	at(0)
	var calls []*call
	for c := begin(); c != nil; c = begin() {
		calls = append(calls, c)
	}
	at(8 * time.Second)
	for _, c := range calls {
		c.arrivals.Begin(retry.Send)
		c.endArrival(backend.Server{}, retry.Send, nil, false)
		c.endArrival(backend.Server{}, retry.Send, nil, false)
		c.settleRetries()
	}
	late := len(calls)
	at(12 * time.Second)
	for c := begin(); c != nil; c = begin() {
		late++
	}
	if late > slack {
		t.Errorf("%d extra attempts from 8 to 12 s, %d are allowed in 10 s", late, slack)
	}
}

// Guards against a budget that attempts use up without reaching a server: connections are
// refused.
func TestAttemptsThatAreNotSentCostNoRetryBudget(t *testing.T) {
	b := newTestBudgets(0, 10)
	for range 100 {
		c := &call{gateway: &Gateway{retryBudgets: b}, service: routes.Service{Name: "refused"}}
		c.arrivals.Begin(retry.Send)
		c.endArrival(backend.Server{}, retry.Send, nil, false)
		for range 3 {
			if !c.holdRetries(sendAttempt, c.arrivals.ExtraAfterSend()) {
				t.Fatal("no budget is left")
			}
			c.arrivals.Begin(retry.Send)
			c.endArrival(backend.Server{}, retry.Send, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "connect"), false)
		}
		c.settleRetries()
	}
	if d := b.dump(); d[0].Extra != 0 || d[0].Held != 0 {
		t.Errorf("budget %+v, want nothing spent and nothing held", d[0])
	}
}

// Guards against a retry budget that keeps the bounds of the settings before a reload.
func TestReloadedBoundsLimitRetries(t *testing.T) {
	b := newTestBudgets(0, 100)
	spend := func() (spent int) {
		for b.hold("reloaded", sendAttempt) {
			b.spend("reloaded")
			spent++
		}
		return spent
	}
	b.countRequest("reloaded")
	b.bounds = func() deployment.Bounds { return deployment.Bounds{RetrySlack: 10, RetryWindow: 10 * time.Second} }
	if spent := spend(); spent != 0 {
		t.Errorf("%d extra attempts within a window after the reload, want none: earlier ones are not counted any more", spent)
	}
	later := b.now() + 11*time.Second
	b.now = func() time.Duration { return later }
	if spent := spend(); spent != 9 {
		t.Errorf("%d extra attempts, want 9 of 10", spent)
	}
}

// Guards against the slack spent once more by each process that is started again.
func TestProcessThatStartsHasNoRetrySlack(t *testing.T) {
	d := deployment.Deployment{Bounds: deployment.Bounds{RetrySlack: 108, RetryWindow: 10 * time.Second}}
	g := New(Config{Deployment: d, Directory: directory.New(nil, nil, directory.Kinds{})})
	for range 10 {
		if g.retryBudgets.hold("started", sendAttempt) {
			t.Error("an extra attempt is allowed, an earlier process may have used the slack")
		}
	}
}

// Guards against a part of the budget that is spent again while a link still holds the attempt
// back that it pays for: its server has not answered since.
func TestUnansweredAttemptsHoldTheirPartsUntilTheirServerAnswers(t *testing.T) {
	const slack = 10
	b := newTestBudgets(0, slack)
	g := &Gateway{retryBudgets: b}
	at := func(d time.Duration) { b.now = func() time.Duration { return d } }
	silent, sound := backend.Server{ID: "silent", Address: "127.0.0.1:1"}, backend.Server{ID: "sound", Address: "127.0.0.1:2"}
	givenUp := verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "read: use of closed network connection")
	givenUp.Unanswered = true
	hedge := func() bool {
		c := &call{gateway: g, service: routes.Service{Name: "held"}}
		c.arrivals.Begin(retry.Send)
		if !c.holdRetries(sendAttempt, c.arrivals.ExtraAfterSend()) {
			return false
		}
		c.arrivals.Begin(retry.Send)
		c.endArrival(silent, retry.Send, givenUp, false)
		c.endArrival(sound, retry.Send, nil, false)
		c.settleRetries()
		return true
	}
	hedges := func() (n int) {
		for hedge() {
			n++
		}
		return n
	}
	at(0)
	if n := hedges(); n != 9 {
		t.Fatalf("%d hedges, want 9 of 10", n)
	}
	at(11 * time.Second)
	b.observe(direct.ResponseInfo{Server: sound, Sent: time.Now()})
	if n := hedges(); n != 0 {
		t.Errorf("%d hedges while the link to the server is silent, want none", n)
	}
	b.observe(direct.ResponseInfo{Server: silent, Sent: time.Now()})
	at(20 * time.Second)
	if n := hedges(); n != 0 {
		t.Errorf("%d hedges within a window after the server has answered, want none", n)
	}
	at(22 * time.Second)
	if n := hedges(); n != 9 {
		t.Errorf("%d hedges in the next window, want 9", n)
	}
}

// Guards against requests that pay for retries in another window than the one in which they
// were sent: they lay in sockets while the gateway stood still.
func TestRequestsSentDuringAStandstillPayForNoRetries(t *testing.T) {
	b := newTestBudgets(0.2, 0)
	g := &Gateway{retryBudgets: b}
	at := func(d time.Duration) { b.now = func() time.Duration { return d } }
	serve := func(requests int) (retries int) {
		for range requests {
			b.countRequest("stood")
			if b.hold("stood", sendAttempt) {
				b.spend("stood")
				retries++
			}
		}
		return retries
	}
	for d := time.Second; d < 11*time.Second; d += ClockInterval {
		at(d)
		g.ObserveClock(time.Time{})
	}
	at(17 * time.Second)
	if retries := serve(100); retries > 0 {
		t.Errorf("%d retries paid by requests that were read after a standstill of 6 s, want none", retries)
	}
	for d := 17 * time.Second; d < 19*time.Second; d += ClockInterval {
		at(d)
		g.ObserveClock(time.Time{})
	}
	if retries := serve(100); retries != 16 {
		t.Errorf("%d retries paid by 100 later requests, want one for each six", retries)
	}
}
