package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const testToken = "0123456789abcdef0123"

func tokenFile() string {
	path := filepath.Join(GinkgoT().TempDir(), "token")
	Expect(os.WriteFile(path, []byte(testToken+"\n"), 0o600)).To(Succeed())
	return path
}

// serve starts the API of one process and returns its URL.
func serve(sources operator.Sources) string {
	server, err := operator.NewServer(operator.Config{TokenFile: tokenFile()}, sources)
	Expect(err).NotTo(HaveOccurred())
	web := httptest.NewServer(server.Handler())
	DeferCleanup(web.Close)
	return web.URL
}

func get(url, token string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

var _ = Describe("The token", func() {
	// Guards against unauthenticated access to the operator address, which
	// could drain the fleet. The balancer requests health and readiness without
	// a token.
	It("is required for everything except health and readiness", func() {
		url := serve(operator.Sources{})
		for _, path := range []string{"/dump", "/metrics", "/explain", "/openapi.json", "/nothing"} {
			for _, token := range []string{"", "wrong", testToken + "x"} {
				status, _ := get(url+path, token)
				Expect(status).To(Equal(http.StatusUnauthorized), path)
			}
		}
		for _, path := range []string{"/healthz", "/readyz"} {
			status, _ := get(url+path, "")
			Expect(status).To(Equal(http.StatusOK), path)
		}
	})

	It("must exist and have the minimum length", func() {
		_, err := operator.NewServer(operator.Config{TokenFile: "/does/not/exist"}, operator.Sources{})
		Expect(err).To(MatchError(ContainSubstring("read operator token")))
		path := filepath.Join(GinkgoT().TempDir(), "short")
		Expect(os.WriteFile(path, []byte("short"), 0o600)).To(Succeed())
		_, err = operator.NewServer(operator.Config{TokenFile: path}, operator.Sources{})
		Expect(err).To(MatchError(ContainSubstring("at least 16")))
	})
})

var _ = Describe("Readiness", func() {
	It("reports why the process accepts no requests", func() {
		url := serve(operator.Sources{Ready: func() error { return errors.New("draining") }})
		status, body := get(url+"/readyz", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("draining"))
	})
})

var _ = Describe("The dump", func() {
	// Guards against a dump that blocks on a duty that waits for a lock or a
	// dead connection, which is when the dump is needed.
	It("reports a stuck duty and the states of all others", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		url := serve(operator.Sources{Process: "gangnam-entry-1", Duties: map[string]operator.DumpFunc{
			"router": func(context.Context) any { return map[string]int{"in_flight": 3} },
			"links":  func(context.Context) any { <-release; return nil },
			"queue":  func(context.Context) any { panic("broken") },
		}})
		for range 2 {
			_, body := get(url+"/dump", testToken)
			var dump operator.Dump
			Expect(json.Unmarshal([]byte(body), &dump)).To(Succeed())
			Expect(dump.Process).To(Equal("gangnam-entry-1"))
			Expect(dump.Duties["router"].State).To(MatchJSON(`{"in_flight":3}`))
			Expect(dump.Duties["links"].Condition).To(Equal(operator.DutyStuck))
			Expect(dump.Duties["queue"].Condition).To(Equal(operator.DutyFailed))
		}
	})
})

var _ = Describe("Metrics", func() {
	It("are served in the Prometheus text format", func() {
		registry := metrics.NewRegistry()
		metrics.GetOrRegisterCounter("ring.router.dropped", registry).Inc(2)
		metrics.GetOrRegisterHistogram("wait", registry, metrics.NewUniformSample(16)).Update(5)
		metrics.GetOrRegisterTimer("run", registry).Update(250 * time.Millisecond)
		url := serve(operator.Sources{Metrics: registry})
		status, body := get(url+"/metrics", testToken)
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring("# TYPE pistachioroad_ring_router_dropped counter\npistachioroad_ring_router_dropped 2\n"))
		Expect(body).To(ContainSubstring("pistachioroad_wait{quantile=\"0.95\"} 5\n"))
		Expect(body).To(ContainSubstring("pistachioroad_run_seconds_sum 0.25\n"))
	})
})

var _ = Describe("Explain", func() {
	It("returns the decisions about one subject", func() {
		log := explain.New(8)
		log.Add(time.Unix(1, 0), "r1", "sent to m1", "least expected wait")
		log.Add(time.Unix(2, 0), "r2", "refused", "queue is full")
		url := serve(operator.Sources{Process: "p", Explain: log})
		_, body := get(url+"/explain?subject=r2", testToken)
		var found operator.Explanation
		Expect(json.Unmarshal([]byte(body), &found)).To(Succeed())
		Expect(found.Records).To(HaveLen(1))
		Expect(found.Records[0].Decision).To(Equal("refused"))
	})
})

var _ = Describe("Serve", func() {
	It("serves until its context is cancelled", func() {
		server, err := operator.NewServer(
			operator.Config{Address: "127.0.0.1:0", TokenFile: tokenFile()}, operator.Sources{})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Serve(ctx) }()
		cancel()
		Eventually(done).Should(Receive(MatchError(context.Canceled)))
	})
})
