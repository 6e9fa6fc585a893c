// Package safego keeps a panic in a goroutine from ending the process, and with it all open
// requests.
package safego

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// maxStack limits the bytes of a stack in the log.
const maxStack = 8 << 10

var panics = metrics.GetOrRegisterCounter("goroutines.panics", nil)

// Panic is a recovered panic that is passed on to another goroutine.
type Panic struct {
	Value any
	// Stack is that of the goroutine that panicked.
	Stack []byte
}

// String returns the value of the panic.
func (p *Panic) String() string { return fmt.Sprint(p.Value) }

// Capture returns a recovered value with its stack, to be panicked with in another goroutine.
// It must be called by the deferred function that recovers. nil, http.ErrAbortHandler and a
// captured value are returned unchanged.
func Capture(recovered any) any {
	switch p := recovered.(type) {
	case nil, *Panic:
		return p
	}
	if recovered == http.ErrAbortHandler {
		return recovered
	}
	return &Panic{Value: recovered, Stack: debug.Stack()}
}

// Log logs a recovered panic. It must be called by the deferred function that recovers.
//
// It panics again with an invariant.Violation, which panics in tests only and must fail them.
func Log(recovered any, fields log.Fields) {
	p, ok := Capture(recovered).(*Panic)
	if !ok {
		p = &Panic{Value: recovered}
	}
	log.WithFields(fields).WithField("stack", string(p.Stack[:min(len(p.Stack), maxStack)])).Error("panic: " + p.String())
	if _, ok := p.Value.(invariant.Violation); ok {
		panic(recovered)
	}
}

// Run calls f. If f panics, it logs and counts that and returns. work names what f does.
func Run(work string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			panics.Inc(1)
			Log(p, log.Fields{"work": work})
		}
	}()
	f()
}

// RunWithError is Run for a function that returns an error. A panic is an error, too.
func RunWithError(work string, f func() error) (err error) {
	err = eris.New("panic: " + work)
	Run(work, func() { err = f() })
	return err
}

// Go is Run in a new goroutine.
func Go(work string, f func()) { go Run(work, f) }

// AfterFunc is time.AfterFunc with Run.
func AfterFunc(d time.Duration, work string, f func()) *time.Timer {
	return time.AfterFunc(d, func() { Run(work, f) })
}
