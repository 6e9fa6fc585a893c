package directory

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// withholdingStore is a store whose watches return no changes, as before it compacts
// its history. Its lists include all changes.
type withholdingStore struct {
	store.Store
	mu       sync.Mutex
	revision int64
	// unreachable makes lists fail; compacted makes watches fail because the history
	// is gone.
	unreachable, compacted bool
	listed                 []time.Time
}

func (h *withholdingStore) set(unreachable, compacted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable, h.compacted = unreachable, compacted
}

// listTimes returns when the lists were made.
func (h *withholdingStore) listTimes() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed
}

func (h *withholdingStore) change() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
}

func (h *withholdingStore) List(_ context.Context, kind string, _ store.Freshness) (store.Listing, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable {
		return store.Listing{}, store.ErrRejected
	}
	h.listed = append(h.listed, time.Now())
	if kind != "config" {
		return listing(h.revision, object("a", h.revision, "x")), nil
	}
	return listing(h.revision, object("main", h.revision, "1")), nil
}

// Watch fails when ctx is done or the wait times out, like a call without a response.
func (h *withholdingStore) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (store.Batch, error) {
	h.mu.Lock()
	compacted := h.compacted
	h.mu.Unlock()
	if compacted {
		return store.Batch{}, store.ErrCompacted
	}
	select {
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	case <-time.After(wait + time.Second):
		return store.Batch{}, context.DeadlineExceeded
	}
}

// kinds are the objects that the gateways under test follow.
var kinds = Kinds{Config: "config", ConfigName: "main", Servers: "servers"}

// follow is one of the duties of a Directory.
type follow func(*Directory, context.Context) error

// runFollower runs check, in virtual time, with a gateway that follows s and delegates
// watching to others when it can.
func runFollower(t *testing.T, s store.Store, duty follow, check func(d *Directory)) {
	synctest.Test(t, func(t *testing.T) {
		d := New(s, plainDecoder{}, kinds)
		d.IsWatcher = func() bool { return false }
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go func() { _ = duty(d, ctx) }()
		check(d)
	})
}

// confirmInterval is how often the tests send a confirmation of another gateway.
const confirmInterval = 100 * time.Millisecond

// confirmRepeatedly sends the confirmation of another gateway at intervals.
func confirmRepeatedly(d *Directory, c Confirmation, duration time.Duration) {
	for range duration / confirmInterval {
		d.RemoteConfirmation(time.Now(), c)
		time.Sleep(confirmInterval)
	}
}

// Guards against a gateway that denies a new route for 3.5 s although seven others serve
// it within 150 ms and have announced the newer configuration ten times.
//
// It happens when the store is about to compact its history and withholds changes, so
// that all watches hang. The watching gateways stop confirming, and every gateway reads
// for itself, this one just before the change. Its next watch hangs, and it used to act
// on the announcements only after that watch had ended: it started to watch at 16.97 s,
// got the first announcement at 17.61 s, found the history compacted at 20.02 s, and
// applied the configuration, from a list, at 20.46 s.
func TestChangeThatOthersNameIsReadAtOnce(t *testing.T) {
	const (
		untilChange    = 100 * time.Millisecond
		untilAnnounced = 500 * time.Millisecond
		untilKnown     = 100 * time.Millisecond
	)
	for _, c := range []struct {
		name      string
		follow    follow
		announced Confirmation
		known     func(*View) bool
	}{
		{
			"configuration", (*Directory).FollowConfig,
			Confirmation{ConfigRevision: 2},
			func(v *View) bool { return v.TableRevision == 2 },
		},
		{
			"backend servers", (*Directory).FollowServers,
			Confirmation{ServersRevision: 2},
			func(v *View) bool { return time.Since(v.ServersConfirmedAt) < untilAnnounced },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &withholdingStore{revision: 1}
			runFollower(t, s, c.follow, func(d *Directory) {
				time.Sleep(untilChange)
				s.change()
				time.Sleep(untilAnnounced)
				d.RemoteConfirmation(time.Now(), c.announced)
				time.Sleep(untilKnown)
				if !c.known(d.View()) {
					t.Errorf("a change announced %v ago is not known", untilKnown)
				}
			})
		})
	}
}

// Guards against a gateway that denies a route that was added four seconds ago, where
// operators rely on two: the store withholds a change from watches and the watching
// gateways are gone, so that only its own reads can show the change.
func TestChangeIsReadWithinTheOperatorsBoundThoughWatchesHang(t *testing.T) {
	const (
		bound       = 2 * time.Second
		untilChange = 100 * time.Millisecond
	)
	s := &withholdingStore{revision: 1}
	runFollower(t, s, (*Directory).FollowConfig, func(d *Directory) {
		time.Sleep(untilChange)
		s.change()
		time.Sleep(bound)
		if v := d.View(); v.TableRevision != 2 {
			t.Errorf("a change stored %v ago is not known", bound)
		}
	})
}

// Guards against requests to a draining server for more than a second: the store
// withholds changes from watches when another gateway announces the change, the watch
// that fetches it hangs, and the hang is mistaken for an outage of the store.
func TestCoveredGatewayListsIfTheStoreKeepsTheChangeBack(t *testing.T) {
	const (
		untilKnown = 500 * time.Millisecond
		settling   = 2 * time.Second
	)
	s := &withholdingStore{revision: 1}
	runFollower(t, s, (*Directory).FollowServers, func(d *Directory) {
		confirmRepeatedly(d, Confirmation{ServersRevision: 1}, settling)
		s.change()
		d.RemoteConfirmation(time.Now(), Confirmation{ServersRevision: 2})
		time.Sleep(untilKnown)
		d.locked(func() {
			if d.state.serversSynced != 2 {
				t.Errorf("a change announced %v ago is not known", untilKnown)
			}
			if !d.state.recoveredAt.IsZero() {
				t.Error("withheld changes are mistaken for an outage")
			}
		})
	})
}

// Guards against a backoff that outlasts its outage: since the outage the gateway has
// relied on others and had no successful watch of its own. When its next watch finds
// the history compacted, it would pause as long as at the end of that outage, and learn
// of a change half a second later than necessary.
func TestPausesOfAnEarlierOutageAreForgotten(t *testing.T) {
	const (
		outage = 5 * time.Second
		calm   = 3 * time.Second
		alone  = 3 * time.Second
	)
	s := &withholdingStore{revision: 1, unreachable: true}
	runFollower(t, s, (*Directory).FollowConfig, func(d *Directory) {
		time.Sleep(outage)
		s.set(false, true)
		confirmRepeatedly(d, Confirmation{ConfigRevision: 1}, calm)
		before := len(s.listTimes())
		time.Sleep(alone)
		lists := s.listTimes()[before:]
		if len(lists) < 2 {
			t.Fatalf("%d lists in %v without confirmations", len(lists), alone)
		}
		if pause := lists[1].Sub(lists[0]); pause > minPause {
			t.Errorf("the first pause after a compacted history took %v, more than %v", pause, minPause)
		}
	})
}

// Guards against a gateway that has read the configuration after an outage of the store,
// and rejects all requests while it pauses before it reads the servers.
func TestStoreThatAnswersForOneKindIsAskedForTheOther(t *testing.T) {
	both := func(d *Directory, ctx context.Context) error {
		go func() { _ = d.FollowServers(ctx) }()
		return d.FollowConfig(ctx)
	}
	for range 20 {
		s := &withholdingStore{revision: 1, unreachable: true}
		runFollower(t, s, both, func(*Directory) {
			time.Sleep(5 * time.Second)
			s.set(false, false)
			time.Sleep(maxPause)
			lists := s.listTimes()
			if len(lists) != 2 || lists[1].After(lists[0]) {
				t.Fatalf("lists at %v, want two together", lists)
			}
		})
	}
}

// Guards against a gateway that pauses after an outage of the store while others confirm
// that it responds again.
func TestStoreThatAnswersOthersIsAskedAtOnce(t *testing.T) {
	for range 20 {
		s := &withholdingStore{revision: 1, unreachable: true}
		runFollower(t, s, (*Directory).FollowConfig, func(d *Directory) {
			time.Sleep(5 * time.Second)
			s.set(false, false)
			confirmed := time.Now()
			d.RemoteConfirmation(confirmed, Confirmation{ConfigRevision: 1})
			time.Sleep(maxPause)
			lists := s.listTimes()
			if len(lists) == 0 || lists[0].After(confirmed) {
				t.Fatalf("lists at %v, confirmation at %v", lists, confirmed)
			}
		})
	}
}
