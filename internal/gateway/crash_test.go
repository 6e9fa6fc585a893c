package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/peers"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// fatal is the body of a request that ends the engine that runs it.
	fatal = "fatal"
	// awayFor is how long an engine that ended is away.
	awayFor = 300 * time.Millisecond
	// contact is how long gateways have to agree on what has ended.
	contact = time.Second
)

// crashWorld is gateways that tell each other what they see, before engines that a
// request can end. An engine that ended starts again at its address under a new id.
type crashWorld struct {
	t        *testing.T
	objects  *objectstore.Store
	client   *platform.Store
	gateways []*gatewayUnderTest

	mu sync.Mutex
	// ends are when engines ended, starts counts the starts of engines.
	ends   []time.Time
	starts int
}

type gatewayUnderTest struct {
	*gateway.Gateway
	dir   *directory.Directory
	peers *peers.Peers
	url   string
}

func newCrashWorld(t *testing.T, gateways, engines int) *crashWorld {
	w := &crashWorld{t: t, objects: objectstore.New()}
	server := httptest.NewServer(w.objects)
	t.Cleanup(server.CloseClientConnections)
	w.client = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	w.objects.PutRaw("config", "main", []byte(strings.ReplaceAll(configuration, "%VERSION%", "1")))
	for range engines {
		w.startEngine("127.0.0.1:0")
	}
	for n := range gateways {
		w.gateways = append(w.gateways, w.startGateway(n))
	}
	w.waitFor("gateways know all", func() bool {
		for _, g := range w.gateways {
			v := g.dir.View()
			if v.Table == nil || len(v.Servers) != engines || g.peers.Count() != gateways {
				return false
			}
		}
		return true
	})
	return w
}

func (w *crashWorld) waitFor(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	w.t.Fatal("waited in vain: " + what)
}

// startEngine starts an engine at an address and registers it.
func (w *crashWorld) startEngine(address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.mu.Lock()
	w.starts++
	r := runner.New("i-"+strconv.Itoa(w.starts), "decode")
	w.mu.Unlock()
	server := &http.Server{Handler: r}
	address = listener.Addr().String()
	r.Fatal, r.Crash = fatal, func() {
		w.mu.Lock()
		w.ends = append(w.ends, time.Now())
		w.mu.Unlock()
		server.Close()
		time.AfterFunc(awayFor, func() {
			w.objects.Remove("servers", r.ID)
			w.startEngine(address)
		})
	}
	r.Serve(address)
	w.objects.Put("servers", r.ID, r.Entry("llm", address, "z", "ready"))
	w.t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
}

func (w *crashWorld) startGateway(n int) *gatewayUnderTest {
	g := &gatewayUnderTest{dir: directory.New(w.client, platform.Dialect{}, platform.Kinds)}
	g.Gateway = gateway.New(gateway.Config{
		Deployment: deployment.Deployment{
			Name: "f-" + strconv.Itoa(n), DataCentre: "z", MemoryBytes: 64 << 20,
			Bounds: deployment.Bounds{RetryShare: 0.2, RetrySlack: 1_000, RetryWindow: 10 * time.Second},
		},
		Dialect: platform.Dialect{}, Directory: g.dir,
	})
	g.dir.OnChange = g.ViewChanged
	p, err := peers.New(peers.Config{Name: "f-" + strconv.Itoa(n), Start: rand.Uint64(), Address: "127.0.0.1:0"}, g.Gateway)
	if err != nil {
		w.t.Fatal(err)
	}
	g.peers = p
	g.ShareWith(p)
	ctx, stop := context.WithCancel(context.Background())
	w.t.Cleanup(stop)
	for _, duty := range []func(context.Context) error{
		g.dir.FollowConfig, g.dir.FollowServers, g.dir.Expire, p.Receive,
		func(ctx context.Context) error { return p.Register(ctx, w.client) },
	} {
		go func() { _ = duty(ctx) }()
	}
	front := httptest.NewServer(g.Gateway)
	w.t.Cleanup(front.CloseClientConnections)
	g.url = front.URL
	return g
}

// ask sends a request of a route that may be resumed, and returns the status, 0 for an
// answer that breaks off.
func (w *crashWorld) ask(g *gatewayUnderTest, id, body string) (status int, header http.Header) {
	req, err := http.NewRequest(http.MethodPost, g.url+"/stream-again/x", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

// endsAfter counts the engines that ended later than a moment.
func (w *crashWorld) endsAfter(moment time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, end := range w.ends {
		if end.After(moment) {
			n++
		}
	}
	return n
}

// third is when the third engine ended, zero before that.
func (w *crashWorld) third() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ends) < 3 {
		return time.Time{}
	}
	return w.ends[2]
}

// mostLateRepeats is how often operators let a request that ended three engines reach
// engines once gateways had time to agree on it.
const mostLateRepeats = 3

// Guards against a request that ends each engine which runs it being sent to one engine
// after the other, as its tries come to any gateway under new ids.
func TestRequestThatEndsEnginesIsNotSentOn(t *testing.T) {
	w := newCrashWorld(t, 2, 8)
	n := 0
	try := func() {
		w.ask(w.gateways[n%2], fmt.Sprintf("r%d", n), fatal)
		n++
		time.Sleep(100 * time.Millisecond)
	}
	for w.third().IsZero() {
		try()
	}
	for end := w.third().Add(contact + 3*time.Second); time.Now().Before(end); {
		try()
	}
	if late := w.endsAfter(w.third().Add(contact)); late > mostLateRepeats {
		t.Errorf("engines ended %d times more after the third, %d are allowed; %d ends in all", late, mostLateRepeats, w.endsAfter(time.Time{}))
	}
}
