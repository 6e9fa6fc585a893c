package requests

import (
	"cmp"
	"math"
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func (t *Table) engineReport(e EngineReport) {
	t.engine = e
	t.queue.SetDrainRate(t.prefillRate())
}

func (t *Table) prefillRate() float64 {
	return cmp.Or(t.engine.Load.PrefillRate, t.rates.prefillRate)
}

// Load returns the load of the backend server: running and waiting requests from
// the table's own exact counts, the rest as last reported by the engine.
func (t *Table) Load() *wire.Load {
	load := &wire.Load{
		Running:      uint32(len(t.byRun)),
		Queued:       uint32(t.waiting()),
		Slots:        uint32(t.cfg.Slots),
		QueuedTokens: uint64(t.queue.QueuedTokens()),
		KvPiecesUsed: uint32(t.usedKVBlocks()),
		KvPieces:     uint32(t.engine.Load.KVBlocks),
		PrefillRate:  t.prefillRate(),
		DecodeRate:   cmp.Or(t.engine.Load.DecodeRate, t.rates.decodeRate),
		Role:         string(t.engine.State.Applied.Role),
		Models:       servedModels(t.engine.State.Applied),
		Admitting:    t.Admitting() && !t.suspect,
		Generation:   t.engine.State.Applied.Generation,
		Weights:      t.engine.State.Applied.Weights,
		Adapters:     t.engine.State.Applied.Adapters,

		ServiceMs: float64(t.rates.callTime) / float64(time.Millisecond),
	}
	for _, r := range t.byRun {
		load.RunningTokens += uint64(r.remainingOutput())
		if !r.answer.hasOutput {
			load.QueuedTokens += uint64(promptTokens(r.start))
		}
	}
	return load
}

func servedModels(o engine.Order) []string {
	if o.Model == "" {
		return nil
	}
	return []string{o.Model}
}

// waiting returns the number of requests waiting for a claim or a slot.
func (t *Table) waiting() int { return len(t.active) - len(t.byRun) }

// freeCapacity returns the slots and KV blocks available for new runs. The
// engine's own cache report lags and counts blocks that it would evict for new
// work, so the table sums up the runs that it has started.
func (t *Table) freeCapacity() (slots, blocks int) {
	slots = t.cfg.Slots - len(t.byRun)
	total := t.engine.Load.KVBlocks
	if total == 0 {
		return slots, math.MaxInt
	}
	return slots, total - t.usedKVBlocks()
}

func (t *Table) usedKVBlocks() int {
	used := 0
	for _, r := range t.byRun {
		used += kvBlocks(r.start)
	}
	return used
}

// kvBlocks returns the KV blocks that a request occupies once it completes.
func kvBlocks(s *wire.Start) int {
	tokens := promptTokens(s) + outputTokens(s)
	return (tokens + engine.KVBlockTokens - 1) / engine.KVBlockTokens
}
