package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// The IDs of prompt segments: two that fatal prompts share with sound ones, one of other
	// callers, and two that crash the engines that generate on them.
	ownerSegment, topicSegment, otherSegment = "a1", "b2", "c3"
	fatalSegment, secondFatalSegment         = "f00d", "f00e"

	// crashBound is the number of crashes from which fatal prompts must be recognized.
	crashBound = 5
	// soundInterval and fatalPromptInterval are the pauses between prompts.
	soundInterval       = 50 * time.Millisecond
	fatalPromptInterval = 150 * time.Millisecond
	// minSound is how many sound prompts are compared at least, and compareTime for how long.
	minSound    = 20
	compareTime = 3 * time.Second
)

// segmentsPlay sends prompts with a segment that crashes engines beside sound ones.
type segmentsPlay struct {
	*clusterFixture
	sent atomic.Int64
	// fatal are the fatal prompts in turn, each a list of segments before its own last one.
	fatal [][]string
	// sound are the sound prompts that are counted, sent every soundInterval, and other are
	// those of other callers.
	sound, other  []string
	soundInterval time.Duration
	crashBound    int
	maxLate       int
	// kills is how often all gateways are killed, from the bound on.
	kills int

	served, failed atomic.Int64
}

// prompt sends a prompt with the given segments and one of its own.
func (p *segmentsPlay) prompt(segments []string) (status int) {
	n := int(p.sent.Add(1))
	var hash strings.Builder
	for _, s := range segments {
		hash.WriteString(s + ":2000,")
	}
	fmt.Fprintf(&hash, "%x:500", 0x1000000+n)
	status, _ = p.sendRequest(http.DefaultClient, context.Background(), p.gateway(n), fmt.Sprintf("p%d", n), http.MethodPost, "/stream-again/x", fmt.Sprintf("body %d", n),
		"Token-Count", fmt.Sprintf("%d,20", 2000*len(segments)+500), "Prefix-Hash", hash.String())
	return status
}

// isFatalPrompt reports whether a run has a segment that crashes engines.
func isFatalPrompt(r runner.Run) bool {
	hash := r.Header.Get("Prefix-Hash")
	return strings.Contains(hash, fatalSegment+":") || strings.Contains(hash, secondFatalSegment+":")
}

// fatalArrivals counts the fatal prompts that reached engines, also those that were only
// prefilled.
func (p *segmentsPlay) fatalArrivals() int {
	p.mu.Lock()
	engines := append([]*runner.BackendServer(nil), p.engines...)
	p.mu.Unlock()
	n := 0
	for _, e := range engines {
		for _, run := range append(e.Runs(), e.Prefills()...) {
			if isFatalPrompt(run) {
				n++
			}
		}
	}
	return n
}

// every calls f in goroutines of their own until ctx is done.
func every(ctx context.Context, pause time.Duration, f func(n int)) {
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		running.Go(func() { f(n) })
		time.Sleep(pause)
	}
	running.Wait()
}

// run plays until the bounds can be checked, and checks them.
func (p *segmentsPlay) run() {
	t := p.t
	ctx, stop := context.WithCancel(context.Background())
	var comparing atomic.Bool
	var senders sync.WaitGroup
	senders.Go(func() { every(ctx, fatalPromptInterval, func(n int) { p.prompt(p.fatal[n%len(p.fatal)]) }) })
	senders.Go(func() {
		every(ctx, p.soundInterval, func(int) {
			counted := comparing.Load()
			status := p.prompt(p.sound)
			switch {
			case !counted:
			case status == http.StatusOK:
				p.served.Add(1)
			default:
				p.failed.Add(1)
			}
		})
	})
	if p.other != nil {
		senders.Go(func() { every(ctx, soundInterval, func(int) { p.prompt(p.other) }) })
	}
	defer senders.Wait()
	defer stop()
	bound := p.waitForCrashes(p.crashBound)
	if bound.IsZero() {
		// Fewer crashes than the bound: the prompts are recognized before.
		bound = time.Now()
	}
	var before atomic.Int64
	time.AfterFunc(time.Until(bound.Add(contactTime)), func() { before.Store(int64(p.fatalArrivals())) })
	for n := range p.kills {
		time.Sleep(time.Until(bound.Add(time.Duration(n) * contactTime / 2)))
		p.restartGateways()
	}
	time.Sleep(time.Until(bound.Add(2 * contactTime)))
	comparing.Store(true)
	for p.served.Load()+p.failed.Load() < minSound || time.Since(bound) < 2*contactTime+compareTime {
		time.Sleep(soundInterval)
	}
	late := p.fatalArrivals() - int(before.Load())
	t.Logf("%d late fatal prompts, %d crashes, sound prompts %d served and %d not", late, p.crashesAfter(time.Time{}), p.served.Load(), p.failed.Load())
	if late > p.maxLate {
		t.Errorf("%d fatal prompts reach engines later than %v after the bound, want at most %d", late, contactTime, p.maxLate)
	}
	if p.failed.Load() > p.served.Load() {
		t.Errorf("of sound prompts %d are served and %d are not", p.served.Load(), p.failed.Load())
	}
}

// waitForCrashes returns when the n-th engine crashed, or zero if that does not come within some
// seconds of the one before.
func (p *segmentsPlay) waitForCrashes(n int) time.Time {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		crashes := p.crashes
		p.mu.Unlock()
		if len(crashes) >= n {
			return crashes[n-1]
		}
	}
	return time.Time{}
}

// newSegmentsPlay starts four gateways in front of ten engines.
func newSegmentsPlay(t *testing.T, f *clusterFixture) *segmentsPlay {
	t.Parallel()
	f.t, f.store, f.isFatal = t, objectstore.New(), isFatalPrompt
	return &segmentsPlay{
		clusterFixture: startClusterFixture(f, 4, 10),
		fatal:          [][]string{{ownerSegment, topicSegment, fatalSegment}},
		sound:          []string{ownerSegment, topicSegment},
		soundInterval:  soundInterval,
		crashBound:     crashBound,
		maxLate:        3,
	}
}

// Guards against prompts, no two alike, that crash one engine after the other by a segment that
// they share, and against sound prompts that are rejected with them.
func TestPromptsWithASegmentThatEndsEnginesAreNotSentOn(t *testing.T) {
	newSegmentsPlay(t, &clusterFixture{}).run()
}

// Guards against the same where the answers look complete.
func TestPromptsWithASegmentThatEndsEnginesBetweenEventsAreNotSentOn(t *testing.T) {
	newSegmentsPlay(t, &clusterFixture{fatalEnd: runner.BetweenEvents}).run()
}

// Guards against sound prompts that are never served because what they share with the fatal ones
// is rejected, so that none can show that it is sound.
func TestRareSoundPromptsAreServedBesideASegmentThatEndsEngines(t *testing.T) {
	p := newSegmentsPlay(t, &clusterFixture{})
	p.soundInterval = 400 * time.Millisecond
	p.other = []string{otherSegment}
	p.run()
}

// Guards against fatal prompts that are prefilled on and on.
func TestPromptsWithASegmentThatEndsEnginesAreNotPrefilledOn(t *testing.T) {
	newSegmentsPlay(t, &clusterFixture{prefillEngines: 3}).run()
}

// Guards against evidence on segments that is lost with the processes that have it.
func TestPromptsWithASegmentThatEndsEnginesAreNotSentOnAfterAllGatewaysWereKilled(t *testing.T) {
	p := newSegmentsPlay(t, &clusterFixture{})
	p.kills = 4
	p.run()
}

// Guards against one fatal segment that hides another.
func TestPromptsWithOneOfTwoSegmentsThatEndEnginesAreNotSentOn(t *testing.T) {
	p := newSegmentsPlay(t, &clusterFixture{})
	p.fatal = [][]string{{ownerSegment, topicSegment, fatalSegment}, {ownerSegment, secondFatalSegment}}
	p.crashBound, p.maxLate = 2*crashBound, 6
	p.run()
}

// Guards against segments that are blamed wrongly and never admitted again, as all prompts that
// could clear them are rejected.
func TestSegmentsThatAreBlamedWronglyAreAdmittedAfterATrial(t *testing.T) {
	p := newSegmentsPlay(t, &clusterFixture{})
	for n := range 3 {
		for _, g := range p.gateways {
			g.RemoteCrash(quarantine.Crash{
				Instance: backend.Instance{ID: fmt.Sprintf("gone-%d", n)}, ObservedAt: time.Now().Add(time.Duration(n-3) * time.Second), Fresh: []uint64{0xa1},
			})
		}
	}
	if status := p.prompt(p.sound); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d with a segment that is blamed, want 503", status)
	}
	served := 0
	for end := time.Now().Add(2 * contactTime); time.Now().Before(end) && served < minSound; time.Sleep(soundInterval) {
		if p.prompt(p.sound) == http.StatusOK {
			served++
		}
	}
	if served < minSound {
		t.Errorf("%d prompts served within %v, want %d", served, 2*contactTime, minSound)
	}
}
