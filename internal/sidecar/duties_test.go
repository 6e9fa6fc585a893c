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
	// Guards against running a call twice: net/http retries a request with an
	// Idempotency-Key by itself when a reused connection breaks before the
	// response.
	It("sends a call that may not be repeated only once", func() {
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

	// Guards against a path that changes the host of the URL and sends the call
	// to another server.
	It("rejects a path that would change the host", func() {
		start := &wire.Start{Work: &wire.Start_Call{Call: &wire.Call{Method: "GET", Path: "@127.0.0.1:1/"}}}
		_, err := newPlainService("127.0.0.1:2").run(context.Background(), start, time.Now().Add(time.Minute), nil)
		Expect(verdict.Of(err).Code).To(Equal(verdict.CodeBadRequest))
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})

	// A refused connection, as during a restart of the service, proves that the
	// call did not run, so it can be retried elsewhere immediately.
	It("reports not run when the service refuses the connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		err = runCall(newPlainService(listener.Addr().String()))
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})

	// Guards against passing on a truncated answer as complete when the service
	// crashes in the middle of it.
	It("fails on a truncated answer", func() {
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

// fakeBackend runs until release is closed, or panics with fault if it is set.
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
	// Guards against a panic in the backend code that ends the process and with
	// it all other runs: the run's goroutine has no supervisor.
	It("reports a panic as a verdict", func() {
		var got requests.Event
		r := &runner{backend: &fakeBackend{fault: "nil map"}, post: func(e requests.Event) { got = e }}
		r.execute(context.Background(), requests.Run{Run: 7, Deadline: time.Now().Add(time.Minute)})
		Expect(got.(requests.RunFinished).Err.Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Guards against starting a run after its deadline when the process is paused
	// between the table's decision and the call.
	It("checks the deadline again before the call", func() {
		var got requests.Event
		r := &runner{backend: &fakeBackend{fault: "must not run"}, post: func(e requests.Event) { got = e }}
		r.execute(context.Background(), requests.Run{Run: 7, Deadline: time.Now()})
		Expect(got.(requests.RunFinished).Err.Verdict).To(Equal(verdict.NotRun))
	})
})

var _ = Describe("requestsDuty", func() {
	// Guards against callers that wait until their deadlines because the duty
	// panicked while their requests were running or queued.
	It("answers all its requests after a panic and continues", func() {
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
		d.inbox.Put(streamOpened{})
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
		inbox:         ring.New[any]("test", 16, ring.Reject),
		counts:        ring.New[workCount]("test", 1, ring.DropOldest),
		explain:       explain.New(16),
		control:       &controlDuty{loads: ring.New[*wire.Load]("test", 1, ring.DropOldest)},
		table:         requests.New(requests.Config{Slots: 1, QueueLength: 4}, newRandom()),
		streams:       map[requests.Stream]*stream{},
		cancels:       map[requests.RunID]context.CancelFunc{},
		claimRequests: map[requests.ClaimID]claims.Request{},
	}
	d.runner = &runner{backend: b, post: d.postAlways}
	return d
}

// openStream sends a call on a stream whose frames remain in its outbox.
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
	// Guards against an order that interrupts a running request: the plan changes
	// the engine just as a request is admitted, and a count from before admission
	// closed does not include it.
	It("ignores a count from before admission closed, and a zero count while it is open", func() {
		ctx := context.Background()
		d := newTestOrders(time.Now().Add(-time.Minute))
		d.admissionEpoch = 2
		startDrain(d, time.Now().Add(-time.Second))

		d.handleWorkCount(ctx, workCount{epoch: 1})
		Expect(d.executor.Phase()).To(Equal(orders.Draining))
		d.handleWorkCount(ctx, workCount{epoch: 2, admitting: true})
		Expect(d.executor.Phase()).To(Equal(orders.Draining))
		d.handleWorkCount(ctx, workCount{epoch: 2})
		Expect(d.executor.Phase()).To(Equal(orders.Ordering))
	})

	// Guards against aborting long generations after the built-in drain timeout of
	// half a minute when the engine changes, although operators gave them an hour.
	It("uses the drain timeout that operators set", func() {
		d := newTestOrders(time.Now())
		d.handle(context.Background(), orders.DrainTimeoutSet{Timeout: time.Hour})
		drainStart := time.Now().Add(time.Minute)
		startDrain(d, drainStart)
		Expect(d.executor.Step(drainStart.Add(59*time.Minute), orders.Tick{})).NotTo(ContainElement(orders.HandOver{}))
		Expect(d.executor.Step(drainStart.Add(time.Hour), orders.Tick{})).To(ContainElement(orders.HandOver{}))
	})
})

// newTestOrders returns the orders duty of an unreachable engine.
func newTestOrders(started time.Time) *ordersDuty {
	return &ordersDuty{
		inbox:     ring.New[any]("test", 16, ring.Reject),
		engine:    engine.NewClient("127.0.0.1:1"),
		admission: &admissionDuty{inbox: ring.New[any]("test", 16, ring.Reject)},
		explain:   explain.New(16),
		executor:  orders.New(started, orders.Config{OrderTimeout: time.Second, DrainTimeout: time.Minute}),
	}
}

// startDrain brings the executor into its draining phase with one running request.
func startDrain(d *ordersDuty, now time.Time) {
	GinkgoHelper()
	ready := engine.State{Ready: true, Applied: engine.Order{Model: "a"}}
	d.executor.Step(now, orders.RunningRequests{Count: 1})
	d.executor.Step(now, orders.StateRead{RequestedAt: now, State: ready})
	d.executor.Step(now, orders.RowReceived{Row: plan.Engine{Generation: 1, Model: "b"}})
	Expect(d.executor.Phase()).To(Equal(orders.Draining))
}

var _ = Describe("admissionState", func() {
	// Guards against admitting too early when several reasons against it overlap,
	// such as a drain and an engine change: ending one must not clear another.
	It("admits only when no reason against it remains", func() {
		now := time.Unix(1_000_000, 0)
		state := admissionState{engineAvailable: true}
		Expect(state.tableEvent()).To(Equal(requests.Admit{}))
		state.setDrained(now, drainStatus{drained: true, timeout: time.Minute})
		state.engineAvailable = false
		state.setDrained(now, drainStatus{})
		Expect(state.tableEvent()).To(BeAssignableToTypeOf(requests.StopAdmitting{}))
		Expect(state.draining()).To(BeFalse())
		state.engineAvailable = true
		Expect(state.tableEvent()).To(Equal(requests.Admit{}))
	})

	It("hands over once, when the drain timeout is over", func() {
		now := time.Unix(1_000_000, 0)
		state := admissionState{engineAvailable: true}
		state.setDrained(now, drainStatus{drained: true, timeout: time.Minute})
		state.setDrained(now.Add(time.Second), drainStatus{drained: true, timeout: time.Hour})
		Expect(state.handOverDue(now.Add(59 * time.Second))).To(BeFalse())
		Expect(state.handOverDue(now.Add(time.Minute))).To(BeTrue())
		Expect(state.handOverDue(now.Add(2 * time.Minute))).To(BeFalse())
	})
})

var _ = Describe("cacheEvents", func() {
	// Guards against entries that keep routing for a lost cache: a restarted engine
	// has an empty cache and numbers its events from 1.
	It("leaves a sequence gap after a restart of the engine", func() {
		c := cacheEvents{}
		c.setIncarnation("a")
		Expect(c.newFrames([]engine.CacheEvent{{Sequence: 1}, {Sequence: 2}})).To(HaveLen(2))
		c.setIncarnation("b")
		frames := c.newFrames([]engine.CacheEvent{{Sequence: 1, Stored: []uint64{9}}})
		Expect(frames).To(HaveLen(1))
		Expect(frames[0].GetFirstSequence()).To(BeEquivalentTo(4))
	})
})
