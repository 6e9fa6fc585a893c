package main

import (
	"errors"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/test/standin/cutserver"
)

// Guards against an edit that counts as made, and a state that is shown, although the head of the
// entry's answer is malformed.
func TestMalformedAnswerOfAnEntryIsLost(t *testing.T) {
	s := cutserver.Start(t)
	c := newClient([]string{s.Address}, "token")
	for what, text := range cutserver.Malformed(200, `{"outcome":"applied"}`) {
		s.Set(text, false)
		if result, err := c.edit(t.Context(), operator.EditRequest{}); !errors.Is(err, errResponseLost) {
			t.Errorf("%s: edit %v, error %v", what, result, err)
		}
		var state map[string]any
		if err := c.get(t.Context(), "/x", &state); err == nil {
			t.Errorf("%s: %v", what, state)
		}
	}
}
