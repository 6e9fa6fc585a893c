package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/decide/admit"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/planner"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// The target scale at which the state is measured.
const (
	targetAccounts = 9600
	targetEngines  = 600
	targetBlocks   = 200_000
)

// state measures the memory and decision times of in-memory state, in this process.
func state(string) error {
	accounts()
	prefixIndex()
	routing()
	planRows()
	vmList()
	return claimRecords()
}

// liveHeap returns the live bytes on the heap.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timePerCall returns the mean time of a call in microseconds.
func timePerCall(calls int, f func(int)) float64 {
	begin := time.Now()
	for i := range calls {
		f(i)
	}
	return float64(time.Since(begin).Microseconds()) / float64(calls)
}

func accounts() {
	now := time.Unix(1000, 0)
	before := liveHeap()
	a := admit.New(admit.Config{Rand: rand.New(rand.NewPCG(1, 1)), MaxAccounts: targetAccounts})
	decide := func(i int) {
		request := admit.Request{Caller: fmt.Sprintf("account-%d", i%targetAccounts), CostTokens: 500, Deadline: time.Second}
		a.Decide(now.Add(time.Duration(i)*time.Microsecond), request, admit.LoadSnapshot{DrainRate: 1e5, QueueDelay: time.Second, EntryShare: 1})
	}
	first := timePerCall(targetAccounts, decide)
	printMeasurement("memory per account", (liveHeap()-before)/targetAccounts, "bytes")
	printMeasurement("admission decision, new accounts", first, "us")
	printMeasurement("admission decision, 9,600 accounts", timePerCall(4*targetAccounts, decide), "us")
	printMeasurement("heaviest 32 of 9,600 accounts", timePerCall(100, func(i int) { a.HeaviestAccounts(now, 32) }), "us")
	runtime.KeepAlive(a)
}

func prefixIndex() {
	now := time.Unix(1000, 0)
	before := liveHeap()
	x := route.NewPrefixIndex(targetBlocks)
	for i := range targetBlocks {
		x.AddStored(now, fmt.Sprintf("engine-%d", i%targetEngines), []uint64{uint64(i)})
	}
	printMeasurement("memory per cached piece", (liveHeap()-before)/targetBlocks, "bytes")
	prompt := make([]uint64, 32)
	for i := range prompt {
		prompt[i] = uint64(i)
	}
	printMeasurement("look-up of a prompt of 32 pieces", timePerCall(10_000, func(int) { x.CachedBlocks(now, prompt) }), "us")
	runtime.KeepAlive(x)
}

// routing measures routing decisions over subsets of the engines and over all.
func routing() {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{12, 48, targetEngines} {
		list := make([]route.Candidate, n)
		for i := range list {
			list[i] = route.Candidate{
				Name: fmt.Sprintf("engine-%d", i), Service: sharedstate.ServiceModels, Model: "draft",
				Role: route.Mixed, Admitting: true, Load: route.Load{PrefillRate: 1e4},
			}
		}
		request := route.Request{Service: sharedstate.ServiceModels, Model: "draft", PromptTokens: 1000, Role: route.Mixed}
		printMeasurement(fmt.Sprintf("routing decision over %d candidates", n), timePerCall(5_000, func(int) { route.Pick(rng, request, list) }), "us")
	}
}

func planRows() {
	now := time.Unix(1000, 0)
	view := planner.View{Reports: map[string]planner.LoadReport{}}
	for i := range targetEngines / 2 {
		name := fmt.Sprintf("engine-%d", i)
		view.VMs = append(view.VMs, sharedstate.VM{Name: name, Kind: sharedstate.VMBackend, Region: "seoul", Service: sharedstate.ServiceModels})
		view.Reports[name] = planner.LoadReport{At: now, Load: &wire.Load{
			Role: string(engine.RoleDecode), Models: []string{"draft"}, Weights: "1", Admitting: true, PrefillRate: 1, DecodeRate: 1,
		}}
	}
	p := planner.New("seoul")
	view.Plan, _ = p.Propose(now, view)
	data, _ := json.Marshal(view.Plan)
	printMeasurement("plan object per row", float64(len(data))/(targetEngines/2), "bytes")
	printMeasurement("planning step over 300 rows (one region)", timePerCall(200, func(int) { p.Propose(now, view) }), "us")
	printMeasurement("decoding the plan of 300 rows", timePerCall(200, func(int) {
		var decoded plan.Plan
		_ = json.Unmarshal(data, &decoded)
	}), "us")
}

// vmList measures the platform's list of all VMs.
func vmList() {
	const vms = 350 + targetEngines
	list := make([]sharedstate.VM, vms)
	for i := range list {
		list[i] = sharedstate.VM{
			Name: fmt.Sprintf("gangnam-draft-%d", i), Kind: sharedstate.VMBackend, Region: "seoul", DataCentre: "gangnam",
			LinkAddress: "10.20.100.100:7001", OperatorAddress: "10.20.100.100:7002", Service: sharedstate.ServiceModels,
		}
	}
	data, _ := json.Marshal(list)
	printMeasurement("VM list per VM, as JSON", float64(len(data))/vms, "bytes")
	printMeasurement(fmt.Sprintf("decoding the list of %d VMs", vms), timePerCall(200, func(int) {
		var decoded []sharedstate.VM
		_ = json.Unmarshal(data, &decoded)
	}), "us")
}

func claimRecords() error {
	const claimsPerSlot = 1000
	r := claims.Record{WriteID: sharedstate.NewWriteID(), Epoch: 1, Claims: map[string]claims.Claim{}}
	result := claims.NewResult(201, nil, make([]byte, 120))
	for i := range claimsPerSlot {
		key := fmt.Sprintf("seal-%08d", i)
		r.Claims[key] = claims.Claim{BodyDigest: uint64(i), Epoch: 1, RequestID: sharedstate.NewWriteID(), RecordedAt: 1, Result: &result}
	}
	data, err := r.Encode()
	if err != nil {
		return err
	}
	printMeasurement("claim record per key, result of 120 bytes", float64(len(data))/claimsPerSlot, "bytes")
	printMeasurement("encoding a record of 1,000 keys", timePerCall(50, func(int) { _, _ = r.Encode() }), "us")
	return nil
}
