package sidecar

import (
	"strings"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/standin/cutserver"
)

// Guards against a success whose body is not all of the service's, and against a call that runs
// twice or may be taken for one that has not run: a service stops within the head or the body.
func TestCutAnswerOfAServiceIsBroken(t *testing.T) {
	const body = "the whole answer"
	for _, idempotent := range []bool{false, true} {
		s := cutserver.Start(t)
		service := newPlainService(s.Address)
		call := &wire.Start{Idempotent: idempotent, Work: &wire.Start_Call{Call: &wire.Call{Method: "POST", Path: "/x", Body: []byte("b")}}}
		s.Cut(201, body, func(cut, _ string, bodyEnds bool) {
			before, got := s.Requests.Load(), ""
			final, err := service.run(t.Context(), call, time.Now().Add(time.Minute), func(data []byte, _ uint32) error {
				got += string(data)
				return nil
			})
			if (err == nil) != bodyEnds || !strings.HasPrefix(body, got) {
				t.Errorf("%s: error %v, %q, %v", cut, err, got, final)
			}
			if err != nil && verdict.Of(err).Verdict != verdict.MayHaveRun {
				t.Errorf("%s: error %v, want one of a call that may have run", cut, err)
			}
			if n := s.Requests.Load() - before; n != 1 {
				t.Errorf("%s: sent %d times", cut, n)
			}
		})
	}
}
