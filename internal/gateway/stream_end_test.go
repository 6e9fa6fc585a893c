package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// brokenEnds are the ends of streams that a gateway can tell from complete ones.
var brokenEnds = map[string]runner.StreamEnd{
	"within":      runner.WithinEvent,
	"before":      runner.BeforeFirstEvent,
	"reset":       runner.ResetWithinEvent,
	"reset-after": runner.ResetAfterLastEvent,
}

// Guards against an answer that was broken off and looks complete: an engine that
// crashes ends a stream without length and chunks, which may not be resumed.
func TestUnframedStreamThatBreaksOffIsNotCompletedForItsCaller(t *testing.T) {
	for name, end := range brokenEnds {
		t.Run(name, func(t *testing.T) {
			f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
			decode[0].SetStreamEnd(end)
			got := f.send(http.MethodPost, "/stream-once/x", "r1", silencePrompt...)
			Expect(got.err).To(HaveOccurred(), "status %d, body %q", got.status, got.body)
		})
	}
}

// Guards against part of an event in an answer, and against one that ends early: an engine
// that crashes ends a stream without length and chunks, which may be resumed.
func TestUnframedStreamThatBreaksOffIsResumedAfterItsLastWholeEvent(t *testing.T) {
	for name, end := range brokenEnds {
		t.Run(name, func(t *testing.T) {
			f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
			decode[0].SetStreamEnd(end)
			decode[0].Silence()
			ids := []string{"r1"}
			waits := f.startStreams("/stream-again/x", ids)
			Eventually(decode[0].Held).Should(Equal(1))
			other := f.add("llm", runner.New("d-1", "decode"))
			Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(2))
			decode[0].Resume()
			expectWholeStreams(waits, ids)
			Expect(runCount(other)).To(Equal(1))
		})
	}
}

// Guards against rejecting whole answers: streams without length and chunks that are
// complete, or that end between two events, which looks the same.
func TestUnframedStreamThatEndsAfterAnEventIsDelivered(t *testing.T) {
	for target, wantRuns := range map[string]int{"/stream-once/x": 1, "/stream-again/x": 1} {
		f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
		decode[0].SetStreamEnd(runner.AfterLastEvent)
		got := f.send(http.MethodPost, target, "r1", silencePrompt...)
		Expect(got.err).NotTo(HaveOccurred(), target)
		Expect(got.body).To(Equal(streamEvents("r1", 1, 3)), target)
		Expect(got.header.Get("Response-Seal")).To(Equal(runner.Seal("r1")))
		decode[0].SetStreamEnd(runner.BetweenEvents)
		got = f.send(http.MethodPost, target, "r2", silencePrompt...)
		Expect(got.err).NotTo(HaveOccurred(), target)
		Expect(got.body).To(Equal(streamEvents("r2", 1, 1)), target)
		Expect(runsOf(decode[0], "r2")).To(Equal(wantRuns))
	}
}
