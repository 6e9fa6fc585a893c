package sharedstate_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.RapidOptions{})) }

func TestSharedState(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "sharedstate")
}

// serve starts an object API that is served by handler, and returns a Client of it.
func serve(handler http.HandlerFunc, config sharedstate.ClientConfig) *sharedstate.Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	config.Store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	config.Random = rand.New(rand.NewPCG(1, 1))
	return sharedstate.NewClient(config)
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(code)
		_, _ = io.WriteString(w, `{"metadata":{"name":"a","revision":7},"spec":"x"}`)
	}
}

// loseReply takes the request and closes the connection.
func loseReply(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

var _ = Describe("Client.Put", func() {
	ctx := context.Background()

	DescribeTable("distinguishes certain outcomes from unknown ones",
		func(handler http.HandlerFunc, want error) {
			_, err := serve(handler, sharedstate.ClientConfig{}).Put(ctx, "a/b", 3, []byte(`"x"`))
			Expect(errors.Is(err, want)).To(BeTrue(), "got %v", err)
		},
		Entry("another version", status(http.StatusConflict), sharedstate.ErrConflict),
		Entry("gone", status(http.StatusNotFound), sharedstate.ErrConflict),
		Entry("over the rate", status(http.StatusTooManyRequests), sharedstate.ErrNotSent),
		Entry("outage", status(http.StatusServiceUnavailable), sharedstate.ErrNotSent),
		Entry("gateway timeout", status(http.StatusGatewayTimeout), sharedstate.ErrUnknown),
		Entry("internal error", status(http.StatusInternalServerError), sharedstate.ErrUnknown),
		Entry("redirect", status(http.StatusTemporaryRedirect), sharedstate.ErrUnknown),
		Entry("lost reply", http.HandlerFunc(loseReply), sharedstate.ErrUnknown),
	)

	It("is not sent when the connection is refused", func() {
		client := sharedstate.NewClient(sharedstate.ClientConfig{Store: platform.NewStore("127.0.0.1:1")})
		_, err := client.Put(ctx, "a", 0, []byte(`"x"`))
		Expect(errors.Is(err, sharedstate.ErrNotSent)).To(BeTrue(), "got %v", err)
	})

	It("sends the version and returns the new one", func() {
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Method + " " + r.URL.Path).To(Equal("PUT /-/objects/claims/holds/3"))
			var sent struct {
				Metadata struct{ Revision int64 }
			}
			Expect(json.NewDecoder(r.Body).Decode(&sent)).To(Succeed())
			Expect(sent.Metadata.Revision).To(BeEquivalentTo(6))
			status(http.StatusOK)(w, r)
		}, sharedstate.ClientConfig{})
		Expect(client.Put(ctx, "claims/holds/3", 6, []byte(`"x"`))).To(Equal(uint64(7)))
	})
})

var _ = Describe("Client.Get", func() {
	ctx := context.Background()

	It("has version 0 for an object that does not exist", func() {
		client := serve(http.NotFound, sharedstate.ClientConfig{})
		o, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Version).To(BeZero())
	})
})

var _ = Describe("Client in an outage", func() {
	// Guards against calls that pile up in every process while the platform is down: callers
	// wait for them in vain, and at the end of the outage they all arrive together.
	It("rejects calls immediately and probes after a pause", func() {
		var calls atomic.Int32
		var down atomic.Bool
		down.Store(true)
		now := time.Unix(1000, 0)
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			if down.Load() {
				status(http.StatusServiceUnavailable)(w, r)
				return
			}
			status(http.StatusOK)(w, r)
		}, sharedstate.ClientConfig{CallsPerSecond: 1000, Now: func() time.Time { return now }})
		put := func() error {
			_, err := client.Put(context.Background(), "a", 0, []byte(`"x"`))
			return err
		}
		for range 100 {
			Expect(errors.Is(put(), sharedstate.ErrNotSent)).To(BeTrue())
		}
		Expect(calls.Load()).To(BeEquivalentTo(3))
		Expect(client.Health().Up).To(BeFalse())

		down.Store(false)
		now = client.Health().RetryAt
		Expect(put()).To(Succeed())
		Expect(client.Health().Up).To(BeTrue())
	})

	It("keeps within its share of the call rate", func() {
		var calls atomic.Int32
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			status(http.StatusOK)(w, r)
		}, sharedstate.ClientConfig{CallsPerSecond: 1})
		ctx, cancel := context.WithCancel(context.Background())
		_, err := client.Put(ctx, "a", 0, []byte(`"x"`))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_, err = client.Put(ctx, "a", 7, []byte(`"x"`))
		Expect(errors.Is(err, sharedstate.ErrNotSent)).To(BeTrue())
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Client over dead connections", func() {
	// Guards against a client that sees an outage of its own: a device on the network path
	// has dropped the state of the open connections, so that nothing arrives on them any
	// more while new ones work.
	It("opens a new connection after a timeout", func() {
		const readers = 4
		var hang, healed atomic.Bool
		var silent sync.Map
		// The handlers wait for each other, so that each reader opens a connection and
		// none is left unused.
		var met sync.WaitGroup
		met.Add(readers)
		done := make(chan struct{})
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			if !healed.Load() {
				silent.Store(r.RemoteAddr, true)
			}
			_, old := silent.Load(r.RemoteAddr)
			switch {
			case !hang.Load():
				met.Done()
				met.Wait()
			case old:
				<-done
				return
			}
			status(http.StatusOK)(w, r)
		}, sharedstate.ClientConfig{CallsPerSecond: 1000})
		DeferCleanup(func() { close(done) })
		read := func(name string) error {
			_, err := client.Get(context.Background(), name)
			return err
		}
		var reading sync.WaitGroup
		for n := range readers {
			reading.Go(func() { _ = read(string(rune('a' + n))) })
		}
		reading.Wait()
		hang.Store(true)
		Expect(read("x")).NotTo(Succeed())
		healed.Store(true)
		Expect(read("x")).To(Succeed())
	})
})
