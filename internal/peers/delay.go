package peers

import "time"

// maxTimed bounds the senders whose delay is known: those of a group, and of earlier
// starts.
const maxTimed = 256

// delays estimates how long datagrams were on their way, beyond the least that
// one of the same sender took.
//
// A gateway that was stopped, or whose processor is too slow for what it is
// told, finds datagrams that have waited in its socket. A confirmation that
// waited there says that the store's state of some seconds ago is the newest;
// taken for fresh, it has a gateway deny a route that was added meanwhile, and
// one notices by callers who get 404 from one VM only. Two clocks are never
// compared, but their difference stays the same, so that a datagram shows its
// delay by a greater one.
type delays struct {
	least map[uint64]*timing
}

// timing is what is known of one start of a sender.
type timing struct {
	// least is the least difference between its clock and this VM's.
	least time.Duration
	// heard is when it was last heard, by this VM's clock.
	heard time.Duration
}

func newDelays() *delays { return &delays{least: make(map[uint64]*timing)} }

// of returns the delay of a datagram that a start of a sender sent at a time of
// its clock and that is taken in now by this VM's. The first one of a start is
// taken to have none.
func (d *delays) of(start uint64, sent, now time.Duration) time.Duration {
	difference := now - sent
	t, ok := d.least[start]
	if !ok {
		d.makeRoom()
		t = &timing{least: difference}
		d.least[start] = t
	}
	t.heard = now
	t.least = min(t.least, difference)
	return difference - t.least
}

// makeRoom forgets the sender that was silent for longest.
func (d *delays) makeRoom() {
	if len(d.least) < maxTimed {
		return
	}
	var oldest uint64
	var heard time.Duration
	for start, t := range d.least {
		if oldest == 0 || t.heard < heard {
			oldest, heard = start, t.heard
		}
	}
	delete(d.least, oldest)
}
