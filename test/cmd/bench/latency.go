package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/measure"
)

const (
	outputTokens = 16
	warmUp       = 2 * time.Second
	// maxLatency is the longest time that the histograms record.
	maxLatency = time.Minute
)

// latencies are the histograms of one target, in microseconds.
type latencies struct {
	mu         sync.Mutex
	ttft       *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	failed     int
	succeeded  int
}

func newLatencies() *latencies {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return &latencies{ttft: histogram(), interToken: histogram()}
}

// latency sends the same load directly to the engine and through the entry, in
// alternating blocks, so that both run under the same conditions of the machine.
func latency(bin string, rate float64, block time.Duration, blocks int, seed uint64) error {
	return fleet.Run(oneEngine(bin), func(ctx context.Context, f *fleet.Fleet) error {
		engineTarget := target{url: f.BackendURL("engine-1") + "/generate", body: engineBody, tokenPrefix: `{"piece"`}
		entryTarget := target{url: f.URL("entry-1") + "/v1/completions", body: completionBody, tokenPrefix: "data: {"}
		rng := rand.New(rand.NewPCG(seed, 0))
		sendLoad(ctx, engineTarget, rate, warmUp, rng, newLatencies())
		sendLoad(ctx, entryTarget, rate, warmUp, rng, newLatencies())

		direct, through := newLatencies(), newLatencies()
		usage := newCPUUsage(f, "entry-1", "engine-1")
		for range blocks {
			sendLoad(ctx, engineTarget, rate, block, rng, direct)
			usage.begin()
			sendLoad(ctx, entryTarget, rate, block, rng, through)
			usage.end()
		}
		printLatencies(rate, direct, through)
		usage.print(through.succeeded)
		if direct.failed+through.failed > 0 {
			return eris.Errorf("%d direct requests and %d requests through the entry failed", direct.failed, through.failed)
		}
		return nil
	})
}

// target is an address and form of the requests: directly to the engine, or through
// an entry.
type target struct {
	url         string
	body        func(n uint64) any
	tokenPrefix string
}

func engineBody(n uint64) any {
	return engine.Request{ID: fmt.Sprintf("bench-%d", n), Model: "draft", Prompt: prompt(n), MaxTokens: outputTokens}
}

func completionBody(n uint64) any {
	return fleet.Completion{Model: "draft", Prompt: prompt(n), MaxTokens: outputTokens, Stream: true}
}

func prompt(n uint64) string { return fmt.Sprintf("bench %d %s", n, strings.Repeat("x", 400)) }

// sendLoad sends requests at the times of a Poisson process, regardless of
// whether earlier ones have been answered (open loop).
func sendLoad(ctx context.Context, tgt target, rate float64, d time.Duration, rng *rand.Rand, t *latencies) {
	var requests sync.WaitGroup
	begin := time.Now()
	for at := time.Duration(0); at < d; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(begin.Add(at)))
		n := rng.Uint64()
		requests.Go(func() { t.send(ctx, tgt, n) })
	}
	requests.Wait()
}

// send sends one request and records its latencies.
func (t *latencies) send(ctx context.Context, tgt target, n uint64) {
	times, err := measureRequest(ctx, tgt, n)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || len(times) != outputTokens+1 {
		t.failed++
		return
	}
	t.succeeded++
	_ = t.ttft.RecordValue(times[1].Sub(times[0]).Microseconds())
	for i := 2; i < len(times); i++ {
		_ = t.interToken.RecordValue(times[i].Sub(times[i-1]).Microseconds())
	}
}

// client keeps enough idle connections that none is dialled during a measurement.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// measureRequest returns the time at which the request was sent, followed by the
// arrival times of its tokens.
func measureRequest(ctx context.Context, tgt target, n uint64) ([]time.Time, error) {
	body, err := json.Marshal(tgt.body(n))
	if err != nil {
		return nil, eris.Wrap(err, "encode request body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, tgt.url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	times := []time.Time{time.Now()}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if isToken(lines.Text(), tgt.tokenPrefix) {
			times = append(times, time.Now())
		}
	}
	return times, eris.Wrap(lines.Err(), "read response")
}

// isToken reports whether a line carries a token, as opposed to the events at the
// end of an answer.
func isToken(line, prefix string) bool {
	return strings.HasPrefix(line, prefix) && !strings.Contains(line, `"finish_reason":"length"`)
}

func printLatencies(rate float64, direct, through *latencies) {
	fmt.Printf("%.0f requests/s, %d tokens each; %d direct, %d through\n", rate, outputTokens, direct.succeeded, through.succeeded)
	fmt.Println("milliseconds          p50      p95      p99")
	row := func(name string, h *hdrhistogram.Histogram) {
		fmt.Printf("%-18s", name)
		for _, q := range []float64{50, 95, 99} {
			fmt.Printf("%9.3f", float64(h.ValueAtQuantile(q))/1000)
		}
		fmt.Println()
	}
	row("first, direct", direct.ttft)
	row("first, through", through.ttft)
	printDifference("first, added", direct.ttft, through.ttft)
	row("between, direct", direct.interToken)
	row("between, through", through.interToken)
	printDifference("between, added", direct.interToken, through.interToken)
}

func printDifference(name string, direct, through *hdrhistogram.Histogram) {
	fmt.Printf("%-18s", name)
	for _, q := range []float64{50, 95, 99} {
		fmt.Printf("%9.3f", float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q))/1000)
	}
	fmt.Println()
}

// cpuUsage accumulates the CPU time of processes over the blocks that are sent
// through them.
type cpuUsage struct {
	fleet   *fleet.Fleet
	names   []string
	before  map[string]measure.Usage
	cpu     map[string]time.Duration
	elapsed time.Duration
}

func newCPUUsage(f *fleet.Fleet, names ...string) *cpuUsage {
	return &cpuUsage{fleet: f, names: names, before: map[string]measure.Usage{}, cpu: map[string]time.Duration{}}
}

func (c *cpuUsage) begin() {
	for _, name := range c.names {
		c.before[name], _ = measure.Read(c.fleet.Processes[name].PID())
	}
}

func (c *cpuUsage) end() {
	for i, name := range c.names {
		after, _ := measure.Read(c.fleet.Processes[name].PID())
		c.cpu[name] += after.CPU - c.before[name].CPU
		if i == 0 {
			c.elapsed += after.MeasuredAt.Sub(c.before[name].MeasuredAt)
		}
	}
}

func (c *cpuUsage) print(requests int) {
	const megabyte = 1 << 20
	for _, name := range c.names {
		usage, _ := measure.Read(c.fleet.Processes[name].PID())
		seconds := c.cpu[name].Seconds()
		fmt.Printf("%-10s %.3f cores, %.0f requests/s and %.0f tokens/s a core, resident %.1f MB (peak %.1f)\n",
			name, seconds/c.elapsed.Seconds(), float64(requests)/seconds, float64(requests*outputTokens)/seconds,
			float64(usage.ResidentBytes)/megabyte, float64(usage.PeakResidentBytes)/megabyte)
	}
}
