package platform_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pistachioroad.dev/pistachioroad/internal/platform"
)

// slowTransport answers each call after a while and counts them.
type slowTransport struct {
	calls    atomic.Int32
	slowGets time.Duration
}

func (t *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.calls.Add(1)
	time.Sleep(100 * time.Millisecond)
	if r.Method == http.MethodGet {
		time.Sleep(t.slowGets)
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Etag": {`"7"`}},
		Body:       io.NopCloser(strings.NewReader("x")),
		Request:    r,
	}, nil
}

// Many duties of a process read the same object when it starts. Each of them
// counts against the rate that all processes share, and a process over its
// share reads nothing for a while.
func TestEqualReadsShareOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &slowTransport{}
		client := platform.NewClient(platform.ClientConfig{})
		platform.SetTransport(client, transport)
		var readers sync.WaitGroup
		for range 5 {
			readers.Go(func() {
				o, err := client.Get(t.Context(), "a")
				if err != nil || o.Version != 7 {
					t.Errorf("got %v, %v", o, err)
				}
			})
		}
		readers.Wait()
		if calls := transport.calls.Load(); calls != 1 {
			t.Errorf("%d calls for five equal reads", calls)
		}
	})
}

// A read that began before a write must not answer one that begins after it: a
// writer whose reply was lost would look for its write in an older value.
func TestReadAfterWriteIsItsOwnCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &slowTransport{slowGets: time.Second / 2}
		client := platform.NewClient(platform.ClientConfig{})
		platform.SetTransport(client, transport)
		var readers sync.WaitGroup
		readers.Go(func() { _, _ = client.Get(t.Context(), "a") })
		synctest.Wait()
		if _, err := client.Put(t.Context(), "a", 6, []byte("x")); err != nil {
			t.Error(err)
		}
		readers.Go(func() { _, _ = client.Get(t.Context(), "a") })
		readers.Wait()
		if calls := transport.calls.Load(); calls != 3 {
			t.Errorf("%d calls for a read, a write and a read", calls)
		}
	})
}
