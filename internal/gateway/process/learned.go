package process

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// learnedKind and learnedName identify the store object with what gateways have
	// learned of model engines.
	learnedKind = "pistachioroad-learned"
	learnedName = "engines"
	// saveInterval is how often one gateway writes the object. Engines' speeds change
	// more slowly, and each write is a call to the store.
	saveInterval = 5 * time.Second
	// restoreInterval is how often a new process tries to read the object, and
	// restoreTimeout for how long: by then it has learned the state itself.
	restoreInterval = 200 * time.Millisecond
	restoreTimeout  = 10 * time.Second
	// restorationTimeout is how long a new process waits for the state before it does without
	// knowing whether there is one.
	restorationTimeout = time.Second
	// maxLearnedBytes limits the size of the object's value.
	maxLearnedBytes = 512 << 10
)

// errLearnedTooLarge is returned if the learned state exceeds maxLearnedBytes.
var errLearnedTooLarge = eris.New("learned state exceeds 512 KiB")

// learnedState is the object's value.
type learnedState struct {
	Services map[string]place.Snapshot `json:"services"`
}

// saver writes the learned state to the store. Writes are idempotent, and the next
// one makes up for a lost one.
type saver struct {
	store store.Store
	// revision is the object's revision after the last write, 0 if unknown, in era.
	revision int64
	era      store.Era
}

// save writes services to the store.
func (s *saver) save(ctx context.Context, services map[string]place.Snapshot) error {
	value, err := json.Marshal(learnedState{Services: services})
	if err != nil {
		return eris.Wrap(err, "encode learned state")
	}
	if len(value) > maxLearnedBytes {
		return errLearnedTooLarge
	}
	o, err := s.write(ctx, value)
	if err != nil {
		// The revision may have changed, so the next write reads the object first.
		s.revision = 0
		return err
	}
	s.revision, s.era = o.Revision, o.Era
	return nil
}

// write creates the object, or updates it if it still has the last known revision. If
// that is unknown, it reads the object first.
func (s *saver) write(ctx context.Context, value json.RawMessage) (store.Object, error) {
	if s.revision > 0 && s.era == store.ErasOf(s.store).Newest() {
		return s.store.Update(ctx, learnedKind, learnedName, s.revision, value)
	}
	o, err := s.store.Get(ctx, learnedKind, learnedName)
	if errors.Is(err, store.ErrNotFound) {
		return s.store.Create(ctx, learnedKind, learnedName, value)
	}
	if err != nil {
		return o, err
	}
	return s.store.Update(ctx, learnedKind, learnedName, o.Revision, value)
}

// saveLearned periodically saves the learned state if this is the gateway of rank 0.
func (p *components) saveLearned(ctx context.Context) error {
	s := &saver{store: p.store}
	for pause.Sleep(ctx, saveInterval) {
		services := p.gateway.LearnedState()
		if p.peers.Rank() != 0 || len(services) == 0 {
			continue
		}
		if err := s.save(ctx, services); err != nil {
			log.WithField("error", err.Error()).Info("save of learned engine state failed, retrying")
			continue
		}
		log.WithField("revision", s.revision).WithField("services", len(services)).Info("saved learned engine state")
	}
	return ctx.Err()
}

// restoration is the outcome of restoring what gateways had learned before this process
// started.
type restoration struct {
	once sync.Once
	done chan struct{}
	// nothingLearned says that the store has no learned state. It must be read after done.
	nothingLearned bool
}

func newRestoration() *restoration { return &restoration{done: make(chan struct{})} }

func (r *restoration) finish(nothingLearned bool) {
	r.once.Do(func() {
		r.nothingLearned = nothingLearned
		close(r.done)
	})
}

// isFirst waits for the outcome, for restorationTimeout at most, and reports whether no
// gateway has learned anything yet: the system starts for the first time.
func (r *restoration) isFirst(ctx context.Context) bool {
	pause.SleepOrSignal(ctx, restorationTimeout, r.done)
	select {
	case <-r.done:
		return r.nothingLearned
	default:
		return false
	}
}

// restoreLearned loads the state that gateways learned before this process started.
func (p *components) restoreLearned(ctx context.Context) error {
	found, known := restoreLearnedState(ctx, p.store, p.gateway)
	p.restored.finish(known && !found)
	<-ctx.Done()
	return ctx.Err()
}

// restoreLearnedState reads the learned state from the store and passes it to g. It
// retries until restoreTimeout has elapsed. It reports whether there is such a state, and
// whether the store has told that.
func restoreLearnedState(ctx context.Context, s store.Store, g *gateway.Gateway) (found, known bool) {
	for end := time.Now().Add(restoreTimeout); time.Now().Before(end); {
		// A stale read suffices, because engines' speeds change slowly.
		l, err := s.List(ctx, learnedKind, store.Stale)
		if err == nil {
			for _, o := range l.Objects {
				restoreObject(g, o)
			}
			return len(l.Objects) > 0, true
		}
		log.WithField("error", err.Error()).Debug("read of learned engine state failed, retrying")
		if !pause.Sleep(ctx, restoreInterval) {
			break
		}
	}
	return false, false
}

// restoreObject restores the learned state of g from an object.
func restoreObject(g *gateway.Gateway, o store.Object) {
	var l learnedState
	err := json.Unmarshal(o.Spec, &l)
	if err == nil {
		err = g.RestoreLearnedState(l.Services)
	}
	line := log.WithField("object", o.Name).WithField("revision", o.Revision).WithField("services", len(l.Services))
	if err != nil {
		line.WithField("error", err.Error()).Warn("restored learned engine state only in part")
		return
	}
	line.Info("restored learned engine state")
}
