package claims_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// The bounds of the randomised run.
const (
	randomSeeds    = 300
	randomRequests = 500
	randomKeys     = 90
	healTime       = 3 * time.Minute
	// chaosTakeoverAfter is short, so that owners are often taken over while
	// they are paused with calls under way.
	chaosTakeoverAfter = 500 * time.Millisecond
)

// chaos plays requests and faults against three sidecars.
type chaos struct {
	*world
	plan    uint64
	current *owner
	kinds   map[claims.Kind]int
	moves   int
	pauses  int
	kills   int
}

// Sidecars are killed and paused, the slot moves, replies get lost and updates
// take effect late, all at once and again. A caller notices when the same hold
// is placed twice: run panics then, and so does a replay of another result.
func TestEachKeyRunsAtMostOnce(t *testing.T) {
	invariant.PanicOnBreach()
	total := &chaos{world: newWorld(0), kinds: map[claims.Kind]int{}}
	runs := 0
	for seed := range uint64(randomSeeds) {
		c := playChaos(t, seed)
		runs += len(c.runs)
		total.add(c)
	}
	t.Logf("%d seeds: %d keys ran; faults %v, %d moves, %d pauses, %d kills; answers %v; %d checks",
		randomSeeds, runs, total.faults, total.moves, total.pauses, total.kills, total.kinds, invariant.Checks())
	total.checkNotVacuous(t)
}

func (c *chaos) add(o *chaos) {
	for f, n := range o.faults {
		c.faults[f] += n
	}
	for k, n := range o.kinds {
		c.kinds[k] += n
	}
	c.moves += o.moves
	c.pauses += o.pauses
	c.kills += o.kills
}

func (c *chaos) checkNotVacuous(t *testing.T) {
	for _, f := range []fate{fine, replyLost, late, dropped, outage} {
		if c.faults[f] == 0 {
			t.Errorf("no call met %q", f)
		}
	}
	for k := claims.Unavailable; k <= claims.MayHaveRun; k++ {
		if c.kinds[k] == 0 {
			t.Errorf("no answer was %q", k)
		}
	}
	if c.moves == 0 || c.pauses == 0 || c.kills == 0 {
		t.Errorf("moves %d, pauses %d, kills %d", c.moves, c.pauses, c.kills)
	}
}

func playChaos(t *testing.T, seed uint64) *chaos {
	defer func() {
		if p := recover(); p != nil {
			t.Fatalf("seed %d: %v", seed, p)
		}
	}()
	c := &chaos{world: newWorld(seed, "a", "b", "c"), kinds: map[claims.Kind]int{}}
	c.takeoverAfter = chaosTakeoverAfter
	for _, o := range c.owners {
		c.restart(o)
	}
	c.granted = c.start
	c.move()
	c.fate = c.drawFate
	for range randomRequests {
		c.fault()
		c.request()
		c.advance(time.Duration(c.random.IntN(200)) * time.Millisecond)
	}
	c.heal(t, seed)
	for _, a := range c.answers {
		c.kinds[a.Kind]++
	}
	return c
}

func (c *chaos) drawFate() fate {
	if c.random.IntN(10) < 6 {
		return fine
	}
	return []fate{replyLost, late, dropped, outage}[c.random.IntN(4)]
}

func (c *chaos) pick() *owner { return c.owners[c.random.IntN(len(c.owners))] }

func (c *chaos) move() {
	c.plan++
	c.moves++
	c.current = c.pick()
	for _, o := range c.owners {
		// News of the plan takes its time, and may be overtaken by later news.
		ev := claims.Plan{Version: c.plan, Owned: o == c.current}
		c.afterAt(o, time.Duration(c.random.IntN(4000))*time.Millisecond, func() { c.step(o, ev) })
	}
}

func (c *chaos) fault() {
	o := c.pick()
	switch c.random.IntN(60) {
	case 0:
		c.move()
	case 1:
		c.kills++
		c.restart(o)
		ev := claims.Plan{Version: c.plan, Owned: o == c.current}
		c.afterAt(o, 0, func() { c.step(o, ev) })
	case 2, 3:
		if o.paused {
			return
		}
		c.pauses++
		o.paused = true
		incarnation := o.incarnation
		c.after(time.Duration(c.random.IntN(30_000))*time.Millisecond, func() {
			if o.incarnation == incarnation {
				c.wakeUp(o)
			}
		})
	}
}

func (c *chaos) request() {
	o := c.current
	if c.random.IntN(5) == 0 {
		o = c.pick()
	}
	body := uint64(1)
	if c.random.IntN(20) == 0 {
		body = 2
	}
	token := c.ask(o, fmt.Sprint("k", c.random.IntN(randomKeys)), body)
	r := c.asked[token]
	// A caller who is gone, perhaps just when its claim is granted.
	if c.random.IntN(8) == 0 {
		c.afterAt(o, time.Duration(c.random.IntN(1500))*time.Millisecond, func() {
			if _, answered := c.answers[token]; !answered {
				c.step(o, claims.Abandoned{Token: token, Key: r.Key})
			}
		})
	}
}

// start begins a granted call after a while, during which the sidecar may be
// paused or killed, or does not start it at all.
func (c *chaos) start(o *owner, token uint64, r claims.Request) {
	how := c.random.IntN(20)
	c.afterAt(o, time.Duration(c.random.IntN(50))*time.Millisecond, func() {
		switch how {
		case 0:
			c.step(o, claims.NotStarted{Request: r})
		case 1:
			c.step(o, claims.Abandoned{Token: token, Key: r.Key})
		case 2:
			c.runs[r.Key]++
			c.step(o, claims.ResultLost{Request: r})
		default:
			c.run(o, r, time.Duration(c.random.IntN(3000))*time.Millisecond)
		}
	})
}

// heal ends all faults. Afterwards the owner in the plan must serve without
// anybody's help.
func (c *chaos) heal(t *testing.T, seed uint64) {
	c.fate = func() fate { return fine }
	for _, o := range c.owners {
		c.wakeUp(o)
	}
	c.advance(healTime)
	// An owner that was taken over and given the slot back, and has written
	// nothing in between, finds out by its first write; the caller asks again.
	c.ask(c.current, "first", 1)
	c.advance(5 * time.Second)
	token := c.ask(c.current, "second", 1)
	c.advance(5 * time.Second)
	if a := c.answers[token]; a.Kind != claims.Granted {
		t.Fatalf("seed %d: a new key is %q after all faults have ended", seed, a.Kind)
	}
	for _, o := range c.owners {
		if n := o.slot.Running(); n > 0 {
			t.Fatalf("seed %d: %d claims are leaked at %s", seed, n, o.name)
		}
	}
}

// A breach is found by its seed alone, so equal seeds must give equal runs.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	invariant.PanicOnBreach()
	a, b := playChaos(t, 5), playChaos(t, 5)
	if !reflect.DeepEqual(a.record(), b.record()) || !reflect.DeepEqual(a.answers, b.answers) {
		t.Fatal("two runs of seed 5 differ")
	}
}
