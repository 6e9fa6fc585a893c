package requests_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// FuzzFrames guards against malformed frames, from a peer of another version or a
// faulty one: the table must keep its invariants and send every stream a last
// frame.
func FuzzFrames(f *testing.F) {
	for _, seed := range frameSeeds() {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table := requests.New(requests.Config{
			Slots: 2, QueueLength: 2, MaxAnswerBytes: 64, ResumeWait: time.Second, MaxRecords: 4,
		}, rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(1_000_000, 0)
		table.Step(now, requests.Admit{})
		waiting := feed(table, now, data)
		now = now.Add(time.Hour)
		settle(waiting, table.Step(now, requests.Tick{}))
		if len(waiting) != 0 {
			t.Fatalf("%d streams got no last frame", len(waiting))
		}
	})
}

// feed delivers each frame in data on a stream of its own and returns the streams
// without a last frame. Runs never finish and claims are never decided.
func feed(table *requests.Table, now time.Time, data []byte) map[requests.Stream]bool {
	waiting := map[requests.Stream]bool{}
	conn := wire.NewConn(&source{Buffer: bytes.NewBuffer(data)})
	for stream := requests.Stream(1); ; stream++ {
		frame, err := conn.Receive()
		if err != nil {
			return waiting
		}
		if event, ok := requests.FirstFrameEvent(stream, frame, time.Hour); ok {
			waiting[stream] = true
			settle(waiting, table.Step(now, event))
		}
		if event, ok := requests.LaterFrameEvent(stream-1, frame); ok {
			settle(waiting, table.Step(now, event))
		}
	}
}

func settle(waiting map[requests.Stream]bool, effects []requests.Effect) {
	for _, effect := range effects {
		if sent, ok := effect.(requests.Send); ok && sent.Last {
			delete(waiting, sent.Stream)
		}
	}
}

type source struct{ *bytes.Buffer }

func (source) Close() error { return nil }

func frameSeeds() [][]byte {
	id := uuid.UUID{1}
	huge := generation(id)
	huge.BudgetUs = 1<<63 - 1
	huge.GetGenerate().MaxTokens = 1<<32 - 1
	past := call(id)
	past.BudgetUs, past.ClockUs = -1<<63, -1
	odd := call(id)
	odd.Class = 77
	start := func(s *wire.Start) *wire.Frame { return &wire.Frame{Body: &wire.Frame_Start{Start: s}} }
	cancel := &wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{RequestId: id[:]}}}
	resolve := &wire.Frame{Body: &wire.Frame_Resolve{Resolve: &wire.Resolve{RequestId: id[:], ClockUs: 1}}}
	return [][]byte{
		encode(start(call(id)), start(call(id)), cancel),
		encode(start(generation(id)), cancel, resolve),
		encode(start(keyedCall(id)), resolve),
		encode(resolve, start(call(id))),
		encode(start(huge)),
		encode(start(past)),
		encode(start(odd)),
		encode(start(&wire.Start{}), &wire.Frame{}),
		encode(start(call(id)))[:9],
		{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01},
	}
}

func encode(frames ...*wire.Frame) []byte {
	out := &source{Buffer: &bytes.Buffer{}}
	conn := wire.NewConn(out)
	for _, frame := range frames {
		_ = conn.Send(frame)
	}
	return out.Bytes()
}
