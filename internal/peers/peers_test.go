package peers_test

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/peers"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

// heard is what a gateway was told.
type heard struct {
	mu     sync.Mutex
	placed map[place.JobID]place.Placement
	parts  int
	read   map[place.JobID]bool
	ended  map[place.JobID]bool
	avoids int
	// stands says that it stands still for as long as it is told to avoid an engine.
	stands bool
	// evidence is what was told of servers that ended.
	evidence []quarantine.Evidence
	// limits is what was told of the limits of servers.
	limits []ratelimit.Notice
}

// startPeers starts some gateways that do not know each other, with what each was told and
// where each takes datagrams, by name.
func startPeers(count int) (all []*peers.Peers, told map[string]*heard, addresses map[string]netip.AddrPort) {
	told, addresses = map[string]*heard{}, map[string]netip.AddrPort{}
	for n := range count {
		name := "f-" + strconv.Itoa(n)
		told[name] = newHeard()
		p, err := peers.New(peers.Config{Name: name, StartID: rand.Uint64(), Address: "127.0.0.1:0"}, told[name])
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = p.Receive(ctx) }()
		addresses[name] = p.Addresses()[name]
		all = append(all, p)
	}
	return all, told, addresses
}

func (h *heard) avoided() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.avoids
}

func newHeard() *heard {
	return &heard{placed: map[place.JobID]place.Placement{}, read: map[place.JobID]bool{}, ended: map[place.JobID]bool{}}
}

func (h *heard) EngineByHash(hash uint32) (service, id string, ok bool) {
	for _, id := range []string{"i-p", "i-d"} {
		if place.EngineHash(id) == hash {
			return "llm", id, true
		}
	}
	return "", "", false
}

func (h *heard) RemotePlacement(_ string, p place.Placement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placed[p.ID] = p
	h.parts += len(p.Prompt.Segments)
}

func (h *heard) RemotePrefillDone(id place.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.read[id] = true
}

func (h *heard) RemoteFinished(id place.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended[id] = true
}

func (h *heard) RemoteAvoid(_, _ string, d time.Duration) {
	if h.stands {
		time.Sleep(d)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoids++
}

func (h *heard) RemoteTermination(e quarantine.Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evidence = append(h.evidence, e)
}

func (h *heard) RemoteServerLimit(_ string, n ratelimit.Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, n)
}

func (h *heard) RemoteConfirmation(time.Time, directory.Confirmation) {}
func (h *heard) RemoteServerChange(time.Time, directory.Change)       {}

func (h *heard) jobs() (placed, read, ended int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.placed), len(h.read), len(h.ended)
}

func start(name string, client *platform.Store, r peers.Receiver) *peers.Peers {
	p, err := peers.New(peers.Config{Name: name, StartID: rand.Uint64(), Address: "127.0.0.1:0"}, r)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = p.Receive(ctx) }()
	go func() { _ = p.Register(ctx, client) }()
	return p
}

var _ = Describe("gateways", func() {
	It("find each other in the store and tell what they place", func() {
		server := httptest.NewServer(objectstore.New())
		DeferCleanup(server.CloseClientConnections)
		client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
		told := newHeard()
		a := start("f-1", client, newHeard())
		b := start("f-2", client, told)
		Eventually(a.GatewayCount).WithTimeout(5 * time.Second).Should(Equal(2))
		Eventually(b.GatewayCount).WithTimeout(5 * time.Second).Should(Equal(2))

		placed := place.Placement{Remaining: 5 * time.Second}
		placed.Prompt.Output, placed.Prompt.Done = 300, 20
		placed.Prompt.Segments = []request.Segment{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}}
		placed.Prompt.Tokens = 150
		placed.Plan = place.Plan{PrefillEngine: "i-p", DecodeEngine: "i-d", CachedTokens: 100}
		for id := range place.JobID(100) {
			placed.ID = id
			a.AnnouncePlacement(placed)
			a.AnnouncePrefillDone(id)
			a.AnnounceFinished(id)
		}
		Eventually(func() int { placed, _, _ := told.jobs(); return placed }).Should(Equal(100))
		Eventually(func() int { _, _, ended := told.jobs(); return ended }).Should(Equal(100))
		placed.ID = 7
		Expect(told.placed[7]).To(Equal(placed))
		Expect(told.parts).To(Equal(200))
	})

	// Each request is told to every other gateway of the group. On VMs with links of
	// 10 Mbit/s what is told takes the room of callers' requests, and their answers
	// come a quarter of a second later than those of other VMs.
	It("tell a request and its end in few bytes", func() {
		listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		p, err := peers.New(peers.Config{Name: "f-1", StartID: rand.Uint64(), Address: "127.0.0.1:0"}, newHeard())
		Expect(err).NotTo(HaveOccurred())
		p.SetPeers(map[string]netip.AddrPort{"f-2": listener.LocalAddr().(*net.UDPAddr).AddrPort()})

		placed := place.Placement{ID: 1 << 60, Remaining: 2 * time.Second}
		placed.Prompt.Output = 90
		placed.Prompt.Segments = []request.Segment{{ID: 0x5c1e07a2, Tokens: 2_520}, {ID: 0x91bd3f06, Tokens: 3_780}, {ID: 0xe4402b7d, Tokens: 2_890}}
		placed.Prompt.Tokens = 9_190
		placed.Plan = place.Plan{PrefillEngine: "i-7f3a91c2aa", DecodeEngine: "i-8f3a91c2aa", CachedTokens: 6_300}
		p.AnnouncePlacement(placed)
		p.AnnouncePrefillDone(placed.ID)
		p.AnnounceFinished(placed.ID)

		const mostBytes = 90
		buf := make([]byte, 64<<10)
		Expect(listener.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		n, err := listener.Read(buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeNumerically("<=", mostBytes))
	})

	// A VM is suspended for seconds. What the others did meanwhile waits in its socket,
	// begins and ends of reads together, as if none had taken any time.
	It("learn nothing of reads from datagrams that waited", func() {
		told := newHeard()
		told.stands = true
		r, err := peers.New(peers.Config{Name: "f-2", StartID: rand.Uint64(), Address: "127.0.0.1:0"}, told)
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = r.Receive(ctx) }()
		p, err := peers.New(peers.Config{Name: "f-1", StartID: rand.Uint64(), Address: "127.0.0.1:0"}, newHeard())
		Expect(err).NotTo(HaveOccurred())
		p.SetPeers(map[string]netip.AddrPort{"f-2": r.Addresses()["f-2"]})
		p.JoinGroup(1)
		read := func(id place.JobID) {
			p.AnnouncePlacement(place.Placement{ID: id, Plan: place.Plan{PrefillEngine: "i-p", DecodeEngine: "i-p"}})
			p.AnnouncePrefillDone(id)
		}
		p.AnnounceAvoid("llm", "i-1", 1500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		read(1)
		Eventually(told.avoided).WithTimeout(5 * time.Second).Should(Equal(1))
		read(2)
		Eventually(func() int { _, read, _ := told.jobs(); return read }).Should(Equal(1))
		placed, _, ended := told.jobs()
		Expect(placed).To(Equal(1))
		Expect(ended).To(Equal(1))
	})

	// A datagram is lost, or a gateway was not there yet. It is told again by any of the
	// others until all know it.
	It("tell that servers ended to all at once, and to some again", func() {
		all, told, addresses := startPeers(7)
		sender := all[6]
		sender.SetPeers(maps.Clone(addresses))
		evidence := quarantine.Evidence{
			Request: 1 << 63, Instance: backend.Instance{ID: "i-9a340f44e5", Incarnation: 1776457240515},
			SentAt: time.Now().Add(-1100 * time.Millisecond), ObservedAt: time.Now().Add(-time.Second),
		}
		heardBy := func() (gateways, pieces int) {
			for _, h := range told {
				h.mu.Lock()
				if len(h.evidence) > 0 {
					gateways++
					Expect(h.evidence[0].Request).To(Equal(evidence.Request))
					Expect(h.evidence[0].Instance).To(Equal(evidence.Instance))
					Expect(h.evidence[0].ObservedAt).To(BeTemporally("~", evidence.ObservedAt, 500*time.Millisecond))
					Expect(h.evidence[0].ObservedAt.Sub(h.evidence[0].SentAt)).To(BeNumerically("~", 100*time.Millisecond, 5*time.Millisecond))
				}
				pieces += len(h.evidence)
				h.mu.Unlock()
			}
			return gateways, pieces
		}
		sender.AnnounceTermination(evidence)
		Eventually(func() int { gateways, _ := heardBy(); return gateways }).Should(Equal(6))
		sender.ReannounceTermination(evidence)
		Eventually(func() int { _, pieces := heardBy(); return pieces }).Should(Equal(9))
	})

	// Guards against limits that reach others with another age, and against gateways that
	// do not agree on who may send.
	It("tell the limits of servers with their ages, and rank each other alike", func() {
		all, told, addresses := startPeers(7)
		Expect(all[0].RankFor("s", 0)).To(Equal(ratelimit.Rank{}))
		positions := map[int]bool{}
		for _, p := range all {
			p.SetPeers(maps.Clone(addresses))
			rank := p.RankFor("s", 0)
			Expect(rank.Total).To(Equal(7))
			positions[rank.Position] = true
			before := p.MembershipVersion()
			p.SetPeers(maps.Clone(addresses))
			Expect(p.MembershipVersion()).To(Equal(before))
		}
		Expect(positions).To(HaveLen(7))
		n := ratelimit.Notice{
			Server: backend.Instance{ID: "s", Incarnation: 1776457240515}, Limited: true, PerSecond: 4.2, Unauthenticated: true,
			RequestedAt: boottime.Now() - 1100*time.Millisecond, ReceivedAt: boottime.Now() - time.Second,
		}
		bad := n
		bad.PerSecond = math.NaN()
		all[6].AnnounceServerLimit(bad)
		all[6].AnnounceServerLimit(n)
		for name, h := range told {
			if name == "f-6" {
				continue
			}
			got := func() []ratelimit.Notice {
				h.mu.Lock()
				defer h.mu.Unlock()
				return h.limits
			}
			Eventually(got).Should(HaveLen(1))
			notice := got()[0]
			Expect(notice.ReceivedAt).To(BeNumerically("~", n.ReceivedAt, 500*time.Millisecond))
			Expect(notice.ReceivedAt - notice.RequestedAt).To(BeNumerically("~", 100*time.Millisecond, 5*time.Millisecond))
			notice.ReceivedAt, notice.RequestedAt = n.ReceivedAt, n.RequestedAt
			Expect(notice).To(Equal(n))
		}
	})

	// Three hundred gateways tell each other of every request: each takes in
	// megabytes a second, and small VMs have no processor left for callers.
	It("tell placements to their group only, and refusals to all", func() {
		names := []string{"f-1", "f-2", "f-3", "f-4", "f-5", "f-6"}
		told := map[string]*heard{}
		addresses := map[string]netip.AddrPort{}
		gateways := map[string]*peers.Peers{}
		for _, name := range names {
			told[name] = newHeard()
			p, err := peers.New(peers.Config{Name: name, StartID: rand.Uint64(), Address: "127.0.0.1:0"}, told[name])
			Expect(err).NotTo(HaveOccurred())
			ctx, stop := context.WithCancel(context.Background())
			DeferCleanup(stop)
			go func() { _ = p.Receive(ctx) }()
			gateways[name] = p
			addresses[name] = p.Addresses()[name]
		}
		sender := gateways["f-1"]
		sender.SetPeers(maps.Clone(addresses))
		own := sender.JoinGroup(2)
		sender.AnnouncePlacement(place.Placement{ID: 1, Plan: place.Plan{PrefillEngine: "i-p", DecodeEngine: "i-p"}})
		sender.AnnounceAvoid("llm", "i-1", time.Second)
		members := 0
		for _, name := range names[1:] {
			Eventually(told[name].avoided).Should(Equal(1))
			placed, _, _ := told[name].jobs()
			if place.GroupOf(name, 2) == own {
				members++
				Eventually(func() int { placed, _, _ := told[name].jobs(); return placed }).Should(Equal(1))
				continue
			}
			Expect(placed).To(BeZero())
		}
		Expect(members).To(BeNumerically(">", 0))
		Expect(members).To(BeNumerically("<", len(names)-1))
	})
})
