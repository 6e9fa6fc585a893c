// Package readahead copies answers from backend servers to callers. While a write to a caller
// blocks, the answer is read on into memory, because servers cut off answers that stay unread.
//
// The answer of a caller that keeps up is copied by one goroutine with one buffer. A second
// goroutine reads only while the caller is behind.
package readahead

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// chunkSize is the size of the buffers for copying, and the unit in which memory for
	// reading ahead is reserved.
	chunkSize = 8 << 10
	// minRead is the smallest rest of a buffer that is still read into.
	minRead = 512
	// pollInterval is how often an answer without room looks for some that others released.
	pollInterval = 10 * time.Millisecond
	// defaultMaxPerAnswer is the default of Limits.PerAnswer. Streams of thousands of tokens
	// have some hundred kilobytes.
	defaultMaxPerAnswer = 1 << 20
	// maxShare is the part of the process's limit that one answer may have.
	maxShare = 8
	// defaultPatience is the default of Limits.Patience: longer than writes to callers that
	// keep up take, shorter than any pause after which a server cuts its answer off.
	defaultPatience = 50 * time.Millisecond
	// defaultStallTimeout is the default of Limits.StallTimeout. Servers tolerate an unread
	// answer for some seconds.
	defaultStallTimeout = 2 * time.Second
)

// The errors of Copy that are not those of the source.
var (
	// ErrWrite means that a write to the caller failed.
	ErrWrite = errors.New("write to the caller failed")
	// ErrTooSlow means that the caller took nothing for too long and that there is no memory to
	// read ahead.
	ErrTooSlow = errors.New("the caller reads too slowly")
)

// Destination is the connection to a caller.
type Destination interface {
	// Write sends data to the caller. It blocks while the caller does not read.
	io.Writer
	// Interrupt makes a blocked Write fail, and all later ones.
	Interrupt()
	// StopReading makes a blocked Read of the source fail.
	StopReading()
}

// Limits are the limits of a Forwarder. Zero values mean the defaults.
type Limits struct {
	// Total limits the memory of all answers that are read ahead. Without it, nothing is.
	Total int64
	// PerAnswer limits the memory of one answer.
	PerAnswer int64
	// Patience is how long a write may block before the answer is read ahead.
	Patience time.Duration
	// StallTimeout is how long a caller may take nothing while there is no memory to read on.
	StallTimeout time.Duration
}

// Forwarder copies the answers of a process.
type Forwarder struct {
	limits Limits
	// active counts the answers that are being read ahead, used is the memory reserved for them.
	active, used atomic.Int64

	begun, aborted metrics.Counter
	bytes          metrics.Gauge
}

// New returns a Forwarder.
func New(l Limits) *Forwarder {
	if l.PerAnswer <= 0 {
		l.PerAnswer = min(defaultMaxPerAnswer, max(chunkSize, l.Total/maxShare))
	}
	if l.Patience <= 0 {
		l.Patience = defaultPatience
	}
	if l.StallTimeout <= 0 {
		l.StallTimeout = defaultStallTimeout
	}
	return &Forwarder{
		limits:  l,
		begun:   metrics.GetOrRegisterCounter("gateway.read_ahead", nil),
		aborted: metrics.GetOrRegisterCounter("gateway.read_ahead_aborted", nil),
		bytes:   metrics.GetOrRegisterGauge("gateway.read_ahead_bytes", nil),
	}
}

// acquire reserves n bytes. It returns false, and reserves nothing, if that would exceed the
// limit.
func (f *Forwarder) acquire(n int64) bool {
	for {
		used := f.used.Load()
		if used+n > f.limits.Total {
			return false
		}
		if f.used.CompareAndSwap(used, used+n) {
			f.bytes.Update(used + n)
			return true
		}
	}
}

func (f *Forwarder) release(n int64) { f.bytes.Update(f.used.Add(-n)) }

// Usage is what a Forwarder holds at a time.
type Usage struct {
	// Answers are those that are being read ahead, Bytes the memory reserved for them.
	Answers int64
	Bytes   int64
	Limits  Limits
}

// Usage returns what the Forwarder holds.
func (f *Forwarder) Usage() Usage {
	return Usage{Answers: f.active.Load(), Bytes: f.used.Load(), Limits: f.limits}
}

// Copy copies src to dst up to its end. It returns the error of src, ErrWrite or ErrTooSlow, and
// the most bytes that were reserved for the answer. After an error of src, all that was read has
// been written. After one of the others, dst is to be closed so that the answer cannot be taken
// for complete.
//
// src is read by one goroutine at a time, and not after Copy has returned. A panic of src is
// passed on to the goroutine of Copy.
func (f *Forwarder) Copy(dst Destination, src io.Reader) (reserved int64, err error) {
	c := copiers.Get().(*copier)
	c.forwarder, c.dst, c.src = f, dst, src
	returned := false
	defer func() {
		if !returned {
			c.abandon()
		}
		c.release()
	}()
	for err == nil {
		err = c.copyNext()
	}
	returned = true
	if err == io.EOF {
		err = nil
	}
	return c.peak, err
}
