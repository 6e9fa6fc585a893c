package process

import (
	"testing"

	"pistachioroad.dev/pistachioroad/test/standin/cutserver"
)

// Guards against a state of another gateway that is taken over from an answer with a malformed head.
func TestMalformedAnswerOfAnotherGatewayIsNotUsed(t *testing.T) {
	s := cutserver.Start(t)
	for what, text := range cutserver.Malformed(200, `{"gateways_complete":true}`) {
		s.Set(text, false)
		var state bootstrapState
		if err := fetchJSON(t.Context(), newBootstrapClient(), s.Address, bootstrapPath, &state); err == nil {
			t.Errorf("%s: %+v", what, state)
		}
	}
}
