package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/store"
)

// Guards against a conclusion from servers that are not there: some may have come and gone
// while this process learned of no changes.
var _ = Describe("the coverage of the servers", func() {
	const first = time.Second
	var s *state
	list := func(sent time.Duration, revision int64) {
		l := listing(revision, object("a", 1, "x"))
		s.coverList(sent, l)
		s.applyServerList(at(sent), l)
		s.confirmServers(moment{clock: at(sent), boot: sent})
	}
	confirm := func(until time.Duration) { s.confirmServers(moment{clock: at(until), boot: until}) }
	since := func() time.Duration { return s.view.ServersCoverage.Since }

	BeforeEach(func() { s = newState(plainDecoder{}) })

	It("is empty before the first list", func() {
		confirm(first)
		Expect(s.view.ServersCoverage.Covers(first, 0)).To(BeFalse())
	})

	It("goes on while changes are known", func() {
		list(first, 5)
		for until := first; until < first+20*time.Second; until += time.Second {
			confirm(until)
		}
		Expect(s.view.ServersCoverage.Covers(first+20*time.Second, 19*time.Second)).To(BeTrue())
		Expect(s.view.ServersCoverage.Covers(first+20*time.Second, 20*time.Second)).To(BeFalse())
	})

	It("ends when nothing is known any more", func() {
		list(first, 5)
		Expect(s.view.ServersCoverage.Covers(first+maxUnobserved+1, 0)).To(BeFalse())
	})

	DescribeTable("begins with a list before which changes may have been missed",
		func(pause time.Duration, revision int64, want time.Duration) {
			list(first, 5)
			list(first+pause, revision)
			Expect(since()).To(Equal(want))
		},
		Entry("after a pause", 3*time.Second, int64(9), first+3*time.Second),
		Entry("not after a short one", time.Second, int64(9), first),
		Entry("not if the store has not changed", 3*time.Second, int64(5), first),
	)

	It("begins anew when a server is removed that was not known to be there", func() {
		list(first, 5)
		_, _ = s.applyServerEvent(at(first), store.Event{Object: object("b", 9, "x"), Removed: true})
		Expect(since()).To(BeNumerically("~", boottime.Now(), time.Second))
	})

	It("begins once servers have written their objects again after the store came back", func() {
		s.beginEra(at(0), 1)
		list(first, 5)
		s.beginEra(at(first), 2)
		list(first+time.Second, 3)
		Expect(since()).To(BeNumerically("~", boottime.Now()+rewriteTime, time.Second))
	})

	It("does not have the time of a suspension", func() {
		before := moment{clock: time.Now(), boot: first}
		Expect(before.until(before.clock.Add(time.Second)).boot).To(Equal(first + time.Second))
	})
})
