package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// inEra returns an object as the store has it in an era.
func inEra(era store.Era, o store.Object) store.Object {
	o.Era = era
	return o
}

var _ = Describe("after the store has come back from a copy", func() {
	var d *Directory
	listServers := func(now time.Duration, era store.Era, revision int64, objects ...store.Object) {
		l := store.Listing{Revision: revision, Era: era}
		for _, o := range objects {
			l.Objects = append(l.Objects, inEra(era, o))
		}
		d.locked(func() {
			Expect(d.enterEra(at(now), era, "store")).To(BeTrue())
			d.applyServerList(at(now), l)
			d.state.confirmServers(moment{clock: at(now)})
			d.publish(false)
		})
	}
	listConfig := func(now time.Duration, era store.Era, revision int64, version string) {
		d.locked(func() {
			Expect(d.enterEra(at(now), era, "store")).To(BeTrue())
			d.applyConfigList(store.Listing{Era: era, Revision: revision, Objects: []store.Object{inEra(era, object("main", revision, version))}})
			d.state.confirmConfig(at(now))
			d.publish(false)
		})
	}
	version := func() int64 { return d.View().Table.Version }
	usable := func() (names []string) {
		for _, s := range d.View().Service("") {
			names = append(names, s.ID)
		}
		return names
	}
	const bound = 2 * time.Second
	BeforeEach(func() {
		d = New(nil, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		listConfig(0, 1, 122, "84")
		listServers(0, 1, 122, object("a", 110, "x"), object("b", 111, "leaving"))
	})

	// Guards against requests that are handled by an older configuration.
	It("keeps the newer configuration, which nothing confirms, until the operator writes a newer one", func() {
		listConfig(time.Second, 2, 101, "82")
		Expect(version()).To(BeEquivalentTo(84))
		Expect(d.View().Current(at(10*time.Second), time.Minute)).To(BeTrue(), "as far as the earlier confirmation goes")
		listConfig(10*time.Second, 2, 101, "82")
		Expect(d.View().TableConfirmedAt).To(Equal(at(0)))
		listConfig(11*time.Second, 2, 102, "84")
		Expect(d.View().Current(at(11*time.Second), bound)).To(BeTrue(), "written again")
		listConfig(12*time.Second, 2, 103, "87")
		Expect(version()).To(BeEquivalentTo(87))
		listConfig(13*time.Second, 2, 102, "84")
		Expect(version()).To(BeEquivalentTo(87), "an old answer")
	})

	// Guards against a false 404 for a route of a change that was lost before anyone read it.
	It("confirms no configuration until lost changes have been written again", func() {
		listConfig(time.Second, 2, 121, "84")
		Expect(d.View().Current(at(time.Second), bound)).To(BeFalse())
		listConfig(7*time.Second, 2, 121, "84")
		Expect(d.View().Current(at(7*time.Second), bound)).To(BeTrue())
	})

	// Guards against requests to a server after its drain timeout, and against servers whose
	// changes are dropped as older.
	It("uses no server that was leaving, and follows changes at lower revisions", func() {
		listServers(time.Second, 2, 105, object("a", 101, "x"), object("b", 102, "ready"))
		Expect(usable()).To(ConsistOf("a"))
		d.RemoteServerChange(at(2*time.Second), ServerChange{Event: store.Event{Object: inEra(2, object("a", 106, "leaving"))}, PreviousRevision: 105})
		d.RemoteServerChange(at(2*time.Second), ServerChange{Event: store.Event{Object: inEra(2, object("c", 107, "x"))}, PreviousRevision: 106})
		d.locked(func() { d.publish(true) })
		Expect(usable()).To(ConsistOf("c"))
	})

	// Guards against requests to a server that has ended: the copy has its object again.
	It("does not use a server that has departed, unless it proves to be alive", func() {
		gone := func(now time.Duration, o store.Object) {
			d.RemoteServerChange(at(now), ServerChange{Event: store.Event{Object: inEra(1, o), Removed: true}, PreviousRevision: 122})
		}
		gone(time.Second, object("a", 123, "x"))
		listServers(2*time.Second, 2, 110, object("a", 110, "x"), object("c", 104, "x"))
		d.locked(func() { d.publish(true) })
		Expect(usable()).To(ConsistOf("c"))
		d.RemoteServerChange(at(3*time.Second), ServerChange{Event: store.Event{Object: inEra(2, object("a", 111, "y"))}, PreviousRevision: 110})
		d.locked(func() { d.publish(true) })
		Expect(usable()).To(ConsistOf("a", "c"))
	})

	It("uses a departed server whose object does not expire", func() {
		d.RemoteServerChange(at(time.Second), ServerChange{Event: store.Event{Object: inEra(1, object("a", 123, "x")), Removed: true}, PreviousRevision: 122})
		listServers(2*time.Second, 2, 110, object("a", 110, "x"))
		d.locked(func() { d.publish(true) })
		Expect(usable()).To(BeEmpty())
		d.locked(func() {
			Expect(d.state.expire(at(2*time.Second + reappearedTime))).To(BeTrue())
			d.publish(true)
		})
		Expect(usable()).To(ConsistOf("a"))
	})

	It("does not use a departed server whose object a later list lacks", func() {
		d.RemoteServerChange(at(time.Second), ServerChange{Event: store.Event{Object: inEra(1, object("a", 123, "x")), Removed: true}, PreviousRevision: 122})
		listServers(2*time.Second, 2, 110, object("a", 110, "x"))
		listServers(3*time.Second, 2, 111)
		d.locked(func() {
			d.state.expire(at(2*time.Second + reappearedTime))
			d.publish(true)
		})
		Expect(usable()).To(BeEmpty())
	})

	// Guards against callers that are rejected: servers that came after the copy was taken write
	// their objects again within two seconds.
	It("keeps servers that the copy lacks for a while", func() {
		listServers(time.Second, 2, 101)
		Expect(usable()).To(ConsistOf("a"))
		d.locked(func() { Expect(d.state.expire(at(time.Second + absentGrace))).To(BeTrue()) })
	})

	// Guards against a gateway that is cut off from the store and goes on by the word of the
	// store before its return.
	It("learns of it from other gateways, and takes nothing from those that do not know", func() {
		told := Confirmation{Era: 2, ConfigEra: 2, ConfigRevision: 103, ConfigVersion: 87, ServersRevision: 103}
		d.RemoteConfirmation(at(time.Second), told)
		Expect(d.View().StoreEra).To(BeEquivalentTo(2))
		Expect(d.View().OutOfDate()).To(BeTrue())
		confirmed := d.View().TableConfirmedAt
		d.RemoteConfirmation(at(8*time.Second), Confirmation{Era: 1, ConfigEra: 1, ConfigRevision: 122, ConfigVersion: 84, ServersRevision: 122})
		Expect(d.View().TableConfirmedAt).To(Equal(confirmed))
		d.AdoptConfig(inEra(2, object("main", 103, "87")))
		Expect(version()).To(BeEquivalentTo(87))
		d.AdoptConfig(inEra(1, object("main", 122, "84")))
		Expect(version()).To(BeEquivalentTo(87))
		d.RemoteConfirmation(at(9*time.Second), told)
		Expect(d.View().Current(at(9*time.Second), bound)).To(BeTrue())
	})

	// Guards against a false 404 by a gateway that does not reach the store, while the store has
	// not got back the configuration.
	It("takes nothing for confirmed that the store of the sender does not have", func() {
		confirmed := d.View().TableConfirmedAt
		told := Confirmation{Era: 2, ConfigEra: 1, ConfigRevision: 122, ConfigVersion: 84, ConfigUnconfirmed: true, ServersRevision: 105}
		d.RemoteConfirmation(at(time.Second), told)
		Expect(d.View().TableConfirmedAt).To(Equal(confirmed))
		told.ConfigEra, told.ConfigRevision, told.ConfigUnconfirmed = 2, 106, false
		d.RemoteConfirmation(at(2*time.Second), told)
		Expect(d.View().TableConfirmedAt).To(Equal(at(2 * time.Second)))
	})

	// Guards against a gateway that starts, reads the copy and serves by it beside others.
	It("a gateway that knows only the copy takes the newer configuration of others", func() {
		fresh := New(nil, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		knowing := d
		listConfig(time.Second, 2, 101, "82")
		listServers(time.Second, 2, 101)
		d = fresh
		listConfig(time.Second, 2, 101, "82")
		listServers(time.Second, 2, 101)
		belief, ok := fresh.Confirmation(at(time.Second))
		Expect(ok).To(BeTrue())
		knowing.RemoteConfirmation(at(time.Second), belief)
		Expect(knowing.MustAnnounce(at(time.Second))).To(BeTrue())
		told, ok := knowing.Confirmation(at(time.Second))
		Expect(ok).To(BeTrue())
		Expect(told.ConfigUnconfirmed).To(BeTrue())
		fresh.RemoteConfirmation(at(time.Second), told)
		Expect(fresh.View().OutOfDate()).To(BeTrue())
		handed, _ := knowing.Snapshot()
		fresh.AdoptConfig(handed.Config)
		Expect(version()).To(BeEquivalentTo(84))
		listConfig(8*time.Second, 2, 101, "82")
		Expect(version()).To(BeEquivalentTo(84))
		Expect(fresh.View().Current(at(8*time.Second), bound)).To(BeFalse())
		listConfig(9*time.Second, 2, 102, "87")
		Expect(version()).To(BeEquivalentTo(87))
		Expect(fresh.View().Current(at(9*time.Second), bound)).To(BeTrue())
	})

	// Guards against a false 404 by a gateway that starts: it cannot know when the era began.
	It("a gateway that starts confirms no configuration for a while", func() {
		d = New(nil, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		listConfig(0, 3, 101, "82")
		Expect(version()).To(BeEquivalentTo(82))
		Expect(d.View().Current(at(0), bound)).To(BeFalse())
		listConfig(rewriteTime, 3, 101, "82")
		Expect(d.View().Current(at(rewriteTime), bound)).To(BeTrue())
	})
})
