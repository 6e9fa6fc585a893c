package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/test/fleet"
)

// The exit statuses of the operators' tool.
const (
	exitDone             = 0
	exitConflict         = 3
	exitStoreUnavailable = 5
)

// tool runs the operators' tool against one entry and returns its output and exit
// status.
func tool(f *fleet.Fleet, entry string, args ...string) (string, int) {
	GinkgoHelper()
	cmd := f.Tool(context.Background(), entry, args...)
	cmd.Env = append(os.Environ(), "USER=e2e")
	output, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(output), exit.ExitCode()
	}
	Expect(err).NotTo(HaveOccurred())
	return string(output), exitDone
}

// mustTool runs the tool and expects exit status 0.
func mustTool(f *fleet.Fleet, entry string, args ...string) string {
	GinkgoHelper()
	output, status := tool(f, entry, args...)
	Expect(status).To(Equal(exitDone), output)
	return output
}

// expectOperatorListener waits until a restarted process accepts connections at its
// operator address.
func expectOperatorListener(f *fleet.Fleet, name string) {
	GinkgoHelper()
	Eventually(func() error {
		conn, err := net.Dial("tcp", f.OperatorAddress(name))
		if err != nil {
			return err
		}
		return conn.Close()
	}, eventuallyTimeout, "20ms").Should(Succeed(), name)
}

func status(f *fleet.Fleet, entry string) operator.Status {
	GinkgoHelper()
	var s operator.Status
	Expect(json.Unmarshal([]byte(mustTool(f, entry, "status", "-json")), &s)).To(Succeed())
	return s
}

// configVersions returns the active version of the fleet configuration by process,
// as the processes report it to the entries that they are linked to.
func configVersions(f *fleet.Fleet) map[string]uint64 {
	GinkgoHelper()
	found := map[string]uint64{}
	for _, entry := range f.Entries {
		for _, p := range status(f, entry).Processes {
			if p.State == operator.ProcessUp && len(p.Versions) > 0 {
				found[p.Name] = max(found[p.Name], p.Versions[fleetconfig.ObjectName])
			}
		}
	}
	return found
}

// expectConfigActive waits until the same version of the fleet configuration,
// higher than above, is active in all processes, and returns it.
func expectConfigActive(f *fleet.Fleet, above uint64) uint64 {
	GinkgoHelper()
	var version uint64
	Eventually(func(g Gomega) {
		active := configVersions(f)
		g.Expect(active).To(HaveLen(len(f.VMs)), "%v", active)
		distinct := lo.Uniq(lo.Values(active))
		g.Expect(distinct).To(HaveLen(1), "%v", active)
		g.Expect(distinct[0]).To(BeNumerically(">", above))
		version = distinct[0]
	}, eventuallyTimeout, "200ms").Should(Succeed())
	return version
}

// engineStates returns the state that each engine reports.
func engineStates(f *fleet.Fleet) []engine.State {
	return lo.Map(f.Engines, func(name string, _ int) engine.State {
		answer, err := fleet.Do(context.Background(), http.MethodGet, f.BackendURL(name)+"/state", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		var state engine.State
		Expect(json.Unmarshal([]byte(answer.Body), &state)).To(Succeed())
		return state
	})
}

// expectWeights waits until every engine is ready with these weights.
func expectWeights(f *fleet.Fleet, weights string) {
	GinkgoHelper()
	Eventually(func() []string {
		return lo.Uniq(lo.Map(engineStates(f), func(s engine.State, _ int) string {
			return lo.Ternary(s.Ready, s.Applied.Weights, "changing")
		}))
	}, 2*eventuallyTimeout, "200ms").Should(Equal([]string{weights}))
}
