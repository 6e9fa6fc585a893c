package engine_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

var _ = Describe("Client", func() {
	It("emits the chunks and returns the finish", func() {
		text, finish, err := generate(respondWith(200,
			`{"piece":{"text":"a","tokens":1}}`, `{"piece":{"text":"b","tokens":1}}`, `{"finish":{"reason":"stop"}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("ab"))
		Expect(finish.Reason).To(Equal("stop"))
	})

	// Guards against a truncated answer that looks complete: an engine crashes, and its
	// response ends early.
	DescribeTable("returns an error for an incomplete response", func(lines ...string) {
		_, _, err := generate(respondWith(200, lines...))
		Expect(err).To(MatchError(engine.ErrInterrupted))
	},
		Entry("no finish line", `{"piece":{"text":"a","tokens":1}}`),
		Entry("empty response"),
		Entry("half a line", `{"piece":{"te`),
	)

	// Guards against taking the reported failure of one request for a crash of the engine:
	// one bad prompt would stop all work of the engine again and again.
	It("distinguishes a failed request from a failed engine", func() {
		_, _, err := generate(respondWith(200, `{"piece":{"text":"a","tokens":1}}`, `{"error":"out of memory"}`))
		Expect(err).To(MatchError(engine.ErrRequestFailed))
		Expect(err).NotTo(MatchError(engine.ErrInterrupted))
	})

	// Guards against requests that run twice, or are not retried although they have not
	// run: whether a retry is allowed depends on the engine's status.
	DescribeTable("maps the status to whether the request may have run", func(status int, want error) {
		_, _, err := generate(respondWith(status))
		Expect(err).To(MatchError(want))
	},
		Entry("busy", http.StatusServiceUnavailable, engine.ErrRejected),
		Entry("conflict", http.StatusConflict, engine.ErrRejected),
		Entry("throttled", http.StatusTooManyRequests, engine.ErrRejected),
		Entry("invalid", http.StatusBadRequest, engine.ErrInvalidRequest),
		Entry("fault", http.StatusInternalServerError, engine.ErrRequestFailed),
	)

	It("returns ErrNotSent if no process listens", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = engine.NewClient(listener.Addr().String()).
			Generate(context.Background(), engine.Request{}, nil)
		Expect(err).To(MatchError(engine.ErrNotSent))
	})

	It("returns ErrFenced if the engine has accepted a newer order", func() {
		client, stop := serve(respondWith(http.StatusConflict))
		defer stop()
		Expect(client.Order(context.Background(), engine.Order{})).To(MatchError(engine.ErrFenced))
	})

	// Guards against starting a request after its deadline: the process is paused between
	// its last check of the deadline and the sending of the request.
	It("does not send a request after its deadline", func() {
		var whole atomic.Int64
		client, stop := serve(func(_ http.ResponseWriter, r *http.Request) {
			if json.NewDecoder(r.Body).Decode(&engine.Request{}) == nil {
				whole.Add(1)
			}
		})
		defer stop()
		_, err := client.Generate(context.Background(), engine.Request{SendDeadline: time.Now()}, nil)
		Expect(err).To(MatchError(engine.ErrNotSent))
		Expect(whole.Load()).To(BeZero())
	})
})

func respondWith(status int, lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(strings.Join(lines, "\n")))
	}
}

func serve(handler http.HandlerFunc) (*engine.Client, func()) {
	server := httptest.NewServer(handler)
	return engine.NewClient(strings.TrimPrefix(server.URL, "http://")), server.Close
}

func generate(handler http.HandlerFunc) (string, engine.Finish, error) {
	client, stop := serve(handler)
	defer stop()
	text := strings.Builder{}
	finish, err := client.Generate(context.Background(), engine.Request{}, func(p engine.Chunk) error {
		text.WriteString(p.Text)
		return nil
	})
	return text.String(), finish, err
}
