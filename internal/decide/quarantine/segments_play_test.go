package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
)

const (
	playStep     = 10 * time.Millisecond
	playTime     = 40 * time.Second
	playContact  = 3 * time.Second
	playRepeat   = 500 * time.Millisecond
	playBound    = 5
	playMaxLate  = 3
	playMinSound = 20
)

// playPrompt is a prompt in a play.
type playPrompt struct {
	segments []quarantine.Segment
	fatal    bool
	tries    int
}

// playRun is a prompt at an engine.
type playRun struct {
	prompt  playPrompt
	gateway int
	engine  int
	ends    time.Time
}

type playMessage struct {
	to    int
	due   time.Time
	crash quarantine.Crash
}

// segmentPlay plays gateways, engines and prompts in virtual time.
type segmentPlay struct {
	random   *rand.Rand
	now      time.Time
	gateways []*quarantine.Segments
	// engines has the start number of each engine, upAt when it is up.
	engines []int
	upAt    []time.Time
	starts  int
	runs    []playRun
	mail    []playMessage
	// saved is the snapshot in the store, savedAt when it was taken.
	saved   []quarantine.CrashSnapshot
	savedAt time.Time

	owner, fatal quarantine.Segment
	// fatalTopic is the topic of all fatal prompts, 0 if each has one of its own choice.
	fatalTopic quarantine.Segment
	topics     int
	crashes    []time.Time
	late       int
	// served and rejected count sound prompts of the owner.
	served, rejected int
	restarts         int
	loss             float64
	// tried is the last round in which each gateway made a trial.
	tried map[int]uint64
}

func newSegmentPlay(seed uint64) *segmentPlay {
	p := &segmentPlay{random: rand.New(rand.NewPCG(seed, 50)), now: start, owner: 1_000, fatal: 9_999, tried: map[int]uint64{}}
	for range 2 + p.random.IntN(7) {
		p.gateways = append(p.gateways, quarantine.NewSegments())
	}
	p.engines = make([]int, 6+p.random.IntN(8))
	p.upAt = make([]time.Time, len(p.engines))
	p.topics = 1 + p.random.IntN(20)
	if p.random.IntN(2) == 0 {
		p.fatalTopic = quarantine.Segment(2_000 + p.random.IntN(p.topics))
	}
	p.loss = 0.2 * p.random.Float64()
	for i := range p.engines {
		p.start(i)
	}
	return p
}

func (p *segmentPlay) start(engine int) {
	p.starts++
	p.engines[engine] = p.starts
}

func (p *segmentPlay) chance(perSecond float64) bool {
	return p.random.Float64() < perSecond*playStep.Seconds()
}

func (p *segmentPlay) between(least, most float64) time.Duration {
	return time.Duration((least + (most-least)*p.random.Float64()) * float64(time.Second))
}

// play plays with the given rates of prompts a second.
func (p *segmentPlay) play(soundRate, otherRate, fatalRate, crashRate, restartRate float64, fatalFrom time.Duration) {
	for ; p.now.Sub(start) < playTime; p.now = p.now.Add(playStep) {
		p.deliver()
		p.finishRuns()
		topic := quarantine.Segment(2_000 + p.random.IntN(p.topics))
		if p.chance(soundRate) {
			p.send(playPrompt{segments: []quarantine.Segment{p.owner, topic}})
		}
		if p.chance(otherRate) {
			p.send(playPrompt{segments: []quarantine.Segment{3_000 + topic%7, 4_000 + quarantine.Segment(p.random.IntN(200))}})
		}
		if p.now.Sub(start) > fatalFrom && p.chance(fatalRate) {
			if p.fatalTopic != 0 {
				topic = p.fatalTopic
			}
			p.send(playPrompt{segments: []quarantine.Segment{p.owner, topic, p.fatal}, fatal: true})
		}
		if p.chance(crashRate) {
			p.crash(p.random.IntN(len(p.engines)))
		}
		if p.chance(restartRate) {
			p.restart(p.random.IntN(len(p.gateways)))
		}
		if p.now.Sub(start)%playRepeat == 0 {
			p.repeat()
		}
		if p.now.Sub(p.savedAt) > 300*time.Millisecond {
			p.saved, p.savedAt = p.gateways[0].Snapshot(p.now), p.now
		}
	}
}

func (p *segmentPlay) restart(gateway int) {
	p.restarts++
	p.gateways[gateway] = quarantine.NewSegments()
	p.gateways[gateway].Restore(p.now, p.saved)
	p.runs = slices.DeleteFunc(p.runs, func(r playRun) bool { return r.gateway == gateway && !r.prompt.fatal })
}

func (p *segmentPlay) announce(from int, c quarantine.Crash, to int) {
	if to == from || p.random.Float64() < p.loss {
		return
	}
	p.mail = append(p.mail, playMessage{to: to, due: p.now.Add(p.between(0.002, 0.05)), crash: c})
}

func (p *segmentPlay) repeat() {
	for from, g := range p.gateways {
		for _, c := range g.PendingAnnouncements(p.now, 8) {
			for range 3 {
				p.announce(from, c, p.random.IntN(len(p.gateways)))
			}
		}
	}
}

func (p *segmentPlay) deliver() {
	p.mail = slices.DeleteFunc(p.mail, func(m playMessage) bool {
		if m.due.After(p.now) {
			return false
		}
		p.gateways[m.to].Add(p.now, m.crash)
		return true
	})
}

// send sends a prompt from a random gateway to a random engine, unless it is rejected.
func (p *segmentPlay) send(prompt playPrompt) {
	gateway := p.random.IntN(len(p.gateways))
	b, rejected := p.gateways[gateway].Blamed(p.now, prompt.segments)
	rejected = rejected && !p.tries(gateway, prompt, b)
	p.count(prompt, rejected)
	if rejected {
		return
	}
	p.runAt(gateway, prompt)
}

// tries reports whether the gateway has the turn for a trial and the prompt is fit for it.
func (p *segmentPlay) tries(gateway int, prompt playPrompt, b quarantine.Blame) bool {
	round, due := b.TrialRound(p.now)
	if !due || int((round+round>>32)%uint64(len(p.gateways))) != gateway || p.tried[gateway] == round || !p.gateways[gateway].MayTry(prompt.segments, b) {
		return false
	}
	p.tried[gateway] = round
	return true
}

func (p *segmentPlay) count(prompt playPrompt, rejected bool) {
	if len(p.crashes) < playBound {
		return
	}
	since := p.now.Sub(p.crashes[playBound-1])
	switch {
	case prompt.fatal && !rejected && since > playContact:
		p.late++
	case prompt.fatal || prompt.segments[0] != p.owner || since < 2*playContact:
	case rejected:
		p.rejected++
	default:
		p.served++
	}
}

func (p *segmentPlay) runAt(gateway int, prompt playPrompt) {
	for range 4 {
		engine := p.random.IntN(len(p.engines))
		if p.upAt[engine].After(p.now) {
			continue
		}
		d := p.between(0.2, 3)
		if prompt.fatal {
			d = p.between(0.02, 1.3)
		}
		prompt.tries++
		p.runs = append(p.runs, playRun{prompt: prompt, gateway: gateway, engine: engine, ends: p.now.Add(d)})
		return
	}
}

func (p *segmentPlay) finishRuns() {
	var ended []playRun
	p.runs = slices.DeleteFunc(p.runs, func(r playRun) bool {
		if r.ends.After(p.now) {
			return false
		}
		ended = append(ended, r)
		return true
	})
	for _, r := range ended {
		if r.prompt.fatal {
			p.runs = append(p.runs, r)
			p.crash(r.engine)
			p.crashes = append(p.crashes, p.now)
			continue
		}
		if p.upAt[r.engine].After(p.now) {
			continue
		}
		if cleared := p.gateways[r.gateway].Complete(p.now, r.prompt.segments); len(cleared) > 0 {
			for to := range p.gateways {
				p.announce(r.gateway, quarantine.Crash{ObservedAt: p.now, Reused: cleared}, to)
			}
		}
	}
}

// crash ends an engine: each gateway learns which of its prompts ran there.
func (p *segmentPlay) crash(engine int) {
	if p.upAt[engine].After(p.now) {
		return
	}
	instance := backend.Instance{ID: "e" + strconv.Itoa(p.engines[engine]), Incarnation: 1}
	segments := make([][]quarantine.Segment, len(p.gateways))
	var broken []playRun
	p.runs = slices.DeleteFunc(p.runs, func(r playRun) bool {
		if r.engine != engine {
			return false
		}
		segments[r.gateway] = append(segments[r.gateway], r.prompt.segments...)
		broken = append(broken, r)
		return true
	})
	for from, ids := range segments {
		if len(ids) == 0 {
			continue
		}
		slices.Sort(ids)
		c := quarantine.Crash{Instance: instance, ObservedAt: p.now}
		c.Fresh, c.Reused = p.gateways[from].Split(slices.Compact(ids))
		p.gateways[from].Add(p.now, c)
		for to := range p.gateways {
			p.announce(from, c, to)
		}
	}
	p.start(engine)
	p.upAt[engine] = p.now.Add(p.between(2, 4))
	for _, r := range broken {
		if _, rejected := p.gateways[r.gateway].Blamed(p.now, r.prompt.segments); r.prompt.tries < 2 && !rejected {
			p.runAt(r.gateway, r.prompt)
		}
	}
}

// Guards against fatal prompts that are sent on, and against sound ones that are locked out, under
// lost messages, restarts, crashes of other causes and prompts of any rate.
func TestSeededPlaysOfPromptsThatCrashEngines(t *testing.T) {
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		seeds = n
	}
	played, most, total := 0, 0, 0
	for seed := range uint64(seeds) {
		p := newSegmentPlay(seed)
		r := p.random
		fatalFrom := p.between(0, 5)
		p.play(1+20*r.Float64(), 30*r.Float64(), 1+6*r.Float64(), 0.5*r.Float64(), 0.1*r.Float64(), fatalFrom)
		what := fmt.Sprintf("seed %d: %d gateways, %d engines, %d topics, fatal topic %d, %d crashes, %d restarts: %d late, sound %d served, %d rejected",
			seed, len(p.gateways), len(p.engines), p.topics, p.fatalTopic, len(p.crashes), p.restarts, p.late, p.served, p.rejected)
		if p.late > playMaxLate {
			t.Error(what)
		}
		if p.served+p.rejected >= playMinSound {
			played++
			if p.rejected > p.served {
				t.Error("locked out: " + what)
			}
		}
		most, total = max(most, p.late), total+len(p.crashes)
	}
	t.Logf("%d seeds, sound prompts compared in %d, at most %d late, %d crashes in all", seeds, played, most, total)
}
