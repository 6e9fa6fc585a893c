package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/measure"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

const (
	workTime    = 10 * time.Second
	workCallers = 8
	fewTokens   = 4
	manyTokens  = 64
)

// work measures the CPU time of an entry and a sidecar per request and per token.
func work(bin string) error {
	o := fleet.Options{
		Bin: bin, Entries: 1,
		Engines: []fleet.Engine{{
			Role: "mixed", Model: "draft", Fencing: true,
			Args: []string{"-slots", "64", "-prefill-rate", "10000000", "-token-interval", "1ms"},
		}},
		Services:    map[string]int{"holds": 1},
		ServiceArgs: []string{"-delay", "0s"},
	}
	return fleet.Run(o, func(ctx context.Context, f *fleet.Fleet) error {
		time.Sleep(settleTime)
		few, err := cpuPerCall(ctx, f, "engine-1", draft(fewTokens))
		if err != nil {
			return err
		}
		many, err := cpuPerCall(ctx, f, "engine-1", draft(manyTokens))
		if err != nil {
			return err
		}
		for _, name := range []string{"entry-1", "engine-1"} {
			token := (many[name] - few[name]) / (manyTokens - fewTokens)
			printMeasurement(name+" per output token", token, "us of a core")
			printMeasurement(name+" per streamed request without its tokens", few[name]-fewTokens*token, "us of a core")
		}
		keyed, err := cpuPerCall(ctx, f, "holds-1", hold)
		if err != nil {
			return err
		}
		printMeasurement("entry-1 per keyed call", keyed["entry-1"], "us of a core")
		printMeasurement("sidecar per keyed call, claim included", keyed["holds-1"], "us of a core")
		return nil
	})
}

func draft(tokens int) func(context.Context, *fleet.Fleet, int) error {
	return func(ctx context.Context, f *fleet.Fleet, n int) error {
		answer, err := fleet.Do(ctx, http.MethodPost, f.URL("entry-1")+"/v1/completions", nil,
			fleet.Completion{Model: "draft", Prompt: fmt.Sprintf("capacity %d", n), MaxTokens: tokens, Stream: true})
		if _, complete := fleet.CompletionText(answer); err == nil && !complete {
			err = eris.Errorf("draft: %d %s", answer.Status, answer.Body)
		}
		return err
	}
}

func hold(ctx context.Context, f *fleet.Fleet, n int) error {
	name := fmt.Sprintf("capacity-%d", n)
	answer, err := fleet.Do(ctx, http.MethodPost, f.URL("entry-1")+"/services/holds/holds",
		http.Header{"Idempotency-Key": {name}}, plainservice.Hold{Subject: name})
	if err == nil && answer.Status != http.StatusCreated {
		err = eris.Errorf("hold: %d %s", answer.Status, answer.Body)
	}
	return err
}

// cpuPerCall runs calls for workTime and returns the CPU time of the entry and of
// the sidecar per call, in microseconds.
func cpuPerCall(ctx context.Context, f *fleet.Fleet, sidecar string, call func(context.Context, *fleet.Fleet, int) error) (map[string]float64, error) {
	names := []string{"entry-1", sidecar}
	before := map[string]measure.Usage{}
	for _, name := range names {
		before[name], _ = measure.Read(f.Processes[name].PID())
	}
	calls, err := callConcurrently(func(n int) error { return call(ctx, f, n) })
	if err != nil {
		return nil, err
	}
	costs := map[string]float64{}
	for _, name := range names {
		after, _ := measure.Read(f.Processes[name].PID())
		costs[name] = float64((after.CPU - before[name].CPU).Microseconds()) / float64(calls)
	}
	return costs, nil
}

// callConcurrently makes calls from workCallers goroutines for workTime and returns
// their number and the last error.
func callConcurrently(call func(int) error) (int, error) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	calls, failed := 0, error(nil)
	end := time.Now().Add(workTime)
	for range workCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				mu.Lock()
				calls++
				n := calls
				mu.Unlock()
				if err := call(n); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
			}
		})
	}
	callers.Wait()
	return calls, failed
}
