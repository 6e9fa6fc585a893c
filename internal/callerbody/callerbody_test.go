package callerbody_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"pistachioroad.dev/pistachioroad/internal/callerbody"
	"pistachioroad.dev/pistachioroad/internal/membudget"
)

const limit = 1 << 20

// plan has memory for one body of the limit and one small one.
func plan() membudget.Plan {
	return membudget.Plan{SmallBodies: membudget.SmallBody, LargeBodies: limit + 1}
}

func ignore() {}

// slowBody has n bytes and then no more until it is interrupted.
type slowBody struct {
	io.Reader
	interrupted chan struct{}
	once        sync.Once
}

func newSlowBody(n int) *slowBody {
	return &slowBody{Reader: bytes.NewReader(make([]byte, n)), interrupted: make(chan struct{})}
}

func (b *slowBody) interrupt() { b.once.Do(func() { close(b.interrupted) }) }

func (b *slowBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		<-b.interrupted
		return 0, errors.New("interrupted")
	}
	return n, err
}

func TestBodiesAreReadWhole(t *testing.T) {
	m := callerbody.New("test", plan(), 1)
	for _, size := range []int{0, 1, membudget.FreeBody, membudget.FreeBody + 1, membudget.SmallBody, membudget.SmallBody + 1, limit - 1, limit} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for name, length := range map[string]int64{"length": int64(size), "chunks": -1} {
			b, err := m.Read(context.Background(), iotest.HalfReader(bytes.NewReader(want)), length, limit, ignore)
			if err != nil || !bytes.Equal(b.Bytes, want) {
				t.Errorf("%d bytes, %s: read %d bytes, error %v", size, name, len(b.Bytes), err)
			}
			b.Release()
		}
	}
	if m.Held() != 0 {
		t.Errorf("%d bytes are still reserved", m.Held())
	}
}

func TestBodiesOverTheLimitAreNotRead(t *testing.T) {
	m := callerbody.New("test", plan(), 1)
	for _, length := range []int64{limit + 1, -1} {
		b, err := m.Read(context.Background(), bytes.NewReader(make([]byte, limit+1)), length, limit, ignore)
		b.Release()
		if !errors.Is(err, callerbody.ErrTooLarge) || m.Held() != 0 {
			t.Errorf("length %d: error %v, %d bytes reserved", length, err, m.Held())
		}
	}
}

// Guards against memory for bodies that have been announced and do not come.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	m := callerbody.New("test", plan(), 1)
	var reading sync.WaitGroup
	defer reading.Wait()
	for range 100 {
		body := newSlowBody(membudget.FreeBody - 1)
		defer body.interrupt()
		reading.Go(func() { _, _ = m.Read(context.Background(), body, limit, limit, body.interrupt) })
	}
	b, err := m.Read(context.Background(), bytes.NewReader(make([]byte, limit)), limit, limit, ignore)
	if err != nil {
		t.Error(err)
	}
	b.Release()
}

// Guards against bodies that hold the memory for as long as their callers like.
func TestSlowBodyIsGivenUpForOthers(t *testing.T) {
	m := callerbody.New("test", plan(), 1)
	slow := newSlowBody(limit / 2)
	result := make(chan error)
	go func() {
		b, err := m.Read(context.Background(), slow, limit, limit, slow.interrupt)
		b.Release()
		result <- err
	}()
	for m.Held() < limit {
		time.Sleep(time.Millisecond)
	}
	b, err := m.Read(context.Background(), bytes.NewReader(make([]byte, limit)), limit, limit, ignore)
	if err != nil {
		t.Error(err)
	}
	b.Release()
	if err := <-result; !errors.Is(err, callerbody.ErrEvicted) {
		t.Errorf("error %v", err)
	}
}

// Guards against a wait that outlasts its request.
func TestBodyWithoutMemoryIsRejected(t *testing.T) {
	m := callerbody.New("test", plan(), 1)
	running, err := m.Read(context.Background(), bytes.NewReader(make([]byte, limit)), limit, limit, ignore)
	if err != nil {
		t.Fatal(err)
	}
	defer running.Release()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	b, err := m.Read(ctx, bytes.NewReader(make([]byte, limit)), limit, limit, ignore)
	b.Release()
	if !errors.Is(err, callerbody.ErrNoMemory) {
		t.Errorf("error %v", err)
	}
	small, err := m.Read(context.Background(), bytes.NewReader(make([]byte, membudget.SmallBody)), membudget.SmallBody, limit, ignore)
	small.Release()
	if err != nil {
		t.Errorf("a small body beside a large one: %v", err)
	}
}
