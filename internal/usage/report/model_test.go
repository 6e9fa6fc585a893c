package report_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/internal/usage"
	"pistachioroad.dev/pistachioroad/internal/usage/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

const (
	length = 5 * time.Second
	// alternation is the time within which holders must not alternate.
	alternation = 3 * time.Second
	// lateAfter is how late a report may be.
	lateAfter = 10 * time.Second
	stepTime  = 200 * time.Millisecond
)

var errLost = errors.New("response lost")

// node is one VM. Its process is replaced when it is killed.
type node struct {
	name     string
	rank     int
	starts   int
	reporter *report.Reporter
	// counts are the counts of all nodes as far as this process has received them, counted
	// the requests that it has counted itself.
	counts  *usage.Collector
	counted map[usage.Window]int64
	// clockError is added to the true time.
	clockError time.Duration
	// busy is set while a step is in progress or the process is suspended.
	busy bool
	// downUntil is when the process starts again, suspendedUntil when it goes on.
	downUntil, suspendedUntil time.Duration
	// cut is set while the VM does not reach the store.
	cut bool
	// eras is what the process knows of the store's eras.
	eras *store.Eras
}

// world is a store, a platform and some nodes in virtual time.
type world struct {
	random *rand.Rand
	now    time.Duration
	nodes  []*node
	// faults is the probability of a fault in a call.
	faults float64
	// storeDown and platformDown say that calls fail, repliesLost that the platform's
	// answers are lost.
	storeDown, platformDown, repliesLost bool

	object   store.Object
	revision int64
	// era is named in all answers unless it is 0. copies are states of the store, oldest first.
	era    store.Era
	copies []storeState
	// late are writes that take effect later, inFlight the reports on their way.
	late     []lateWrite
	inFlight []call
	// sequence numbers the updates of counts.
	sequence uint32

	calls    []call
	accepted map[usage.Window]call
}

// lateWrite is a write that takes effect at a time if its condition still holds.
type lateWrite struct {
	at    time.Duration
	apply func()
}

// storeState is what the store holds.
type storeState struct {
	object   store.Object
	revision int64
}

// copyStore keeps a copy of the store for copiesKept copies.
func (w *world) copyStore() {
	w.copies = append(w.copies, storeState{object: w.object, revision: w.revision})
	w.copies = w.copies[max(0, len(w.copies)-copiesKept):]
}

// restore makes the store come back from its oldest copy.
func (w *world) restore() {
	if len(w.copies) == 0 {
		return
	}
	w.object, w.revision = w.copies[0].object, w.copies[0].revision
	w.copies = nil
	w.era++
}

// maxWriteDelay is how much later than it was sent a write may take effect.
const maxWriteDelay = 10 * time.Second

// copiesKept is how many copies, one each second, are kept.
const copiesKept = 5

// call is a report that the platform has received.
type call struct {
	at     time.Duration
	holder string
	fence  int64
	window usage.Window
	counts usage.Counts
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 2)), now: time.Second,
		accepted: make(map[usage.Window]call),
	}
	for n := range nodes {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("vm-", n), rank: n})
		w.start(w.nodes[n])
	}
	return w
}

func (w *world) trueTime() time.Time { return time.Unix(1_700_000_000, 0).Add(w.now) }

func (w *world) start(n *node) {
	n.starts++
	n.busy, n.suspendedUntil = false, 0
	n.eras = &store.Eras{}
	n.counts, n.counted = usage.NewCollector(), make(map[usage.Window]int64)
	n.reporter = report.New(report.Config{
		Holder: n.name, Incarnation: fmt.Sprint(n.name, "/", n.starts), Length: length, Alternation: alternation,
		Rank:     func() int { return n.rank },
		Clock:    func() time.Duration { return w.now },
		TrueTime: func() (time.Time, bool) { return w.trueTime().Add(n.clockError), true },
		Counts:   n.counts, Store: &nodeStore{w, n, n.starts}, Sender: &nodeSender{w, n, n.starts},
	})
}

// run lets d pass, in which all nodes that are not busy work.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += stepTime
		w.landLateWrites()
		w.landReports()
		for _, n := range w.nodes {
			w.step(n)
		}
	}
}

func (w *world) landLateWrites() {
	waiting := w.late
	w.late = nil
	for _, l := range waiting {
		if l.at > w.now {
			w.late = append(w.late, l)
			continue
		}
		l.apply()
	}
}

func (w *world) landReports() {
	flying := w.inFlight
	w.inFlight = nil
	for _, c := range flying {
		if c.at > w.now {
			w.inFlight = append(w.inFlight, c)
			continue
		}
		w.accept(c)
	}
}

// killed is what a call panics with if its process has been killed meanwhile.
type killed struct{}

func (w *world) step(n *node) {
	w.act(n, func() { n.reporter.Step(context.Background()) })
}

// release makes a process give up the right, as it does before it exits.
func (w *world) release(n *node) {
	w.act(n, func() { n.reporter.Release(context.Background()) })
}

// runs reports whether the node's process can work at a time.
func (n *node) runs(now time.Duration) bool {
	return !n.busy && now >= n.downUntil && now >= n.suspendedUntil
}

// act runs something in the process of a node, unless that is busy or down.
func (w *world) act(n *node, what func()) {
	if !n.runs(w.now) {
		return
	}
	n.busy = true
	starts := n.starts
	defer func() {
		if cause := recover(); cause != nil && cause != (killed{}) {
			panic(cause)
		}
		if n.starts == starts {
			n.busy = false
		}
	}()
	what()
}

func (w *world) kill(n *node, d time.Duration) {
	w.start(n)
	n.downUntil = w.now + d
}

// suspend lets d pass for all but the caller's process. It panics if that was killed.
func (w *world) suspend(n *node, starts int, d time.Duration) {
	w.run(d)
	if n.starts != starts {
		panic(killed{})
	}
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p*w.faults }

// maybeSuspend suspends a process for a random time.
func (w *world) maybeSuspend(n *node, starts int) {
	if w.chance(0.06) {
		w.suspend(n, starts, time.Duration(w.random.Int64N(int64(9*time.Second))))
	}
	if w.chance(0.06) {
		w.kill(n, time.Duration(w.random.Int64N(int64(6*time.Second))))
		panic(killed{})
	}
}

// nodeStore is the store as one process reaches it.
type nodeStore struct {
	*world
	node   *node
	starts int
}

func (s *nodeStore) unreachable() bool { return s.storeDown || s.node.cut }

func (s *nodeStore) Eras() *store.Eras { return s.node.eras }

// answer returns an object as the store answers it in an era, or ErrEraEnded if the process
// knows a later one.
func (s *nodeStore) answer(o store.Object, era store.Era, err error) (store.Object, error) {
	if era < s.node.eras.Newest() {
		return store.Object{}, store.ErrEraEnded
	}
	s.node.eras.Learn(era)
	o.Era = era
	return o, err
}

func (s *nodeStore) Get(context.Context, string, string) (store.Object, error) {
	s.maybeSuspend(s.node, s.starts)
	if s.unreachable() {
		return store.Object{}, store.ErrRejected
	}
	if s.object.Revision == 0 {
		return s.answer(store.Object{}, s.era, store.ErrNotFound)
	}
	return s.answer(s.object, s.era, nil)
}

func (s *nodeStore) List(ctx context.Context, _ string, _ store.Freshness) (store.Listing, error) {
	o, err := s.Get(ctx, "", "")
	if errors.Is(err, store.ErrNotFound) {
		return store.Listing{Era: o.Era}, nil
	}
	return store.Listing{Objects: []store.Object{o}, Era: o.Era}, err
}

func (s *nodeStore) Create(ctx context.Context, kind, name string, spec any) (store.Object, error) {
	return s.Update(ctx, kind, name, 0, spec)
}

func (s *nodeStore) Update(_ context.Context, _, name string, revision int64, spec any) (store.Object, error) {
	raw, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	apply := func() (store.Object, error) {
		if s.object.Revision != revision {
			return store.Object{}, store.ErrConflict
		}
		s.revision += int64(1 + s.random.IntN(3)/2)
		s.object = store.Object{Name: name, Revision: s.revision, Spec: raw}
		return s.object, nil
	}
	s.maybeSuspend(s.node, s.starts)
	if s.unreachable() {
		return store.Object{}, store.ErrRejected
	}
	if s.chance(0.05) {
		at := s.now + time.Duration(s.random.Int64N(int64(maxWriteDelay)))
		s.late = append(s.late, lateWrite{at: at, apply: func() { _, _ = apply() }})
		return store.Object{}, errLost
	}
	era := s.era
	o, err := apply()
	s.maybeSuspend(s.node, s.starts)
	if s.chance(0.05) {
		return store.Object{}, errLost
	}
	return s.answer(o, era, err)
}

func (s *nodeStore) Watch(context.Context, string, int64, time.Duration) (store.Batch, error) {
	panic("not used")
}

func (s *nodeStore) Delete(context.Context, string, string, int64) error { panic("not used") }

// nodeSender is the platform as one process reaches it.
type nodeSender struct {
	*world
	node   *node
	starts int
}

func (s *nodeSender) Send(_ context.Context, holder string, fence int64, window usage.Window, counts usage.Counts, valid func() bool) error {
	s.maybeSuspend(s.node, s.starts)
	if !valid() {
		return errors.New("right ended")
	}
	if s.platformDown {
		return errors.New("platform down")
	}
	c := call{at: s.now, holder: holder, fence: fence, window: window, counts: counts}
	if s.chance(0.2) {
		c.at += report.CallTimeout
		s.inFlight = append(s.inFlight, c)
		s.suspend(s.node, s.starts, report.CallTimeout)
		return errLost
	}
	s.accept(c)
	if s.repliesLost || s.chance(0.1) {
		return errLost
	}
	s.maybeSuspend(s.node, s.starts)
	return nil
}

// accept checks a call against the rules.
func (w *world) accept(c call) {
	if first, ok := w.accepted[c.window]; ok {
		Expect(reflect.DeepEqual(first.counts, c.counts)).To(BeTrue(), "window %d is reported with %v and %v", c.window, first.counts, c.counts)
	} else {
		w.accepted[c.window] = c
	}
	for _, earlier := range w.calls {
		Expect(c.fence).To(BeNumerically(">=", earlier.fence), "fence %d of %s at %v after %d of %s at %v", c.fence, c.holder, c.at, earlier.fence, earlier.holder, earlier.at)
		if earlier.fence == c.fence {
			Expect(c.holder).To(Equal(earlier.holder), "fence %d", c.fence)
		}
	}
	other := false
	for i := len(w.calls) - 1; i >= 0 && c.at-w.calls[i].at < alternation; i-- {
		other = other || w.calls[i].holder != c.holder
		Expect(other && w.calls[i].holder == c.holder).To(BeFalse(), "%s acts, another holder, and %s again within %s", c.holder, c.holder, alternation)
	}
	w.calls = append(w.calls, c)
}

// killSome kills each node with a probability, for up to four seconds.
func (w *world) killSome(p float64) {
	for _, n := range w.nodes {
		if w.random.Float64() < p {
			w.kill(n, time.Duration(w.random.Int64N(int64(4*time.Second))))
		}
	}
}

// restoreAmidFaults makes the store come back from a copy after it was away for a moment,
// while nodes are killed, suspended, cut off from the store or start.
func (w *world) restoreAmidFaults() {
	w.storeDown = true
	spread := []float64{0, 0.5, 1}[w.random.IntN(3)]
	for range w.random.IntN(10) {
		switch w.random.IntN(4) {
		case 0:
			w.killSome(spread)
		case 1:
			n := w.nodes[w.random.IntN(len(w.nodes))]
			n.suspendedUntil = w.now + time.Duration(w.random.Int64N(int64(9*time.Second)))
		case 2:
			n := w.nodes[w.random.IntN(len(w.nodes))]
			n.cut = !n.cut
		default:
		}
		w.count()
		w.run(stepTime)
	}
	w.restore()
	w.storeDown = false
	if w.random.IntN(2) == 0 {
		w.killSome(spread)
	}
}

// disturb makes one random fault.
func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(10) {
	case 0:
		w.storeDown = !w.storeDown
	case 1:
		w.platformDown = !w.platformDown
	case 2:
		n.cut = !n.cut
	case 3, 4:
		w.kill(n, time.Duration(w.random.Int64N(int64(6*time.Second))))
	case 5:
		w.release(n)
		w.kill(n, time.Duration(w.random.Int64N(int64(3*time.Second))))
	case 6:
		other := w.nodes[w.random.IntN(len(w.nodes))]
		n.rank, other.rank = other.rank, n.rank
	case 7:
		w.killSome(1)
	default:
	}
}

// count counts one request in the current window, at one of the nodes that are up. Each of
// these sends its counts of that window and of the one before, which is over.
func (w *world) count() {
	window := usage.WindowAt(w.trueTime(), length)
	var up []*node
	for _, n := range w.nodes {
		if n.runs(w.now) {
			up = append(up, n)
		}
	}
	if len(up) > 0 {
		up[w.random.IntN(len(up))].counted[window]++
	}
	for _, from := range up {
		for _, k := range []usage.Window{window - 1, window} {
			w.sequence++
			update := usage.Update{
				Source: usage.Source{VM: from.name, Start: uint32(from.starts)}, Window: k, Sequence: w.sequence,
				Total: from.counted[k], Closed: k < window, Counts: usage.Counts{"a": from.counted[k]},
			}
			for _, to := range up {
				if to == from || !w.chance(0.1) {
					to.counts.Add(update, window)
				}
			}
		}
	}
}

// expectReported checks that each window in a span was accepted in time.
func (w *world) expectReported(from, to time.Duration, message string) {
	GinkgoHelper()
	first := usage.WindowAt(time.Unix(1_700_000_000, 0).Add(from), length) + 1
	for k := first; k.End(length).Add(lateAfter).Before(time.Unix(1_700_000_000, 0).Add(to)); k++ {
		c, ok := w.accepted[k]
		Expect(ok).To(BeTrue(), "%s: window %d is missing", message, k)
		late := time.Unix(1_700_000_000, 0).Add(c.at).Sub(k.End(length))
		Expect(late).To(BeNumerically("<=", lateAfter), "%s: window %d", message, k)
	}
}

func (w *world) holder() *node {
	var value struct{ Holder string }
	Expect(json.Unmarshal(w.object.Spec, &value)).To(Succeed())
	for _, n := range w.nodes {
		if n.name == value.Holder {
			return n
		}
	}
	return nil
}

var _ = Describe("usage reports", func() {
	It("are sent once for each window, within a second of its end", func() {
		w := newWorld(1, 3)
		for range 300 {
			w.count()
			w.run(stepTime)
		}
		w.expectReported(0, w.now, "calm")
		for _, c := range w.accepted {
			Expect(time.Unix(1_700_000_000, 0).Add(c.at).Sub(c.window.End(length))).To(BeNumerically("<", time.Second))
		}
		Expect(w.calls).To(HaveLen(len(w.accepted)))
	})

	// Guards against an object that grows beyond what the store accepts: with thousands of
	// accounts, the counts of one window take a tenth of that.
	It("are kept in the store only until they are sent", func() {
		w := newWorld(1, 3)
		for range 300 {
			w.count()
			w.run(stepTime)
		}
		w.run(2 * time.Second)
		Expect(string(w.object.Spec)).NotTo(ContainSubstring(`"a":`))
	})

	// Guards against two reports of a window with different counts, against fencing tokens
	// that go down and against holders that alternate, under faults of all kinds.
	It("obey the rules under random faults, and are complete after them", func() {
		for seed := range uint64(600) {
			w := newWorld(seed, 4)
			w.faults = 1
			func() {
				defer GinkgoRecover()
				for range 300 {
					w.count()
					w.run(stepTime)
					if w.random.IntN(12) == 0 {
						w.disturb()
					}
				}
			}()
			w.faults, w.storeDown, w.platformDown = 0, false, false
			for i, n := range w.nodes {
				n.cut, n.rank = false, i
			}
			w.run(20 * time.Second)
			calm := w.now
			for range 150 {
				w.count()
				w.run(stepTime)
			}
			w.expectReported(calm, w.now, fmt.Sprint("seed ", seed))
		}
	})

	// Guards against the same while the store comes back from copies, which lack the right of
	// the holder and reports that it may have sent.
	It("obey the rules while the store comes back from copies, and are complete after it", func() {
		for seed := range uint64(400) {
			w := newWorld(seed, 4)
			w.faults, w.era = float64(seed%2), 1
			for _, n := range w.nodes {
				n.clockError = time.Duration(w.random.Int64N(900)-450) * time.Millisecond
			}
			for step := range 300 {
				w.count()
				w.run(stepTime)
				if step%5 == 0 {
					w.copyStore()
				}
				if w.random.IntN(40) == 0 {
					w.restoreAmidFaults()
				}
				if w.faults > 0 && w.random.IntN(12) == 0 {
					w.disturb()
				}
			}
			w.faults, w.storeDown, w.platformDown = 0, false, false
			for i, n := range w.nodes {
				n.cut, n.rank = false, i
			}
			w.run(20 * time.Second)
			calm := w.now
			for range 150 {
				w.count()
				w.run(stepTime)
			}
			w.expectReported(calm, w.now, fmt.Sprint("seed ", seed))
		}
	})

	// Guards against a second report of a window, with other counts, by a gateway that knows
	// neither the reports that the store's copy lacks nor the counts that they had.
	DescribeTable("of windows that the store's copy lacks are not made again",
		func(disturb func(w *world, holder *node)) {
			for moment := range 60 {
				w := newWorld(uint64(moment), 3)
				w.era = 1
				for w.now < 25*time.Second+time.Duration(moment)*100*time.Millisecond {
					w.count()
					w.run(100 * time.Millisecond)
					if w.now%time.Second == 0 {
						w.copyStore()
					}
				}
				w.storeDown = true
				disturb(w, w.holder())
				w.run(2 * time.Second)
				w.restore()
				w.storeDown = false
				for range 200 {
					w.count()
					w.run(stepTime)
				}
				w.expectReported(w.now-25*time.Second, w.now, fmt.Sprint("moment ", moment))
			}
		},
		Entry("and all gateways end", func(w *world, _ *node) { w.killSome(1) }),
		Entry("and the holder ends", func(w *world, holder *node) { w.kill(holder, time.Second) }),
		Entry("and the holder ends for good", func(w *world, holder *node) { w.kill(holder, time.Hour) }),
		Entry("and the holder is suspended", func(w *world, holder *node) { holder.suspendedUntil = w.now + 8*time.Second }),
		Entry("and all but the holder are suspended, which ends", func(w *world, holder *node) {
			for _, n := range w.nodes {
				n.suspendedUntil = w.now + 4*time.Second
			}
			w.kill(holder, time.Hour)
		}),
	)

	// Guards against two holders at once after a write of an earlier era, carried out late at a
	// revision that was given out again, has replaced the object.
	It("are not taken over while a holder may act whose right a late write has replaced", func() {
		w := newWorld(1, 2)
		w.era = 1
		w.run(15 * time.Second)
		holder, early := w.holder(), w.object
		for _, n := range w.nodes {
			early.Spec = bytes.ReplaceAll(early.Spec, []byte(holder.name), []byte(n.name))
		}
		w.copyStore()
		w.restore()
		w.run(15 * time.Second)
		w.revision++
		early.Revision = w.revision
		w.object, holder.cut = early, true
		w.run(4 * time.Second)
		Expect(w.object.Revision).To(Equal(early.Revision))
	})

	// Guards against windows that are missing because the first holder waits for one that the
	// store may have lost.
	It("are complete from the first window on where the store names an era", func() {
		for moment := range 25 {
			w := newWorld(1, 3)
			w.era = 1
			w.now += time.Duration(moment) * stepTime
			began := w.now
			for range 200 {
				w.count()
				w.run(stepTime)
			}
			w.expectReported(began, w.now, fmt.Sprint("moment ", moment))
		}
	})

	// Guards against a window that is missing because its report was in no copy of the store.
	It("are complete although the store comes back from a copy at any moment", func() {
		for moment := range 60 {
			w := newWorld(uint64(moment), 3)
			w.era = 1
			for w.now < 25*time.Second+time.Duration(moment)*100*time.Millisecond {
				w.count()
				w.run(100 * time.Millisecond)
				if w.now%time.Second == 0 {
					w.copyStore()
				}
			}
			w.restore()
			for range 200 {
				w.count()
				w.run(stepTime)
			}
			w.expectReported(12*time.Second, w.now, fmt.Sprint("moment ", moment))
		}
	})

	// Guards against a window that is missing, or reported with two counts, because the
	// holder ended between two of its steps. The other gateways and a restart of the
	// holder must each make up for it in time.
	DescribeTable("are complete although the holder ends at any moment",
		func(down time.Duration) {
			for moment := range 60 {
				w := newWorld(uint64(moment), 3)
				for w.now < 20*time.Second+time.Duration(moment)*100*time.Millisecond {
					w.count()
					w.run(100 * time.Millisecond)
				}
				w.kill(w.holder(), down)
				for range 200 {
					w.count()
					w.run(stepTime)
				}
				w.expectReported(0, w.now, fmt.Sprint("moment ", moment))
			}
		},
		Entry("and restarts after a second", time.Second),
		Entry("and restarts after 3.5 s", 3500*time.Millisecond),
		Entry("for good", time.Hour),
	)

	// Guards against a window that is missing because the store or the platform was away at
	// its end, and back before the report was due.
	DescribeTable("are complete although something is away over the end of a window",
		func(set func(w *world, away bool)) {
			for moment := range 20 {
				w := newWorld(uint64(moment), 3)
				w.run(20*time.Second + time.Duration(moment)*250*time.Millisecond)
				set(w, true)
				w.run(4500 * time.Millisecond)
				set(w, false)
				w.run(30 * time.Second)
				w.expectReported(0, w.now, fmt.Sprint("moment ", moment))
			}
		},
		Entry("the store", func(w *world, away bool) { w.storeDown = away }),
		Entry("the platform", func(w *world, away bool) { w.platformDown = away }),
		Entry("the store for the holder", func(w *world, away bool) { w.holder().cut = away }),
	)

	It("are complete although all gateways hand over and restart in turn", func() {
		for seed := range uint64(50) {
			w := newWorld(seed, 3)
			w.run(15*time.Second + time.Duration(w.random.Int64N(int64(length))))
			for _, i := range w.random.Perm(3) {
				w.release(w.nodes[i])
				w.kill(w.nodes[i], time.Duration(w.random.Int64N(int64(time.Second))))
				w.run(1300 * time.Millisecond)
			}
			w.run(30 * time.Second)
			w.expectReported(0, w.now, fmt.Sprint("seed ", seed))
		}
	})

	// Guards against two holders that alternate when each is restarted as soon as it has
	// the right, and repeats what the platform has accepted already.
	It("obey the rules while one holder after another restarts", func() {
		for seed := range uint64(50) {
			w := newWorld(seed, 3)
			w.run(15 * time.Second)
			w.repliesLost = true
			for range 12 {
				n := w.holder()
				w.release(n)
				w.kill(n, time.Duration(w.random.Int64N(int64(time.Second))))
				w.run(time.Duration(w.random.Int64N(int64(3 * time.Second))))
			}
			w.repliesLost = false
			w.run(30 * time.Second)
			for k := usage.WindowAt(w.trueTime(), length) - 2; k > usage.WindowAt(w.trueTime(), length)-8; k-- {
				Expect(w.accepted).To(HaveKey(k), "seed %d", seed)
			}
		}
	})
})
