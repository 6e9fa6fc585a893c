package sidecar_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/platform"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sidecar"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

var _ = Describe("Run", func() {
	It("streams an answer of the engine and proves it whole", func() {
		backend := httptest.NewServer(http.HandlerFunc(twoPieces))
		defer backend.Close()
		session := startSidecar(platform.ServiceModels, backend)

		conn := openStart(session, &wire.Start{
			RequestId: newID(),
			BudgetUs:  time.Minute.Microseconds(),
			Work:      &wire.Start_Generate{Generate: &wire.Generate{Model: "m", MaxTokens: 2}},
		})
		text, final := receiveAnswer(conn)
		Expect(text).To(Equal("ab"))
		Expect(final.GetFinishReason()).To(Equal("stop"))
	})

	It("runs a call of a plain service once", func() {
		var runs atomic.Int64
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte(r.URL.Path))
		}))
		defer backend.Close()
		session := startSidecar("booking", backend)

		conn := openStart(session, &wire.Start{
			RequestId: newID(),
			BudgetUs:  time.Minute.Microseconds(),
			Work:      &wire.Start_Call{Call: &wire.Call{Method: http.MethodPost, Path: "/holds"}},
		})
		text, final := receiveAnswer(conn)
		Expect(text).To(Equal("/holds"))
		Expect(final.GetStatus()).To(BeEquivalentTo(http.StatusCreated))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})
})

func twoPieces(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/generate":
	case "/state":
		_, _ = w.Write([]byte(`{"incarnation":"1","ready":true,"applied":{"model":"m","role":"mixed"}}`))
		return
	default:
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write([]byte(`{"piece":{"text":"a","tokens":1}}` + "\n"))
	_, _ = w.Write([]byte(`{"piece":{"text":"b","tokens":1}}` + "\n"))
	_, _ = w.Write([]byte(`{"finish":{"reason":"stop","output_tokens":2}}` + "\n"))
}

// startSidecar runs a sidecar beside backend until the spec ends and returns a
// link to it.
func startSidecar(service string, backend *httptest.Server) *link.Session {
	GinkgoHelper()
	s := testSettings(service, strings.TrimPrefix(backend.URL, "http://"))
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- sidecar.Run(ctx, s) }()
	DeferCleanup(func() {
		stop()
		Eventually(stopped, 10*time.Second).Should(Receive(BeNil()))
	})
	session := dial(s.Listen.Links)
	awaitAdmitting(session)
	return session
}

// awaitAdmitting exchanges Hello and waits until the sidecar lets work in.
func awaitAdmitting(session *link.Session) {
	GinkgoHelper()
	conn, err := session.Open()
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Process: "entry-1"}}})).To(Succeed())
	for {
		frame, err := conn.Receive()
		Expect(err).NotTo(HaveOccurred())
		if frame.GetLoad().GetAdmitting() {
			return
		}
	}
}

func testSettings(service, backend string) settings.Settings {
	return settings.Settings{
		Process: settings.Process{Name: "vm-1", Role: settings.RoleSidecar, Region: "seoul", DataCentre: "gangnam"},
		Listen: settings.Listen{
			Links: freeAddress(), Operators: freeAddress(), OperatorTokenFile: tokenFile(),
		},
		Platform: settings.Platform{Address: freeAddress(), CallsPerSecond: 20},
		Sidecar: &settings.Sidecar{
			BackendServer: settings.BackendServer{
				Service: service, Address: backend, Slots: 4, OrderTimeout: time.Second,
			},
			QueueLength:     16,
			ResultBytes:     1 << 20,
			ResumeWait:      time.Second,
			ShutdownTimeout: 5 * time.Second,
		},
	}
}

func tokenFile() string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "token")
	Expect(os.WriteFile(path, []byte("a token for operators"), 0o600)).To(Succeed())
	return path
}

func freeAddress() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func dial(address string) *link.Session {
	GinkgoHelper()
	var session *link.Session
	Eventually(func() (err error) {
		session, err = link.Dial(context.Background(), address)
		return err
	}, 5*time.Second, 10*time.Millisecond).Should(Succeed())
	DeferCleanup(func() { _ = session.Close() })
	return session
}

func newID() []byte {
	id := uuid.Must(uuid.NewV7())
	return id[:]
}

func openStart(session *link.Session, start *wire.Start) *wire.Conn {
	GinkgoHelper()
	conn, err := session.Open()
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.Send(&wire.Frame{Body: &wire.Frame_Start{Start: start}})).To(Succeed())
	return conn
}

// receiveAnswer reads an answer to its end and fails unless it is whole.
func receiveAnswer(conn *wire.Conn) (string, *wire.Final) {
	GinkgoHelper()
	text := strings.Builder{}
	digest := wire.NewDigest()
	for {
		frame, err := conn.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(frame.GetRefusal()).To(BeNil())
		if chunk := frame.GetChunk(); chunk != nil {
			digest.Add(chunk)
			text.Write(chunk.GetData())
		}
		if final := frame.GetFinal(); final != nil {
			Expect(digest.Matches(final)).To(BeTrue())
			return text.String(), final
		}
	}
}
