package soakproc

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// lossSlack is the time after its last byte within which the connection of a request that
	// was not passed on may be closed without an answer.
	lossSlack = 200 * time.Millisecond
	// longSent is the latest time after SIGTERM for requests that the end of the process may
	// cut, if their server still worked in the last lateShare-th of the grace period.
	longSent  = 3 * time.Second
	lateShare = 6
	// maxLogLines limits the log lines that a violation quotes.
	maxLogLines = 6
)

// StopEndings counts how requests ended, by the second of the stop in which they began; -1 has
// those that began outside of a stop.
type StopEndings map[int]map[string]int

// The endings.
const (
	endingServed   = "200"
	endingRejected = "503"
	endingFailed   = "other answer"
	endingCut      = "cut"
	endingClosed   = "closed, not passed on"
	endingRefused  = "no connection"
)

// StopEndingNames has the endings in the order of a table.
var StopEndingNames = []string{endingServed, endingRejected, endingFailed, endingCut, endingClosed, endingRefused}

func (s *stops) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// stopAt returns the stop in which a gateway was at a time.
func (s *stops) stopAt(g *gateway, t time.Time) (stopOf, bool) {
	return lo.Find(s.done, func(d stopOf) bool { return d.gateway == g && !t.Before(d.began) && t.Before(d.ended) })
}

// endings counts the endings of all requests.
func (s *stops) endings(calls []*stopCall) StopEndings {
	counts := StopEndings{}
	passedOn := s.env.passedOn()
	for _, c := range calls {
		second := -1
		if d, ok := s.stopAt(c.gateway, c.began); ok {
			second = int(c.began.Sub(d.began) / time.Second)
		}
		if counts[second] == nil {
			counts[second] = map[string]int{}
		}
		counts[second][c.ending(passedOn[c.id])]++
	}
	return counts
}

// ending returns how the request ended.
func (c *stopCall) ending(passedOn bool) string {
	switch {
	case c.refused:
		return endingRefused
	case !c.whole() && passedOn:
		return endingCut
	case !c.whole():
		return endingClosed
	case c.status == http.StatusOK:
		return endingServed
	case c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests:
		return endingRejected
	default:
		return endingFailed
	}
}

// passedOn returns the requests that were passed on to a server, also for their prompt only.
func (env *environment) passedOn() map[string]bool {
	ids := map[string]bool{}
	for _, service := range []string{plainService, modelService} {
		for _, a := range env.arrivals(service) {
			ids[a.id] = true
		}
	}
	return ids
}

// spells returns the spells of each request.
func (s *stops) spells() map[string][]runner.Spell {
	byID := map[string][]runner.Spell{}
	for _, b := range s.env.servers {
		for _, spell := range b.Spells() {
			byID[spell.ID] = append(byID[spell.ID], spell)
		}
	}
	return byID
}

// check checks what callers got against what servers ran, and returns the excused requests by
// reason.
func (s *stops) check(calls []*stopCall) (excused map[string]int) {
	excused = map[string]int{}
	runs := map[string]int{}
	for _, b := range s.env.servers {
		for _, run := range b.Runs() {
			runs[run.ID]++
		}
	}
	passedOn, spells := s.env.passedOn(), s.spells()
	for _, c := range calls {
		if c.route.once() && runs[c.id] > 1 {
			s.addViolation("%s ran %d times, at most 1 is allowed%s", s.describe(c), runs[c.id], s.logLines(c))
		}
		if rejected := c.ending(passedOn[c.id]) == endingRejected; rejected && c.route.once() && runs[c.id] > 0 {
			s.addViolation("%s was rejected as not run, but ran%s", s.describe(c), s.logLines(c))
		}
		if c.whole() && c.status == http.StatusOK && c.body != c.expected() {
			s.addViolation("%s got the wrong answer: %q%s", s.describe(c), c.body, s.logLines(c))
		}
		if c.whole() || c.refused {
			continue
		}
		violation, excuse := s.judge(c, passedOn[c.id], spells[c.id])
		if violation != "" {
			s.addViolation("%s %s%s", s.describe(c), violation, s.logLines(c))
			continue
		}
		excused[excuse]++
	}
	return excused
}

// judge decides about a request without a whole answer. It returns how that violates the
// guarantees, or what excuses it.
func (s *stops) judge(c *stopCall, passedOn bool, spells []runner.Spell) (violation, excuse string) {
	allowed := s.timeouts[c.route.name].within(c.timeout, c.began, configApply+maxStoreAway)
	switch {
	case c.givenUp():
		return fmt.Sprintf("was not ended %v after the caller's deadline", overdue), ""
	case c.sent.IsZero():
		return "", "request not complete"
	case c.ended.Sub(c.began) >= allowed:
		return "", "timeout reached"
	case lo.SomeBy(spells, func(spell runner.Spell) bool { return s.longWork(c, spell) }):
		return "", "server at work at the end of the grace period"
	case passedOn:
		return "was passed on and ended without a whole answer", ""
	case c.ended.Sub(c.sent) > lossSlack:
		return "was not passed on and ended without an answer", ""
	default:
		return "", "crossed the close"
	}
}

// longWork reports whether the server still worked in the last part of a grace period on a
// request that was sent before or early in the stop.
func (s *stops) longWork(c *stopCall, spell runner.Spell) bool {
	return lo.SomeBy(s.done, func(d stopOf) bool {
		late := d.began.Add(gracePeriod - gracePeriod/lateShare)
		return d.gateway == c.gateway && !c.sent.After(d.began.Add(longSent)) && !c.ended.Before(late) &&
			spell.Began.Before(d.began.Add(gracePeriod)) && !spell.Ended.Before(late)
	})
}

// describe describes a request and its stop.
func (s *stops) describe(c *stopCall) string {
	stop := "outside of a stop"
	if d, ok := s.stopAt(c.gateway, c.ended.Add(-lossSlack)); ok {
		stop = fmt.Sprintf("sent %v and ended %v after SIGTERM (the process was gone after %v)",
			c.sent.Sub(d.began).Truncate(time.Millisecond), c.ended.Sub(d.began).Truncate(time.Millisecond), d.ended.Sub(d.began).Truncate(time.Millisecond))
	}
	return fmt.Sprintf("%s %s %s at %s, took %v of %v, work %v, status %d (%v), standstill %v, %s:", c.route.method, c.route.name, c.id, c.gateway.process.Name,
		c.ended.Sub(c.began).Truncate(time.Millisecond), c.timeout, c.work.Truncate(time.Millisecond), c.status, c.err,
		s.still.longest(c.began.Add(-contact), c.ended), stop)
}

// logLines returns the lines that the gateway logged about a request.
func (s *stops) logLines(c *stopCall) string {
	data, err := os.ReadFile(c.gateway.process.Log())
	if err != nil {
		return "\n    " + err.Error()
	}
	var b strings.Builder
	id := fmt.Appendf(nil, "%q", c.id)
	lines := lo.Filter(bytes.Split(data, []byte("\n")), func(line []byte, _ int) bool { return bytes.Contains(line, id) })
	for _, line := range lines[:min(len(lines), maxLogLines)] {
		fmt.Fprintf(&b, "\n    %s", line)
	}
	return b.String()
}
