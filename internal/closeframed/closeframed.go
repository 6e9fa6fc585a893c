// Package closeframed lets callers of HTTP/1.0 tell an interrupted response from a
// complete one. Without a length, such a response ends with its connection, because
// HTTP/1.0 has no chunks. The connection of an interrupted response is reset, also if the
// process ends; that of a complete one is closed.
package closeframed

import (
	"context"
	"net"
	"net/http"

	"github.com/apex/log"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// lingerer is a connection whose close can be made a reset.
type lingerer interface{ SetLinger(seconds int) error }

const (
	// lingerReset resets the connection when it is closed.
	lingerReset = 0
	// lingerDefault sends what is left in the background.
	lingerDefault = -1
)

// ConnContext is the ConnContext hook of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that calls next, and resets the connections of callers of
// HTTP/1.0 if next does not return. The server must use ConnContext.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		c, ok := r.Context().Value(connKey{}).(lingerer)
		if !ok {
			log.Warn("interrupted responses to HTTP/1.0 are not reset: the type of the connection does not allow it")
			next.ServeHTTP(w, r)
			return
		}
		setLinger(c, lingerReset)
		next.ServeHTTP(w, r)
		setLinger(c, lingerDefault)
	})
}

// Reset makes the close of a request's connection a reset, so that nothing of an interrupted
// response is kept for a caller that does not read it. The server must use ConnContext.
func Reset(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(lingerer); ok {
		setLinger(c, lingerReset)
	}
}

func setLinger(c lingerer, seconds int) {
	if err := c.SetLinger(seconds); err != nil {
		// The connection is closed already.
		log.WithField("error", err.Error()).Debug("set the linger time of a caller's connection")
	}
}
