package peers

import "time"

// maxSenders bounds the tracked senders. It suffices for the gateways of a group and
// their earlier starts.
const maxSenders = 256

// delayEstimator estimates the delay of datagrams beyond the minimum for their sender.
//
// A gateway that was suspended, or whose processor is too slow for the messages it
// receives, finds datagrams that were queued in its socket. A confirmation that was
// queued there says that the store's state of some seconds ago is the newest. Taken as
// recent, it makes the gateway deny a route that was added meanwhile. Symptom: callers
// get 404 from one VM only.
//
// The clocks of two VMs are not comparable, but the offset between them is constant: a
// datagram with a larger offset than the minimum was delayed by the difference.
type delayEstimator struct {
	senders map[uint64]*senderClock
}

// senderClock tracks the clock of one start of a sender.
type senderClock struct {
	// minOffset is the minimum offset of this VM's clock from the sender's.
	minOffset time.Duration
	// lastReceived is when its last datagram was received, by this VM's clock.
	lastReceived time.Duration
}

func newDelayEstimator() *delayEstimator {
	return &delayEstimator{senders: make(map[uint64]*senderClock)}
}

// estimate returns the delay of a datagram. sent is by the clock of the sender's start, now
// by this VM's clock. It returns 0 for the first datagram of a start.
func (d *delayEstimator) estimate(start uint64, sent, now time.Duration) time.Duration {
	offset := now - sent
	c, ok := d.senders[start]
	if !ok {
		d.evictOldest()
		c = &senderClock{minOffset: offset}
		d.senders[start] = c
	}
	c.lastReceived = now
	c.minOffset = min(c.minOffset, offset)
	return offset - c.minOffset
}

// evictOldest drops the least recently received sender if there are maxSenders.
func (d *delayEstimator) evictOldest() {
	if len(d.senders) < maxSenders {
		return
	}
	var oldest uint64
	var received time.Duration
	for start, c := range d.senders {
		if oldest == 0 || c.lastReceived < received {
			oldest, received = start, c.lastReceived
		}
	}
	delete(d.senders, oldest)
}
