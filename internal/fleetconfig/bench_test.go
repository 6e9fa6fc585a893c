package fleetconfig_test

import (
	"testing"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
)

// BenchmarkEffectiveValues measures the lookup that an entry does for each request.
func BenchmarkEffectiveValues(b *testing.B) {
	batch := "batch"
	c := fleetconfig.Config{Defaults: fleetconfig.Values{Class: &batch}}
	for range fleetconfig.MaxExceptions {
		c.Exceptions = append(c.Exceptions, fleetconfig.Exception{
			Scope:  fleetconfig.Scope{Service: "calendar"},
			Values: fleetconfig.Values{Class: &batch},
		})
	}
	c.Exceptions[0].Scope.Service = "holds"
	for b.Loop() {
		c.EffectiveValues(fleetconfig.Scope{Service: "holds"}, start)
	}
}
