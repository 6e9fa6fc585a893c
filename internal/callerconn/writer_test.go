package callerconn

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Guards against a caller that sends its next request on a connection that is about to be
// closed: the gateway began to shut down after it received the request before.
func TestResponsesDuringShutdownCloseTheConnection(t *testing.T) {
	var stopping atomic.Bool
	for _, want := range []string{"", "close"} {
		recorder := httptest.NewRecorder()
		w := &Writer{ResponseWriter: recorder, Closing: stopping.Load}
		stopping.Store(want != "")
		w.WriteHeader(http.StatusNoContent)
		if got := recorder.Result().Header.Get("Connection"); got != want {
			t.Errorf("Connection: %q, want %q", got, want)
		}
	}
}
