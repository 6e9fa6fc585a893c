package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/callerbody"
	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
	"pistachioroad.dev/pistachioroad/internal/routes"
)

// readDeadlineRecorder records the read deadlines that a handler sets.
type readDeadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetReadDeadline implements what http.ResponseController calls.
func (r *readDeadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadlines = append(r.deadlines, t)
	return nil
}

// SetWriteDeadline implements what http.ResponseController calls.
func (r *readDeadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against taking a caller for disconnected, and closing its connection without a
// response, because a read deadline passed while net/http reads in the background.
func TestReadDeadlineIsSetForTheBodyOnly(t *testing.T) {
	deadline := time.Unix(1_000, 0)
	for name, tc := range map[string]struct {
		body string
		want []time.Time
	}{
		"no body": {"", nil},
		"body":    {"text", []time.Time{deadline, {}}},
	} {
		t.Run(name, func(t *testing.T) {
			w := &readDeadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			g := &Gateway{calls: openrequests.New("gateway"), bodies: callerbody.New("gateway", membudget.PlanFor(64<<20, 1), 1)}
			c := &call{gateway: g, listed: &openrequests.Request{}, writer: &callerconn.Writer{ResponseWriter: w, Closing: func() bool { return false }}, deadline: deadline, view: &directory.View{Table: &routes.Table{}}}
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tc.body))
			if !c.setIODeadlines(r) || !c.readBody(r) {
				t.Fatalf("responded %d", w.Code)
			}
			if !slices.Equal(w.deadlines, tc.want) {
				t.Errorf("read deadlines %v, want %v", w.deadlines, tc.want)
			}
		})
	}
}
