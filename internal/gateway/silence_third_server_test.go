package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against callers that leave although a server is free: the second server that a
// lookup is sent to is silent for good as well, and the route allows a third.
func TestSilentServersForGoodAreLeftForAThirdServer(t *testing.T) {
	f, _, desk := newSilenceFixture(t, enoughSlack, 0, 3)
	f.allowThreeAttempts()
	silence(desk...)
	wait := f.start(http.MethodGet, "/read/1", "r0", "Deadline-Ms", patience)
	resumeThird(desk)
	got := wait()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusOK), got.body)
}
