package soakproc

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

// Copies of the store are from minCopyAge to maxCopyAge old when it comes back from them. What
// the operator and the servers wrote is written again within maxRewriteDelay.
const (
	minCopyAge      = 300 * time.Millisecond
	maxCopyAge      = 3 * time.Second
	maxRewriteDelay = time.Second
	// maxAway is how long the store is away at most before it comes back from a copy.
	maxAway = 500 * time.Millisecond
)

// namesEras reports whether the store of a seed names eras and comes back from copies.
func namesEras(seed uint64) bool { return seed%2 == 1 }

// written has what the operator and the servers last wrote to the store.
type written struct {
	mu sync.Mutex
	// specs are the objects by kind and name; nil if the object was removed.
	specs map[[2]string]json.RawMessage
}

// put writes an object as the operator or a server does.
func (env *environment) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	env.putRaw(kind, name, data)
}

// putRaw is like put for a value that need not be valid.
func (env *environment) putRaw(kind, name string, data []byte) {
	env.written.mu.Lock()
	defer env.written.mu.Unlock()
	env.written.specs[[2]string{kind, name}] = data
	env.store.PutRaw(kind, name, data)
}

// remove removes an object as the platform does.
func (env *environment) remove(kind, name string) {
	env.written.mu.Lock()
	defer env.written.mu.Unlock()
	env.written.specs[[2]string{kind, name}] = nil
	env.store.Remove(kind, name)
}

// rewrite writes everything again that the operator and the servers last wrote.
func (env *environment) rewrite() {
	env.written.mu.Lock()
	defer env.written.mu.Unlock()
	for key, spec := range env.written.specs {
		if spec == nil {
			env.store.Remove(key[0], key[1])
			continue
		}
		env.store.PutRaw(key[0], key[1], spec)
	}
}

// returnFromCopies makes the store come back from copies, several times in a row, until the
// returned function is called. That returns how often it did.
func (env *environment) returnFromCopies(seed uint64) (stop func() int) {
	r, amid := rand.New(rand.NewPCG(seed, 9)), rand.New(rand.NewPCG(seed, 10))
	done, ended := make(chan struct{}), make(chan int)
	wait := func(d time.Duration) bool {
		select {
		case <-done:
			return false
		case <-time.After(d):
			return true
		}
	}
	go func() {
		count := 0
		for wait(between(r, 0, maxCopyAge/2)) {
			before := env.store.Copy()
			if !wait(between(r, minCopyAge, maxCopyAge)) {
				break
			}
			restore := env.disturbReturn(amid)
			env.store.Restore(before)
			restore()
			count++
			wait(between(r, 0, maxRewriteDelay))
			env.rewrite()
		}
		ended <- count
	}()
	return func() int { close(done); return <-ended }
}

// disturbReturn takes the store away for up to maxAway and kills or pauses none, some or all
// of the gateways meanwhile. The returned function ends that, some time after the return.
func (env *environment) disturbReturn(r *rand.Rand) (end func()) {
	share := []float64{0, 0.5, 1}[r.IntN(3)]
	var ends []func()
	env.store.SetFaults(objectstore.Faults{Unavailable: true})
	for _, g := range env.gateways {
		if r.Float64() >= share || !g.claim() {
			continue
		}
		if r.IntN(3) == 0 {
			g.process.Pause()
			ends = append(ends, func() { g.process.Resume(); g.release() })
			continue
		}
		g.process.Kill()
		ends = append(ends, func() { _ = g.process.Restart(); g.release() })
	}
	time.Sleep(between(r, 0, maxAway))
	return func() {
		env.store.SetFaults(objectstore.Faults{})
		time.Sleep(between(r, 0, maxAway))
		for _, end := range ends {
			end()
		}
	}
}

// checkReturnAmidKills kills all gateways while the store is away, right after it has lost what
// they reported, and checks that usage is reported again. That no window is reported with two
// counts is checked at the end of the run.
func (env *environment) checkReturnAmidKills(ctx context.Context, l *requestLog) {
	l.pausesOnly.Store(false)
	before := env.store.Copy()
	// The first one may be of a window that the copy has.
	if !env.usage.awaitReports(2) {
		l.addViolation("no usage is reported before the return")
	}
	env.store.SetFaults(objectstore.Faults{Unavailable: true})
	for _, g := range env.gateways {
		g.process.Kill()
	}
	time.Sleep(maxAway)
	env.store.Restore(before)
	env.store.SetFaults(objectstore.Faults{})
	env.rewrite()
	for _, g := range env.gateways {
		if err := errors.Join(g.process.Restart(), g.process.WaitReady(ctx)); err != nil {
			l.addViolation("not ready after the return: %v", err)
		}
	}
	// The next holder may first repeat what the copy has.
	if !env.usage.awaitReports(4) {
		l.addViolation("no usage is reported after the return")
	}
}

// checkReturn makes changes that the store loses without a fault beside, and checks that a
// change after that is in force in time.
func (env *environment) checkReturn(l *requestLog) {
	before := env.store.Copy()
	for range 3 {
		env.writeConfig()
	}
	time.Sleep(configApply)
	env.checkNewestConfig(l)
	env.store.Restore(before)
	time.Sleep(contact)
	env.checkNewestConfig(l)
	env.writeConfig()
	time.Sleep(configApply)
	env.checkNewestConfig(l)
}
