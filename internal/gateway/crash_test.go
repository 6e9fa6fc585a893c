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
	"pistachioroad.dev/pistachioroad/internal/periodic"
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
	// engines are all starts, in order.
	engines []*runner.Runner
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
			if v.Table == nil || len(v.Servers) != engines || g.peers.GatewayCount() != gateways {
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
	r.Events, r.EventGap = 3, 20*time.Millisecond
	w.engines = append(w.engines, r)
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
	p, err := peers.New(peers.Config{Name: "f-" + strconv.Itoa(n), StartID: rand.Uint64(), Address: "127.0.0.1:0"}, g.Gateway)
	if err != nil {
		w.t.Fatal(err)
	}
	g.peers = p
	g.SetGossip(p)
	ctx, stop := context.WithCancel(context.Background())
	w.t.Cleanup(stop)
	for _, duty := range []func(context.Context) error{
		g.dir.FollowConfig, g.dir.FollowServers, g.dir.Expire, p.Receive,
		func(ctx context.Context) error { return p.Register(ctx, w.client) },
		func(ctx context.Context) error {
			return periodic.Run(ctx, 500*time.Millisecond, g.TellEndings)
		},
		func(ctx context.Context) error {
			return periodic.Run(ctx, 500*time.Millisecond, g.TellLimits)
		},
	} {
		go func() { _ = duty(ctx) }()
	}
	front := httptest.NewServer(g.Gateway)
	w.t.Cleanup(front.CloseClientConnections)
	g.url = front.URL
	return g
}

// from returns a client whose requests come from an address of its own for each host.
func from(host int) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+host))}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// Guards against tries of one request that are taken for several because callers in
// each data centre have addresses of their own.
func TestRequestThatEndsEnginesIsKnownFromAnyAddress(t *testing.T) {
	w := newCrashWorld(t, 2, 6)
	for n := range 16 {
		w.askFrom(from(n), w.gateways[n%2], fmt.Sprintf("r%d", n), fatal)
		time.Sleep(200 * time.Millisecond)
	}
	if late := w.endsAfter(w.third().Add(contact)); late > mostLateRepeats {
		t.Errorf("%d engines ended after the third and %v under one request from sixteen addresses", late, contact)
	}
}

// ask sends a request of a route that may be resumed, and returns the status, 0 for an
// answer that breaks off.
func (w *crashWorld) ask(g *gatewayUnderTest, id, body string) (status int, header http.Header) {
	return w.askFrom(http.DefaultClient, g, id, body)
}

func (w *crashWorld) askFrom(client *http.Client, g *gatewayUnderTest, id, body string) (status int, header http.Header) {
	req, err := http.NewRequest(http.MethodPost, g.url+"/stream-again/x", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	resp, err := client.Do(req)
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

// until asks until the request is refused as one that ends engines, at most tries times.
func (w *crashWorld) until(g *gatewayUnderTest, id string, tries int) http.Header {
	for n := range tries {
		status, header := w.ask(g, fmt.Sprintf("%s-%d", id, n), fatal)
		retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if status == http.StatusServiceUnavailable && err == nil && retryAfter > time.Minute.Seconds() {
			return header
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("not refused in %d tries", tries)
	return nil
}

// Guards against a refusal that takes more than the request that is the reason, that
// promises what is not so, or that other gateways do not know of.
func TestRequestThatEndsEnginesIsRefusedEverywhereAndNothingElseIs(t *testing.T) {
	w := newCrashWorld(t, 2, 6)
	header := w.until(w.gateways[0], "a", 20)
	if got := header.Get("Pistachioroad-Verdict"); got != "not_run" {
		t.Errorf("verdict %q of a refused request, want not_run", got)
	}
	ended := w.endsAfter(time.Time{})
	time.Sleep(contact)
	w.until(w.gateways[1], "b", 1)
	late := w.startGateway(2)
	w.waitFor("the new gateway knows the engines", func() bool {
		v := late.dir.View()
		return v.Table != nil && len(v.Servers) == 6
	})
	time.Sleep(contact)
	w.until(late, "c", 1)
	if now := w.endsAfter(time.Time{}); now > ended {
		t.Errorf("%d engines ended after the first refusal", now-ended)
	}
	w.waitFor("the engines are back", func() bool { return len(w.gateways[0].dir.View().Servers) == 6 })
	for n := range 10 {
		if status, _ := w.ask(w.gateways[n%2], fmt.Sprintf("other-%d", n), fmt.Sprintf("harmless %d", n)); status != http.StatusOK {
			t.Errorf("another request of the same caller and path got %d", status)
		}
	}
}

// Guards against requests that are refused because they ran where engines ended for
// reasons of their own.
func TestRequestsThatRanWhereEnginesEndedAreServedAgain(t *testing.T) {
	w := newCrashWorld(t, 1, 6)
	for round := range 4 {
		var running sync.WaitGroup
		for n := range 12 {
			running.Go(func() { w.ask(w.gateways[0], fmt.Sprintf("r%d-%d", round, n), fmt.Sprintf("harmless %d", n)) })
		}
		w.mu.Lock()
		victim := w.engines[round]
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		victim.Crash()
		running.Wait()
	}
	w.waitFor("the engines are back", func() bool { return len(w.gateways[0].dir.View().Servers) == 6 })
	for n := range 12 {
		if status, _ := w.ask(w.gateways[0], fmt.Sprintf("again-%d", n), fmt.Sprintf("harmless %d", n)); status != http.StatusOK {
			t.Errorf("request %d got %d once all engines were back", n, status)
		}
	}
}

// Guards against servers that break off answers, and do not end, being taken for ended.
func TestAnswersThatBreakOffAreNoEvidence(t *testing.T) {
	w := newCrashWorld(t, 1, 5)
	w.mu.Lock()
	for _, r := range w.engines {
		r.SetFault(runner.BreakingOff)
	}
	w.mu.Unlock()
	for n := range 4 {
		w.ask(w.gateways[0], fmt.Sprintf("r%d", n), "harmless")
	}
	time.Sleep(contact)
	w.mu.Lock()
	for _, r := range w.engines {
		r.SetFault(runner.Healthy)
	}
	w.mu.Unlock()
	time.Sleep(2 * contact)
	if status, _ := w.ask(w.gateways[0], "again", "harmless"); status != http.StatusOK {
		t.Errorf("got %d from engines that are well again", status)
	}
}
