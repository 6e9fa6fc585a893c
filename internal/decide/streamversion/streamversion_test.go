package streamversion_test

import (
	"testing"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
)

func version(service, software string) streamversion.Version {
	return streamversion.Of(backend.Server{Service: service, Version: software})
}

// Guards against streams of two versions, and against streams that are stopped although
// nothing has to fit.
func TestConstraintAllowsTheVersionThatBeganTheStream(t *testing.T) {
	v1 := version("llm", "v1")
	for _, test := range []struct {
		name       string
		constraint streamversion.Constraint
		at         streamversion.Version
		want       bool
	}{
		{"no event", streamversion.Constraint{}, v1, true},
		{"same version", streamversion.Only(v1), version("llm", "v1"), true},
		{"other version", streamversion.Only(v1), version("llm", "v1.2"), false},
		{"unstated version", streamversion.Only(v1), version("llm", ""), false},
		{"begun at an unstated version", streamversion.Only(version("llm", "")), v1, false},
		{"both unstated", streamversion.Only(version("llm", "")), version("llm", ""), true},
		{"other service", streamversion.Only(v1), version("llm-2", "v2"), true},
	} {
		if got := test.constraint.Allows(test.at); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
