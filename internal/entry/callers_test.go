package entry

import (
	"net"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/callerconn/callerconntest"
	"pistachioroad.dev/pistachioroad/internal/entry/api"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/settings"
)

// Guards against dropping a request of a kept connection that has just been read when the entry
// stops.
func TestRequestReadAtTheStopIsAnswered(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &settings.Entry{Limits: settings.Limits{InFlight: 1, HeaderTimeout: time.Second, HeaderBytes: 4096}}
	memory := membudget.PlanFor(0, 1)
	stopping := &callerconntest.Listener{Listener: l}
	callers := newCallerServer(stopping, s, api.New(s, nil, nil, memory), memory)
	stopping.Stop = func() { callers.shutDown(0, 5*time.Second) }
	go func() { _ = callers.Serve(t.Context()) }()
	if err := callerconntest.SendTwo(l.Addr().String(), "/v1/models"); err != nil {
		t.Error(err)
	}
}
