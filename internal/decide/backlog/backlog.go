// Package backlog decides what becomes of an answer that its caller reads more slowly than
// its server sends it. The load is callers that stop reading or read at a fraction of the
// servers' speed, many at a time: each answer that is read ahead occupies memory, and one that
// is not read is cut off by its server after some seconds.
package backlog

import "time"

// Action is what to do next with an answer.
type Action uint8

const (
	// Read means to read on, into memory that has been reserved.
	Read Action = iota
	// Wait means to read nothing until the caller has taken some of the answer.
	Wait
	// Return means that the caller keeps up again and nothing needs to be read ahead.
	Return
	// Abort means to give the answer up.
	Abort
)

// State is the state of an answer that is read ahead.
type State struct {
	// Room is set if memory for the next part could be reserved.
	Room bool
	// CallerWaits is set if the caller has taken all that was read.
	CallerWaits bool
	// Stalled is how long ago the caller last took some of the answer.
	Stalled time.Duration
}

// Decide returns what to do next. An answer without room is not given up while its caller
// takes some of it within stallTimeout: the server is then slowed down to the caller's speed,
// as long as it tolerates that.
func Decide(s State, stallTimeout time.Duration) Action {
	switch {
	case s.Room:
		return Read
	case s.CallerWaits:
		return Return
	case s.Stalled < stallTimeout:
		return Wait
	default:
		return Abort
	}
}
