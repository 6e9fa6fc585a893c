package soakproc_test

import (
	"testing"

	"pistachioroad.dev/pistachioroad/test/soakproc"
)

// Guards against a gateway that serves fewer of its requests when most new connections of all
// callers go to it.
func TestRequestsAreServedWhileOneGatewayGetsMostConnections(t *testing.T) {
	t.Parallel()
	report, err := soakproc.RunConcentration(120, 1, buildGateway(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
}
