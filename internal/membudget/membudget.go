// Package membudget divides the memory of a process among what its callers can make it hold, and
// limits each part: connections, heads, bodies and answers. A limit of each request alone does
// not limit what a crowd of callers holds.
package membudget

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Shares of a process's memory without programBytes. What they leave is for the state of the program.
const (
	// heapShare is the limit of the Go heap, near which the garbage collector runs more often.
	// It has room for the shares of the heap below.
	heapShare = 0.75
	// connectionShare is for callers' connections with ordinary requests.
	connectionShare = 0.25
	// headShare is for what heads take beyond an ordinary one.
	headShare = 0.05
	// serverHeadShare is the same for heads of backend servers' responses.
	serverHeadShare = 0.03
	// smallBodyShare is for request bodies up to SmallBody, and for the beginnings of larger ones.
	// largeBodyShare is for the rest of these.
	smallBodyShare = 0.05
	largeBodyShare = 0.15
	// answerShare is for answers that are read ahead for slow callers.
	answerShare = 0.125
	// segmentShare is for what is remembered of prompts: which segments engines have cached.
	segmentShare = 0.08
	// receiveShare is for what the kernel has received on callers' connections and the process
	// has not read. It is no part of the heap.
	receiveShare = 0.15
	// serverReceiveShare is the same for connections to backend servers. There are about as many
	// with a request as there are callers' connections. largeReceiveShare is for those that have
	// larger buffers.
	serverReceiveShare = 0.06
	largeReceiveShare  = 0.04
)

const (
	// connectionBytes is the heap of a caller's connection while it has an ordinary request: two
	// goroutines, buffers, a head up to FreeHead, a body up to FreeBody, the state of the call and
	// the connection to a backend server.
	connectionBytes = 48 << 10
	// FreeHead is how much memory of a head, and FreeBody how much of a body, is part of
	// connectionBytes.
	FreeHead = 12 << 10
	FreeBody = 2 << 10
	// SmallBody is the size up to which a body does not compete with large ones for memory.
	SmallBody = 64 << 10
	// segmentBytes is the heap of a segment that is remembered.
	segmentBytes = 160
	// ReceiveOverhead is what the kernel allows in a receive buffer for each byte that is asked
	// for: it doubles the size for its own structures.
	ReceiveOverhead = 2
	// The limits of the size that is asked for.
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 64 << 10
	// programBytes is the memory of the program's code and data, which the limit of the heap does
	// not cover.
	programBytes = 12 << 20
	// defaultMemory applies if the memory of the process is not known.
	defaultMemory = 128 << 20
)

// Plan is how the memory of a process is divided, in bytes.
type Plan struct {
	// Heap is the limit of the Go heap.
	Heap int64 `json:"heap"`
	// Connections is the most connections of callers.
	Connections int `json:"connections"`
	// ReceiveBuffer is the size of the receive buffer of each of them.
	ReceiveBuffer int `json:"receive_buffer"`
	// ServerReceiveBuffer is the same for each connection to a backend server.
	ServerReceiveBuffer int `json:"server_receive_buffer"`
	// LargeReceiveBuffers is for what larger ones have more.
	LargeReceiveBuffers int64 `json:"large_receive_buffers"`
	// Heads is for heads beyond ordinary ones.
	Heads int64 `json:"heads"`
	// ServerHeads is the same for heads of backend servers' responses.
	ServerHeads int64 `json:"server_heads"`
	// SmallBodies and LargeBodies are for request bodies.
	SmallBodies int64 `json:"small_bodies"`
	LargeBodies int64 `json:"large_bodies"`
	// Answers is for answers that are read ahead.
	Answers int64 `json:"answers"`
	// CachedSegments is the most prompt segments that are remembered as cached by engines.
	CachedSegments int `json:"cached_segments"`
}

// PlanFor divides the memory of a process, 0 if it is not known, whose descriptors suffice for a
// number of callers' connections.
func PlanFor(memory int64, connections int) Plan {
	if memory <= 0 {
		memory = defaultMemory
	}
	share := func(s float64) int64 { return int64(s * float64(max(programBytes, memory-programBytes))) }
	most := max(1, min(connections, int(share(connectionShare)/connectionBytes)))
	buffer := func(s float64) int {
		return int(min(maxReceiveBuffer, max(minReceiveBuffer, share(s)/ReceiveOverhead/int64(most))))
	}
	return Plan{
		Heap:          share(heapShare),
		Connections:   most,
		ReceiveBuffer: buffer(receiveShare),
		Heads:         share(headShare),
		ServerHeads:   share(serverHeadShare),
		SmallBodies:   share(smallBodyShare),
		LargeBodies:   share(largeBodyShare),
		Answers:       share(answerShare),

		ServerReceiveBuffer: buffer(serverReceiveShare),
		LargeReceiveBuffers: share(largeReceiveShare),

		CachedSegments: int(share(segmentShare) / segmentBytes),
	}
}

// Budget limits the bytes that are reserved at a time. It may be used concurrently.
type Budget struct {
	limit int64
	used  atomic.Int64
	gauge metrics.Gauge
}

// New returns a Budget of limit bytes. The gauge of the given name has what is reserved.
func New(gauge string, limit int64) *Budget {
	return &Budget{limit: limit, gauge: metrics.GetOrRegisterGauge(gauge, nil)}
}

// Acquire reserves n bytes. It returns false, and reserves nothing, if that would exceed the
// limit.
func (b *Budget) Acquire(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.gauge.Update(used + n)
			return true
		}
	}
}

// Release ends the reservation of n bytes.
func (b *Budget) Release(n int64) { b.gauge.Update(b.used.Add(-n)) }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the most bytes that can be reserved.
func (b *Budget) Limit() int64 { return b.limit }
