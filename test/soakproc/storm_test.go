package soakproc_test

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/test/soakproc"
)

// Guards against the slack of a retry budget spent again by each process whose settings
// still say that the system starts for the first time.
func TestRestartsWithUnchangedSettingsStayWithinTheRetryBudget(t *testing.T) {
	playStorm(t, soakproc.Storm{PerSecond: 120, Share: 0.2, Slack: 108, Bootstrap: true, Kills: 2, Rounds: 1})
}

// Guards against requests that a link holds back and delivers once their part of the retry
// budget has been spent again.
func TestRequestsThatALinkHoldsBackStayWithinTheRetryBudget(t *testing.T) {
	playStorm(t, soakproc.Storm{PerSecond: 120, Share: 0.002, Slack: 20, Held: 8 * time.Second, Rounds: 1})
}

// Guards against the slack of processes that start while a link holds back requests of those
// before them.
func TestProcessesThatStartBesideHeldRequestsStayWithinTheRetryBudget(t *testing.T) {
	playStorm(t, soakproc.Storm{PerSecond: 120, Share: 0.002, Slack: 20, Held: 8 * time.Second, KilledWhileHeld: true, Rounds: 1})
}

// Guards against a gateway that divides the slack without those that joined after it lost the
// store.
func TestGatewaysThatJoinOneWithoutTheStoreStayWithinTheRetryBudget(t *testing.T) {
	playStorm(t, soakproc.Storm{PerSecond: 120, Share: 0.2, Slack: 108, FirstAlone: true, AloneFor: 8 * time.Second, Rounds: 1})
}

// Guards against requests that a middlebox delivers after it has closed the connection to the
// gateway, once their part of the retry budget has been spent again.
func TestRequestsWhoseConnectionIsClosedOnTheWayStayWithinTheRetryBudget(t *testing.T) {
	playStorm(t, soakproc.Storm{PerSecond: 120, Share: 0.002, Slack: 20, Held: 8 * time.Second, ClosedWhileHeld: true, Rounds: 1})
}

// buildGateway builds the gateway and returns its folder.
func buildGateway(t *testing.T) (bin string) {
	t.Helper()
	bin = t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "pistachioroad.dev/pistachioroad/cmd/pistachioroad-gateway")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return bin
}

// minUsed is the least fraction of a retry budget that a play must use.
const minUsed = 0.5

// playStorm plays a storm next to others and reports violated guarantees.
func playStorm(t *testing.T, s soakproc.Storm) {
	t.Helper()
	t.Parallel()
	s.Name = t.Name()
	report, err := soakproc.RunStorm(s, 1, buildGateway(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
	if report.Answers[200] == 0 {
		t.Error("no request was served")
	}
	if used := max(report.Used["desk"], report.Used["llm"]); used < minUsed {
		t.Errorf("%.2f of a retry budget was used, so that the play shows nothing of its limit", used)
	}
}
