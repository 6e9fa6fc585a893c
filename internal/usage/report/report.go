// Package report sends the usage of client accounts to the platform: once for each window,
// by one gateway at a time.
//
// One object in the store has the right to report and the reports. Each of its changes is
// a conditional update, so that a report cannot change once it is there, and a gateway that
// takes the right repeats what its predecessor may have sent. The revision of the update by
// which a gateway took the right is its fencing token.
//
// A holder sends only within Valid of its last update, by a clock that includes suspended
// time. Another gateway takes the right after it has seen the object unchanged for longer
// than that. The clocks of two gateways are never compared.
//
// A store that has come back from a copy may lack reports and a right that it has
// acknowledged. The holder writes them again before it sends anything. All others wait until
// its right has ended, and then leave out the windows that it may have reported: counts that
// differ from those of a lost report would be a second report of the window.
package report

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/internal/usage"
)

const (
	// Candidates is the number of gateways, by rank, that collect counts and may report.
	Candidates = 3
	// valid is how long after its last update a holder may send reports.
	valid = 3 * time.Second
	// CallTimeout limits one call to the platform.
	CallTimeout = 700 * time.Millisecond
	// sendMargin is the remaining validity that is required to begin a call.
	sendMargin = CallTimeout + 100*time.Millisecond
	// takeoverDelay is how long the object must have been unchanged before another gateway
	// takes the right: until then, the holder's last call has ended.
	takeoverDelay = 4500 * time.Millisecond
	// alternationMargin is added to Config.Alternation.
	alternationMargin = 200 * time.Millisecond
	// rankDelay is added for each rank.
	rankDelay = 1500 * time.Millisecond
	// renewInterval is the time after which a holder updates the object without news.
	renewInterval = 1200 * time.Millisecond
	// pollInterval is the time between two reads by a gateway that is not the holder.
	pollInterval = time.Second
	// retryInterval is the pause after a failed call.
	retryInterval = 300 * time.Millisecond
	// settleDelay is the time after the end of a window before it is settled, within which
	// the counts of its last requests arrive. maxSettleDelay is that time if a gateway is
	// late with its counts.
	settleDelay    = 300 * time.Millisecond
	maxSettleDelay = 3 * time.Second
	// clockMargin is more than the difference between the true times of two gateways.
	clockMargin = time.Second
)

// Sender sends reports to the platform.
type Sender interface {
	// Send sends a report. valid is asked right before the report is written to the
	// connection; if it returns false, nothing is sent.
	Send(ctx context.Context, holder string, fence int64, w usage.Window, counts usage.Counts, valid func() bool) error
}

// Config configures a Reporter.
type Config struct {
	// Holder is the name of this VM, Incarnation is random for each start.
	Holder, Incarnation string
	// Length is the length of the windows.
	Length time.Duration
	// Alternation is the time within which two holders must not alternate.
	Alternation time.Duration
	// Rank returns the position of this gateway among all; 0 acts first.
	Rank func() int
	// Clock returns the boot-time clock.
	Clock func() time.Duration
	// TrueTime returns the true time; false if it is not reliable yet.
	TrueTime func() (time.Time, bool)
	// Counts are the counts of all gateways.
	Counts *usage.Collector
	Store  store.Store
	Sender Sender
}

// Reporter settles and sends the reports while it holds the right to. It is not safe for
// concurrent use.
type Reporter struct {
	config Config

	// record and revision are the object as last read or written, at lastChange: when this
	// revision was first seen, or when the update was sent.
	record     record
	revision   int64
	lastChange time.Duration
	// recordEra is the store's era that revision belongs to. era is the newest known one,
	// since eraSince.
	recordEra, era store.Era
	eraSince       time.Duration
	// undecodable is the position of an object that could not be decoded.
	undecodable store.Position
	// doubtful is the last window that may have been reported although record lacks it. It
	// is used while no gateway has written the record in recordEra.
	doubtful usage.Window
	// rewrite is set while the holder has not written the object in this era.
	rewrite bool
	// holding is set while this process has the right, fence is then its fencing token.
	holding bool
	fence   int64
	// uncertain is set after an update of unknown outcome. The object is then read before
	// the next update. pending are such updates, which may still take effect, by WriteID,
	// with the times when they were sent.
	uncertain bool
	pending   map[string]time.Duration
	// firstPoll is when the object was first looked for, 0 before.
	firstPoll time.Duration
	nextCall  time.Duration
	nextSend  time.Duration
	// sent are the windows whose report was accepted, until the object says so.
	sent map[usage.Window]bool

	settled, leftOut, accepted, failed, taken metrics.Counter
}

// New returns a Reporter.
func New(c Config) *Reporter {
	return &Reporter{
		config:   c,
		pending:  make(map[string]time.Duration),
		sent:     make(map[usage.Window]bool),
		settled:  metrics.GetOrRegisterCounter("usage.windows_settled", nil),
		leftOut:  metrics.GetOrRegisterCounter("usage.windows_left_out", nil),
		accepted: metrics.GetOrRegisterCounter("usage.reports_accepted", nil),
		failed:   metrics.GetOrRegisterCounter("usage.reports_failed", nil),
		taken:    metrics.GetOrRegisterCounter("usage.right_taken", nil),
	}
}

// Step does what is due. It must be called several times a second.
func (r *Reporter) Step(ctx context.Context) {
	if _, reliable := r.config.TrueTime(); !reliable {
		return
	}
	r.enterEra(store.ErasOf(r.config.Store).Newest())
	if r.config.Clock() >= r.nextCall {
		r.keepRight(ctx)
	}
	if r.holding && !r.rewrite {
		r.sendReports(ctx)
	}
}

// enterEra records a new era of the store, which may lack what it has acknowledged.
func (r *Reporter) enterEra(era store.Era) {
	if era <= r.era {
		return
	}
	if r.era > 0 || r.revision > 0 {
		log.WithFields(log.Fields{
			"era": int64(era), "previous": int64(r.era), "holding": r.holding, "settled_through": int64(r.record.SettledThrough),
		}).Info("usage reports may be missing in the store's copy")
	}
	r.era, r.eraSince = era, r.config.Clock()
	r.rewrite = r.holding
	r.uncertain = r.uncertain || r.holding
}

// keepRight takes or renews the right, or gives it up if other gateways are to have it.
func (r *Reporter) keepRight(ctx context.Context) {
	candidate := r.config.Rank() < Candidates
	switch {
	case r.uncertain:
		r.reread(ctx)
	case r.holding && !candidate:
		r.Release(ctx)
	case r.holding:
		r.update(ctx)
	case candidate:
		r.poll(ctx)
	}
}

// reread reads the object after an update of unknown outcome. If this process wrote it, a
// holder still has the right, counted from when that update was sent.
func (r *Reporter) reread(ctx context.Context) {
	o, err := r.config.Store.Get(ctx, Kind, Name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		r.pause(retryInterval)
		return
	}
	r.enterEra(max(o.Era, store.ErasOf(r.config.Store).Newest()))
	r.uncertain = false
	if r.rewrite && r.remaining() > 0 {
		// The right is valid although the store may lack it: no other gateway takes it yet.
		r.adoptCopy(o, err == nil)
		return
	}
	r.holding = r.holding && !r.rewrite
	r.rewrite = false
	if err != nil {
		r.holding, r.revision = false, 0
		return
	}
	if !r.observe(o) {
		r.holding = false
		return
	}
	// An update that took the right or gave it up may take effect late. Only a further
	// update, which would then fail, makes sure of it.
	r.holding = r.holding && r.ownsRecord()
	if sent, ok := r.pending[r.record.WriteID]; ok && r.holding {
		r.lastChange = sent
	}
}

// adoptCopy prepares the holder's next update, which writes its record again, for the object
// of a new era. Its record has all reports, as its right is still valid.
func (r *Reporter) adoptCopy(o store.Object, found bool) {
	own, lastChange := r.record, r.lastChange
	if !found {
		r.revision, r.recordEra = 0, r.era
		return
	}
	if !r.observe(o) {
		r.holding, r.rewrite = false, false
		return
	}
	r.record, r.lastChange = own, lastChange
}

// ownsRecord reports whether this process, in its current incarnation, wrote the object.
func (r *Reporter) ownsRecord() bool {
	return r.record.Holder == r.config.Holder && r.record.Incarnation == r.config.Incarnation
}

// observe takes over an object that was read. It reports whether it could be decoded.
func (r *Reporter) observe(o store.Object) bool {
	r.enterEra(o.Era)
	if known := (store.Position{Era: r.recordEra, Revision: r.revision}); !known.Before(o.Position()) {
		return o.Position() == known
	}
	var value record
	if err := json.Unmarshal(o.Spec, &value); err != nil {
		if r.undecodable != o.Position() {
			r.undecodable = o.Position()
			log.WithField("error", err.Error()).WithField("revision", o.Revision).Error("object with the usage reports cannot be decoded")
		}
		return false
	}
	r.record, r.revision, r.recordEra, r.lastChange = value, o.Revision, o.Era, r.config.Clock()
	r.noteDoubtful()
	return true
}

// ofEarlierEra reports whether no gateway has written the record in the era in which it was
// read: it is that of a copy, or of a write that was sent before the store came back and took
// effect after it.
func (r *Reporter) ofEarlierEra() bool { return r.record.Era < r.recordEra }

// noteDoubtful records which windows a record of an earlier era may lack: a report that was
// lost, or overwritten, is of a window that had ended by now.
func (r *Reporter) noteDoubtful() {
	if now, _ := r.config.TrueTime(); r.ofEarlierEra() {
		r.doubtful = usage.WindowAt(now.Add(clockMargin), r.config.Length) - 1
	}
}

// poll looks whether the right can be taken, and takes it.
func (r *Reporter) poll(ctx context.Context) {
	r.pause(pollInterval)
	now := r.config.Clock()
	if r.firstPoll == 0 {
		r.firstPoll = now
	}
	// A stale read suffices: an update from it fails if it is out of date.
	l, err := r.config.Store.List(ctx, Kind, store.Stale)
	if err != nil {
		log.WithField("error", err.Error()).Debug("read of the usage reports failed")
		return
	}
	r.enterEra(l.Era)
	found := false
	for _, o := range l.Objects {
		if o.Name != Name {
			continue
		}
		found = true
		if !r.observe(o) {
			return
		}
	}
	if !found && l.Era > r.recordEra {
		r.record, r.revision, r.recordEra = record{}, 0, l.Era
		r.noteDoubtful()
	}
	if r.mayTake() {
		r.take(ctx)
	}
}

// mayTake reports whether this gateway may take the right.
func (r *Reporter) mayTake() bool {
	if r.era > 0 && r.config.Clock()-r.eraSince < r.takeoverDelay() {
		// A holder that the store no longer has may still send.
		return false
	}
	rank := r.config.Rank()
	switch {
	case r.revision == 0:
		return r.config.Clock()-r.firstPoll >= time.Duration(rank)*rankDelay
	case r.ofEarlierEra():
		// It does not name a gateway that has taken the right since the store came back.
		return r.unchangedFor() >= r.takeoverDelay()+time.Duration(max(0, rank-1))*rankDelay
	case r.record.Holder == r.config.Holder:
		// The previous process of this VM has ended, and its calls with it.
		return true
	case r.record.Released:
		return !slices.Contains(r.record.Recent, r.config.Holder) || r.unchangedFor() >= r.config.Alternation+alternationMargin
	default:
		// The gateway of rank 0 is most often the holder that has ended.
		return r.unchangedFor() >= r.takeoverDelay()+time.Duration(max(0, rank-1))*rankDelay
	}
}

func (r *Reporter) takeoverDelay() time.Duration { return max(takeoverDelay, r.config.Alternation) }

func (r *Reporter) unchangedFor() time.Duration { return r.config.Clock() - r.lastChange }

// take writes this gateway into the object as the holder.
func (r *Reporter) take(ctx context.Context) {
	next := r.record.clone()
	switch {
	case r.recordEra == 0 && r.revision == 0:
		// There are no reports yet: the present window is the first one.
		next.SettledThrough = r.currentWindow() - 1
	case r.unchangedFor() >= r.config.Alternation+alternationMargin:
		next.Recent = nil
	default:
		next.followedBy(r.config.Holder)
	}
	var firstLeftOut usage.Window
	var leftOut int64
	switch {
	case r.ofEarlierEra() && r.revision == 0:
		next.SettledThrough = r.doubtful
	case r.ofEarlierEra():
		firstLeftOut, leftOut = next.leaveOut(r.doubtful)
	}
	next.Released = false
	if !r.write(ctx, next) {
		return
	}
	if leftOut > 0 {
		r.leftOut.Inc(leftOut)
		log.WithFields(log.Fields{"from": int64(firstLeftOut), "to": int64(next.SettledThrough), "windows": leftOut, "era": int64(r.recordEra)}).
			Warn("usage of windows left out, it may have been reported before the store came back from a copy")
	}
	r.holding, r.fence = true, store.Position{Era: r.recordEra, Revision: r.revision}.Token()
	r.logTaken()
}

func (r *Reporter) logTaken() {
	r.taken.Inc(1)
	log.WithFields(log.Fields{
		"fence": r.fence, "settled_through": int64(r.record.SettledThrough), "reports": len(r.record.Reports), "rank": r.config.Rank(),
	}).Info("right to report usage taken")
}

// update settles the windows that are due, and renews the right.
func (r *Reporter) update(ctx context.Context) {
	next := r.record.clone()
	next.markSent(r.sent)
	due := r.settleDue(&next)
	if !due && !r.rewrite && r.unchangedFor() < renewInterval {
		return
	}
	dropped := next.prune(r.currentWindow() - usage.MaxDistance)
	settledThrough := r.record.SettledThrough
	if !r.write(ctx, next) {
		return
	}
	r.settled.Inc(int64(next.SettledThrough - settledThrough))
	for _, s := range dropped {
		log.WithField("window", int64(s.Window)).Error("usage of a window was never accepted by the platform, report dropped")
	}
	clear(r.sent)
	for _, s := range r.record.Reports {
		r.sent[s.Window] = s.Sent
	}
}

func (r *Reporter) currentWindow() usage.Window {
	now, _ := r.config.TrueTime()
	return usage.WindowAt(now, r.config.Length)
}

// settleDue adds the reports of the windows that are due to next, and reports whether there
// were any.
func (r *Reporter) settleDue(next *record) bool {
	now, _ := r.config.TrueTime()
	if oldest := r.currentWindow() - usage.MaxDistance; next.SettledThrough < oldest {
		log.WithField("from", int64(next.SettledThrough+1)).WithField("to", int64(oldest)).Error("usage of windows is too old to be reported")
		next.SettledThrough = oldest
	}
	found := false
	for w := next.SettledThrough + 1; ; w++ {
		age := now.Sub(w.End(r.config.Length))
		if age < settleDelay {
			return found
		}
		missing := r.config.Counts.Missing(w)
		if len(missing) > 0 && age < maxSettleDelay {
			return found
		}
		counts := r.config.Counts.Sum(w)
		next.settle(counts)
		found = true
		log.WithFields(log.Fields{
			"window": int64(w), "age_ms": age.Milliseconds(), "accounts": len(counts), "requests": counts.Total(), "missing": missing,
		}).Info("usage of a window to be settled")
	}
}

// write makes a conditional update, or creates the object. It reports whether it is known
// to have taken effect.
func (r *Reporter) write(ctx context.Context, next record) bool {
	next.Holder, next.Incarnation, next.WriteID, next.Era = r.config.Holder, r.config.Incarnation, uuid.NewString(), r.era
	sent := r.config.Clock()
	var o store.Object
	var err error
	if r.revision == 0 {
		o, err = r.config.Store.Create(ctx, Kind, Name, next)
	} else {
		o, err = r.config.Store.Update(ctx, Kind, Name, r.revision, next)
	}
	switch {
	case err == nil && o.Era != r.era:
		// The update was decided on the state of an earlier era.
		r.enterEra(o.Era)
		r.uncertain = true
		r.pending[next.WriteID] = sent
		err = store.ErrEraEnded
	case err == nil:
		r.record, r.revision, r.recordEra, r.lastChange = next, o.Revision, o.Era, sent
		r.rewrite = false
		clear(r.pending)
		return true
	case errors.Is(err, store.ErrRejected):
	case errors.Is(err, store.ErrConflict):
		// Another gateway, or an earlier update of this one, has changed the object.
		r.uncertain = true
	default:
		r.uncertain = true
		r.pending[next.WriteID] = sent
	}
	log.WithField("error", err.Error()).WithField("revision", r.revision).Info("update of the usage reports failed")
	r.pause(retryInterval)
	return false
}

func (r *Reporter) pause(d time.Duration) { r.nextCall = r.config.Clock() + d }

// remaining returns how long this process may still send reports.
func (r *Reporter) remaining() time.Duration {
	if !r.holding {
		return 0
	}
	return r.lastChange + valid - r.config.Clock()
}

// sendReports sends the settled reports that the platform has not accepted.
func (r *Reporter) sendReports(ctx context.Context) {
	if r.config.Clock() < r.nextSend {
		return
	}
	for _, s := range r.record.Reports {
		if s.Sent || r.sent[s.Window] {
			continue
		}
		if r.remaining() < sendMargin {
			return
		}
		if !r.send(ctx, s) {
			r.nextSend = r.config.Clock() + retryInterval
			return
		}
	}
}

// send sends one report and reports whether the platform accepted it.
func (r *Reporter) send(ctx context.Context, s settled) bool {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	err := r.config.Sender.Send(ctx, r.config.Holder, r.fence, s.Window, s.Counts, func() bool { return r.remaining() > 0 })
	now, _ := r.config.TrueTime()
	line := log.WithFields(log.Fields{
		"window": int64(s.Window), "fence": r.fence, "accounts": len(s.Counts), "requests": s.Counts.Total(), "revision": r.revision,
		"late_ms": now.Sub(s.Window.End(r.config.Length)).Milliseconds(),
	})
	if err != nil {
		r.failed.Inc(1)
		line.WithField("error", err.Error()).Warn("usage report not accepted, it will be repeated")
		return false
	}
	r.accepted.Inc(1)
	r.sent[s.Window] = true
	line.Info("usage report accepted")
	return true
}

// Release gives up the right, so that another gateway can take it at once. This process
// sends nothing from then on.
func (r *Reporter) Release(ctx context.Context) {
	if !r.holding {
		return
	}
	next := r.record.clone()
	next.markSent(r.sent)
	next.Released = true
	r.holding = false
	log.WithField("fence", r.fence).WithField("released", r.write(ctx, next)).Info("right to report usage given up")
}
