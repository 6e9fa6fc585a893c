package engine_test

import (
	"errors"
	"strings"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/test/standin/cutserver"
)

// Guards against the success of a call whose response ended early: an engine stops within the
// head or the body.
func TestCutResponseOfAnEngineIsInterrupted(t *testing.T) {
	const report = `{"ready":true}`
	for name, test := range map[string]struct {
		status int
		body   string
		// headSays is set if the status says all.
		headSays bool
		call     func(*engine.Client) error
	}{
		"generate": {200, `{"piece":{"text":"a","tokens":1}}` + "\n" + `{"finish":{"reason":"stop"}}`, false, func(c *engine.Client) error {
			_, err := c.Generate(t.Context(), engine.Request{}, func(engine.Chunk) error { return nil })
			return err
		}},
		"cancel": {200, "ok", true, func(c *engine.Client) error { return c.Cancel(t.Context(), "r") }},
		"order":  {202, "ok", true, func(c *engine.Client) error { return c.Order(t.Context(), engine.Order{}) }},
		"state": {200, report, false, func(c *engine.Client) error {
			_, err := c.State(t.Context())
			return err
		}},
		"load": {200, report, false, func(c *engine.Client) error {
			_, err := c.Load(t.Context())
			return err
		}},
		"cache events": {200, "[]", false, func(c *engine.Client) error {
			_, err := c.CacheEvents(t.Context(), 0)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := cutserver.Start(t)
			client := engine.NewClient(s.Address)
			s.Cut(test.status, test.body, func(cut, sent string, bodyEnds bool) {
				before := s.Requests.Load()
				err := test.call(client)
				// The last line of a generation is its end.
				known := bodyEnds && test.headSays || strings.Contains(sent, `"stop"}}`)
				if (err == nil) != known || (err != nil && !errors.Is(err, engine.ErrInterrupted)) {
					t.Errorf("%s: error %v", cut, err)
				}
				if n := s.Requests.Load() - before; n != 1 {
					t.Errorf("%s: sent %d times", cut, n)
				}
			})
		})
	}
}
