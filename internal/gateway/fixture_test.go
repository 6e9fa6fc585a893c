package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/closeframed"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

func TestGateway(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// configuration has a safe route, an unsafe route and two stream routes, of which the
// second is resumable.
const configuration = `{"version":%VERSION%,"routes":[
 {"name":"read","hostname":"h.example","pathPrefix":"/read/","routeType":"safe","timeoutMs":2000,"latencyGoalMs":100,"serviceName":"plain","maxAttempts":2},
 {"name":"hold","hostname":"h.example","pathPrefix":"/hold/","routeType":"unsafe","timeoutMs":2000,"latencyGoalMs":100,"serviceName":"plain","maxAttempts":1},
 {"name":"draft","hostname":"h.example","pathPrefix":"/stream-once/","routeType":"streaming","timeoutMs":2000,"latencyGoalMs":500,"serviceName":"llm","maxAttempts":1,"affinity":true},
 {"name":"summary","hostname":"h.example","pathPrefix":"/stream-again/","routeType":"streaming","timeoutMs":2000,"latencyGoalMs":500,"serviceName":"llm","maxAttempts":2,"affinity":true,"resumable":true}],
 "services":[{"name":"plain","healthPath":"/health"},{"name":"llm","healthPath":"/health","engine":{"capacity":8,"kvCapacity":100000,"kvTokenBytes":1,"linkMbps":1000,"handleTtlS":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":200000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// fixture is a gateway with test doubles of the store and the backend servers, all on
// the loopback interface.
type fixture struct {
	store     *objectstore.Store
	gateway   *gateway.Gateway
	dir       *directory.Directory
	server    *httptest.Server
	addresses map[string]string
	// atEnd calls a function at the end of the test.
	atEnd func(func())
}

func newFixture() *fixture { return newFixtureWith(100) }

// newFixtureWith sets how many retries the retry budget allows beyond its fraction of
// the requests.
func newFixtureWith(retrySlack float64) *fixture {
	return startFixture(retrySlack, func(end func()) { DeferCleanup(end) })
}

// startFixture starts a gateway whose process has run for a minute, so that the whole retry
// budget is available.
func startFixture(retrySlack float64, atEnd func(func())) *fixture {
	return startFixtureWith(retrySlack, atEnd, readahead.Limits{})
}

// startFixtureWith also sets the limits for slow callers.
func startFixtureWith(retrySlack float64, atEnd func(func()), l readahead.Limits) *fixture {
	f := &fixture{store: objectstore.New(), addresses: map[string]string{}, atEnd: atEnd}
	storeServer := httptest.NewServer(f.store)
	f.atEnd(storeServer.CloseClientConnections)
	client := platform.NewStore(strings.TrimPrefix(storeServer.URL, "http://"))
	f.dir = directory.New(client, platform.Codec{}, platform.ObjectKinds)
	f.gateway = gateway.New(gateway.Config{
		Deployment: deployment.Deployment{
			Name: "f-1", DataCentre: "z", MaxMemoryBytes: 64 << 20,
			Bounds: deployment.Bounds{RetryShare: 0.2, RetrySlack: retrySlack, RetryWindow: 10 * time.Second, GracePeriod: 8 * time.Second, DrainTimeout: 2 * time.Second},
		},
		Codec:     platform.Codec{},
		Directory: f.dir,
		StartedAt: boottime.Now() - time.Minute,
		ReadAhead: l,
	})
	f.dir.OnChange, f.dir.OnServer = f.gateway.ViewChanged, f.gateway.ServerSeen
	f.server = httptest.NewUnstartedServer(f.gateway)
	f.server.Config.ConnContext = closeframed.ConnContext
	f.server.Start()
	f.atEnd(f.server.CloseClientConnections)
	return f
}

// follow starts following the store.
func (f *fixture) follow() {
	ctx, stop := context.WithCancel(context.Background())
	f.atEnd(stop)
	go func() { _ = f.dir.FollowConfig(ctx) }()
	go func() { _ = f.dir.FollowServers(ctx) }()
	go func() { _ = f.dir.Expire(ctx) }()
}

func (f *fixture) configure(version string) {
	f.store.PutRaw("config", "main", []byte(strings.ReplaceAll(configuration, "%VERSION%", version)))
}

// add starts a runner and registers it in the store as a server of the service.
func (f *fixture) add(service string, r *runner.BackendServer) *runner.BackendServer {
	server := httptest.NewServer(r)
	f.atEnd(server.CloseClientConnections)
	address := strings.TrimPrefix(server.URL, "http://")
	r.RegisterKVSource(address)
	f.addresses[r.ID] = address
	f.store.Put("servers", r.ID, r.Registration(service, address, "z", "ready"))
	return r
}

// followUntilKnown follows the store and waits until the configuration and the given
// number of servers are known.
func (f *fixture) followUntilKnown(servers int) {
	f.follow()
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(servers))
	Eventually(func() bool { return f.dir.View().Table != nil }).Should(BeTrue())
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
	// closes is set if the response says that its connection will be closed.
	closes bool
}

// send sends one request on a new connection. header holds names and values in turn.
func (f *fixture) send(method, target, id string, header ...string) response {
	req, err := http.NewRequest(method, f.server.URL+target, strings.NewReader(""))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// sendRaw sends text on a new connection and returns what it receives within a second.
func (f *fixture) sendRaw(text string) string {
	c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	data, _ := io.ReadAll(bufio.NewReader(c))
	return string(data)
}

// streamEvents returns the stream events of a request with the given numbers.
func streamEvents(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(runner.Event(id, n))
	}
	return b.String()
}

// followServers follows the store and waits until one server is known.
func (f *fixture) followServers() {
	f.follow()
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(1))
}
