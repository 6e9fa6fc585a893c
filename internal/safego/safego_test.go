package safego_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/safego"
)

func fault() { panic(strings.Repeat("cause ", 10)) }

// expectLine expects one more of a counter and a line with the message and the stack of fault.
func expectLine(t *testing.T, counter string, run func()) {
	t.Helper()
	lines := make(chan *log.Entry, 10)
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		lines <- e
		return nil
	}))
	n := metrics.GetOrRegisterCounter(counter, nil)
	before := n.Count()
	run()
	line := <-lines
	if n.Count() != before+1 {
		t.Errorf("%s rose by %d", counter, n.Count()-before)
	}
	stack, _ := line.Fields["stack"].(string)
	if line.Level != log.ErrorLevel || !strings.Contains(line.Message, "cause") || !strings.Contains(stack, "fault") || len(stack) > 8<<10 {
		t.Errorf("line %q with %d bytes of stack:\n%s", line.Message, len(stack), stack)
	}
}

// Guards against a panic in a goroutine of its own that ends the process, or that nobody sees.
func TestPanicsInGoroutinesAreLogged(t *testing.T) {
	for name, run := range map[string]func(){
		"Run":       func() { safego.Run("work", fault) },
		"Go":        func() { safego.Go("work", fault) },
		"AfterFunc": func() { safego.AfterFunc(time.Millisecond, "work", fault) },
		"RunWithError": func() {
			if safego.RunWithError("work", func() error { fault(); return nil }) == nil {
				t.Error("a panic is no error")
			}
		},
		"passed on": func() {
			passed := make(chan any)
			go func() {
				defer func() { passed <- safego.Capture(recover()) }()
				fault()
			}()
			safego.Run("work", func() { panic(<-passed) })
		},
	} {
		t.Run(name, func(t *testing.T) { expectLine(t, "goroutines.panics", run) })
	}
	cause := errors.New("cause")
	if err := safego.RunWithError("work", func() error { return cause }); !errors.Is(err, cause) {
		t.Errorf("error %v", err)
	}
	if p := safego.Capture(http.ErrAbortHandler); p != http.ErrAbortHandler {
		t.Errorf("captured %v", p)
	}
}

// Guards against a violated invariant that a test passes over.
func TestViolationsArePassedOn(t *testing.T) {
	log.SetHandler(memory.New())
	defer func() {
		if _, ok := recover().(invariant.Violation); !ok {
			t.Error("no violation")
		}
	}()
	safego.Run("work", func() { panic(invariant.Violation{}) })
}

// Guards against a duty that fails again and again without a trace.
func TestPanicsOfDutiesAreLogged(t *testing.T) {
	expectLine(t, "supervisor.panics", func() {
		ctx, stop := context.WithCancel(context.Background())
		root := suture.New("test", suture.Spec{EventHook: safego.LogSupervisorEvent})
		runs := 0
		root.Add(duty(func(ctx context.Context) error {
			if runs++; runs == 1 {
				fault()
			}
			stop()
			<-ctx.Done()
			return ctx.Err()
		}))
		if err := root.Serve(ctx); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

type duty func(context.Context) error

func (d duty) Serve(ctx context.Context) error { return d(ctx) }
