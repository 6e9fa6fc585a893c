package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against a gateway that no longer follows the servers, or loses all of them, because
// the object of one cannot be read: another program has written it, nested very deeply.
func TestServersAreFollowedBesideAnObjectThatCannotBeRead(t *testing.T) {
	f, _, _ := newSilenceFixture(t, enoughSlack, 0, 1)
	const depth = 11_000
	f.store.PutRaw("servers", "malformed", []byte(strings.Repeat("[", depth)+strings.Repeat("]", depth)))
	f.store.CompactHistory()
	added := runner.New("p-added", "")
	f.add("plain", added)
	Eventually(func() bool {
		_, known := f.dir.View().Servers["p-added"]
		return known
	}, 3*time.Second).Should(BeTrue())
	f.store.Remove("servers", "p-0")
	Eventually(func() int { return len(f.dir.View().Servers) }, 3*time.Second).Should(Equal(1))
	Expect(f.dir.StoreUnreachable()).To(BeFalse())
	Expect(f.gateway.Dump(time.Now()).InvalidServers).To(Equal([]string{"malformed"}))
	Expect(f.send(http.MethodGet, "/read/x", "r").status).To(Equal(http.StatusOK))
	Expect(runCount(added)).To(Equal(1))

	f.store.Remove("servers", "malformed")
	Eventually(func() []string { return f.gateway.Dump(time.Now()).InvalidServers }, 3*time.Second).Should(BeEmpty())
}
