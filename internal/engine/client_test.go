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
	It("passes on the pieces and the finish", func() {
		text, finish, err := generate(answering(200,
			`{"piece":{"text":"a","tokens":1}}`, `{"piece":{"text":"b","tokens":1}}`, `{"finish":{"reason":"stop"}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("ab"))
		Expect(finish.Reason).To(Equal("stop"))
	})

	// An engine crashes, and its answer merely stops. A caller would take the
	// part for the whole.
	DescribeTable("does not take a part for the whole", func(lines ...string) {
		_, _, err := generate(answering(200, lines...))
		Expect(err).To(MatchError(engine.ErrInterrupted))
	},
		Entry("no end", `{"piece":{"text":"a","tokens":1}}`),
		Entry("nothing at all"),
		Entry("half a line", `{"piece":{"te`),
	)

	// An engine that reports the failure of one request works on; taken for a
	// crash, one bad prompt would stop all work of the engine again and again.
	It("tells a failed request from a failed engine", func() {
		_, _, err := generate(answering(200, `{"piece":{"text":"a","tokens":1}}`, `{"error":"out of memory"}`))
		Expect(err).To(MatchError(engine.ErrRequestFailed))
		Expect(err).NotTo(MatchError(engine.ErrInterrupted))
	})

	// Whether a request may be sent again depends on what the engine did with
	// it; taken too lightly, work runs twice, too seriously, none is retried.
	DescribeTable("tells what ran nothing from what may have run", func(status int, want error) {
		_, _, err := generate(answering(status))
		Expect(err).To(MatchError(want))
	},
		Entry("busy", http.StatusServiceUnavailable, engine.ErrRejected),
		Entry("conflict", http.StatusConflict, engine.ErrRejected),
		Entry("throttled", http.StatusTooManyRequests, engine.ErrRejected),
		Entry("invalid", http.StatusBadRequest, engine.ErrInvalidRequest),
		Entry("fault", http.StatusInternalServerError, engine.ErrRequestFailed),
	)

	It("knows when nobody was there", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = engine.NewClient(listener.Addr().String()).
			Generate(context.Background(), engine.Request{}, nil)
		Expect(err).To(MatchError(engine.ErrNotSent))
	})

	It("knows when the engine has taken a newer order", func() {
		client, stop := serve(answering(http.StatusConflict))
		defer stop()
		Expect(client.Order(context.Background(), engine.Order{})).To(MatchError(engine.ErrFenced))
	})

	// The process is paused between its last look at the deadline and the
	// moment when the request goes out.
	It("holds back a request whose time is over", func() {
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

func answering(status int, lines ...string) http.HandlerFunc {
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
