// Package evidence keeps the lasting evidence against requests and prompt segments in an object
// of the store, so that it outlives the processes that have it.
package evidence

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// kind and name identify the store object.
	kind = "pistachioroad-evidence"
	name = "terminations"
	// checkInterval is how often a gateway looks for evidence to save, and the first pause
	// between two tries of reading the object. Later ones grow to maxReadPause: after all
	// gateways were killed, each reads it.
	checkInterval = 200 * time.Millisecond
	maxReadPause  = 2 * time.Second
	// writers is the number of gateways that write the object. Each waits writerDelay longer
	// than the one before for it to do so.
	writers     = 3
	writerDelay = time.Second
	// retryDelay is the pause after a write that failed.
	retryDelay = time.Second
	// maxBytes limits the size of the object's value.
	maxBytes = 256 << 10
)

// errTooLarge is returned if the evidence exceeds maxBytes.
var errTooLarge = eris.New("evidence exceeds 256 KiB")

// Source has the evidence of a gateway.
type Source interface {
	// EvidenceVersion returns a number that changes whenever EvidenceSnapshot may have, 0 if
	// there has been nothing to save.
	EvidenceVersion() uint64
	EvidenceSnapshot() quarantine.Snapshot
	RestoreEvidence(quarantine.Snapshot)
}

// Keeper restores evidence from the store and saves it there.
type Keeper struct {
	Store  store.Store
	Source Source
	// Rank returns the rank of this gateway among all, from 0.
	Rank func() int

	// revision is the object's last known revision, 0 if it is unknown or does not exist, and
	// value its value.
	revision int64
	value    json.RawMessage
	// era is the store's era in which the object was last read or written.
	era store.Era
}

// Run restores the evidence as soon as the store can be read, and then saves what changes until
// ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	backoff := pause.Backoff{Initial: checkInterval, Max: maxReadPause}
	for k.read(ctx) != nil {
		if !pause.Sleep(ctx, backoff.Next(random)) {
			return ctx.Err()
		}
	}
	// saved is the version that the object has, and changedAt when there first was another.
	saved, changedAt := uint64(0), time.Time{}
	for pause.Sleep(ctx, checkInterval) {
		version := k.Source.EvidenceVersion()
		if era := store.ErasOf(k.Store).Newest(); era > k.era {
			// The store's copy may lack what was saved.
			k.era, k.revision, k.value, saved = era, 0, nil, 0
		}
		if version == saved {
			continue
		}
		if changedAt.IsZero() {
			changedAt = time.Now()
		}
		rank := k.Rank()
		if rank >= writers || time.Since(changedAt) < time.Duration(rank)*writerDelay {
			continue
		}
		if err := k.save(ctx); err != nil {
			k.revision = 0
			log.WithField("error", err.Error()).Info("save of evidence failed, retrying")
			pause.Sleep(ctx, retryDelay)
			continue
		}
		saved, changedAt = version, time.Time{}
	}
	return ctx.Err()
}

// read reads the object and restores its evidence.
func (k *Keeper) read(ctx context.Context) error {
	o, err := k.Store.Get(ctx, kind, name)
	if errors.Is(err, store.ErrNotFound) {
		k.revision, k.value = 0, nil
		return nil
	}
	if err != nil {
		log.WithField("error", err.Error()).Debug("read of evidence failed, retrying")
		return err
	}
	var s quarantine.Snapshot
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		log.WithField("revision", o.Revision).WithField("error", err.Error()).Warn("evidence of the store is unreadable and will be replaced")
	}
	k.revision, k.value, k.era = o.Revision, o.Spec, max(k.era, o.Era)
	k.Source.RestoreEvidence(s)
	log.WithField("revision", o.Revision).WithField("requests", len(s.Requests)).WithField("crashes", len(s.Crashes)).Info("restored evidence")
	return nil
}

// save writes the evidence. Unless the object's revision is known, it merges the object first.
func (k *Keeper) save(ctx context.Context) error {
	if k.revision == 0 || k.Rank() > 0 {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	value, err := json.Marshal(k.Source.EvidenceSnapshot())
	if err != nil {
		return eris.Wrap(err, "encode evidence")
	}
	if len(value) > maxBytes {
		return errTooLarge
	}
	if bytes.Equal(value, k.value) {
		return nil
	}
	o, err := k.write(ctx, value)
	if err != nil {
		return err
	}
	k.revision, k.value, k.era = o.Revision, value, max(k.era, o.Era)
	log.WithField("revision", o.Revision).WithField("bytes", len(value)).Info("saved evidence")
	return nil
}

// write creates the object, or updates it if it still has the known revision.
func (k *Keeper) write(ctx context.Context, value json.RawMessage) (store.Object, error) {
	if k.revision == 0 {
		return k.Store.Create(ctx, kind, name, value)
	}
	return k.Store.Update(ctx, kind, name, k.revision, value)
}
