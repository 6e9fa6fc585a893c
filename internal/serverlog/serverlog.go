// Package serverlog writes the error logs of HTTP servers to the structured log.
package serverlog

import (
	stdlog "log"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

const (
	// maxLine limits the bytes of a line, which may hold the stack of a panic.
	maxLine = 8 << 10
	// maxBurst lines may be logged at once, and one a second after that.
	maxBurst = 10
)

// New returns the ErrorLog of an http.Server with the given name. Lines that are left out
// because there are too many are counted in the next one.
func New(server string) *stdlog.Logger {
	return stdlog.New(&writer{
		server:  server,
		limiter: rate.NewLimiter(rate.Every(time.Second), maxBurst),
		errors:  metrics.GetOrRegisterCounter("http_server."+server+".errors", nil),
	}, "", 0)
}

type writer struct {
	server  string
	limiter *rate.Limiter
	errors  metrics.Counter
	leftOut atomic.Int64
}

// Write implements io.Writer. It takes one line of a Logger, and never fails.
func (w *writer) Write(line []byte) (int, error) {
	w.errors.Inc(1)
	if !w.limiter.Allow() {
		w.leftOut.Add(1)
		return len(line), nil
	}
	text := strings.TrimSpace(string(line[:min(len(line), maxLine)]))
	log.WithFields(log.Fields{"server": w.server, "error": text, "left_out": w.leftOut.Swap(0)}).Error("HTTP server")
	return len(line), nil
}
