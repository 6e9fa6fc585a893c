package soakproc

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// firstVersion and secondVersion are the software versions of the engines.
	firstVersion  = "v1"
	secondVersion = "v2"
	// maxTakeUps limits how often a caller takes up one stream.
	maxTakeUps = 3
)

// streamFaults end streams in ways that only their events show.
var streamFaults = []fault{
	{name: "server breaks off unframed streams", begin: streamEndFault(runner.WithinEvent)},
	{name: "server ends unframed streams before an event", begin: streamEndFault(runner.BeforeFirstEvent)},
	{name: "server resets unframed streams", begin: streamEndFault(runner.ResetWithinEvent)},
	{name: "server frames no stream", begin: streamEndFault(runner.AfterLastEvent)},
	{name: "second version released", begin: releaseFault},
}

func streamEndFault(end runner.StreamEnd) func(*environment, *rand.Rand) func() {
	return func(env *environment, r *rand.Rand) func() {
		s := env.randomServer(r)
		s.SetStreamEnd(end)
		return func() { s.SetStreamEnd(runner.Framed) }
	}
}

// releaseFault registers the engines of the second version and one by one drains those of
// the first, as a release does, and then reverts it.
func releaseFault(env *environment, _ *rand.Rand) func() {
	first, second := env.ofVersion(firstVersion), env.ofVersion(secondVersion)
	if len(env.released) > 0 {
		return nil
	}
	env.released = second
	for _, s := range second {
		env.register(s, "ready")
	}
	drained := first[0]
	if drained.drainedAt.IsZero() {
		env.register(drained, "draining")
	}
	return func() {
		env.readyAgain(drained)
		for _, s := range second {
			env.remove("servers", s.ID)
		}
		env.released = nil
	}
}

// ofVersion returns the decode engines of a version.
func (env *environment) ofVersion(version string) (engines []*server) {
	for _, s := range env.servers {
		if s.service == modelService && s.Version == version && s.decodes {
			engines = append(engines, s)
		}
	}
	return engines
}

// takeUps sends the rest of a stream that was broken off to other gateways, as callers do,
// until it is complete, is rejected for good or has been taken up maxTakeUps times.
func (env *environment) takeUps(l *requestLog, client *http.Client, begun request, got outcome, at int) {
	last, delivered := begun, eventsOf(begun, got)
	begunBy := ""
	for n := range maxTakeUps {
		if got.err == nil && got.status == http.StatusOK {
			return
		}
		if delivered > last.after && begunBy == "" {
			begunBy = last.id
		}
		if begunBy == "" {
			return
		}
		g := env.gateways[(at+1+n)%len(env.gateways)]
		next := request{method: begun.method, target: begun.target, kind: "again", id: l.nextID(), after: delivered, resumes: begunBy}
		l.gatewayOf.Store(next.id, g.process.Name)
		got = send(client, g.address, next)
		l.record(next, got, false)
		l.countTakeUp(got)
		last, delivered = next, max(delivered, eventsOf(next, got))
	}
}

// eventsOf returns the number of the last whole event that a caller has of a stream.
func eventsOf(req request, got outcome) int {
	if got.status != http.StatusOK {
		return req.after
	}
	return req.after + strings.Count(got.body, "\n\n")
}

// setResumption sets the headers of a request that takes up a stream.
func (r request) setResumption(h http.Header) {
	if r.resumes != "" {
		h.Set("Last-Event-Id", strconv.Itoa(r.after))
		h.Set("Resumes", r.resumes)
	}
}

// checkVersions checks that streams went on only at software versions at which they began.
func (l *requestLog) checkVersions(env *environment) {
	type versions map[string]bool
	began, wentOn := map[string]versions{}, map[string]versions{}
	add := func(m map[string]versions, stream, version string) {
		if m[stream] == nil {
			m[stream] = versions{}
		}
		m[stream][version] = true
	}
	for _, s := range env.servers {
		for _, run := range s.Runs() {
			stream := run.ID
			if resumes := l.sent[run.ID].resumes; resumes != "" {
				stream = resumes
			}
			if run.LastEventID == "" {
				add(began, stream, s.Version)
				continue
			}
			add(wentOn, stream, s.Version)
		}
	}
	for stream, at := range wentOn {
		for version := range at {
			if !began[stream][version] {
				l.addViolation("stream %s began at version %v and went on at %s", stream, began[stream], version)
			}
		}
	}
}
