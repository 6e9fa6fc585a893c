package engine_test

import (
	"errors"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/test/standin/cutserver"
)

// Guards against the success of a call whose response has a malformed head: an order counts as
// accepted whose status is none.
func TestMalformedResponseOfAnEngineIsInterrupted(t *testing.T) {
	const finish = `{"finish":{"reason":"stop"}}`
	for name, test := range map[string]struct {
		status int
		body   string
		call   func(*engine.Client) error
	}{
		"generate": {200, finish, func(c *engine.Client) error {
			_, err := c.Generate(t.Context(), engine.Request{}, func(engine.Chunk) error { return nil })
			return err
		}},
		"cancel": {200, "ok", func(c *engine.Client) error { return c.Cancel(t.Context(), "r") }},
		"order":  {202, "ok", func(c *engine.Client) error { return c.Order(t.Context(), engine.Order{}) }},
		"state": {200, `{"ready":true}`, func(c *engine.Client) error {
			_, err := c.State(t.Context())
			return err
		}},
	} {
		s := cutserver.Start(t)
		client := engine.NewClient(s.Address)
		for what, text := range cutserver.Malformed(test.status, test.body) {
			s.Set(text, false)
			before := s.Requests.Load()
			if err := test.call(client); !errors.Is(err, engine.ErrInterrupted) {
				t.Errorf("%s, %s: error %v", name, what, err)
			}
			if n := s.Requests.Load() - before; n != 1 {
				t.Errorf("%s, %s: sent %d times", name, what, n)
			}
		}
	}
}
