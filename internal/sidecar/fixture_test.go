package sidecar_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/sidecar"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

// fixture is a sidecar that runs with a stand-in backend server until the spec
// ends.
type fixture struct {
	settings settings.Settings
	backend  *httptest.Server
	stop     context.CancelFunc
	stopped  chan error
}

// sidecars counts the running sidecars. Shutting down takes a while, and the next
// spec need not wait for it.
var sidecars sync.WaitGroup

var _ = AfterSuite(func() { sidecars.Wait() })

func startEngineSidecar() *fixture {
	GinkgoHelper()
	config := modelengine.DefaultConfig("")
	config.ChangeTime = 100 * time.Millisecond
	return startSidecar(sharedstate.ServiceModels, modelengine.New(config).Handler())
}

func startServiceSidecar() *fixture {
	GinkgoHelper()
	return startSidecar("booking", plainservice.New(plainservice.Config{}).Handler())
}

func startSidecar(service string, backend http.Handler, modify ...func(*settings.Sidecar)) *fixture {
	GinkgoHelper()
	f := &fixture{backend: httptest.NewServer(backend), stopped: make(chan error, 1)}
	DeferCleanup(f.backend.Close)
	store := httptest.NewServer(objectstore.New())
	DeferCleanup(store.Close)
	f.settings = testSettings(service, address(f.backend), address(store))
	for _, m := range modify {
		m(f.settings.Sidecar)
	}

	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	sidecars.Go(func() { f.stopped <- sidecar.Run(ctx, f.settings) })
	DeferCleanup(stop)
	f.admitted()
	return f
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func testSettings(service, backend, store string) settings.Settings {
	return settings.Settings{
		Process: settings.Process{Name: "vm-1", Role: settings.RoleSidecar, Region: "seoul", DataCentre: "gangnam"},
		Listen: settings.Listen{
			Links: freeAddress(), Operators: freeAddress(), OperatorTokenFile: tokenFile(),
		},
		Platform: settings.Platform{Address: store, CallsPerSecond: 20},
		Sidecar: &settings.Sidecar{
			BackendServer: settings.BackendServer{
				Service: service, Address: backend, Slots: 4, OrderTimeout: 200 * time.Millisecond,
			},
			QueueLength:     16,
			ResultBytes:     1 << 20,
			ResumeWait:      time.Second,
			ShutdownTimeout: 5 * time.Second,
		},
	}
}

const operatorToken = "a token for operators"

func tokenFile() string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "token")
	Expect(os.WriteFile(path, []byte(operatorToken), 0o600)).To(Succeed())
	return path
}

func freeAddress() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

// entryLink is the entry's side of a link.
type entryLink struct {
	*link.Session
	conn  *wire.Conn
	hello *wire.Hello
}

// link opens a link and exchanges Hello frames.
func (f *fixture) link() *entryLink {
	GinkgoHelper()
	l := &entryLink{}
	Eventually(func() (err error) {
		l.Session, err = link.Dial(context.Background(), f.settings.Listen.Links)
		return err
	}, 5*time.Second, 10*time.Millisecond).Should(Succeed())
	DeferCleanup(func() { _ = l.Session.Close() })
	l.conn = l.stream(&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Process: "entry-1"}}})
	l.hello = receive(l.conn).GetHello()
	Expect(l.hello).NotTo(BeNil())
	return l
}

// admitted waits until the sidecar admits requests and returns a link.
func (f *fixture) admitted() *entryLink {
	GinkgoHelper()
	l := f.link()
	l.await(func(frame *wire.Frame) bool { return frame.GetLoad().GetAdmitting() })
	return l
}

func (l *entryLink) awaitDraining() {
	GinkgoHelper()
	l.await(func(frame *wire.Frame) bool { return frame.GetHeartbeat().GetDraining() })
}

func (l *entryLink) awaitSlots() {
	GinkgoHelper()
	l.await(func(frame *wire.Frame) bool { return len(frame.GetSlots().GetSlots()) > 0 })
}

// await reads control frames until one satisfies wanted.
func (l *entryLink) await(wanted func(*wire.Frame) bool) {
	GinkgoHelper()
	for !wanted(receive(l.conn)) {
	}
}

func (l *entryLink) control(f *wire.Frame) {
	GinkgoHelper()
	Expect(l.conn.Send(f)).To(Succeed())
}

func (l *entryLink) stream(first *wire.Frame) *wire.Conn {
	GinkgoHelper()
	conn, err := l.Open()
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.Send(first)).To(Succeed())
	return conn
}

func (l *entryLink) send(start *wire.Start) *wire.Conn {
	GinkgoHelper()
	return l.stream(&wire.Frame{Body: &wire.Frame_Start{Start: start}})
}

func (l *entryLink) resolve(start *wire.Start) *wire.Resolution {
	GinkgoHelper()
	conn := l.stream(&wire.Frame{Body: &wire.Frame_Resolve{Resolve: &wire.Resolve{RequestId: start.GetRequestId()}}})
	return receive(conn).GetResolution()
}

func generation(prompt string, tokens uint32) *wire.Start {
	return &wire.Start{
		RequestId: newID(),
		Attempt:   1,
		BudgetUs:  time.Minute.Microseconds(),
		Work: &wire.Start_Generate{Generate: &wire.Generate{
			Model: "draft", Prompt: prompt, PromptTokens: 2, MaxTokens: tokens,
		}},
	}
}

func bookingCall(subject string) *wire.Start {
	return &wire.Start{
		RequestId: newID(),
		Attempt:   1,
		BudgetUs:  time.Minute.Microseconds(),
		Service:   "booking",
		Work: &wire.Start_Call{Call: &wire.Call{
			Method: http.MethodPost, Path: "/holds", Body: []byte(`{"subject":"` + subject + `"}`),
		}},
	}
}

func newID() []byte {
	id := uuid.Must(uuid.NewV7())
	return id[:]
}

func receive(conn *wire.Conn) *wire.Frame {
	GinkgoHelper()
	frame, err := conn.Receive()
	Expect(err).NotTo(HaveOccurred())
	return frame
}

func receiveChunk(conn *wire.Conn) *wire.Chunk {
	GinkgoHelper()
	chunk := receive(conn).GetChunk()
	Expect(chunk).NotTo(BeNil())
	return chunk
}

// receiveRefusal reads past the chunks of an attempt to its refusal.
func receiveRefusal(conn *wire.Conn) *wire.Refusal {
	GinkgoHelper()
	for {
		frame := receive(conn)
		Expect(frame.GetFinal()).To(BeNil())
		if refusal := frame.GetRefusal(); refusal != nil {
			return refusal
		}
	}
}

// receiveAnswer reads the rest of an answer, after the chunks already read, and
// fails unless it is complete.
func receiveAnswer(conn *wire.Conn, alreadyRead ...*wire.Chunk) (string, *wire.Final) {
	GinkgoHelper()
	text := strings.Builder{}
	digest := wire.NewDigest()
	add := func(chunk *wire.Chunk) {
		digest.Add(chunk)
		text.Write(chunk.GetData())
	}
	for _, chunk := range alreadyRead {
		add(chunk)
	}
	for {
		frame := receive(conn)
		Expect(frame.GetRefusal()).To(BeNil())
		if chunk := frame.GetChunk(); chunk != nil {
			add(chunk)
		}
		if final := frame.GetFinal(); final != nil {
			Expect(digest.Matches(final)).To(BeTrue())
			return text.String(), final
		}
	}
}

// keepGenerating sends generations until the returned function is called. That
// function returns the refusals with a verdict other than NotRun.
func (f *fixture) keepGenerating() func() []string {
	GinkgoHelper()
	l := f.link()
	stop := make(chan struct{})
	broken := []string{}
	running := sync.WaitGroup{}
	running.Go(func() {
		defer GinkgoRecover()
		for {
			select {
			case <-stop:
				return
			default:
			}
			if refusal := lastFrame(l.send(generation("portfolio", 20))).GetRefusal(); refusal != nil &&
				refusal.GetVerdict() != wire.Verdict_VERDICT_NOT_RUN {
				broken = append(broken, refusal.GetMessage())
			}
		}
	})
	return func() []string {
		close(stop)
		running.Wait()
		return broken
	}
}

func lastFrame(conn *wire.Conn) *wire.Frame {
	GinkgoHelper()
	defer conn.Close()
	for {
		frame := receive(conn)
		if frame.GetChunk() == nil {
			return frame
		}
	}
}

func (f *fixture) engineRecord() modelengine.Record {
	GinkgoHelper()
	record := modelengine.Record{}
	f.get("/standin/record", &record)
	return record
}

// runs returns a function that returns how often the call for subject ran.
func (f *fixture) runs(subject string) func() int {
	return func() int {
		GinkgoHelper()
		record := plainservice.Record{}
		f.get("/standin/runs", &record)
		return record.Runs[subject]
	}
}

func (f *fixture) get(path string, into any) {
	GinkgoHelper()
	f.getURL(f.backend.URL+path, into)
}

func (f *fixture) getOperator(path string, into any) {
	GinkgoHelper()
	f.getURL("http://"+f.settings.Listen.Operators+path, into)
}

func (f *fixture) getURL(url string, into any) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(json.NewDecoder(resp.Body).Decode(into)).To(Succeed())
}

func (f *fixture) delayService(delay time.Duration) {
	GinkgoHelper()
	faults, err := json.Marshal(plainservice.Faults{DelayMS: int(delay / time.Millisecond)})
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(f.backend.URL+"/standin/faults", "application/json", strings.NewReader(string(faults)))
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}
