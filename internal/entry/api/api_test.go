package api_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
	"pistachioroad.dev/pistachioroad/internal/entry/api"
	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func TestAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "api")
}

// fakeExecutor answers with the given function and records the last request.
type fakeExecutor struct {
	last   atomic.Pointer[serve.Request]
	answer func(sink serve.Sink)
}

func (d *fakeExecutor) Do(_ context.Context, request *serve.Request, sink serve.Sink) {
	d.last.Store(request)
	d.answer(sink)
}

func (d *fakeExecutor) request() *serve.Request { return d.last.Load() }

type noFleet struct{}

func (noFleet) View() *view.View { return &view.View{} }

const maxDeadline = time.Minute

func testSettings() *settings.Entry {
	return &settings.Entry{
		Models: []string{"draft"},
		Services: map[string]settings.Service{
			"holds":  {Deadline: 5 * time.Second, KeyRequired: true, Slots: 4},
			"lookup": {Class: "interactive"},
		},
		Limits: settings.Limits{
			BodyBytes:   4 << 10,
			BodyTimeout: 200 * time.Millisecond,
			MaxDeadline: maxDeadline,
			InFlight:    2,
		},
	}
}

func complete(chunks ...string) func(serve.Sink) {
	return func(sink serve.Sink) {
		for _, c := range chunks {
			if sink.Deliver([]byte(c), 1) != nil {
				return
			}
		}
		sink.Finish(call.Finish{
			Final:  &wire.Final{FinishReason: "stop", Status: http.StatusCreated, PromptTokens: 3},
			Tokens: uint32(len(chunks)),
		})
	}
}

func brokenAfter(chunk string) func(serve.Sink) {
	return func(sink serve.Sink) {
		_ = sink.Deliver([]byte(chunk), 1)
		sink.Fail(verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "gone"))
	}
}

var _ = Describe("API", func() {
	var (
		d      *fakeExecutor
		a      *api.API
		server *httptest.Server
	)

	BeforeEach(func() {
		d = &fakeExecutor{answer: complete("a", "b")}
		a = api.New(testSettings(), d, noFleet{}, membudget.PlanFor(0, 1))
		server = httptest.NewServer(a.Handler())
		DeferCleanup(server.Close)
	})

	do := func(method, path string, header http.Header, body string) (*http.Response, string) {
		GinkgoHelper()
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for name, values := range header {
			req.Header[name] = values
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp, string(data)
	}

	rejection := func(resp *http.Response, body string) string {
		GinkgoHelper()
		parsed := struct {
			Error struct {
				Verdict   string `json:"verdict"`
				Code      string `json:"code"`
				RequestID string `json:"request_id"`
			} `json:"error"`
		}{}
		Expect(json.Unmarshal([]byte(body), &parsed)).To(Succeed(), body)
		Expect(parsed.Error.Verdict).To(Equal("not_run"))
		Expect(resp.Header.Get(verdict.Header)).To(Equal("not_run"))
		Expect(parsed.Error.RequestID).To(Equal(resp.Header.Get(api.RequestIDHeader)))
		return parsed.Error.Code
	}

	It("responds to a completion once it is complete", func() {
		resp, body := do(http.MethodPost, "/v1/completions", nil, `{"model":"draft","prompt":"x","max_tokens":2}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Header.Get(verdict.Header)).To(Equal("ran"))
		Expect(body).To(ContainSubstring(`"text":"ab"`))
		Expect(d.request().Generate.GetMaxTokens()).To(BeEquivalentTo(2))
	})

	It("streams a chat completion and ends it with [DONE]", func() {
		_, body := do(http.MethodPost, "/v1/chat/completions", nil,
			`{"model":"draft:formal","messages":[{"role":"user","content":"hi"}],"stream":true}`)
		Expect(body).To(ContainSubstring(`"delta":{"role":"assistant","content":"a"}`))
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(d.request().Generate.GetAdapter()).To(Equal("formal"))
	})

	// Guards against a truncated answer that looks complete: the engine is lost in
	// the middle of a stream and no other can resume it. A caller that only checks
	// for the end of the response must see an error.
	It("aborts a stream that cannot be completed", func() {
		d.answer = brokenAfter("half")
		req := `{"model":"draft","prompt":"x","stream":true}`
		resp, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(req))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		Expect(err).To(HaveOccurred())
		Expect(string(body)).To(ContainSubstring("event: error"))
		Expect(string(body)).To(ContainSubstring(`"verdict":"may_have_run"`))
		Expect(string(body)).NotTo(ContainSubstring("[DONE]"))
	})

	// Guards against a partial answer to a request that does not stream: it fails
	// after some of its answer has been received.
	It("sends nothing of an incomplete answer that is not streamed", func() {
		d.answer = brokenAfter("half")
		resp, body := do(http.MethodPost, "/v1/completions", nil, `{"model":"draft","prompt":"x"}`)
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get(verdict.Header)).To(Equal("may_have_run"))
		Expect(body).NotTo(ContainSubstring("half"))
	})

	DescribeTable("rejects invalid requests",
		func(path, body string, header http.Header, status int, code verdict.Code) {
			resp, answer := do(http.MethodPost, path, header, body)
			Expect(resp.StatusCode).To(Equal(status), answer)
			Expect(rejection(resp, answer)).To(Equal(string(code)))
			Expect(d.request()).To(BeNil())
		},
		Entry("no JSON", "/v1/completions", `{"model"`, nil, 400, verdict.CodeBadRequest),
		Entry("two values", "/v1/completions", `{"model":"draft","prompt":"x"} {}`, nil, 400, verdict.CodeBadRequest),
		Entry("wrong type", "/v1/completions", `{"model":"draft","prompt":7}`, nil, 400, verdict.CodeBadRequest),
		Entry("unknown field", "/v1/completions", `{"model":"draft","prompt":"x","temperature":1}`, nil, 400, verdict.CodeBadRequest),
		Entry("no messages", "/v1/chat/completions", `{"model":"draft","messages":[]}`, nil, 400, verdict.CodeBadRequest),
		Entry("null messages", "/v1/chat/completions", `{"model":"draft","messages":null}`, nil, 400, verdict.CodeBadRequest),
		Entry("unknown model", "/v1/completions", `{"model":"other","prompt":"x"}`, nil, 404, verdict.CodeUnknownModel),
		Entry("unknown service", "/services/other/x", ``, nil, 404, verdict.CodeUnknownService),
		Entry("unknown path", "/v2/completions", ``, nil, 404, verdict.CodeBadRequest),
		Entry("too large", "/v1/completions", `{"model":"draft","prompt":"`+strings.Repeat("x", 5<<10)+`"}`, nil, 413, verdict.CodeTooLarge),
		Entry("bad timeout", "/v1/completions", `{"model":"draft","prompt":"x"}`,
			http.Header{api.TimeoutHeader: {"-1s"}}, 400, verdict.CodeBadRequest),
		Entry("bad account", "/v1/completions", `{"model":"draft","prompt":"x"}`,
			http.Header{api.AccountHeader: {strings.Repeat("x", 200)}}, 400, verdict.CodeBadRequest),
		Entry("no key", "/services/holds/holds", `{}`, nil, 400, verdict.CodeBadRequest),
		Entry("two keys", "/services/holds/holds", `{}`, http.Header{api.KeyHeader: {"a", "b"}}, 400, verdict.CodeBadRequest),
		Entry("key for a service without key slots", "/services/lookup/x", `{}`,
			http.Header{api.KeyHeader: {"a"}}, 400, verdict.CodeBadRequest),
	)

	// Guards against slow bodies: without a limit, each caller that sends its body
	// too slowly occupies a connection and its memory for an unlimited time.
	It("times out on a body that arrives too slowly", func() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, _ := io.ReadAll(resp.Body)
		Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(rejection(resp, string(body))).To(Equal(string(verdict.CodeSlowBody)))
	})

	// Guards against callers that never read a large response: without a limit, the
	// handler and the response stay in memory for as long as the connection is open.
	DescribeTable("times out on a caller that does not read", func(path, body string) {
		api.SetWriteTimeout(a, 100*time.Millisecond)
		d.answer = complete(strings.Repeat("x", 32<<20))
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s",
			path, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(d.request, "10s").ShouldNot(BeNil())
		Eventually(a.InFlight, "10s").Should(BeZero())
	},
		Entry("a completion", "/v1/completions", `{"model":"draft","prompt":"x"}`),
		Entry("a stream", "/v1/completions", `{"model":"draft","prompt":"x","stream":true}`),
		Entry("a call", "/services/holds/holds", `{}`),
	)

	It("forwards a call without hop-by-hop headers", func() {
		header := http.Header{
			api.KeyHeader: {"k"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"2"}, api.AccountHeader: {"agency"},
		}
		resp, body := do(http.MethodPost, "/services/holds/a%2Fb?q=1", header, `{"x":1}`)
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		Expect(body).To(Equal("ab"))
		Expect(d.request().Call.GetPath()).To(Equal("/a%2Fb?q=1"))
		Expect(d.request().Caller).To(Equal("agency"))
		Expect(d.request().Key).To(Equal("k"))
		names := []string{}
		for _, h := range d.request().Call.GetHeaders() {
			names = append(names, h.GetName())
		}
		Expect(names).To(ContainElement("X-Kept"))
		for _, dropped := range []string{"X-Hop", "Connection", api.AccountHeader} {
			Expect(names).NotTo(ContainElement(dropped))
		}
	})

	It("takes the deadline from the caller, up to the limit", func() {
		for text, want := range map[string]time.Duration{"1.5s": 1500 * time.Millisecond, "2": 2 * time.Second, "9h": maxDeadline} {
			do(http.MethodGet, "/services/lookup/x", http.Header{api.TimeoutHeader: {text}}, "")
			Expect(time.Until(d.request().Deadline)).To(BeNumerically("~", want, 500*time.Millisecond), text)
		}
	})

	// Guards against running out of memory: requests accumulate in an entry whose
	// backend servers are slow. Those above the limit are rejected immediately.
	It("bounds the requests in flight", func() {
		release := make(chan struct{})
		entered := make(chan struct{}, 2)
		d.answer = func(sink serve.Sink) {
			entered <- struct{}{}
			<-release
			complete("a")(sink)
		}
		for range 2 {
			go func() { _, _ = http.Get(server.URL + "/services/lookup/x") }()
		}
		Eventually(entered).Should(HaveLen(2))
		resp, body := do(http.MethodGet, "/services/lookup/x", nil, "")
		close(release)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(rejection(resp, body)).To(Equal(string(verdict.CodeOverloaded)))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
	})

	// Guards against a write deadline that outlives its response: a caller reuses its
	// connection after a pause. net/http resets the deadline after each request, so
	// that of the first response must not cut the second.
	It("applies the write deadline to each response of a connection separately", func() {
		const limit = 100 * time.Millisecond
		api.SetWriteTimeout(a, limit)
		body := `{"model":"draft","prompt":"x","stream":true}`
		for range 2 {
			resp, answer := do(http.MethodPost, "/v1/completions", nil, body)
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(answer).To(HaveSuffix("data: [DONE]\n\n"))
			time.Sleep(2 * limit)
		}
		resp, _ := do(http.MethodPost, "/v1/completions", nil, `{`)
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("asks callers to close their connections while it drains", func() {
		a.ShutDown(shutdown.New(time.Now(), time.Now().Add(time.Hour), time.Second))
		resp, _ := do(http.MethodGet, "/services/lookup/x", nil, "")
		Expect(resp.Close).To(BeTrue())
	})

	// Guards against running a request that the shutdown must cut, although another entry
	// has the time for it.
	It("rejects requests that may outlast its shutdown", func() {
		a.ShutDown(shutdown.New(time.Now(), time.Now().Add(10*time.Second), 0))
		resp, answer := do(http.MethodGet, "/services/lookup/x", nil, "")
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(rejection(resp, answer)).To(BeEquivalentTo(verdict.CodeDraining))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(resp.Close).To(BeTrue())
		Expect(d.request()).To(BeNil())
		resp, _ = do(http.MethodGet, "/services/lookup/x", http.Header{api.TimeoutHeader: {"5s"}}, "")
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
	})

	// Guards against a connection that is closed without an answer, and without a line in the
	// log, because of a panic outside the execution of a request.
	It("answers a request whose handling panics", func() {
		d.answer = func(serve.Sink) { panic("fault") }
		resp, body := do(http.MethodGet, "/services/lookup/x", nil, "")
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(rejection(resp, body)).To(BeEquivalentTo(verdict.CodeInternal))
	})

	// Guards against a stopping entry that runs requests which it cannot finish, because it
	// expects them to take no longer than those that failed.
	It("expects requests to take as long as those that were answered", func() {
		const taken = 20 * time.Millisecond
		d.answer = func(sink serve.Sink) {
			time.Sleep(taken)
			complete("a")(sink)
		}
		for range 3 {
			do(http.MethodGet, "/services/lookup/x", nil, "")
		}
		for _, failure := range []func(serve.Sink){
			func(sink serve.Sink) { sink.Fail(verdict.New(verdict.NotRun, verdict.CodeNoBackend, "none")) },
			func(sink serve.Sink) { sink.Finish(call.Finish{Final: &wire.Final{Status: http.StatusBadGateway}}) },
		} {
			d.answer = failure
			for range 50 {
				do(http.MethodGet, "/services/lookup/x", nil, "")
			}
		}
		Expect(api.ExpectedDuration(a, "lookup")).To(BeNumerically(">=", taken))
	})

	// Guards against a connection that is closed without an answer because the body of its
	// request is still coming at the end of the shutdown.
	It("rejects a request whose body is still coming at the end of its shutdown", func() {
		slow := testSettings()
		slow.Limits.BodyTimeout = time.Minute
		a := api.New(slow, d, noFleet{}, membudget.PlanFor(0, 1))
		server := httptest.NewServer(a.Handler())
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /services/lookup/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		Eventually(a.Open().Count).Should(Equal(1))
		a.ShutDown(shutdown.New(time.Now(), time.Now(), 0))
		a.Open().EndAll()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(verdict.Header)).To(Equal("not_run"))
		Expect(resp.Close).To(BeTrue())
	})
})

// FuzzRequest checks that for any input the API either passes on a request within
// its limits or rejects it with the verdict "not run".
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/v1/completions", "1.5s", "k", "a", []byte(`{"model":"draft","prompt":"x","max_tokens":3}`))
	f.Add("POST", "/v1/chat/completions", "2", "", "", []byte(`{"model":"draft","messages":[{"role":"user","content":"x"}]}`))
	f.Add("POST", "/services/holds/holds", "", "key", "agency", []byte(`{"subject":"x"}`))
	f.Add("GET", "/services/lookup/a%2Fb?q=%20", "1e400", "\x00", "\xff", []byte{})
	f.Add("POST", "/v1/completions", "NaN", "", "", []byte(`{"model":"draft","prompt":"x","max_tokens":1e99}`))
	f.Add("POST", "/v1/chat/completions", "9223372036854775808", "", "", []byte(`{"model":"draft","messages":[null]}`))
	f.Fuzz(func(t *testing.T, method, path, timeout, key, account string, body []byte) {
		d := &fakeExecutor{answer: complete("a")}
		handler := api.New(testSettings(), d, noFleet{}, membudget.PlanFor(0, 1)).Handler()
		r, err := http.NewRequest(method, "http://x"+path, bytes.NewReader(body))
		if err != nil || r.URL.Path == "" {
			t.Skip()
		}
		r.RemoteAddr = "127.0.0.1:1"
		set := func(name, value string) {
			if value != "" {
				r.Header.Set(name, value)
			}
		}
		set(api.TimeoutHeader, timeout)
		set(api.KeyHeader, key)
		set(api.AccountHeader, account)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		checkOutcome(t, d.request(), w)
	})
}

func checkOutcome(t *testing.T, request *serve.Request, w *httptest.ResponseRecorder) {
	t.Helper()
	if request == nil {
		rejected := w.Header().Get(verdict.Header) == "not_run" && w.Code >= http.StatusBadRequest
		redirected := w.Code >= http.StatusMultipleChoices && w.Code < http.StatusBadRequest
		if !rejected && !redirected && w.Body.Len() == 0 {
			t.Fatalf("neither passed on nor rejected: status %d, body %q", w.Code, w.Body)
		}
		return
	}
	if remaining := time.Until(request.Deadline); remaining > maxDeadline {
		t.Fatalf("deadline in %v, which is above maxDeadline", remaining)
	}
	if len(request.Key) > 255 || len(request.Caller) > 128 || request.Caller == "" {
		t.Fatalf("key of %d bytes (limit 255), account of %d bytes (limit 128)", len(request.Key), len(request.Caller))
	}
	if g := request.Generate; g != nil && (g.GetModel() != "draft" || g.GetMaxTokens() < 1 || g.GetPrompt() == "") {
		t.Fatalf("passed on an invalid generate request: %v", g)
	}
	if c := request.Call; c != nil && !strings.HasPrefix(c.GetPath(), "/") {
		t.Fatalf("call path %q does not start with /", c.GetPath())
	}
}
