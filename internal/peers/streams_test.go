package peers_test

import (
	"maps"
	"net/netip"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/peers"
)

var _ = Describe("versions of streams", func() {
	const gateways = 8
	v1 := streamversion.Version{Service: 1, Software: 11}
	query := func(id streamversion.StreamID) streamversion.Query {
		return streamversion.Query{Stream: id, Service: v1.Service}
	}
	var (
		all       []*peers.Peers
		recorders map[string]*recorder
		addresses map[string]netip.AddrPort
	)
	BeforeEach(func() {
		all, recorders, addresses = startGateways(gateways)
		for _, p := range all {
			p.SetPeers(maps.Clone(addresses), true)
		}
	})
	recorderOf := func(n int) *recorder { return recorders["f-"+strconv.Itoa(n)] }
	hasRecord := func(n int, id streamversion.StreamID) bool {
		v, ok := recorderOf(n).RecordedStreamVersion(id)
		return ok && v == v1
	}
	records := func(id streamversion.StreamID) (count int) {
		for n := range gateways {
			if hasRecord(n, id) {
				count++
			}
		}
		return count
	}

	// Guards against a cost of each stream that grows with the number of gateways, and
	// against records that are not found again.
	It("are kept by two gateways, from which any other gets them", func() {
		for id := streamversion.StreamID(1); id <= 20; id++ {
			all[0].AnnounceStreamVersion(id, v1)
			Eventually(func() int { return records(id) }).Should(BeNumerically(">=", 1))
			Consistently(func() int { return records(id) }, "20ms").Should(BeNumerically("<=", 2))
			for n := range gateways {
				if hasRecord(n, id) {
					continue
				}
				Expect(all[n].QueryStreamVersion(query(id))).To(BeNumerically(">=", 3))
				Eventually(func() bool { return hasRecord(n, id) }).Should(BeTrue())
			}
		}
	})

	It("are asked for with the life of the stream and the store's era", func() {
		q := streamversion.Query{Stream: 5, Service: 1, Life: 12 * time.Second, Era: 3}
		Expect(all[0].QueryStreamVersion(q)).To(BeNumerically(">", 0))
		Eventually(func() []streamversion.Query {
			return lo.Map(lo.Values(recorders), func(r *recorder, _ int) streamversion.Query {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.query
			})
		}).Should(ContainElement(q))
	})

	// Guards against records that are not found because their gateways no longer have the
	// first ranks.
	It("are found after a gateway has joined", func() {
		for id := streamversion.StreamID(1); id <= 20; id++ {
			all[0].AnnounceStreamVersion(id, v1)
		}
		joined, _, more := startGateways(gateways + 1)
		addresses["f-8"] = more["f-8"]
		all[1].SetPeers(maps.Clone(addresses), true)
		Expect(joined).To(HaveLen(gateways + 1))
		for id := streamversion.StreamID(1); id <= 20; id++ {
			Eventually(func() bool {
				all[1].QueryStreamVersion(query(id))
				return hasRecord(1, id)
			}).Should(BeTrue())
		}
	})

	It("that nobody has recorded are answered with what is known of the service", func() {
		recorderOf(1).setServed(streamversion.Served{Version: v1, Single: true, Complete: true})
		recorderOf(2).setServed(streamversion.Served{Version: v1, Single: true})
		var asked int
		for id := streamversion.StreamID(100); id < 120; id++ {
			asked = max(asked, all[0].QueryStreamVersion(query(id)))
		}
		Expect(asked).To(Equal(4))
		Eventually(func() (certain int) {
			r := recorderOf(0)
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, s := range r.unknownAt {
				if s.Certain() {
					certain++
				}
			}
			return certain
		}).Should(Equal(1))
	})
})
