package loadplay

import (
	"reflect"
	"testing"

	"github.com/onsi/gomega"
)

func policy(name string) Policy {
	for _, p := range Policies {
		if p.Name == name {
			return p
		}
	}
	panic("no policy " + name)
}

func scenario(name string) Scenario {
	for _, s := range Scenarios {
		if s.Name == name {
			return s
		}
	}
	panic("no scenario " + name)
}

func playOne(seed uint64, d Deployment, scenarioName, policyName string) Row {
	s := scenario(scenarioName)
	row, _ := Play(seed, d, s, policy(policyName), NewTrace(seed, s))
	return row
}

// A figure that cannot be repeated proves nothing: with the same seed, every
// row has to come out the same, down to the last digit.
func TestSameSeedSameRow(t *testing.T) {
	g := gomega.NewWithT(t)
	first := playOne(7, Hanbit, "several", OursName)
	second := playOne(7, Hanbit, "several", OursName)
	g.Expect(reflect.DeepEqual(first, second)).To(gomega.BeTrue(), "%+v\n%+v", first, second)
}

// Whatever goes wrong, every draft has one outcome, retries stay within a tenth
// of the work, nothing beats the bound, and lookups, which do not need the
// engines, are answered while drafts are turned away.
func TestEveryScenarioKeepsItsPromises(t *testing.T) {
	for _, d := range Deployments {
		for _, s := range Scenarios {
			t.Run(d.Name+"/"+s.Name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				row := playOne(3, d, s.Name, OursName)
				g.Expect(row.Good + row.Refused + row.Expired + row.Late + row.Failed).To(gomega.Equal(row.Offered))
				g.Expect(row.Retried).To(gomega.BeNumerically("<=", 0.1))
				g.Expect(row.BoundShare).To(gomega.BeNumerically("<=", 1))
				g.Expect(row.LookupsGood).To(gomega.BeNumerically(">=", 0.99))
			})
		}
	}
}
