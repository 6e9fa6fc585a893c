package readahead_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/internal/safego"
)

const (
	patience = 5 * time.Millisecond
	// stallTimeout is for callers that take nothing, longStall for others on a busy machine.
	stallTimeout = 100 * time.Millisecond
	longStall    = 10 * time.Second
	chunk        = 8 << 10
)

var errInterrupted = errors.New("interrupted")

// caller is a Destination that takes data only while it is allowed to.
type caller struct {
	mu       sync.Mutex
	received bytes.Buffer
	// take blocks a write until it may go on, nil for never.
	take        func(n int)
	interrupted chan struct{}
	stop        func()
}

func newCaller(take func(n int)) *caller {
	return &caller{take: take, interrupted: make(chan struct{}), stop: func() {}}
}

func (c *caller) Write(p []byte) (int, error) {
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		c.take(len(p))
	}()
	select {
	case <-taken:
	case <-c.interrupted:
		return 0, errInterrupted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received.Write(p)
}

func (c *caller) Interrupt()   { close(c.interrupted) }
func (c *caller) StopReading() { c.stop() }

// source counts what has been read of an answer.
type source struct {
	io.Reader
	mu   sync.Mutex
	read int
	err  error
}

func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read += n
	s.err = err
	return n, err
}

func (s *source) state() (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read, s.err
}

func newForwarder(total, perAnswer int64, stall time.Duration) *readahead.Forwarder {
	return readahead.New(readahead.Limits{Total: total, PerAnswer: perAnswer, Patience: patience, StallTimeout: stall})
}

func randomBytes(n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(rand.Uint32())
	}
	return data
}

func expectUnused(t *testing.T, f *readahead.Forwarder) {
	t.Helper()
	if u := f.Usage(); u.Bytes != 0 || u.Answers != 0 {
		t.Errorf("%d bytes of %d answers are still held", u.Bytes, u.Answers)
	}
}

// Guards against an answer that stays unread while its caller reads nothing: its server cuts
// it off.
func TestAnswerIsReadToItsEndWhileTheCallerIsBlocked(t *testing.T) {
	data := randomBytes(100_000)
	src := &source{Reader: bytes.NewReader(data)}
	c := newCaller(func(int) {
		deadline := time.Now().Add(10 * time.Second)
		for time.Now().Before(deadline) {
			if _, err := src.state(); err == io.EOF {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	f := newForwarder(1<<20, 1<<20, longStall)
	reserved, err := f.Copy(c, src)
	if err != nil || !bytes.Equal(c.received.Bytes(), data) || reserved < 90_000 {
		t.Errorf("%d bytes of %d, %d reserved, error %v", c.received.Len(), len(data), reserved, err)
	}
	expectUnused(t, f)
}

// Guards against lost, repeated or reordered data when reading ahead begins and ends at any
// point, within little memory.
func TestAnswersArriveWholeAtCallersOfAnySpeed(t *testing.T) {
	f := newForwarder(16*chunk, 4*chunk, longStall)
	var all sync.WaitGroup
	for seed := range uint64(20) {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(seed, 0))
			data := randomBytes(r.IntN(300_000))
			c := newCaller(func(int) {
				if r.IntN(4) == 0 {
					time.Sleep(time.Duration(r.Int64N(int64(4 * patience))))
				}
			})
			if _, err := f.Copy(c, &pieces{data: data, random: rand.New(rand.NewPCG(seed, 1))}); err != nil || !bytes.Equal(c.received.Bytes(), data) {
				t.Errorf("seed %d: %d bytes of %d, error %v", seed, c.received.Len(), len(data), err)
			}
		}()
	}
	all.Wait()
	expectUnused(t, f)
}

// pieces returns data in pieces of random sizes, some after a pause.
type pieces struct {
	data   []byte
	random *rand.Rand
}

func (s *pieces) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	if s.random.IntN(8) == 0 {
		time.Sleep(time.Duration(s.random.Int64N(int64(patience))))
	}
	n := copy(p[:1+s.random.IntN(len(p))], s.data)
	s.data = s.data[n:]
	return n, nil
}

// endless is an answer without end. It fails once its process holds more than it may.
type endless struct{ f *readahead.Forwarder }

func (e endless) Read(p []byte) (int, error) {
	if u := e.f.Usage(); u.Bytes > u.Limits.Total {
		return 0, fmt.Errorf("%d bytes are held", u.Bytes)
	}
	return len(p), nil
}

// Guards against unlimited memory for callers that read nothing, and against a caller that
// takes the part that it got for a whole answer: two of them share the memory of a process.
func TestAnswersOfBlockedCallersAreGivenUpAtTheLimits(t *testing.T) {
	for _, limits := range []struct{ total, perAnswer int64 }{{64 * chunk, 4 * chunk}, {4 * chunk, 64 * chunk}, {1, 64 * chunk}} {
		f := newForwarder(limits.total, limits.perAnswer, stallTimeout)
		var callers sync.WaitGroup
		for range 2 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				release := make(chan struct{})
				defer close(release)
				src := &source{Reader: endless{f: f}}
				reserved, err := f.Copy(newCaller(func(int) { <-release }), src)
				if !errors.Is(err, readahead.ErrTooSlow) || reserved > limits.perAnswer {
					t.Errorf("%+v: %d bytes reserved, error %v", limits, reserved, err)
				}
				if n, _ := src.state(); int64(n) > reserved+chunk {
					t.Errorf("%+v: %d bytes read with %d reserved", limits, n, reserved)
				}
			}()
		}
		callers.Wait()
		expectUnused(t, f)
	}
}

// Guards against giving up an answer larger than the limits whose caller reads it steadily.
func TestLargeAnswerOfASteadyCallerIsWhole(t *testing.T) {
	data := randomBytes(40 * chunk)
	c := newCaller(func(int) { time.Sleep(2 * patience) })
	if _, err := newForwarder(4*chunk, 4*chunk, longStall).Copy(c, bytes.NewReader(data)); err != nil || !bytes.Equal(c.received.Bytes(), data) {
		t.Errorf("%d bytes of %d, error %v", c.received.Len(), len(data), err)
	}
}

// Guards against an answer that ends with an error of its server and looks complete, and
// against the loss of what came before the error.
func TestErrorOfTheSourceComesAfterAllThatWasRead(t *testing.T) {
	failed := errors.New("failed")
	data := randomBytes(5 * chunk)
	c := newCaller(func(int) { time.Sleep(2 * patience) })
	_, err := newForwarder(1<<20, 1<<20, longStall).Copy(c, io.MultiReader(bytes.NewReader(data), failing{failed}))
	if !errors.Is(err, failed) || !bytes.Equal(c.received.Bytes(), data) {
		t.Errorf("%d bytes of %d, error %v", c.received.Len(), len(data), err)
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// Guards against a goroutine that reads for ever for a caller that has left.
func TestFailedWriteEndsReading(t *testing.T) {
	r, w := io.Pipe()
	go func() { _, _ = w.Write([]byte("begin")) }()
	c := newCaller(nil)
	c.take = func(int) { time.Sleep(4 * patience); c.Interrupt(); select {} }
	c.stop = func() { r.CloseWithError(io.ErrClosedPipe) }
	f := newForwarder(1<<20, 1<<20, longStall)
	if _, err := f.Copy(c, r); !errors.Is(err, readahead.ErrWrite) {
		t.Errorf("error %v", err)
	}
	expectUnused(t, f)
}

type panicking struct{ reads int }

func (p *panicking) Read(b []byte) (int, error) {
	if p.reads++; p.reads > 1 {
		panic("read")
	}
	return len(b), nil
}

// Guards against a panic in a goroutine of its own, which would end the process, and against one
// whose cause cannot be found.
func TestPanicOfTheSourceIsPassedOn(t *testing.T) {
	f := newForwarder(1<<20, 1<<20, longStall)
	defer func() {
		p, ok := recover().(*safego.Panic)
		if !ok || p.Value != "read" || !strings.Contains(string(p.Stack), "(*panicking).Read") {
			t.Errorf("panic %v, want that of the source with its stack", p)
		}
		expectUnused(t, f)
	}()
	_, _ = f.Copy(newCaller(func(int) { time.Sleep(4 * patience) }), &panicking{})
}

// Guards against a goroutine and buffers for the rest of an answer whose caller was slow once.
func TestReadingAheadEndsOnceTheCallerKeepsUp(t *testing.T) {
	f := newForwarder(1<<20, 1<<20, longStall)
	writes := 0
	c := newCaller(func(int) {
		if writes++; writes == 1 {
			time.Sleep(4 * patience)
		}
	})
	var after int64
	src := &slowSource{f: f, last: &after}
	if _, err := f.Copy(c, src); err != nil {
		t.Fatal(err)
	}
	if after != 0 {
		t.Errorf("%d answers are read ahead though their callers keep up", after)
	}
}

// slowSource returns some bytes every few milliseconds and looks how many answers are read
// ahead at the last ones.
type slowSource struct {
	f     *readahead.Forwarder
	last  *int64
	reads int
}

func (s *slowSource) Read(p []byte) (int, error) {
	if s.reads++; s.reads > 20 {
		*s.last = s.f.Usage().Answers
		return 0, io.EOF
	}
	time.Sleep(patience)
	return copy(p, "event"), nil
}

// Guards against an answer that is read ahead, in a goroutine of its own and into memory that others
// use, after a write to its caller has panicked.
func TestPanicOfAWriteEndsReadingAhead(t *testing.T) {
	for writes := range 3 {
		f := newForwarder(1<<20, 1<<20, longStall)
		src, end := io.Pipe()
		go func() {
			for {
				if _, err := end.Write(make([]byte, chunk)); err != nil {
					return
				}
			}
		}()
		c := &panickingCaller{sound: writes, stop: func() { src.Close() }}
		func() {
			defer func() {
				if recover() != "write" {
					t.Error("no panic")
				}
			}()
			_, _ = f.Copy(c, src)
		}()
		expectUnused(t, f)
		time.Sleep(2 * patience)
		expectUnused(t, f)
		src.Close()
	}
}

// panickingCaller is a Destination whose writes panic after some sound and slow ones.
type panickingCaller struct {
	sound int
	stop  func()
}

func (c *panickingCaller) Write(p []byte) (int, error) {
	if c.sound--; c.sound < 0 {
		panic("write")
	}
	time.Sleep(2 * patience)
	return len(p), nil
}

func (c *panickingCaller) Interrupt()   {}
func (c *panickingCaller) StopReading() { c.stop() }
