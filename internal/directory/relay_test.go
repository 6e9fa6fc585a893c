package directory

import (
	"context"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// countingStore is a store of one configuration and of changes of servers that counts
// its reads.
type countingStore struct {
	store.Store
	servers []store.Event
	// withholding makes watches end without changes; hanging makes them hang.
	withholding, hanging bool
	// compacted makes each watch fail with ErrCompacted.
	compacted bool
	mu        sync.Mutex
	revision  int64
	lists     int
	watches   int
}

func (c *countingStore) List(_ context.Context, kind string, _ store.Freshness) (store.Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	if kind != "config" {
		return store.Listing{Objects: c.present(), Revision: c.revision}, nil
	}
	return listing(c.revision, object("main", c.revision, "1")), nil
}

// present returns the server objects that exist now.
func (c *countingStore) present() []store.Object {
	last := map[string]store.Event{}
	for _, e := range c.servers {
		last[e.Object.Name] = e
	}
	var objects []store.Object
	for _, e := range last {
		if !e.Removed {
			objects = append(objects, e.Object)
		}
	}
	return objects
}

// change adds a change of a server object; an empty spec removes it.
func (c *countingStore) change(name, spec string) store.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	e := store.Event{Object: object(name, c.revision, spec), Removed: spec == ""}
	c.servers = append(c.servers, e)
	return e
}

// since returns the changes of a kind after a revision.
func (c *countingStore) since(kind string, after int64) store.Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := store.Batch{Revision: c.revision}
	if c.withholding {
		return batch
	}
	if kind == "config" && c.revision > after {
		batch.Events = []store.Event{{Object: object("main", c.revision, "1")}}
	}
	for _, e := range c.servers {
		if kind == "servers" && e.Object.Revision > after {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch
}

func (c *countingStore) Watch(ctx context.Context, kind string, after int64, _ time.Duration) (store.Batch, error) {
	c.mu.Lock()
	c.watches++
	compacted, hanging := c.compacted, c.hanging
	c.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	if compacted {
		return store.Batch{}, store.ErrCompacted
	}
	if batch := c.since(kind, after); len(batch.Events) > 0 {
		return batch, nil
	}
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(20 * time.Millisecond):
		return c.since(kind, after), nil
	}
}

func (c *countingStore) setRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = revision
}

func (c *countingStore) setWithholding(withholding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withholding = withholding
}

func (c *countingStore) setHanging(hanging bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hanging = hanging
}

// compact makes each later watch fail because the history is gone.
func (c *countingStore) compact() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.compacted = true
}

func (c *countingStore) reads() (lists, watches int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists, c.watches
}

var _ = Describe("a gateway that does not watch", func() {
	var (
		s *countingStore
		d *Directory
	)
	BeforeEach(func() {
		s = &countingStore{revision: 5}
		d = New(s, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		d.IsWatcher = func() bool { return false }
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = d.FollowConfig(ctx) }()
		Eventually(func() int64 { return d.View().TableRevision }).Should(BeEquivalentTo(5))
	})

	It("makes no calls while others confirm its state, and fetches what is newer", func() {
		d.RemoteConfirmation(time.Now(), Confirmation{ConfigRevision: 5})
		time.Sleep(60 * time.Millisecond)
		lists, watches := s.reads()
		time.Sleep(200 * time.Millisecond)
		listsAfter, watchesAfter := s.reads()
		Expect(listsAfter).To(Equal(lists))
		Expect(watchesAfter).To(Equal(watches))
		s.setRevision(9)
		d.RemoteConfirmation(time.Now(), Confirmation{ConfigRevision: 9})
		Eventually(func() int64 { return d.View().TableRevision }).Should(BeEquivalentTo(9))
	})

	// Guards against four seconds with the old configuration: the store is about to
	// compact its history, so that watches hang and the confirmations stop. A gateway
	// that then read the store by a watch would hang too.
	It("lists once confirmations stop, and does not watch first", func() {
		s.setHanging(true)
		s.setRevision(9)
		d.RemoteConfirmation(time.Now().Add(-confirmationMaxAge+100*time.Millisecond), Confirmation{ConfigRevision: 5})
		Eventually(func() int64 { return d.View().TableRevision }).WithTimeout(2 * time.Second).Should(BeEquivalentTo(9))
	})

	// Guards against a missed change when all watching gateways lose the store at the
	// same time: without recent confirmations, the others must see the next change
	// themselves, within the time that a configuration change may take.
	It("watches by itself once confirmations stop", func() {
		d.RemoteConfirmation(time.Now().Add(-confirmationMaxAge+100*time.Millisecond), Confirmation{ConfigRevision: 5})
		s.setRevision(9)
		Eventually(func() int64 { return d.View().TableRevision }).WithTimeout(2 * time.Second).Should(BeEquivalentTo(9))
	})

	// Guards against a gateway that was suspended, and its clock with it: when it resumes,
	// it confirms as recent a state that is long out of date.
	It("ignores a confirmation of an older state than its own", func() {
		d.RemoteConfirmation(time.Now(), Confirmation{ConfigRevision: 4})
		Expect(d.watchDelegated()).To(BeFalse())
	})
})

var _ = Describe("a gateway that follows the servers through others", func() {
	var (
		s *countingStore
		d *Directory
	)
	confirm := func(revision int64) {
		d.RemoteConfirmation(time.Now(), Confirmation{ConfigRevision: 0, ServersRevision: revision})
	}
	follow := func() {
		d = New(s, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		d.IsWatcher = func() bool { return false }
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = d.FollowServers(ctx) }()
		Eventually(func() time.Time { return d.View().ServersConfirmedAt }).ShouldNot(BeZero())
	}
	// settle confirms a revision and waits until the gateway relies on it.
	settle := func(revision int64) {
		confirm(revision)
		Eventually(d.watchDelegated).Should(BeTrue())
		time.Sleep(50 * time.Millisecond)
	}
	reads := func() int { lists, watches := s.reads(); return lists + watches }

	// Guards against a list of a thousand servers some ten times a second: a gateway
	// starts after a server was removed, which leaves no trace in its list. Others
	// announce the removal as the newest change, and each confirmation would make the
	// gateway look for it.
	It("does not look for a removal that precedes its list", func() {
		s = &countingStore{revision: 5}
		s.change("a", "x")
		removed := s.change("a", "")
		follow()
		settle(removed.Object.Revision)
		before := reads()
		for range 10 {
			confirm(removed.Object.Revision)
			time.Sleep(5 * time.Millisecond)
		}
		Expect(reads()).To(Equal(before))
	})

	// Guards against requests to a draining server: the datagram about it is lost, and a
	// later one about another server arrives, whose revision makes the gateway look up to
	// date.
	It("detects a lost change, and reads only what is missing", func() {
		s = &countingStore{revision: 5}
		s.change("a", "x")
		s.change("b", "x")
		follow()
		confirm(7)
		Eventually(d.watchDelegated).Should(BeTrue())
		lost := s.change("a", "leaving")
		received := s.change("b", "y")
		lists, _ := s.reads()
		d.RemoteServerChange(time.Now(), ServerChange{Event: received, PreviousRevision: lost.Object.Revision})
		confirm(received.Object.Revision)
		Eventually(func() bool { return d.View().Servers["a"].Draining }).Should(BeTrue())
		after, _ := s.reads()
		Expect(after).To(Equal(lists))
	})

	// Guards against requests to a draining server: the store is about to compact its
	// history and withholds changes for a second, so that watches end without them. A
	// gateway that trusted such a response would continue from a later revision.
	It("does not trust a watch that withholds an announced change", func() {
		s = &countingStore{revision: 5}
		s.change("a", "x")
		follow()
		settle(6)
		s.setWithholding(true)
		lost := s.change("a", "leaving")
		confirm(lost.Object.Revision)
		Eventually(func() bool { return d.View().Servers["a"].Draining }).Should(BeTrue())
	})

	// Guards against requests to a removed server for two more seconds: a compacted
	// history must not be mistaken for an outage, after which servers that are missing
	// from the list are kept for a grace period.
	It("drops a server that was removed while the history was compacted", func() {
		s = &countingStore{revision: 5}
		s.change("a", "x")
		s.change("b", "x")
		follow()
		settle(7)
		s.compact()
		lost := s.change("a", "")
		confirm(lost.Object.Revision)
		Eventually(func() int { return len(d.View().Servers) }).Should(Equal(1))
	})

	// Guards against small VMs that are busy for seconds when a deployment of a thousand
	// servers starts: each server is a change, and each View copies all servers.
	It("publishes many changes together, and the last one soon", func() {
		s = &countingStore{revision: 5}
		s.change("a", "x")
		follow()
		published, began := 0, time.Now()
		d.locked(func() { d.OnChange = func(*View) { published++ } })
		for n := range 500 {
			e := s.change(strconv.Itoa(n), "x")
			d.RemoteServerChange(time.Now(), ServerChange{Event: e, PreviousRevision: e.Object.Revision - 1})
		}
		Eventually(func() int { return len(d.View().Servers) }).Should(Equal(501))
		limit := int(time.Since(began)/publishInterval) + 2
		d.locked(func() { Expect(published).To(BeNumerically("<=", limit)) })
	})

	It("reads nothing while no change is lost", func() {
		s = &countingStore{revision: 5}
		first := s.change("a", "x")
		follow()
		settle(first.Object.Revision)
		before := reads()
		next := s.change("a", "leaving")
		d.RemoteServerChange(time.Now(), ServerChange{Event: next, PreviousRevision: first.Object.Revision})
		confirm(next.Object.Revision)
		Eventually(func() bool { return d.View().Servers["a"].Draining }).Should(BeTrue())
		time.Sleep(50 * time.Millisecond)
		Expect(reads()).To(Equal(before))
	})
})

var _ = Describe("a gateway that watches", func() {
	It("never delegates, and confirms only what it has read recently", func() {
		s := &countingStore{revision: 5}
		d := New(s, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		d.IsWatcher = func() bool { return true }
		_, ok := d.Confirmation(time.Now())
		Expect(ok).To(BeFalse())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = d.FollowConfig(ctx) }()
		go func() { _ = d.FollowServers(ctx) }()
		Eventually(func() bool { _, ok := d.Confirmation(time.Now()); return ok }).Should(BeTrue())
		d.RemoteConfirmation(time.Now(), Confirmation{ConfigRevision: 5})
		Expect(d.watchDelegated()).To(BeFalse())
		_, ok = d.Confirmation(time.Now().Add(confirmationMaxAge + time.Second))
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a gateway whose watches find the history compacted", func() {
	// Guards against one gateway that uses up the call rate of all, so that the others
	// learn of no change: the store keeps no history for a while, each watch fails
	// immediately and is followed by a list.
	It("pauses between its lists", func() {
		s := &countingStore{revision: 5, compacted: true}
		d := New(s, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = d.FollowConfig(ctx) }()
		Eventually(func() int { lists, _ := s.reads(); return lists }).Should(BeNumerically(">", 1))
		Consistently(func() int { lists, _ := s.reads(); return lists }, "500ms").Should(BeNumerically("<", 12))
	})
})
