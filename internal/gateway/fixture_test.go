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

	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

func TestGateway(t *testing.T) {
	invariant.PanicOnBreach()
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// configuration has a safe, an unsafe and two stream routes.
const configuration = `{"version":%VERSION%,"routes":[
 {"name":"read","hostname":"h.example","pathPrefix":"/read/","routeType":"safe","timeoutMs":2000,"latencyGoalMs":100,"serviceName":"plain","maxAttempts":2},
 {"name":"hold","hostname":"h.example","pathPrefix":"/hold/","routeType":"unsafe","timeoutMs":2000,"latencyGoalMs":100,"serviceName":"plain","maxAttempts":1},
 {"name":"draft","hostname":"h.example","pathPrefix":"/stream-once/","routeType":"streaming","timeoutMs":2000,"latencyGoalMs":500,"serviceName":"llm","maxAttempts":1,"affinity":true},
 {"name":"summary","hostname":"h.example","pathPrefix":"/stream-again/","routeType":"streaming","timeoutMs":2000,"latencyGoalMs":500,"serviceName":"llm","maxAttempts":2,"affinity":true,"resumable":true}],
 "services":[{"name":"plain","healthPath":"/health"},{"name":"llm","healthPath":"/health","engine":{"capacity":8,"kvCapacity":100000,"kvTokenBytes":1,"linkMbps":1000,"handleTtlS":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":200000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// world is a gateway before stand-ins, all on loopback.
type world struct {
	store   *objectstore.Store
	gateway *gateway.Gateway
	dir     *directory.Directory
	front   *httptest.Server
	address map[string]string
}

func newWorld() *world { return newWorldWith(100) }

// newWorldWith bounds the sends beyond the first of each request.
func newWorldWith(retrySlack float64) *world {
	w := &world{store: objectstore.New(), address: map[string]string{}}
	storeServer := httptest.NewServer(w.store)
	DeferCleanup(storeServer.CloseClientConnections)
	client := platform.NewStore(strings.TrimPrefix(storeServer.URL, "http://"))
	w.dir = directory.New(client, platform.Dialect{}, platform.Kinds)
	w.gateway = gateway.New(gateway.Config{
		Deployment: deployment.Deployment{
			Name: "f-1", DataCentre: "z", MemoryBytes: 64 << 20,
			Bounds: deployment.Bounds{RetryShare: 0.2, RetrySlack: retrySlack, RetryWindow: 10 * time.Second, Grace: 8 * time.Second},
		},
		Dialect:   platform.Dialect{},
		Directory: w.dir,
	})
	w.dir.OnChange = w.gateway.ViewChanged
	w.front = httptest.NewServer(w.gateway)
	DeferCleanup(w.front.CloseClientConnections)
	return w
}

// follow starts to read the store.
func (w *world) follow() {
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = w.dir.FollowConfig(ctx) }()
	go func() { _ = w.dir.FollowServers(ctx) }()
	go func() { _ = w.dir.Expire(ctx) }()
}

func (w *world) configure(version string) {
	w.store.PutRaw("config", "main", []byte(strings.ReplaceAll(configuration, "%VERSION%", version)))
}

// add starts a runner and registers it.
func (w *world) add(service string, r *runner.Runner) *runner.Runner {
	server := httptest.NewServer(r)
	DeferCleanup(server.CloseClientConnections)
	address := strings.TrimPrefix(server.URL, "http://")
	r.Serve(address)
	w.address[r.ID] = address
	w.store.Put("servers", r.ID, r.Entry(service, address, "z", "ready"))
	return r
}

// ready follows the store and waits until so many servers are known.
func (w *world) ready(servers int) {
	w.follow()
	Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(servers))
	Eventually(func() bool { return w.dir.View().Table != nil }).Should(BeTrue())
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends one request on a connection of its own.
func (w *world) ask(method, target, id string, header ...string) answer {
	req, err := http.NewRequest(method, w.front.URL+target, strings.NewReader(""))
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
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// raw sends bytes on a connection and returns all that comes back.
func (w *world) raw(text string) string {
	c, err := net.Dial("tcp", strings.TrimPrefix(w.front.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	data, _ := io.ReadAll(bufio.NewReader(c))
	return string(data)
}

func stream(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(runner.Event(id, n))
	}
	return b.String()
}

// knowsServers follows the store and waits until the first server is known.
func (w *world) knowsServers() {
	w.follow()
	Eventually(func() int { return len(w.dir.View().Servers) }).Should(Equal(1))
}
