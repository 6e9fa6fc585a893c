package soakproc

import (
	"math/rand/v2"
	"strconv"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// restAsked is the rest that a server asks for in the calm phase.
	restAsked = 1500 * time.Millisecond
	// maxRestFault is the longest rest that a server asks for as a random fault.
	maxRestFault = 2 * time.Second
	// restReaction is how long after it has asked a gateway for rest a server may still get
	// requests from it, and maxWhileResting how many later.
	restReaction    = 500 * time.Millisecond
	maxWhileResting = 2
)

// leavingFault makes a server say in all its answers that it is leaving, and then
// restarts it.
func leavingFault(env *environment, r *rand.Rand) func() {
	s := env.randomServer(r)
	if !s.drainedAt.IsZero() {
		return nil
	}
	s.SetLeaving(runner.EveryAnswer)
	return func() {
		s.Restart()
		env.register(s, "ready")
	}
}

// restFault makes a server reject all requests and ask for a random rest.
func restFault(env *environment, r *rand.Rand) func() {
	s := env.randomServer(r)
	s.SetRest(retryAfter(time.Duration(r.Int64N(int64(maxRestFault)))))
	return func() { s.SetRest("") }
}

func retryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

// setNotices makes one decode engine say that it is leaving and another ask for rest for
// the remainder of the run; a third one is left. The returned function checks the requests
// that they got from each gateway.
func (env *environment) setNotices(l *requestLog) (check func()) {
	leaving, resting := env.servers[2], env.servers[3]
	leaving.SetLeaving(runner.EveryAnswer)
	resting.SetRest(retryAfter(restAsked))
	from := time.Now()
	return func() {
		l.checkLeaving(leaving, from)
		l.checkResting(resting, from)
	}
}

// checkLeaving checks that no gateway sent requests to a server later than drainTimeout
// after the server had told it that it is leaving.
func (l *requestLog) checkLeaving(s *server, from time.Time) {
	for _, said := range l.firstStatements(s, from) {
		late := l.arrivalsBetween(s, said, said.At.Add(drainTimeout), time.Now())
		if late > 0 {
			l.addViolation("%s got %d requests from %s later than %v after it had told it that it is leaving", s.ID, late, l.sender(said.ID), drainTimeout)
		}
	}
}

// firstStatements returns the first statement of each start of the server to each gateway.
func (l *requestLog) firstStatements(s *server, from time.Time) []runner.Statement {
	type receiver struct {
		gateway string
		start   int64
	}
	seen := map[receiver]bool{}
	var first []runner.Statement
	for _, said := range s.Statements() {
		to := receiver{gateway: l.sender(said.ID), start: said.StartMS}
		if said.At.Before(from) || to.gateway == "" || seen[to] {
			continue
		}
		seen[to] = true
		first = append(first, said)
	}
	return first
}

// checkResting checks that gateways leave a server alone for as long as it has asked them.
func (l *requestLog) checkResting(s *server, from time.Time) {
	for _, said := range s.Statements() {
		if said.At.Before(from) || l.sender(said.ID) == "" {
			continue
		}
		if got := l.arrivalsBetween(s, said, said.At.Add(restReaction), said.At.Add(restAsked)); got > maxWhileResting {
			l.addViolation("%s asked %s for %v of rest and got %d requests later than %v after that, at most %d are allowed",
				s.ID, l.sender(said.ID), restAsked, got, restReaction, maxWhileResting)
		}
	}
}

// arrivalsBetween counts the requests between two times from the gateway that got a
// statement to the start of the server that made it.
func (l *requestLog) arrivalsBetween(s *server, said runner.Statement, from, to time.Time) int {
	n := 0
	for _, a := range s.Arrivals() {
		if a.StartMS == said.StartMS && a.At.After(from) && a.At.Before(to) && l.sender(a.ID) == l.sender(said.ID) {
			n++
		}
	}
	return n
}

// sender returns the gateway that a request was sent to, empty if it is unknown.
func (l *requestLog) sender(id string) string {
	name, ok := l.gatewayOf.Load(id)
	if !ok {
		return ""
	}
	return name.(string)
}
