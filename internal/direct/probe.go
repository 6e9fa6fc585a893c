package direct

import (
	"context"
	"errors"
	"syscall"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// Presence is the result of probing a server with a new connection.
type Presence uint8

const (
	// Unknown means that there was no response: the server or the network is down.
	Unknown Presence = iota
	// Listening means that a process accepts connections at the server's address.
	Listening
	// Absent means that no process listens at the server's address.
	Absent
)

var probeDialer = newDialer(0)

// Probe opens a connection to a server and closes it. No request is sent.
func Probe(ctx context.Context, s backend.Server) Presence {
	c, err := probeDialer.DialContext(ctx, "tcp4", s.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Absent
	}
	if err != nil {
		return Unknown
	}
	c.Close()
	return Listening
}
