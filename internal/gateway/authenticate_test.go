package gateway_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	deskKey  = "42q492cqf75rjvz48wua"
	brandKey = "kn2ftimaj3nr26tta828"
)

// accountsConfiguration is configuration with client accounts and a keyless route.
func accountsConfiguration(version, tenants string) string {
	text := strings.ReplaceAll(configuration, "%VERSION%", version)
	text = strings.Replace(text, `"routes":[`, `"tenants":[`+tenants+`],"routes":[
 {"name":"open","hostname":"h.example","pathPrefix":"/open/","routeType":"safe","timeoutMs":2000,"latencyGoalMs":100,"serviceName":"plain","maxAttempts":2,"keyless":true},`, 1)
	return strings.ReplaceAll(text, `"timeoutMs":2000,"latencyGoalMs":500`, `"timeoutMs":5000,"latencyGoalMs":500`)
}

const bothAccounts = `{"name":"desk","apiKeys":["` + deskKey + `"],"priority":1},{"name":"brand","apiKeys":["` + brandKey + `"]}`

func (f *fixture) configureAccounts(version, tenants string) {
	f.store.PutRaw("config", "main", []byte(accountsConfiguration(version, tenants)))
}

// logBuffer collects log lines for one test. Goroutines of gateways write to it meanwhile.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// captured is the handler of captureLog, nil while no test captures the log. The handler of the
// log itself is set once, before any goroutine logs: a change is not synchronized with them.
var captured atomic.Pointer[jsonlog.Handler]

func init() {
	usual := log.Log.(*log.Logger).Handler
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		if h := captured.Load(); h != nil {
			return h.HandleLog(e)
		}
		return usual.HandleLog(e)
	}))
}

func captureLog() *logBuffer {
	b := &logBuffer{}
	captured.Store(jsonlog.New(b))
	DeferCleanup(func() { captured.Store(nil) })
	return b
}

var _ = Describe("a request of a client account", func() {
	var (
		f       *fixture
		a, b    *runner.BackendServer
		servers []*runner.BackendServer
	)
	BeforeEach(func() {
		f = newFixture()
		f.configureAccounts("1", bothAccounts)
		a = f.add("plain", runner.New("i-a", ""))
		b = f.add("plain", runner.New("i-b", ""))
		servers = []*runner.BackendServer{a, b}
		f.followUntilKnown(2)
	})
	addEngine := func(id, phase string) *runner.BackendServer {
		engine := f.add("llm", runner.New(id, phase))
		servers = append(servers, engine)
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(len(servers)))
		return engine
	}
	// received returns the requests that reached servers, including those that were only
	// prefilled.
	received := func() (all []runner.Run) {
		for _, s := range servers {
			all = append(append(all, s.Runs()...), s.Prefills()...)
		}
		return all
	}
	expectAccount := func(name string, count int) {
		GinkgoHelper()
		all := received()
		Expect(len(all)).To(BeNumerically(">=", count))
		for _, run := range all {
			Expect(run.Header.Values("Tenant")).To(Equal([]string{name}), run.ID)
			Expect(run.Header).NotTo(HaveKey("Authorization"), run.ID)
			for field, values := range run.Header {
				Expect(strings.Join(values, " ")).NotTo(ContainSubstring(deskKey), field)
			}
		}
	}
	authorized := func(header ...string) []string {
		return append([]string{"Authorization", "Bearer " + deskKey}, header...)
	}
	prompt := authorized("Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000", "Deadline-Ms", "5000")

	// Guards against servers that learn a key, or serve a request for the wrong account,
	// by one of the ways in which a request reaches a server.
	Describe("reaches servers with the account's name and without the key", func() {
		It("at a plain service, also when it is retried", func() {
			a.SetFault(runner.DroppingAnswers)
			for range 6 {
				Expect(f.send(http.MethodGet, "/read/1", "r1", authorized()...).status).To(Equal(http.StatusOK))
			}
			Expect(f.send(http.MethodPost, "/hold/1", "r2", authorized()...).err).NotTo(HaveOccurred())
			expectAccount("desk", 7)
		})

		It("at a plain service while another server is silent", func() {
			a.Silence()
			defer a.Resume()
			for range 3 {
				Expect(f.send(http.MethodGet, "/read/1", "r1", authorized("Deadline-Ms", "5000")...).status).To(Equal(http.StatusOK))
			}
			expectAccount("desk", 3)
		})

		It("at engines that prefill and generate", func() {
			prefillEngine, decodeEngine := addEngine("i-p", "prefill"), addEngine("i-d", "decode")
			Expect(f.send(http.MethodPost, "/stream-once/1", "r1", prompt...).status).To(Equal(http.StatusOK))
			Expect(prefillEngine.Prefills()).To(HaveLen(1))
			Expect(decodeEngine.Runs()).To(HaveLen(1))
			expectAccount("desk", 2)
		})

		It("at an engine that resumes a stream", func() {
			broken, other := addEngine("i-d", "decode"), addEngine("i-e", "decode")
			broken.SetFault(runner.TruncatingStream)
			other.EventInterval = 50 * time.Millisecond
			resumed := func() bool {
				for _, run := range other.Runs() {
					if run.LastEventID != "" {
						return true
					}
				}
				return false
			}
			// One at a time, they may all go to the engine that has proved to be fast.
			var waits []func() response
			for n := range 4 {
				own := authorized("Token-Count", "2000,80", "Prefix-Hash", fmt.Sprintf("%x:2000", n), "Deadline-Ms", "5000")
				waits = append(waits, f.start(http.MethodPost, "/stream-again/1", fmt.Sprintf("r%d", n), own...))
			}
			for _, wait := range waits {
				Expect(wait().status).To(Equal(http.StatusOK))
			}
			Expect(resumed()).To(BeTrue())
			expectAccount("desk", 2)
		})

		It("at an engine that replaces a silent one, for a prefill and for an answer", func() {
			prefillEngine, decodeEngine := addEngine("i-p", "prefill"), addEngine("i-d", "decode")
			addEngine("i-q", "prefill")
			addEngine("i-e", "decode")
			silence(prefillEngine, decodeEngine)
			defer resume(prefillEngine, decodeEngine)
			for _, id := range []string{"r1", "r2", "r3"} {
				Expect(f.send(http.MethodPost, "/stream-again/1", id, prompt...).status).To(Equal(http.StatusOK))
			}
			expectAccount("desk", 3)
		})
	})

	// Guards against a caller that passes for another account.
	DescribeTable("cannot name another account",
		func(header ...string) {
			Expect(f.send(http.MethodPost, "/hold/1", "r1", authorized(header...)...).status).To(Equal(http.StatusOK))
			expectAccount("desk", 1)
		},
		Entry("in the field itself", "Tenant", "brand"),
		Entry("listed in Connection", "Tenant", "brand", "Connection", "Tenant, Authorization"),
	)

	It("cannot name another account in another spelling", func() {
		got := f.sendRaw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nDeadline-Ms: 900\r\nconnection: tENANT\r\ntENANT: brand\r\nTENANT:\tbrand\r\naUTHORIZATION: bEARER  " + deskKey + "\r\nContent-Length: 0\r\n\r\n")
		Expect(got).To(HavePrefix("HTTP/1.1 200"))
		expectAccount("desk", 1)
	})

	It("with a known key may use a keyless route and keeps its account", func() {
		Expect(f.send(http.MethodGet, "/open/1", "r1", authorized()...).status).To(Equal(http.StatusOK))
		expectAccount("desk", 1)
	})

	// Guards against a rejected caller of a route that is open to all, and against a key
	// that reaches a server there.
	DescribeTable("without a known key may use a keyless route without an account",
		func(header ...string) {
			Expect(f.send(http.MethodGet, "/open/1", "r1", header...).status).To(Equal(http.StatusOK))
			run := received()[0]
			Expect(run.Header).NotTo(HaveKey("Tenant"))
			Expect(run.Header).NotTo(HaveKey("Authorization"))
		},
		Entry("no key", "Tenant", "desk"),
		Entry("an unknown key", "Authorization", "Bearer unknown", "Tenant", "desk"),
		Entry("another scheme", "Authorization", "Basic eDp5"),
	)

	// Guards against requests that run without the right to.
	DescribeTable("is rejected with 401 and not run if the key is not valid",
		func(header ...string) {
			got := f.send(http.MethodPost, "/hold/1", "r1", header...)
			Expect(got.status).To(Equal(http.StatusUnauthorized))
			Expect(got.header.Get("WWW-Authenticate")).To(Equal("Bearer"))
			Expect(got.body).To(ContainSubstring(`"not_run"`))
			Expect(received()).To(BeEmpty())
		},
		Entry("none"),
		Entry("unknown", "Authorization", "Bearer unknown"),
		Entry("a prefix of one", "Authorization", "Bearer "+deskKey[:10]),
		Entry("in capitals", "Authorization", "Bearer "+strings.ToUpper(deskKey)),
		Entry("empty", "Authorization", "Bearer "),
		Entry("scheme only", "Authorization", "Bearer"),
		Entry("key only", "Authorization", deskKey),
		Entry("another scheme", "Authorization", "Basic "+deskKey),
		Entry("two keys in a field", "Authorization", "Bearer "+deskKey+" "+brandKey),
		Entry("two fields in one", "Authorization", "Bearer "+deskKey+", Bearer "+brandKey),
		Entry("8 KB long", "Authorization", "Bearer "+strings.Repeat(deskKey, 400)),
	)

	It("is rejected with 401 if it has two Authorization fields", func() {
		got := f.sendRaw("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nDeadline-Ms: 900\r\nAuthorization: Bearer " + deskKey + "\r\nauthorization: Bearer " + deskKey + "\r\nContent-Length: 0\r\n\r\n")
		Expect(got).To(HavePrefix("HTTP/1.1 401"))
		Expect(received()).To(BeEmpty())
	})

	It("with a key of 16 KB is rejected as too large", func() {
		got := f.send(http.MethodPost, "/hold/1", "r1", "Authorization", "Bearer "+strings.Repeat("k", 16<<10))
		Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(received()).To(BeEmpty())
	})

	// Guards against a false 401, which callers do not retry: an operator adds a key just
	// after this gateway read the configuration.
	It("with a key that a newer configuration may contain gets 503, not 401", func() {
		f.store.SetFaults(objectstore.Faults{Unresponsive: true})
		newer := f.dir.View().TableRevision + 10
		f.dir.RemoteConfirmation(time.Now(), directory.Confirmation{ConfigRevision: newer, ServersRevision: newer})
		got := f.send(http.MethodPost, "/hold/1", "r1", "Authorization", "Bearer unknown")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.send(http.MethodPost, "/hold/1", "r2").status).To(Equal(http.StatusUnauthorized))
	})

	It("follows keys that are added and removed", func() {
		status := func(key string) func() int {
			return func() int {
				return f.send(http.MethodGet, "/read/1", "r1", "Authorization", "Bearer "+key).status
			}
		}
		f.configureAccounts("2", `{"name":"desk","apiKeys":["added"]},{"name":"brand","apiKeys":["`+brandKey+`"]}`)
		Eventually(status("added")).Should(Equal(http.StatusOK))
		Expect(status(deskKey)()).To(Equal(http.StatusUnauthorized))
		Expect(status(brandKey)()).To(Equal(http.StatusOK))
	})

	// Guards against a request that fails although its key was valid when it was received:
	// the key is removed while the request runs.
	It("is finished if its key is removed after it was received", func() {
		engine := addEngine("i-d", "decode")
		engine.EventInterval = 300 * time.Millisecond
		wait := f.start(http.MethodPost, "/stream-again/1", "r1", prompt...)
		Eventually(engine.Runs).Should(HaveLen(1))
		f.configureAccounts("2", `{"name":"brand","apiKeys":["`+brandKey+`"]}`)
		Eventually(func() int { return f.send(http.MethodGet, "/read/1", "r2", authorized()...).status }).Should(Equal(http.StatusUnauthorized))
		Expect(wait().body).To(Equal(streamEvents("r1", 1, 3)))
		expectAccount("desk", 1)
	})

	// Guards against an outage or a breach by an invalid configuration: the previous one
	// stays in use.
	DescribeTable("is served by the previous configuration if the new one is ambiguous",
		func(tenants string) {
			f.configureAccounts("2", tenants)
			Consistently(func() int { return f.send(http.MethodGet, "/read/1", "r1", authorized()...).status }, time.Second).Should(Equal(http.StatusOK))
			Expect(f.dir.View().Table.Version).To(BeEquivalentTo(1))
		},
		Entry("a key of two accounts", `{"name":"x","apiKeys":["`+deskKey+`"]},{"name":"y","apiKeys":["`+deskKey+`"]}`),
		Entry("an empty key", `{"name":"x","apiKeys":[""]}`),
		Entry("a key that is a number", `{"name":"x","apiKeys":[4242424242]}`),
		Entry("no name", `{"apiKeys":["k"]}`),
	)

	// Guards against keys in what operators read or other gateways are sent.
	It("leaves no key in logs, the dump, metrics or the snapshot", func() {
		lines := captureLog()
		f.configureAccounts("2", bothAccounts+`,{"name":"late","apiKeys":["late-key"]}`)
		Eventually(func() int { return f.send(http.MethodGet, "/read/1", "r1", "Authorization", "Bearer late-key").status }).Should(Equal(http.StatusOK))
		f.send(http.MethodGet, "/read/1", "r2", "Authorization", "Bearer unknown-key")
		f.send(http.MethodGet, "/read/1", "r3", "Authorization", "Basic unknown-key")
		f.configureAccounts("3", `{"name":"x","apiKeys":["`+deskKey+`"]},{"name":"y","apiKeys":["`+deskKey+`", 4242424242]}`)
		Eventually(lines.String).Should(ContainSubstring("keeping the previous one"))
		dump, err := json.Marshal(f.gateway.Dump(time.Now()))
		Expect(err).NotTo(HaveOccurred())
		snapshot, ok := f.dir.Snapshot()
		Expect(ok).To(BeTrue())
		passedOn, err := json.Marshal(snapshot)
		Expect(err).NotTo(HaveOccurred())
		var registry bytes.Buffer
		metrics.WriteJSONOnce(metrics.DefaultRegistry, &registry)
		for _, text := range []string{lines.String(), string(dump), string(passedOn), registry.String()} {
			for _, key := range []string{deskKey, brandKey, "late-key", "unknown-key", "4242424242"} {
				Expect(text).NotTo(ContainSubstring(key))
			}
		}
		Expect(lines.String()).To(ContainSubstring(`"auth":"unknown"`))
		Expect(lines.String()).To(ContainSubstring(`"account":"late"`))
	})

	// Guards against an outage after a restart without the store: the snapshot of another
	// gateway has digests in place of keys.
	It("is authenticated from the snapshot of another gateway", func() {
		snapshot, ok := f.dir.Snapshot()
		Expect(ok).To(BeTrue())
		g := newFixture()
		g.dir.Adopt(time.Now(), snapshot)
		Expect(g.send(http.MethodGet, "/read/1", "r1", authorized()...).status).To(Equal(http.StatusOK))
		Expect(g.send(http.MethodGet, "/read/1", "r1").status).To(Equal(http.StatusUnauthorized))
		Expect(g.send(http.MethodGet, "/read/1", "r1", "Authorization", "Bearer unknown").status).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("a deployment without client accounts", func() {
	It("forwards the authorization, but not an account that the caller names", func() {
		f := newFixture()
		f.configure("1")
		a := f.add("plain", runner.New("i-a", ""))
		f.followUntilKnown(1)
		Expect(f.send(http.MethodPost, "/hold/1", "r1", "Authorization", "Basic eDp5", "Tenant", "desk").status).To(Equal(http.StatusOK))
		Expect(a.Runs()[0].Header.Get("Authorization")).To(Equal("Basic eDp5"))
		Expect(a.Runs()[0].Header).NotTo(HaveKey("Tenant"))
	})
})
