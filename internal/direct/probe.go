package direct

import (
	"context"
	"errors"
	"syscall"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// Presence is what a new connection to a server shows.
type Presence uint8

const (
	// Unknown: no answer; the server or the way to it is lost.
	Unknown Presence = iota
	// Listening: a process takes connections at its address.
	Listening
	// Absent: nothing listens there.
	Absent
)

// Probe opens a connection to a server and closes it. No request is sent.
func Probe(ctx context.Context, s backend.Server) Presence {
	c, err := dial(ctx, s.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Absent
	}
	if err != nil {
		return Unknown
	}
	c.Close()
	return Listening
}
