package serve_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func TestServe(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "serve")
}

// eventTimeout limits the wait for asynchronous steps; it is not a performance
// requirement.
const eventTimeout = 20 * time.Second

// sidecar is a fake whose responses to Start and Resolve are set by each spec.
type sidecar struct {
	name              string
	service           string
	listener          net.Listener
	heartbeatsStopped atomic.Bool
	start             func(conn *wire.Conn, start *wire.Start)
	resolve           func(r *wire.Resolve) *wire.Resolution
	cancelled         chan struct{}
	// closed reports that the stream of an attempt has ended.
	closed atomic.Bool
}

func newSidecar(name, service string) *sidecar {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &sidecar{name: name, service: service, listener: listener, cancelled: make(chan struct{}, 8)}
	go s.accept()
	DeferCleanup(func() { _ = listener.Close() })
	return s
}

func (s *sidecar) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session, err := link.Accept(conn)
		if err != nil {
			return
		}
		go s.serve(session)
	}
}

func (s *sidecar) serve(session *link.Session) {
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.stream(session, conn)
	}
}

func (s *sidecar) stream(session *link.Session, conn *wire.Conn) {
	first, err := conn.Receive()
	if err != nil {
		return
	}
	switch body := first.GetBody().(type) {
	case *wire.Frame_Hello:
		s.control(session, conn)
	case *wire.Frame_Start:
		go s.awaitCancel(conn)
		s.start(conn, body.Start)
	case *wire.Frame_Resolve:
		r := s.resolve(body.Resolve)
		r.RequestId = body.Resolve.GetRequestId()
		r.Incarnation = s.name
		_ = conn.Send(&wire.Frame{Body: &wire.Frame_Resolution{Resolution: r}})
		_ = conn.Close()
	}
}

// control sends heartbeats until heartbeatsStopped is set; a new connection
// starts them again.
func (s *sidecar) control(session *link.Session, conn *wire.Conn) {
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Incarnation: s.name}}})
	s.heartbeatsStopped.Store(false)
	for range time.Tick(50 * time.Millisecond) {
		if s.heartbeatsStopped.Load() {
			return
		}
		_ = conn.Send(&wire.Frame{Body: &wire.Frame_Load{Load: &wire.Load{
			Slots: 8, Admitting: true, Models: []string{"draft"}, Role: "mixed",
		}}})
		if conn.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{}}}) != nil {
			return
		}
	}
	_ = session
}

func (s *sidecar) awaitCancel(conn *wire.Conn) {
	f, err := conn.Receive()
	if err == nil && f.GetCancel() != nil {
		s.cancelled <- struct{}{}
	}
	s.closed.Store(err != nil)
}

func (s *sidecar) vm() sharedstate.VM {
	return sharedstate.VM{
		Name: s.name, Kind: sharedstate.VMBackend, LinkAddress: s.listener.Addr().String(), Service: s.service,
	}
}

// answer sends words as the chunks of an answer, followed by the Final frame if
// complete is set, and closes the stream.
func answer(conn *wire.Conn, start *wire.Start, words []string, complete bool) {
	chunks, final := frames(start, words)
	for _, c := range chunks {
		_ = conn.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: c}})
	}
	if complete {
		_ = conn.Send(&wire.Frame{Body: &wire.Frame_Final{Final: final}})
	}
	_ = conn.Close()
}

func frames(start *wire.Start, words []string) ([]*wire.Chunk, *wire.Final) {
	digest := wire.NewDigest()
	chunks := []*wire.Chunk{}
	for _, word := range words {
		c := &wire.Chunk{
			RequestId: start.GetRequestId(), Attempt: start.GetAttempt(),
			Sequence: digest.Chunks(), Data: []byte(word), Tokens: 1,
		}
		digest.Add(c)
		chunks = append(chunks, c)
	}
	return chunks, &wire.Final{
		RequestId: start.GetRequestId(), Attempt: start.GetAttempt(), Chunks: digest.Chunks(), Digest: digest.Sum(),
	}
}

// sink records what a caller gets.
type sink struct {
	mu        sync.Mutex
	text      strings.Builder
	err       *verdict.Error
	finished  bool
	delivered chan struct{}
}

func newSink() *sink { return &sink{delivered: make(chan struct{}, 64)} }

func (s *sink) Deliver(data []byte, _ uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Write(data)
	s.delivered <- struct{}{}
	return nil
}

func (s *sink) Finish(call.Finish) { s.finished = true }

func (s *sink) Fail(err *verdict.Error) { s.err = err }

type fixedView struct{ view *view.View }

func (f fixedView) View() *view.View { return f.view }

type noObjects struct{}

func (noObjects) Versions() *wire.Versions               { return &wire.Versions{} }
func (noObjects) Newer(*wire.Versions) []*wire.Object    { return nil }
func (noObjects) Offer(sharedstate.Object)               {}
func (noObjects) SetPeerVersions(string, *wire.Versions) {}
func (noObjects) Changed() <-chan struct{}               { return nil }
func backends(sidecars []*sidecar) (vms []sharedstate.VM) {
	for _, s := range sidecars {
		vms = append(vms, s.vm())
	}
	return vms
}

// startServer runs the router and the links to the sidecars until the spec ends.
func startServer(sidecars ...*sidecar) *serve.Server {
	GinkgoHelper()
	views := fixedView{view: &view.View{VMs: backends(sidecars)}}
	log := explain.New(256)
	r := router.New(router.Config{Views: views, Explain: log, Seed: 1})
	supervisor := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	pool := links.NewPool(links.Config{Self: &wire.Hello{}}, views, noObjects{}, r.Reports(), supervisor)
	supervisor.Add(r)
	supervisor.Add(pool)
	ctx, stop := context.WithCancel(context.Background())
	ended := supervisor.ServeBackground(ctx)
	DeferCleanup(func() {
		stop()
		<-ended
	})
	Eventually(func(g Gomega) {
		loads, err := r.LoadReports(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		for _, s := range sidecars {
			g.Expect(loads[s.name].Load).NotTo(BeNil())
		}
	}, eventTimeout, 10*time.Millisecond).Should(Succeed())
	return serve.NewServer(r, pool, log)
}

func generateRequest() *serve.Request {
	return &serve.Request{
		ID: uuid.Must(uuid.NewV7()), Caller: "c", Service: sharedstate.ServiceModels,
		Deadline: time.Now().Add(time.Minute), Idempotent: true,
		Generate: &wire.Generate{Model: "draft", Prompt: "p", PromptTokens: 1, MaxTokens: 4},
	}
}

func callRequest() *serve.Request {
	return &serve.Request{
		ID: uuid.Must(uuid.NewV7()), Caller: "c", Service: "holds", Deadline: time.Now().Add(time.Minute),
		Call: &wire.Call{Method: "POST", Path: "/holds"},
	}
}

var words = []string{"one ", "two ", "three ", "four "}

var _ = Describe("Server", func() {
	It("streams an answer and finishes when it is complete", func() {
		a := newSidecar("a", sharedstate.ServiceModels)
		a.start = func(conn *wire.Conn, start *wire.Start) { answer(conn, start, words, true) }
		caller := newSink()
		startServer(a).Do(context.Background(), generateRequest(), caller)
		Expect(caller.text.String()).To(Equal("one two three four "))
		Expect(caller.finished).To(BeTrue())
	})

	// Guards against an answer that breaks off: an engine crashes while generating
	// and its sidecar ends the stream. Another engine must continue the answer.
	It("continues an interrupted answer at another engine", func() {
		a, b := newSidecar("a", sharedstate.ServiceModels), newSidecar("b", sharedstate.ServiceModels)
		var first atomic.Bool
		run := func(conn *wire.Conn, start *wire.Start) {
			if first.CompareAndSwap(false, true) {
				answer(conn, start, words[:2], false)
				return
			}
			answer(conn, start, words[start.GetGenerate().GetResumeFrom():], true)
		}
		unknown := func(*wire.Resolve) *wire.Resolution {
			return &wire.Resolution{Outcome: wire.Outcome_OUTCOME_MAY_HAVE_RUN}
		}
		a.start, b.start = run, run
		a.resolve, b.resolve = unknown, unknown
		caller := newSink()
		startServer(a, b).Do(context.Background(), generateRequest(), caller)
		Expect(caller.text.String()).To(Equal("one two three four "))
		Expect(caller.finished).To(BeTrue())
	})

	// Guards against a second run: the connection goes silent after a
	// non-idempotent call was sent and run. Its answer is fetched over a second
	// connection.
	It("fetches the answer to a call behind a silent link", func() {
		a := newSidecar("a", "holds")
		var runs atomic.Int64
		started := make(chan *wire.Start, 1)
		a.start = func(_ *wire.Conn, start *wire.Start) {
			runs.Add(1)
			started <- start
			a.heartbeatsStopped.Store(true)
		}
		var resolvedWhileOpen atomic.Bool
		a.resolve = func(*wire.Resolve) *wire.Resolution {
			// The silent connection is still open: the query does not wait for its
			// end.
			resolvedWhileOpen.Store(!a.closed.Load())
			chunks, final := frames(<-started, []string{"placed"})
			return &wire.Resolution{Outcome: wire.Outcome_OUTCOME_RAN, Chunks: chunks, Final: final}
		}
		caller := newSink()
		startServer(a).Do(context.Background(), callRequest(), caller)
		Expect(caller.text.String()).To(Equal("placed"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(resolvedWhileOpen.Load()).To(BeTrue())
	})

	// Guards against engine time spent on an answer that nobody reads: its caller
	// disconnects while it is being generated, and other requests need the engine.
	It("cancels the work of a caller that has disconnected", func() {
		a := newSidecar("a", sharedstate.ServiceModels)
		a.start = func(conn *wire.Conn, start *wire.Start) {
			chunks, _ := frames(start, words[:1])
			_ = conn.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunks[0]}})
		}
		ctx, leave := context.WithCancel(context.Background())
		caller := newSink()
		done := make(chan struct{})
		server := startServer(a)
		go func() {
			defer close(done)
			server.Do(ctx, generateRequest(), caller)
		}()
		Eventually(caller.delivered, eventTimeout).Should(Receive())
		leave()
		Eventually(a.cancelled, eventTimeout).Should(Receive())
		Eventually(done, eventTimeout).Should(BeClosed())
		Expect(caller.err.Code).To(Equal(verdict.CodeCancelled))
		Expect(caller.err.Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Guards against a panic in an attempt that ends the process, and with it all requests.
	It("reports a request whose attempt panics, and goes on", func() {
		caller := newSink()
		serve.Faulty(startServer(newSidecar("a", "holds"))).Do(context.Background(), callRequest(), caller)
		Expect(caller.err.Verdict).To(Equal(verdict.NotRun))
		Expect(caller.err.Code).To(Equal(verdict.CodeNoBackend))
	})

	It("reports the refusal of a sidecar, with its verdict", func() {
		a := newSidecar("a", "holds")
		a.start = func(conn *wire.Conn, start *wire.Start) {
			_ = conn.Send(&wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{
				RequestId: start.GetRequestId(), Attempt: start.GetAttempt(),
				Code: string(verdict.CodeKeyReused), Message: "other body",
			}}})
		}
		caller := newSink()
		startServer(a).Do(context.Background(), callRequest(), caller)
		Expect(caller.err.Code).To(Equal(verdict.CodeKeyReused))
		Expect(caller.err.Verdict).To(Equal(verdict.NotRun))
	})
})
