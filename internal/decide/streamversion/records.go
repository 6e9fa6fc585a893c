package streamversion

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// StreamID identifies a stream across the requests of its caller.
type StreamID uint64

// StreamIDOf returns the ID of the stream whose first event a request brought.
func StreamIDOf(requestID string) StreamID { return StreamID(xxhash.Sum64String(requestID)) }

const (
	// MaxStreamLife is the longest time from the first event of a stream to a request that
	// takes it up.
	MaxStreamLife = 30 * time.Second
	// minStreamLife is the shortest time that is assumed for it.
	minStreamLife = 10 * time.Second
	// lifeFactor is how many times the timeout of its route a stream may live: its caller
	// may take it up for longer than the gateways keep one request waiting.
	lifeFactor = 2
)

// StreamLife returns the longest life of the streams of a route with a timeout, 0 if it has
// none.
func StreamLife(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return MaxStreamLife
	}
	return min(max(lifeFactor*timeout, minStreamLife), MaxStreamLife)
}

// maxGeneration limits the streams that are recorded in one MaxStreamLife.
const maxGeneration = 1 << 16

// Query asks for the version that began a stream of a service, by the hash of its name. Life
// is the longest life of the stream. Era is the store's era that the asking gateway knows: the
// servers of another era may not be in its list yet.
type Query struct {
	Stream  StreamID
	Service uint32
	Life    time.Duration
	Era     store.Era
}

// Records has the versions that began streams, each for at least MaxStreamLife unless
// there are too many. It is not safe for concurrent use.
type Records struct {
	// Streams move from current to previous together, and are then forgotten.
	current, previous map[StreamID]Version
	startedAt         time.Time
}

// NewRecords returns Records of no streams.
func NewRecords() *Records { return &Records{current: make(map[StreamID]Version)} }

// Add records the version that began a stream. The first record of a stream stays. Add
// reports whether the stream has this version.
func (r *Records) Add(now time.Time, id StreamID, v Version) bool {
	if now.Sub(r.startedAt) >= MaxStreamLife || len(r.current) >= maxGeneration {
		r.previous, r.current, r.startedAt = r.current, make(map[StreamID]Version), now
	}
	known, ok := r.Lookup(id)
	if !ok {
		known = v
	}
	r.current[id] = known
	return v == known
}

// Lookup returns the version that began a stream, or false if it is not known.
func (r *Records) Lookup(id StreamID) (Version, bool) {
	if v, ok := r.current[id]; ok {
		return v, true
	}
	v, ok := r.previous[id]
	return v, ok
}

// Len returns the number of streams recorded.
func (r *Records) Len() int { return len(r.current) + len(r.previous) }
