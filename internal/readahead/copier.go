package readahead

import (
	"io"
	"sync"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/backlog"
	"pistachioroad.dev/pistachioroad/internal/safego"
)

var (
	buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}
	copiers = sync.Pool{New: func() any { return newCopier() }}
)

// copier copies one answer at a time.
type copier struct {
	forwarder *Forwarder
	dst       Destination
	src       io.Reader
	buffer    [chunkSize]byte
	// timer calls readAhead while a write blocks.
	timer *time.Timer
	// armed is set from the start of the timer until it has been stopped or readAhead has
	// ended.
	armed bool

	// added and freed are signalled when data has been added to the backlog and when some has
	// been written. done is closed at the end of readAhead.
	added, freed, done chan struct{}

	// The fields below are used only while the answer is read ahead.

	mu     sync.Mutex
	chunks []*chunk
	// held is the memory reserved for chunks, peak the most that was.
	held, peak int64
	// reading is set while the last chunk is read into.
	reading bool
	// waiting is set while the caller has taken all of the chunks.
	waiting bool
	// tookAt is when the caller last took some of the answer.
	tookAt time.Time
	// stopped is set if the answer is not to be read any more.
	stopped bool
	// ended is set once readAhead adds nothing more. The reason is err, a panic of the source
	// or, without either, that the caller keeps up again.
	ended    bool
	err      error
	panicked any
}

// chunk is a part of an answer. Bytes from begin to end have been read and not been written.
type chunk struct {
	data       *[chunkSize]byte
	begin, end int
}

func newCopier() *copier {
	c := &copier{added: make(chan struct{}, 1), freed: make(chan struct{}, 1), done: make(chan struct{})}
	c.timer = time.AfterFunc(time.Hour, c.readAhead)
	c.timer.Stop()
	return c
}

// release returns the copier to the pool. No goroutine reads ahead any more.
func (c *copier) release() {
	c.forwarder, c.dst, c.src, c.peak = nil, nil, nil, 0
	copiers.Put(c)
}

// abandon ends reading ahead after a panic.
func (c *copier) abandon() {
	if !c.armed {
		return
	}
	if c.timer.Stop() {
		c.armed = false
		return
	}
	c.stop()
	c.dst.StopReading()
	<-c.done
	c.dropBacklog()
}

// copyNext reads the next part of the answer and writes it. It returns the error that ends
// the answer.
func (c *copier) copyNext() error {
	n, err := c.src.Read(c.buffer[:])
	if n == 0 {
		return err
	}
	readAhead := err == nil && c.forwarder.limits.Total > 0
	if readAhead {
		c.armed = true
		c.timer.Reset(c.forwarder.limits.Patience)
	}
	_, writeErr := c.dst.Write(c.buffer[:n])
	if readAhead && !c.timer.Stop() {
		err := c.writeBacklog(writeErr)
		c.dropBacklog()
		return err
	}
	c.armed = false
	switch {
	case writeErr != nil:
		return ErrWrite
	default:
		return err
	}
}

// writeBacklog writes what is read ahead until the caller keeps up again, which is no error,
// or the answer ends. writeErr is the error of the write that blocked.
func (c *copier) writeBacklog(writeErr error) error {
	c.took(0)
	for writeErr == nil {
		p, more := c.next()
		if !more {
			break
		}
		if _, writeErr = c.dst.Write(p); writeErr == nil {
			c.took(len(p))
		}
	}
	if writeErr != nil {
		c.stop()
		c.dst.StopReading()
	}
	<-c.done
	switch {
	case c.panicked != nil:
		panic(c.panicked)
	case c.err == ErrTooSlow:
		return ErrTooSlow
	case writeErr != nil:
		return ErrWrite
	default:
		return c.err
	}
}

// next waits for the next part of the backlog. It returns false if there is none.
func (c *copier) next() (p []byte, more bool) {
	for {
		if p, more = c.first(); p != nil || !more {
			return p, more
		}
		<-c.added
	}
}

// first returns the first part of the backlog, nil if it is empty. more is false if nothing
// will be added either.
func (c *copier) first() (p []byte, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.panicked != nil || c.err == ErrTooSlow {
		return nil, false
	}
	if len(c.chunks) > 0 && c.chunks[0].begin < c.chunks[0].end {
		c.waiting = false
		return c.chunks[0].data[c.chunks[0].begin:c.chunks[0].end], true
	}
	c.waiting = true
	return nil, !c.ended
}

// took records that the caller has taken n bytes of the first chunk.
func (c *copier) took(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tookAt = time.Now()
	if n == 0 {
		return
	}
	first := c.chunks[0]
	first.begin += n
	if first.begin == first.end && (len(c.chunks) > 1 || !c.reading) {
		c.chunks = c.chunks[1:]
		c.free(first)
	}
	signal(c.freed)
}

func (c *copier) free(used *chunk) {
	buffers.Put(used.data)
	c.held -= chunkSize
	c.forwarder.release(chunkSize)
}

// stop makes readAhead end before its next read.
func (c *copier) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	signal(c.freed)
}

// dropBacklog resets the copier after readAhead.
func (c *copier) dropBacklog() {
	c.armed = false
	for _, rest := range c.chunks {
		c.free(rest)
	}
	c.chunks, c.reading, c.waiting, c.stopped = nil, false, false, false
	c.ended, c.err, c.panicked = false, nil, nil
	c.done = make(chan struct{})
	for _, signalled := range []chan struct{}{c.added, c.freed} {
		select {
		case <-signalled:
		default:
		}
	}
}

// readAhead reads the answer until the caller keeps up again, the answer ends or there is no
// memory for it. It runs in a goroutine of its own.
func (c *copier) readAhead() {
	f := c.forwarder
	f.begun.Inc(1)
	f.active.Add(1)
	defer close(c.done)
	defer func() {
		f.active.Add(-1)
		if p := safego.Capture(recover()); p != nil {
			c.end(nil, p)
		}
	}()
	c.took(0)
	for p := c.room(); p != nil; p = c.room() {
		n, err := c.src.Read(p)
		c.add(n, err)
	}
}

// room waits for memory to read into. It returns nil if the answer is not to be read on.
func (c *copier) room() []byte {
	for {
		p, action := c.tryRoom()
		switch action {
		case backlog.Read:
			return p
		case backlog.Return:
			c.end(nil, nil)
			return nil
		case backlog.Abort:
			c.forwarder.aborted.Inc(1)
			c.end(ErrTooSlow, nil)
			c.dst.Interrupt()
			return nil
		case backlog.Wait:
		}
		select {
		case <-c.freed:
		case <-time.After(pollInterval):
		}
	}
}

// tryRoom returns memory to read into, and otherwise what to do. Memory is nil if the answer
// has ended.
func (c *copier) tryRoom() ([]byte, backlog.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || c.ended {
		return nil, backlog.Read
	}
	c.reading = true
	if n := len(c.chunks); n > 0 && chunkSize-c.chunks[n-1].end >= minRead {
		return c.chunks[n-1].data[c.chunks[n-1].end:], backlog.Read
	}
	limits := c.forwarder.limits
	room := c.held+chunkSize <= limits.PerAnswer && c.forwarder.acquire(chunkSize)
	if action := backlog.Decide(backlog.State{Room: room, CallerWaits: c.waiting, Stalled: time.Since(c.tookAt)}, limits.StallTimeout); action != backlog.Read {
		c.reading = false
		return nil, action
	}
	c.chunks = append(c.chunks, &chunk{data: buffers.Get().(*[chunkSize]byte)})
	c.held += chunkSize
	c.peak = max(c.peak, c.held)
	return c.chunks[len(c.chunks)-1].data[:], backlog.Read
}

// add adds what was read into the last chunk. A caller that has been waiting for it keeps up.
func (c *copier) add(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.chunks[len(c.chunks)-1].end += n
	c.err = err
	c.ended = err != nil || (c.waiting && n > 0)
	signal(c.added)
}

// end records that readAhead adds nothing more, and why.
func (c *copier) end(err error, panicked any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.err, c.panicked = true, err, panicked
	signal(c.added)
}

// signal wakes the goroutine that waits for a signal, now or later.
func signal(s chan struct{}) {
	select {
	case s <- struct{}{}:
	default:
	}
}
