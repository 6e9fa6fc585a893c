package soakproc

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

// Copies of the store are from minCopyAge to maxCopyAge old when it comes back from them. What
// the operator and the servers wrote is written again within maxRewriteDelay.
const (
	minCopyAge      = 300 * time.Millisecond
	maxCopyAge      = 3 * time.Second
	maxRewriteDelay = time.Second
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
	r := rand.New(rand.NewPCG(seed, 9))
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
			env.store.Restore(before)
			count++
			wait(between(r, 0, maxRewriteDelay))
			env.rewrite()
		}
		ended <- count
	}()
	return func() int { close(done); return <-ended }
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
