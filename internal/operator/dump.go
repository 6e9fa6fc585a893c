package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// dutyTimeout is how long one duty has to give its state.
const dutyTimeout = time.Second

// The conditions of a duty in a dump.
const (
	// DutyOK says that the duty gave its state.
	DutyOK = "ok"
	// DutyStuck says that it gave none in time.
	DutyStuck = "stuck"
	// DutyFailed says that giving its state failed.
	DutyFailed = "failed"
)

// DumpFunc returns the state of one duty as something that encodes to JSON. It
// should ask the duty through its inbox, so that it answers only if the duty
// still works, and give up when ctx ends.
type DumpFunc func(ctx context.Context) any

// DutyState is one duty in a Dump.
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

// dumper asks the duties for their states.
type dumper struct {
	duties map[string]*dutyProbe
}

// dutyProbe asks one duty, and never twice at a time. A stuck duty holds the
// goroutine that asked it; asking anew at each dump would pile them up.
type dutyProbe struct {
	dump DumpFunc
	busy atomic.Bool
}

func newDumper(duties map[string]DumpFunc) *dumper {
	d := &dumper{duties: make(map[string]*dutyProbe, len(duties))}
	for name, dump := range duties {
		d.duties[name] = &dutyProbe{dump: dump}
	}
	return d
}

// states asks all duties at once.
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
			state := probe.ask(ctx)
			mu.Lock()
			defer mu.Unlock()
			states[name] = state
		})
	}
	wg.Wait()
	return states
}

// ask returns when the duty has answered or ctx has ended.
func (p *dutyProbe) ask(ctx context.Context) DutyState {
	if !p.busy.CompareAndSwap(false, true) {
		return DutyState{Condition: DutyStuck, Detail: "has not answered an earlier dump"}
	}
	answer := make(chan DutyState, 1)
	go func() {
		defer p.busy.Store(false)
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
