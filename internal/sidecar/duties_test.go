package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/orders"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

var _ = Describe("plainService", func() {
	// The service takes a hold and its connection breaks before the answer.
	// net/http sends a request with an Idempotency-Key again by itself when
	// that happens on a connection used before, and the hold is placed twice.
	It("sends a call that may not be repeated once", func() {
		var runs atomic.Int64
		backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		defer backend.Close()
		service := newPlainService(strings.TrimPrefix(backend.URL, "http://"))
		Expect(runCall(service)).To(Succeed())
		err := runCall(service)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
		Expect(runs.Load()).To(BeEquivalentTo(2))
	})

	// A caller's path is made to look like an address. Joined with the
	// service's own, it would send the call to another server.
	It("sends nothing to another server", func() {
		start := &wire.Start{Work: &wire.Start_Call{Call: &wire.Call{Method: "GET", Path: "@127.0.0.1:1/"}}}
		_, err := newPlainService("127.0.0.1:2").run(context.Background(), start, time.Now().Add(time.Minute), nil)
		Expect(verdict.Of(err).Code).To(Equal(verdict.CodeBadRequest))
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})

	// The service is restarted. Nothing got the call, and its caller may hear
	// so and ask elsewhere at once.
	It("knows that a call did not run when nobody took it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		err = runCall(newPlainService(listener.Addr().String()))
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})

	// The service dies in the middle of its answer. What came so far looks like
	// a shorter answer.
	It("gives no cut answer for a whole one", func() {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		}))
		defer backend.Close()
		err := runCall(newPlainService(strings.TrimPrefix(backend.URL, "http://")))
		Expect(verdict.Of(err).Code).To(Equal(verdict.CodeAnswerBroken))
	})
})

func runCall(service *plainService) error {
	start := &wire.Start{Work: &wire.Start_Call{Call: &wire.Call{
		Method:  http.MethodPost,
		Path:    "/holds",
		Headers: []*wire.Header{{Name: "Idempotency-Key", Value: "k"}},
	}}}
	discard := func([]byte, uint32) error { return nil }
	_, err := service.run(context.Background(), start, time.Now().Add(time.Minute), discard)
	return err
}

// fakeBackend runs until it is released, or panics.
type fakeBackend struct {
	release chan struct{}
	fault   string
}

func (b *fakeBackend) run(context.Context, *wire.Start, time.Time, emitFunc) (*wire.Final, error) {
	if b.fault != "" {
		panic(b.fault)
	}
	<-b.release
	return &wire.Final{}, nil
}

var _ = Describe("runner", func() {
	// A fault in the code that talks to the backend server. Its goroutine is
	// under no supervisor, so the whole process would end and cut all others.
	It("turns a panic into a verdict", func() {
		var got requests.Event
		r := &runner{backend: &fakeBackend{fault: "nil map"}, post: func(e requests.Event) { got = e }}
		r.do(context.Background(), requests.Run{Run: 7, Deadline: time.Now().Add(time.Minute)})
		Expect(got.(requests.RunFinished).Err.Verdict).To(Equal(verdict.MayHaveRun))
	})

	// The process is paused between the decision to start and the start.
	It("looks at the clock once more", func() {
		var got requests.Event
		r := &runner{backend: &fakeBackend{fault: "must not run"}, post: func(e requests.Event) { got = e }}
		r.do(context.Background(), requests.Run{Run: 7, Deadline: time.Now()})
		Expect(got.(requests.RunFinished).Err.Verdict).To(Equal(verdict.NotRun))
	})
})

var _ = Describe("requestsDuty", func() {
	// The duty panics with requests running and waiting. Without an answer
	// their callers wait for the whole deadline.
	It("answers all its requests after a panic and goes on", func() {
		backend := &fakeBackend{release: make(chan struct{})}
		d := newTestRequests(backend)
		supervisor := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
		supervisor.Add(d)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		supervisor.ServeBackground(ctx)
		d.setAdmission(ctx, 1, requests.Admit{})

		running, waiting := openStream(d, 1), openStream(d, 2)
		Eventually(func() any { return d.Dump(ctx).(requests.Dump).Running }).Should(Equal(1))
		d.inbox.Put(opened{})
		Expect(refusalOn(running).GetVerdict()).To(Equal(wire.Verdict_VERDICT_MAY_HAVE_RUN))
		Expect(refusalOn(waiting).GetVerdict()).To(Equal(wire.Verdict_VERDICT_NOT_RUN))

		next := openStream(d, 3)
		Consistently(next.outbox.Len, 50*time.Millisecond).Should(BeZero())
		close(backend.release)
		Eventually(next.outbox.Len).Should(Equal(1))
	})
})

func newTestRequests(b backend) *requestsDuty {
	d := &requestsDuty{
		inbox:   ring.New[any]("test", 16, ring.Reject),
		counts:  ring.New[workCount]("test", 1, ring.DropOldest),
		explain: explain.New(16),
		control: &controlDuty{loads: ring.New[*wire.Load]("test", 1, ring.DropOldest)},
		table:   requests.New(requests.Config{Slots: 1, QueueLength: 4}, newRandom()),
		streams: map[requests.Stream]*stream{},
		cancels: map[requests.RunID]context.CancelFunc{},
		claimed: map[requests.ClaimID]claims.Request{},
	}
	d.runner = &runner{backend: b, post: d.mustPost}
	return d
}

// openStream sends a call on a stream whose frames stay in its outbox.
func openStream(d *requestsDuty, number byte) *stream {
	id := [16]byte{number}
	s := newStream(requests.Stream(number), nil)
	d.open(s, requests.StartReceived{Stream: s.number, Start: &wire.Start{
		RequestId: id[:],
		Attempt:   1,
		BudgetUs:  time.Minute.Microseconds(),
		Work:      &wire.Start_Call{Call: &wire.Call{Method: http.MethodPost, Path: "/holds"}},
	}})
	return s
}

func refusalOn(s *stream) *wire.Refusal {
	GinkgoHelper()
	var sent requests.Send
	Eventually(s.outbox.C()).Should(Receive(&sent))
	return sent.Frame.GetRefusal()
}

var _ = Describe("ordersDuty", func() {
	// The plan changes an engine in the moment a draft is let in. A count of
	// running requests from before the admission was closed says none, and the
	// order would cut the draft.
	It("does not believe a count from before the admission closed, or while it is open", func() {
		ctx := context.Background()
		d := newTestOrders(time.Now().Add(-time.Minute))
		d.number = 2
		startDrain(d, time.Now().Add(-time.Second))

		d.countWork(ctx, workCount{number: 1})
		Expect(d.executor.Phase()).To(Equal(orders.Draining))
		d.countWork(ctx, workCount{number: 2, admitting: true})
		Expect(d.executor.Phase()).To(Equal(orders.Draining))
		d.countWork(ctx, workCount{number: 2})
		Expect(d.executor.Phase()).To(Equal(orders.Ordering))
	})

	// An operator gives long drafts an hour to finish. With the built-in time
	// in force, a change of the engine would cut them after half a minute.
	It("keeps to the drain timeout that operators set", func() {
		d := newTestOrders(time.Now())
		d.take(context.Background(), orders.DrainTimeoutSet{Timeout: time.Hour})
		begun := time.Now().Add(time.Minute)
		startDrain(d, begun)
		Expect(d.executor.Step(begun.Add(59*time.Minute), orders.Tick{})).NotTo(ContainElement(orders.HandOver{}))
		Expect(d.executor.Step(begun.Add(time.Hour), orders.Tick{})).To(ContainElement(orders.HandOver{}))
	})
})

// newTestOrders returns the duty of an engine that cannot be reached.
func newTestOrders(started time.Time) *ordersDuty {
	return &ordersDuty{
		inbox:     ring.New[any]("test", 16, ring.Reject),
		engine:    engine.NewClient("127.0.0.1:1"),
		admission: &admissionDuty{inbox: ring.New[any]("test", 16, ring.Reject)},
		explain:   explain.New(16),
		executor:  orders.New(started, orders.Config{OrderTimeout: time.Second, DrainTimeout: time.Minute}),
	}
}

// startDrain brings the executor to wait for one running request.
func startDrain(d *ordersDuty, now time.Time) {
	GinkgoHelper()
	ready := engine.State{Ready: true, Applied: engine.Order{Model: "a"}}
	d.executor.Step(now, orders.RunningRequests{Count: 1})
	d.executor.Step(now, orders.StateRead{RequestedAt: now, State: ready})
	d.executor.Step(now, orders.RowReceived{Row: plan.Engine{Generation: 1, Model: "b"}})
	Expect(d.executor.Phase()).To(Equal(orders.Draining))
}

var _ = Describe("gate", func() {
	// The sidecar shuts down while its engine changes, or an operator takes the
	// drain back meanwhile. Each reason must hold until it is gone itself.
	It("admits only when nothing speaks against it", func() {
		now := time.Unix(1_000_000, 0)
		g := gate{engineOpen: true}
		Expect(g.event()).To(Equal(requests.Admit{}))
		g.drain(now, drainedSet{drained: true, timeout: time.Minute})
		g.engineOpen = false
		g.drain(now, drainedSet{})
		Expect(g.event()).To(BeAssignableToTypeOf(requests.StopAdmitting{}))
		Expect(g.draining()).To(BeFalse())
		g.engineOpen = true
		Expect(g.event()).To(Equal(requests.Admit{}))
	})

	It("hands over once, when the time to finish is over", func() {
		now := time.Unix(1_000_000, 0)
		g := gate{engineOpen: true}
		g.drain(now, drainedSet{drained: true, timeout: time.Minute})
		g.drain(now.Add(time.Second), drainedSet{drained: true, timeout: time.Hour})
		Expect(g.handOverDue(now.Add(59 * time.Second))).To(BeFalse())
		Expect(g.handOverDue(now.Add(time.Minute))).To(BeTrue())
		Expect(g.handOverDue(now.Add(2 * time.Minute))).To(BeFalse())
	})
})

var _ = Describe("cacheEvents", func() {
	// An engine restarts with an empty cache and numbers its events from 1.
	It("leaves a gap after a restart, so that entries forget", func() {
		c := cacheEvents{}
		c.restarted("a")
		Expect(c.take([]engine.CacheEvent{{Sequence: 1}, {Sequence: 2}})).To(HaveLen(2))
		c.restarted("b")
		frames := c.take([]engine.CacheEvent{{Sequence: 1, Stored: []uint64{9}}})
		Expect(frames).To(HaveLen(1))
		Expect(frames[0].GetFirstSequence()).To(BeEquivalentTo(4))
	})
})
