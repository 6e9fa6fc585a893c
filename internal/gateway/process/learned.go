package process

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// learnedKind and learnedName are those of the object that holds what gateways
	// have learned of model engines.
	learnedKind = "pistachioroad-learned"
	learnedName = "engines"
	// saveEvery is how often one gateway writes it. Engines keep their speed for
	// longer, and each write is a call to the store.
	saveEvery = 5 * time.Second
	// restoreEvery is how often a new process tries to read it, restoreWithin for how
	// long: by then it has learned by itself.
	restoreEvery  = 200 * time.Millisecond
	restoreWithin = 10 * time.Second
	// maxLearned is the largest value that is written, in bytes.
	maxLearned = 512 << 10
)

// errLearnedTooLarge says that what was learned is not saved.
var errLearnedTooLarge = eris.New("what was learned is too large for the store")

// learned is the object's value.
type learned struct {
	Services map[string]place.Snapshot `json:"services"`
}

// saver writes what was learned. The write is idempotent, and a lost one is made up
// for by the next.
type saver struct {
	store store.Store
	// revision is that of the object as last written, 0 if unknown.
	revision int64
}

// save writes services to the store.
func (s *saver) save(ctx context.Context, services map[string]place.Snapshot) error {
	value, err := json.Marshal(learned{Services: services})
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	if len(value) > maxLearned {
		return errLearnedTooLarge
	}
	o, err := s.write(ctx, value)
	if err != nil {
		// The object is read before the next write.
		s.revision = 0
		return err
	}
	s.revision = o.Revision
	return nil
}

func (s *saver) write(ctx context.Context, value json.RawMessage) (store.Object, error) {
	if s.revision > 0 {
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

// saveLearned has the first of the gateways save what it has learned.
func (p *parts) saveLearned(ctx context.Context) error {
	s := &saver{store: p.store}
	for pause.For(ctx, saveEvery) {
		services := p.gateway.LearnedState()
		if p.peers.Rank() != 0 || len(services) == 0 {
			continue
		}
		if err := s.save(ctx, services); err != nil {
			log.WithField("error", err.Error()).Info("what was learned of engines not saved, trying again")
			continue
		}
		log.WithField("revision", s.revision).WithField("services", len(services)).Info("what was learned of engines saved")
	}
	return ctx.Err()
}

// restoreLearned takes over what gateways had learned before this process started.
func (p *parts) restoreLearned(ctx context.Context) error {
	if !p.config.Deployment.FirstStart {
		restoreLearned(ctx, p.store, p.gateway)
	}
	<-ctx.Done()
	return ctx.Err()
}

func restoreLearned(ctx context.Context, s store.Store, g *gateway.Gateway) {
	for end := time.Now().Add(restoreWithin); time.Now().Before(end); {
		// A stale read does: engines keep their speed for longer.
		l, err := s.List(ctx, learnedKind, store.Stale)
		if err == nil {
			for _, o := range l.Objects {
				takeOver(g, o)
			}
			return
		}
		log.WithField("error", err.Error()).Debug("what was learned of engines not read, trying again")
		if !pause.For(ctx, restoreEvery) {
			return
		}
	}
}

// takeOver has g take over what an object holds.
func takeOver(g *gateway.Gateway, o store.Object) {
	var l learned
	err := json.Unmarshal(o.Spec, &l)
	if err == nil {
		err = g.RestoreLearned(l.Services)
	}
	entry := log.WithField("object", o.Name).WithField("revision", o.Revision).WithField("services", len(l.Services))
	if err != nil {
		entry.WithField("error", err.Error()).Warn("what was learned of engines is taken over in part")
		return
	}
	entry.Info("what was learned of engines is taken over")
}
