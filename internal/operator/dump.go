package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// dutyTimeout bounds how long a dump waits for the state of a duty.
const dutyTimeout = time.Second

// Conditions of a duty in a dump.
const (
	// DutyOK means that the duty returned its state.
	DutyOK = "ok"
	// DutyStuck means that the duty did not return its state within dutyTimeout.
	DutyStuck = "stuck"
	// DutyFailed means that reading or encoding the state failed.
	DutyFailed = "failed"
)

// DumpFunc returns the state of a duty as a value that can be encoded to JSON.
// It should request the state through the duty's inbox, so that a duty that no
// longer processes its inbox is detected, and return when ctx is done.
type DumpFunc func(ctx context.Context) any

// DutyState is the state of one duty in a Dump.
type DutyState struct {
	Condition string          `json:"condition" enum:"ok,stuck,failed"`
	Detail    string          `json:"detail,omitempty" doc:"Why there is no state"`
	State     json.RawMessage `json:"state,omitempty"`
}

// Dump is the state of a process.
type Dump struct {
	Process string               `json:"process"`
	At      time.Time            `json:"at"`
	Duties  map[string]DutyState `json:"duties"`
}

// dumper collects the states of all duties.
type dumper struct {
	duties map[string]*dutyProbe
}

// dutyProbe queries one duty, with at most one query in progress. A query of a
// stuck duty blocks its goroutine; a new one for each dump would accumulate
// blocked goroutines.
type dutyProbe struct {
	dump       DumpFunc
	inProgress atomic.Bool
}

func newDumper(duties map[string]DumpFunc) *dumper {
	d := &dumper{duties: make(map[string]*dutyProbe, len(duties))}
	for name, dump := range duties {
		d.duties[name] = &dutyProbe{dump: dump}
	}
	return d
}

// states queries all duties concurrently.
func (d *dumper) states(ctx context.Context) map[string]DutyState {
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		states = make(map[string]DutyState, len(d.duties))
	)
	for name, probe := range d.duties {
		wg.Go(func() {
			state := probe.query(ctx)
			mu.Lock()
			defer mu.Unlock()
			states[name] = state
		})
	}
	wg.Wait()
	return states
}

// query returns when the duty has answered or ctx is done.
func (p *dutyProbe) query(ctx context.Context) DutyState {
	if !p.inProgress.CompareAndSwap(false, true) {
		return DutyState{Condition: DutyStuck, Detail: "has not answered an earlier dump"}
	}
	answer := make(chan DutyState, 1)
	go func() {
		defer p.inProgress.Store(false)
		answer <- p.state(ctx)
	}()
	select {
	case state := <-answer:
		return state
	case <-ctx.Done():
		return DutyState{Condition: DutyStuck, Detail: fmt.Sprintf("no answer within %v", dutyTimeout)}
	}
}

func (p *dutyProbe) state(ctx context.Context) (state DutyState) {
	defer func() {
		if failure := recover(); failure != nil {
			state = DutyState{Condition: DutyFailed, Detail: fmt.Sprint("panic: ", failure)}
		}
	}()
	value := p.dump(ctx)
	if ctx.Err() != nil {
		return DutyState{Condition: DutyStuck, Detail: fmt.Sprintf("no answer within %v", dutyTimeout)}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return DutyState{Condition: DutyFailed, Detail: err.Error()}
	}
	return DutyState{Condition: DutyOK, State: data}
}
