package process

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/accounts"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/peers"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

var _ = Describe("a gateway that the store turns away", func() {
	const twoKeys = `{"version":1,"tenants":[{"name":"a","apiKeys":["kept-key","removed-key"]}]}`
	var (
		objects     *objectstore.Store
		store       *platform.Store
		cut, served *directory.Directory
		stateServer *httptest.Server
		known       *components
	)
	follow := func(dir *directory.Directory) (stop context.CancelFunc) {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = dir.FollowConfig(ctx) }()
		return cancel
	}
	BeforeEach(func() {
		objects = objectstore.New()
		objects.PutRaw("config", "main", []byte(twoKeys))
		server := httptest.NewServer(objects)
		DeferCleanup(server.CloseClientConnections)
		store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
		newDirectory := func() *directory.Directory {
			return directory.New(store, platform.Codec{}, platform.ObjectKinds)
		}
		cut, served = newDirectory(), newDirectory()
		stop := follow(cut)
		follow(served)
		for _, dir := range []*directory.Directory{cut, served} {
			Eventually(func() bool { return dir.View().Table != nil }).Should(BeTrue())
		}
		stop()
		known = &components{directory: served}
		stateServer = httptest.NewServer(http.HandlerFunc(known.serveConfig))
		DeferCleanup(stateServer.Close)
		_, port, err := net.SplitHostPort(strings.TrimPrefix(stateServer.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		g := gateway.New(gateway.Config{Codec: platform.Codec{}, Directory: cut})
		gateways, err := peers.New(peers.Config{Name: "cut", StartID: rand.Uint64(), Address: "127.0.0.1:0"}, g)
		Expect(err).NotTo(HaveOccurred())
		gateways.SetPeers(map[string]netip.AddrPort{"served": netip.MustParseAddrPort("127.0.0.1:9")}, true)
		p := &components{
			config: Config{Deployment: deployment.Deployment{Name: "cut", StateAddress: net.JoinHostPort("127.0.0.1", port)}}, directory: cut, peers: gateways,
		}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = p.adoptNewerConfig(ctx) }()
	})
	holds := func(key string) func() bool {
		return func() bool {
			_, ok := cut.View().Table.Accounts.Lookup(accounts.DigestOf(key))
			return ok
		}
	}

	// Guards against requests that run with a removed key, and against rejected requests
	// with a new one, while others know the configuration.
	It("gets a newer configuration from another gateway once it is announced", func() {
		revision := objects.PutRaw("config", "main", []byte(strings.Replace(twoKeys, "removed-key", "added-key", 1)))
		Eventually(func() int64 { return served.View().TableRevision }).Should(Equal(revision))
		Expect(holds("removed-key")()).To(BeTrue())
		announcement := directory.Confirmation{ConfigRevision: revision, ServersRevision: revision}
		cut.RemoteConfirmation(time.Now(), announcement)
		Eventually(holds("added-key")).Should(BeTrue())
		Expect(holds("removed-key")()).To(BeFalse())
		Expect(holds("kept-key")()).To(BeTrue())
		cut.RemoteConfirmation(time.Now(), announcement)
		Expect(cut.View().Current(time.Now(), time.Second)).To(BeTrue())
	})

	It("never gets an older one", func() {
		snapshot, _ := served.Snapshot()
		revision := objects.PutRaw("config", "main", []byte(strings.Replace(twoKeys, "removed-key", "added-key", 1)))
		Eventually(func() int64 { return served.View().TableRevision }).Should(Equal(revision))
		newer, _ := served.Snapshot()
		cut.AdoptConfig(newer.Config)
		cut.AdoptConfig(snapshot.Config)
		Expect(cut.View().TableRevision).To(Equal(revision))
		Expect(holds("added-key")()).To(BeTrue())
	})

	// Guards against a new gateway that takes the one which it asks for the only other one,
	// and then uses half of what all gateways share.
	It("gets no list of gateways from one that does not know the others", func() {
		gateways, err := peers.New(peers.Config{Name: "served", StartID: rand.Uint64(), Address: "127.0.0.1:0"}, gateway.New(gateway.Config{Codec: platform.Codec{}, Directory: served}))
		Expect(err).NotTo(HaveOccurred())
		known.peers = gateways
		received := func() (state bootstrapState) {
			recorder := httptest.NewRecorder()
			known.serveState(recorder, nil)
			Expect(json.Unmarshal(recorder.Body.Bytes(), &state)).To(Succeed())
			return state
		}
		Eventually(func() bool { _, ok := served.Snapshot(); return ok }).Should(BeTrue())
		Expect(received().Gateways).To(BeEmpty())
		gateways.SetPeers(map[string]netip.AddrPort{"cut": netip.MustParseAddrPort("127.0.0.1:9")}, true)
		Expect(received().Gateways).To(HaveLen(2))
	})

	// Guards against a new gateway that takes the first list of another one for complete, and
	// then uses a part of what all gateways share that is too large.
	It("takes over no number of gateways from one that has just started", func() {
		newPeers := func(name string) *peers.Peers {
			p, err := peers.New(peers.Config{Name: name, StartID: rand.Uint64(), Address: "127.0.0.1:0"}, gateway.New(gateway.Config{Codec: platform.Codec{}, Directory: served}))
			Expect(err).NotTo(HaveOccurred())
			return p
		}
		known.peers = newPeers("served")
		objects.PutRaw(peers.Kind, "cut", []byte(`{"address":"127.0.0.1:9"}`))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = known.peers.Register(ctx, store) }()
		Eventually(known.peers.GatewaysKnown).Should(BeTrue())
		Eventually(func() bool { _, ok := served.Snapshot(); return ok }).Should(BeTrue())
		recorder := httptest.NewRecorder()
		known.serveState(recorder, nil)
		var state bootstrapState
		Expect(json.Unmarshal(recorder.Body.Bytes(), &state)).To(Succeed())
		Expect(state.Gateways).To(HaveLen(2))
		starting := &components{directory: cut, peers: newPeers("cut")}
		starting.adopt(state)
		Expect(starting.peers.GatewaysKnown()).To(BeTrue())
		Expect(starting.peers.GatewaysSharing()).To(BeZero())
	})
})
