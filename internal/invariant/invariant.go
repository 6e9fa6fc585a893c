// Package invariant checks invariants at run time.
//
// In production a violation is counted and logged, and the program continues.
// Tests and randomised runs call PanicOnViolation so that the first violation
// aborts the run.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

var (
	panicOnViolation atomic.Bool
	checks           = metrics.GetOrRegisterCounter("invariant.checks", nil)
	violations       = metrics.GetOrRegisterCounter("invariant.breaches", nil)
)

// PanicOnViolation makes every later violation panic with a Violation.
func PanicOnViolation() { panicOnViolation.Store(true) }

// Violation is the panic value of a failed check.
type Violation struct {
	Name   string
	Detail string
}

func (v Violation) Error() string { return "invariant " + v.Name + ": " + v.Detail }

// Check records a violation of the named invariant unless ok is true. The detail
// is formatted only on a violation.
func Check(ok bool, name, format string, args ...any) {
	checks.Inc(1)
	if ok {
		return
	}
	violations.Inc(1)
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	log.WithField("invariant", name).Error(v.Error())
	if panicOnViolation.Load() {
		panic(v)
	}
}

// Checks returns the number of checks since the program started.
func Checks() int64 { return checks.Count() }

// Violations returns the number of failed checks since the program started.
func Violations() int64 { return violations.Count() }
