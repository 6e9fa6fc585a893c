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
	return cmp.Or(t.engine.Load.PrefillRate, t.meter.prefillRate)
}

// Load returns the backend server's account of its work: what runs and waits
// by the table's own exact counts, the rest as last reported by the engine.
func (t *Table) Load() *wire.Load {
	load := &wire.Load{
		Running:      uint32(len(t.runs)),
		Queued:       uint32(t.waiting()),
		Slots:        uint32(t.cfg.Slots),
		QueuedTokens: uint64(t.queue.QueuedTokens()),
		KvPiecesUsed: uint32(t.piecesUsed()),
		KvPieces:     uint32(t.engine.Load.KVBlocks),
		PrefillRate:  t.prefillRate(),
		DecodeRate:   cmp.Or(t.engine.Load.DecodeRate, t.meter.decodeRate),
		Role:         string(t.engine.State.Applied.Role),
		Models:       servedModels(t.engine.State.Applied),
		Admitting:    t.Admitting() && !t.suspect,
		Generation:   t.engine.State.Applied.Generation,
		Weights:      t.engine.State.Applied.Weights,
		Adapters:     t.engine.State.Applied.Adapters,

		ServiceMs: float64(t.meter.service) / float64(time.Millisecond),
	}
	for _, r := range t.runs {
		load.RunningTokens += uint64(r.outputLeft())
		if !r.answer.begun {
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

// waiting counts what waits for a claim or a slot.
func (t *Table) waiting() int { return len(t.live) - len(t.runs) }

// room is what the engine can take now. The engine's own report of its cache
// lags and counts what it would evict for new work, so the table adds up what
// it has started itself.
func (t *Table) room() (slots, pieces int) {
	slots = t.cfg.Slots - len(t.runs)
	total := t.engine.Load.KVBlocks
	if total == 0 {
		return slots, math.MaxInt
	}
	return slots, total - t.piecesUsed()
}

func (t *Table) piecesUsed() int {
	used := 0
	for _, r := range t.runs {
		used += pieces(r.start)
	}
	return used
}

// pieces returns the KV cache pieces of a request at its end.
func pieces(s *wire.Start) int {
	tokens := promptTokens(s) + outputTokens(s)
	return (tokens + engine.KVBlockTokens - 1) / engine.KVBlockTokens
}
