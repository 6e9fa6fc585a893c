package operator

import (
	"testing"

	"pistachioroad.dev/pistachioroad/test/standin/cutserver"
)

// Guards against a state of another process that is shown from an answer with a malformed head.
func TestMalformedAnswerOfAPeerIsNotUsed(t *testing.T) {
	s := cutserver.Start(t)
	for what, text := range cutserver.Malformed(200, `{"a":"b"}`) {
		s.Set(text, false)
		var state map[string]any
		if err := newPeerClient("token").get(t.Context(), Peer{Name: "p", Address: s.Address}, "/x", 1<<20, &state); err == nil {
			t.Errorf("%s: %v", what, state)
		}
	}
}
