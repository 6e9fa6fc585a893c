package api

import (
	"net/http"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

var panics = metrics.GetOrRegisterCounter("api.panics", nil)

// recoverPanic answers a request whose handling panicked outside its execution. If the answer has
// begun, it aborts the caller's connection. It must be deferred.
func (a *API) recoverPanic(w *callerconn.Writer, open *openrequests.Request) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	panics.Inc(1)
	var sends int
	a.open.Update(func() { sends = open.Sends })
	safego.Log(p, log.Fields{"request": open.ID, "sends": sends})
	if w.HeadSent() {
		panic(http.ErrAbortHandler)
	}
	v := verdict.NotRun
	if sends > 0 {
		v = verdict.MayHaveRun
	}
	clear(w.Header())
	w.Header().Set("Connection", "close")
	writeError(w, open.ID, verdict.New(v, verdict.CodeInternal, "internal fault"))
}
