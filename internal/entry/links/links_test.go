package links_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func TestLinks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "links")
}

// eventuallyTimeout bounds the waits for asynchronous events. It is generous and
// does not check how fast they are.
const eventuallyTimeout = 20 * time.Second

// fakeSidecar sends its Hello and heartbeats on each control stream. It records
// the objects that it receives, and can become silent on its open connections.
type fakeSidecar struct {
	listener net.Listener
	versions atomic.Pointer[wire.Versions]
	accepted atomic.Int64
	// heartbeatsPaused stops the heartbeats. noHello stops the Hello on new
	// connections, which the kernel of a paused process still accepts.
	heartbeatsPaused atomic.Bool
	noHello          atomic.Bool

	mu      sync.Mutex
	silent  map[*link.Session]bool
	objects []*wire.Object
	streams []*wire.Conn
}

func startSidecar() *fakeSidecar {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &fakeSidecar{listener: listener, silent: map[*link.Session]bool{}}
	s.versions.Store(&wire.Versions{Versions: map[string]uint64{"fleetconfig": 1}})
	go s.accept()
	DeferCleanup(func() { _ = listener.Close() })
	return s
}

func (s *fakeSidecar) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session, err := link.Accept(conn)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.silent[session] = false
		s.mu.Unlock()
		s.accepted.Add(1)
		go s.serve(session)
	}
}

func (s *fakeSidecar) serve(session *link.Session) {
	control, err := session.AcceptStream()
	if err != nil {
		return
	}
	go s.receive(control)
	if s.noHello.Load() {
		return
	}
	_ = control.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Incarnation: "life-1"}}})
	_ = control.Send(&wire.Frame{Body: &wire.Frame_Versions{Versions: s.versions.Load()}})
	go s.sendHeartbeats(session, control)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.streams = append(s.streams, stream)
		s.mu.Unlock()
	}
}

func (s *fakeSidecar) sendHeartbeats(session *link.Session, control *wire.Conn) {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		silent := s.silent[session]
		s.mu.Unlock()
		if silent || s.heartbeatsPaused.Load() {
			continue
		}
		beat := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
		if control.Send(beat) != nil {
			return
		}
	}
}

func (s *fakeSidecar) receive(control *wire.Conn) {
	for {
		f, err := control.Receive()
		if err != nil {
			return
		}
		if o := f.GetObject(); o != nil {
			s.mu.Lock()
			s.objects = append(s.objects, o)
			s.mu.Unlock()
		}
	}
}

// silenceOpenConns stops the heartbeats on the connections that are open now.
func (s *fakeSidecar) silenceOpenConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.silent {
		s.silent[session] = true
	}
}

func (s *fakeSidecar) receivedVersions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := []uint64{}
	for _, o := range s.objects {
		versions = append(versions, o.GetVersion())
	}
	return versions
}

func (s *fakeSidecar) closeStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		_ = stream.Close()
	}
}

// fakeObjects is a links.Objects with a single object.
type fakeObjects struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{}
}

func newFakeObjects() *fakeObjects { return &fakeObjects{version: 1, changed: make(chan struct{})} }

func (o *fakeObjects) set(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = version
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *fakeObjects) Versions() *wire.Versions {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &wire.Versions{Versions: map[string]uint64{"fleetconfig": o.version}}
}

func (o *fakeObjects) Newer(peer *wire.Versions) []*wire.Object {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.version <= peer.GetVersions()["fleetconfig"] {
		return nil
	}
	return []*wire.Object{{Name: "fleetconfig", Version: o.version}}
}

func (o *fakeObjects) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

func (o *fakeObjects) Offer(sharedstate.Object)               {}
func (o *fakeObjects) SetPeerVersions(string, *wire.Versions) {}

type fixedView struct{ view atomic.Pointer[view.View] }

func (f *fixedView) View() *view.View { return f.view.Load() }

func (f *fixedView) list(vms ...sharedstate.VM) { f.view.Store(&view.View{VMs: vms}) }

// startPool runs a Pool over the views until the spec ends.
func startPool(views view.Source, objects links.Objects, config links.Config) (*links.Pool, *ring.Ring[links.Report]) {
	GinkgoHelper()
	config.Self = &wire.Hello{Process: "entry-1"}
	reports := ring.New[links.Report]("test", 64, ring.DropOldest)
	supervisor := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	pool := links.NewPool(config, views, objects, reports, supervisor)
	supervisor.Add(pool)
	ctx, stop := context.WithCancel(context.Background())
	ended := supervisor.ServeBackground(ctx)
	DeferCleanup(func() {
		stop()
		<-ended
	})
	return pool, reports
}

func vmAt(name, address string) sharedstate.VM {
	return sharedstate.VM{Name: name, Kind: sharedstate.VMBackend, LinkAddress: address, Service: "models"}
}

var _ = Describe("Pool", func() {
	var (
		sidecar *fakeSidecar
		views   *fixedView
	)

	BeforeEach(func() {
		sidecar = startSidecar()
		views = &fixedView{}
		views.list(vmAt("a", sidecar.listener.Addr().String()))
	})

	// Guards against requests that hang until their deadlines: a middlebox has lost
	// the state of the connection, so it neither fails nor delivers, while new
	// connections work.
	It("opens a second connection when one is silent", func() {
		pool, _ := startPool(views, newFakeObjects(), links.Config{})
		first, err := pool.Conn(context.Background(), "a")
		Expect(err).NotTo(HaveOccurred())

		sidecar.silenceOpenConns()
		Eventually(first.Silent(), eventuallyTimeout).Should(BeClosed())
		Eventually(func() error {
			second, err := pool.Conn(context.Background(), "a")
			if err == nil && second == first {
				return fmt.Errorf("still the silent connection")
			}
			return err
		}, eventuallyTimeout, 10*time.Millisecond).Should(Succeed())
		Expect(sidecar.accepted.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a link that stays on a connection marked silent: a sidecar is
	// paused for longer than two heartbeats and resumes. The second connection got
	// no Hello in the meantime, and frames arrive on the first one again. If it were
	// kept, every request on it would need a Resolve, and callers of that sidecar
	// would exceed their deadlines.
	It("replaces a connection that was silent even if frames arrive again", func() {
		pool, _ := startPool(views, newFakeObjects(), links.Config{})
		first, err := pool.Conn(context.Background(), "a")
		Expect(err).NotTo(HaveOccurred())

		sidecar.heartbeatsPaused.Store(true)
		sidecar.noHello.Store(true)
		Eventually(first.Silent(), eventuallyTimeout).Should(BeClosed())
		Eventually(sidecar.accepted.Load, eventuallyTimeout).Should(BeNumerically(">=", 2))
		sidecar.heartbeatsPaused.Store(false)
		woken := time.Now()
		Eventually(func() time.Time {
			peer, _ := pool.Peer("a")
			return peer.LastFrameAt
		}, eventuallyTimeout).Should(BeTemporally(">", woken))
		sidecar.noHello.Store(false)
		Eventually(func() error {
			second, err := pool.Conn(context.Background(), "a")
			if err == nil && second == first {
				return fmt.Errorf("still the connection that was silent")
			}
			return err
		}, eventuallyTimeout, 10*time.Millisecond).Should(Succeed())
	})

	// Guards against slow configuration changes: a sidecar that received a changed
	// default only after its next Versions would use the old one for seconds.
	It("pushes a changed object immediately", func() {
		objects := newFakeObjects()
		pool, _ := startPool(views, objects, links.Config{})
		Eventually(func() map[string]uint64 {
			peer, _ := pool.Peer("a")
			return peer.Versions
		}, eventuallyTimeout).Should(HaveKeyWithValue("fleetconfig", uint64(1)))
		objects.set(2)
		Eventually(sidecar.receivedVersions, eventuallyTimeout, 10*time.Millisecond).Should(Equal([]uint64{2}))
		objects.set(3)
		Eventually(sidecar.receivedVersions, eventuallyTimeout, 10*time.Millisecond).Should(Equal([]uint64{2, 3}))
	})

	// Guards against cut requests: a backend server that has been removed from the VM
	// list is still finishing its last requests over the link.
	It("keeps a link open while a request runs on it", func() {
		pool, _ := startPool(views, newFakeObjects(), links.Config{})
		conn, err := pool.Conn(context.Background(), "a")
		Expect(err).NotTo(HaveOccurred())
		stream, err := conn.Open()
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{}}})).To(Succeed())

		views.list()
		Consistently(conn.Silent(), 4*links.Tick).ShouldNot(BeClosed())
		Expect(stream.Close()).To(Succeed())
		sidecar.closeStreams()
		Eventually(conn.Silent(), eventuallyTimeout).Should(BeClosed())
	})

	It("opens a link on demand", func() {
		other := startSidecar()
		near, far := vmAt("a", sidecar.listener.Addr().String()), vmAt("b", other.listener.Addr().String())
		near.DataCentre, far.DataCentre = "gangnam", "mapo"
		views.list(near, far)
		pool, _ := startPool(views, newFakeObjects(), links.Config{LinksPerService: 1, DataCentre: "gangnam"})
		Eventually(sidecar.accepted.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
		Expect(other.accepted.Load()).To(BeZero())
		_, err := pool.Conn(context.Background(), "b")
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns ErrNoLink for an unreachable backend server", func() {
		_ = sidecar.listener.Close()
		pool, _ := startPool(views, newFakeObjects(), links.Config{})
		_, err := pool.Conn(context.Background(), "a")
		Expect(err).To(MatchError(links.ErrNoLink))
	})
})

var _ = Describe("subset", func() {
	It("is balanced over the sidecars and prefers the local data centre", func() {
		const servers, entries, perEntry = 60, 35, 12
		vms := []sharedstate.VM{}
		for i := range servers {
			vm := vmAt(fmt.Sprintf("engine-%d", i), "")
			vm.Region, vm.DataCentre = "r", fmt.Sprintf("dc-%d", i%3)
			vms = append(vms, vm)
		}
		linked := map[string]int{}
		for i := range entries {
			config := links.Config{
				Self: &wire.Hello{Process: fmt.Sprintf("entry-%d", i)}, Region: "r", DataCentre: "dc-0", LinksPerService: perEntry,
			}
			chosen := links.Subset(vms, config)
			Expect(chosen).To(HaveLen(perEntry))
			for name := range chosen {
				linked[name]++
			}
		}
		Expect(linked).To(HaveLen(servers/3), "only the local data centre, which has enough")
		for name, n := range linked {
			Expect(n).To(BeNumerically("<", 35), name)
		}
	})
})
