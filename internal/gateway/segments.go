package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// maxReannouncedCrashes limits the crashes that are announced again at a time.
const maxReannouncedCrashes = 2

// sharedSegments returns the IDs of the prompt's segments that other prompts may have, none for a
// request to a plain service.
func (c *call) sharedSegments() []quarantine.Segment {
	if c.cachedSegments == nil && c.usesEngines() {
		for _, s := range c.request.Prompt.Shared() {
			c.cachedSegments = append(c.cachedSegments, s.ID)
		}
	}
	return c.cachedSegments
}

// checkSegments returns an error if the prompt has segments that crash engines. It updates
// segmentsSuspected.
func (c *call) checkSegments() *verdict.Error {
	segments := c.sharedSegments()
	if len(segments) == 0 {
		return nil
	}
	t := c.gateway.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	c.segmentsSuspected = t.segments.Suspected(segments)
	b, blamed := t.segments.Blamed(now, segments)
	if !blamed || c.isTrial(now, b) {
		return nil
	}
	return verdict.NewRejection(verdict.CodeQuarantined, "servers ended under prompts with the segments "+blameNames(b)+": "+crashNames(now, b), b.RetryAfter(now))
}

// isTrial reports whether the prompt is sent, to one server, though a set of segments is blamed.
// t.mu must be held.
func (c *call) isTrial(now time.Time, b quarantine.Blame) bool {
	t := c.gateway.terminations
	name := blameNames(b)
	if c.trialOf == name {
		return c.possibleRuns == 0
	}
	round, due := b.TrialRound(now)
	if !due || t.trials[name] == round || !t.segments.MayTry(c.sharedSegments(), b) {
		return false
	}
	if rank := t.gossip.RankFor(name, round); rank.Total == 0 || rank.Position != 0 {
		return false
	}
	t.trials[name], c.trialOf = round, name
	log.WithFields(log.Fields{"request": c.id, "segments": name, "crashes": len(b.Crashes)}).Info("prompt sent as a trial of quarantined segments")
	return true
}

// suspected reports whether a server terminated while it ran the request, or prompts with a
// segment that none has completed with. At two servers, it could terminate both.
func (c *call) suspected() bool { return c.quarantineStatus.Suspected() || c.segmentsSuspected }

// completeSegments records that the prompt completed, which clears its segments.
func (c *call) completeSegments(reply *direct.Reply) {
	if segments := c.sharedSegments(); len(segments) > 0 && completes(reply) {
		c.gateway.terminations.completeSegments(segments)
	}
}

// completeSegments records that a prompt with the segments completed, and announces those that
// it clears.
func (t *terminations) completeSegments(segments []quarantine.Segment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	cleared := t.segments.Complete(now, segments)
	if len(cleared) == 0 {
		return
	}
	t.logBlames()
	t.gossip.AnnounceCrash(quarantine.Crash{ObservedAt: now, Reused: cleared})
}

// addCrash records that a server terminated while it ran prompts with the segments of attempts,
// and announces it.
func (t *terminations) addCrash(s backend.Server, at time.Time, attempts []*endedAttempt) {
	segments := lo.Uniq(slices.Concat(lo.Map(attempts, func(a *endedAttempt, _ int) []quarantine.Segment { return a.segments })...))
	if len(segments) == 0 {
		return
	}
	crash := quarantine.Crash{Instance: s.Instance(), ObservedAt: at}
	crash.Fresh, crash.Reused = t.segments.Split(segments)
	t.segments.Add(time.Now(), crash)
	t.logBlames()
	t.gossip.AnnounceCrash(crash)
}

// RemoteCrash adds a crash, or a completion, that another gateway announced.
func (g *Gateway) RemoteCrash(c quarantine.Crash) {
	t := g.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.segments.Add(time.Now(), c) {
		t.logBlames()
	}
}

// logBlames logs which sets of segments are blamed since the last call, and which are no more.
// t.mu must be held.
func (t *terminations) logBlames() {
	now := time.Now()
	blames := lo.KeyBy(t.segments.Blames(), blameNames)
	for name, b := range blames {
		if _, ok := t.blamed[name]; !ok {
			log.WithFields(log.Fields{"segments": name, "crashes": crashNames(now, b), "reused": b.Reused, "restored": b.Restored}).
				Info("prompt segments quarantined")
		}
	}
	for name := range t.blamed {
		if _, ok := blames[name]; !ok {
			log.WithField("segments", name).Info("prompt segments admitted again")
		}
	}
	t.blamed = blames
	maps.DeleteFunc(t.trials, func(name string, _ uint64) bool { return !lo.HasKey(blames, name) })
	t.blames.Update(int64(len(blames)))
}

// blameNames returns the segments of a set in hexadecimal.
func blameNames(b quarantine.Blame) string {
	names := lo.Map(b.Segments, func(s quarantine.Segment, _ int) string { return strconv.FormatUint(s, 16) })
	return strings.Join(names[:min(maxLogged, len(names))], " ")
}

// crashNames lists the crashes that a set explains, with how long ago.
func crashNames(now time.Time, b quarantine.Blame) string {
	last := b.Crashes[max(0, len(b.Crashes)-maxLogged):]
	return strings.Join(lo.Map(last, func(c quarantine.Crash, _ int) string {
		return fmt.Sprintf("%s %v ago", c.Instance.ID, now.Sub(c.ObservedAt).Round(time.Millisecond))
	}), ", ")
}
