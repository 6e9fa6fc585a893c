package store

import (
	"sync/atomic"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// Era counts the returns of the store from a copy of itself. At each of them, the store loses
// what it acknowledged after the copy was taken, and its revisions go back and are given out
// again: they can be compared within one era only. 0 means that the store names no era.
type Era int64

// MaxEra is the highest era that is accepted.
const MaxEra Era = 1<<21 - 1

// Position is a revision of the store within an era.
type Position struct {
	Era      Era
	Revision int64
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// revisionBits is the size of a revision in a Token. With MaxEra, a token fits into the 53 bits
// that a JSON number carries exactly.
const revisionBits = 32

// Token returns the position as one number that increases with it, for fencing tokens.
func (p Position) Token() int64 { return int64(p.Era)<<revisionBits + p.Revision }

// Eras is the newest era that a process knows, from answers of the store or from other
// processes. Its methods are safe for concurrent use. A nil Eras stays at 0.
type Eras struct{ newest atomic.Int64 }

// ErasOf returns the eras of a store, nil if it names none.
func ErasOf(s Store) *Eras {
	if source, ok := s.(interface{ Eras() *Eras }); ok {
		return source.Eras()
	}
	return nil
}

var eraGauge = metrics.GetOrRegisterGauge("store.era", nil)

// Newest returns the newest known era.
func (e *Eras) Newest() Era {
	if e == nil {
		return 0
	}
	return Era(e.newest.Load())
}

// Learn records that the store has reached an era.
func (e *Eras) Learn(era Era) {
	if e == nil {
		return
	}
	for {
		known := e.newest.Load()
		if int64(era) <= known {
			return
		}
		if e.newest.CompareAndSwap(known, int64(era)) {
			eraGauge.Update(int64(era))
			log.WithField("era", int64(era)).WithField("previous", known).Info("store names a new era")
			return
		}
	}
}
