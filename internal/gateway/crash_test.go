package gateway_test

import (
	"cmp"
	"context"
	"fmt"
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
	"pistachioroad.dev/pistachioroad/internal/evidence"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/peers"
	"pistachioroad.dev/pistachioroad/internal/periodic"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// fatal is the body of a request that crashes the engine that runs it.
	fatal = "fatal"
	// restartDelay is the time from an engine's crash to its restart.
	restartDelay = 300 * time.Millisecond
	// agreementTime is how long gateways may take to agree on terminations.
	agreementTime = time.Second
)

// clusterFixture runs several gateways with gossip in front of engines that a request
// can crash. A crashed engine restarts at its address with a new ID.
type clusterFixture struct {
	t        *testing.T
	store    *objectstore.Store
	client   *platform.Store
	gateways []*testGateway
	// fatalEnd is how the answer to a fatal request ends at a crash.
	fatalEnd runner.StreamEnd
	// isFatal reports whether a run crashes its engine, by default one with the body fatal.
	isFatal func(runner.Run) bool
	// prefillEngines is how many of the engines are started as prefill engines.
	prefillEngines int
	// eventInterval is the pause between two events of an answer, 20 ms if it is 0.
	eventInterval time.Duration
	// lateTime is how long fatal requests go on, if that is more than the default.
	lateTime time.Duration
	// beforeCrash is called before an engine's connections end.
	beforeCrash func(r *runner.BackendServer, address string)
	// version is the software version of the engines that start from now on, v1 if empty.
	version string

	mu sync.Mutex
	// crashes holds the times of engine crashes, fatalRuns those at which fatal requests
	// reached engines; starts counts engine starts.
	crashes, fatalRuns []time.Time
	starts             int
	// engines holds the engine of each start, in order.
	engines []*runner.BackendServer
	// ended is set at the end of the test. Engines then stay down.
	ended bool
}

type testGateway struct {
	*gateway.Gateway
	dir   *directory.Directory
	peers *peers.Peers
	url   string
	// kill ends the gateway and its connections.
	kill func()
}

func newClusterFixture(t *testing.T, gateways, engines int) *clusterFixture {
	return startClusterFixture(&clusterFixture{t: t, store: objectstore.New()}, gateways, engines)
}

func startClusterFixture(f *clusterFixture, gateways, engines int) *clusterFixture {
	t := f.t
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended = true
	})
	server := httptest.NewServer(f.store)
	t.Cleanup(server.CloseClientConnections)
	f.client = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	f.store.PutRaw("config", "main", []byte(strings.ReplaceAll(configuration, "%VERSION%", "1")))
	for n := range engines {
		role := "decode"
		if n < f.prefillEngines {
			role = "prefill"
		}
		// Connections begin at 127.0.0.1, so that none takes the port of an engine that restarts.
		f.startEngine("127.0.0.2:0", role)
	}
	for n := range gateways {
		f.gateways = append(f.gateways, f.startGateway(n))
	}
	f.waitFor("gateways know the configuration, the engines and each other", func() bool {
		for _, g := range f.gateways {
			v := g.dir.View()
			if v.Table == nil || len(v.Servers) != engines || g.peers.GatewayCount() != gateways {
				return false
			}
		}
		return true
	})
	return f
}

func (f *clusterFixture) waitFor(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatal("not within 10s: " + what)
}

// listenTimeout is how long the address of a former engine may be in use by a connection of
// another process.
const listenTimeout = 2 * time.Second

// listen listens on an address until the test ends. It returns nil after that.
func (f *clusterFixture) listen(address string) net.Listener {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(10 * time.Millisecond) {
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			return listener
		}
		f.mu.Lock()
		ended := f.ended
		if !ended && time.Now().After(end) {
			f.t.Error(err)
			ended = true
		}
		f.mu.Unlock()
		if ended {
			return nil
		}
	}
}

// startEngine starts an engine with a role at an address and registers it in the store.
func (f *clusterFixture) startEngine(address, role string) {
	listener := f.listen(address)
	if listener == nil {
		return
	}
	f.mu.Lock()
	if f.ended {
		f.mu.Unlock()
		listener.Close()
		return
	}
	f.starts++
	r := runner.New("i-"+strconv.Itoa(f.starts), role)
	r.Events, r.EventInterval, r.FatalEnd = 3, cmp.Or(f.eventInterval, 20*time.Millisecond), f.fatalEnd
	if f.version != "" {
		r.Version = f.version
	}
	f.engines = append(f.engines, r)
	f.mu.Unlock()
	server := &http.Server{Handler: r}
	address = listener.Addr().String()
	r.Fatal = func(run runner.Run) bool {
		if !f.fatal(run) {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.fatalRuns = append(f.fatalRuns, time.Now())
		return true
	}
	var crash sync.Once
	r.Crash = func() {
		crash.Do(func() { f.crash(r, server, address) })
	}
	r.RegisterKVSource(address)
	f.store.Put("servers", r.ID, r.Registration("llm", address, "z", "ready"))
	f.t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
}

// fatal reports whether a run crashes its engine.
func (f *clusterFixture) fatal(run runner.Run) bool {
	if f.isFatal != nil {
		return f.isFatal(run)
	}
	return run.Body == fatal
}

// crash ends an engine and starts another one at its address after restartDelay.
func (f *clusterFixture) crash(r *runner.BackendServer, server *http.Server, address string) {
	if f.beforeCrash != nil {
		f.beforeCrash(r, address)
	}
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	server.Close()
	time.AfterFunc(restartDelay, func() {
		f.store.Remove("servers", r.ID)
		f.startEngine(address, r.Phase)
	})
}

func (f *clusterFixture) startGateway(n int) *testGateway {
	g := &testGateway{dir: directory.New(f.client, platform.Codec{}, platform.ObjectKinds)}
	g.Gateway = gateway.New(gateway.Config{
		Deployment: deployment.Deployment{
			Name: "f-" + strconv.Itoa(n), DataCentre: "z", MaxMemoryBytes: 64 << 20,
			Bounds: deployment.Bounds{RetryShare: 0.2, RetrySlack: 1_000, RetryWindow: 10 * time.Second},
		},
		Codec: platform.Codec{}, Directory: g.dir,
	})
	g.dir.OnChange, g.dir.OnServer = g.ViewChanged, g.ServerSeen
	p, err := peers.New(peers.Config{Name: "f-" + strconv.Itoa(n), StartID: rand.Uint64(), Address: "127.0.0.1:0"}, g.Gateway)
	if err != nil {
		f.t.Fatal(err)
	}
	g.peers = p
	g.SetGossip(p)
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	for _, duty := range []func(context.Context) error{
		g.dir.FollowConfig, g.dir.FollowServers, g.dir.Expire, p.Receive,
		(&evidence.Keeper{Store: f.client, Source: g.Gateway, Rank: p.Rank}).Run,
		func(ctx context.Context) error { return p.Register(ctx, f.client) },
		func(ctx context.Context) error {
			return periodic.Run(ctx, 500*time.Millisecond, g.ReannounceTerminations)
		},
		func(ctx context.Context) error {
			return periodic.Run(ctx, 500*time.Millisecond, g.ReannounceServerLimits)
		},
	} {
		go func() { _ = duty(ctx) }()
	}
	server := httptest.NewServer(g.Gateway)
	f.t.Cleanup(server.CloseClientConnections)
	g.url = server.URL
	g.kill = func() {
		stop()
		server.CloseClientConnections()
		server.Listener.Close()
	}
	return g
}

// clientFrom returns a client with a source address that differs for each host.
func clientFrom(host int) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+host))}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// Guards against a query of death that is not recognized: its attempts count as
// different requests when they come from different addresses, as callers in several
// data centres have.
func TestRequestThatEndsEnginesIsKnownFromAnyAddress(t *testing.T) {
	f := newClusterFixture(t, 2, 6)
	for n := range 16 {
		f.sendFrom(clientFrom(n), f.gateways[n%2], fmt.Sprintf("r%d", n), fatal)
		time.Sleep(200 * time.Millisecond)
	}
	if late := f.crashesAfter(f.thirdCrash().Add(agreementTime)); late > maxLateCrashes {
		t.Errorf("one request from sixteen addresses crashed %d engines later than %v after the third, want at most %d", late, agreementTime, maxLateCrashes)
	}
}

// send sends a request to a resumable route and returns the status, 0 for a response
// that is interrupted.
func (f *clusterFixture) send(g *testGateway, id, body string) (status int, header http.Header) {
	return f.sendFrom(http.DefaultClient, g, id, body)
}

func (f *clusterFixture) sendFrom(client *http.Client, g *testGateway, id, body string) (status int, header http.Header) {
	return f.sendRequest(client, context.Background(), g, id, http.MethodPost, "/stream-again/x", body)
}

// crashesAfter counts the engine crashes after the given time.
func (f *clusterFixture) crashesAfter(start time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, crash := range f.crashes {
		if crash.After(start) {
			n++
		}
	}
	return n
}

// thirdCrash returns the time of the third engine crash, zero before that.
func (f *clusterFixture) thirdCrash() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return time.Time{}
	}
	return f.crashes[2]
}

// maxLateCrashes is how many more engines a request that crashed three engines may
// crash, by the operators' limit, after gateways had time to agree on it.
const maxLateCrashes = 3

// Guards against a query of death that crashes one engine after the other: its caller
// retries at any gateway with new request IDs.
func TestRequestThatEndsEnginesIsNotSentOn(t *testing.T) {
	newClusterFixture(t, 2, 8).expectFatalRequestNotSentOn()
}

// Guards against a query of death that is not recognized because the crash looks like the
// end of a complete answer.
func TestRequestThatEndsEnginesWithinUnframedAnswersIsNotSentOn(t *testing.T) {
	f := &clusterFixture{t: t, store: objectstore.New(), fatalEnd: runner.WithinEvent}
	startClusterFixture(f, 2, 8).expectFatalRequestNotSentOn()
}

// expectFatalRequestNotSentOn sends the fatal request again and again.
func (f *clusterFixture) expectFatalRequestNotSentOn() {
	n := 0
	attempt := func() {
		f.send(f.gateways[n%2], fmt.Sprintf("r%d", n), fatal)
		n++
		time.Sleep(100 * time.Millisecond)
	}
	for f.thirdCrash().IsZero() {
		attempt()
	}
	for end := f.thirdCrash().Add(agreementTime + 3*time.Second); time.Now().Before(end); {
		attempt()
	}
	if late := f.crashesAfter(f.thirdCrash().Add(agreementTime)); late > maxLateCrashes {
		f.t.Errorf("%d crashes after the third one, want at most %d; %d crashes in all", late, maxLateCrashes, f.crashesAfter(time.Time{}))
	}
}

// sendUntilQuarantined sends the fatal request until it is rejected as quarantined, with at
// most the given number of attempts.
func (f *clusterFixture) sendUntilQuarantined(g *testGateway, id string, attempts int) http.Header {
	for n := range attempts {
		status, header := f.send(g, fmt.Sprintf("%s-%d", id, n), fatal)
		retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if status == http.StatusServiceUnavailable && err == nil && retryAfter > time.Minute.Seconds() {
			return header
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("not quarantined after %d attempts", attempts)
	return nil
}

// Guards against a quarantine that also rejects other requests, that responds with a
// wrong verdict, or that other gateways, including new ones, do not know of.
func TestRequestThatEndsEnginesIsRefusedEverywhereAndNothingElseIs(t *testing.T) {
	f := newClusterFixture(t, 2, 6)
	header := f.sendUntilQuarantined(f.gateways[0], "a", 20)
	if got := header.Get("Pistachioroad-Verdict"); got != "not_run" {
		t.Errorf("verdict %q of a quarantined request, want not_run", got)
	}
	crashes := f.crashesAfter(time.Time{})
	time.Sleep(agreementTime)
	f.sendUntilQuarantined(f.gateways[1], "b", 1)
	late := f.startGateway(2)
	f.waitFor("the new gateway knows the engines", func() bool {
		v := late.dir.View()
		return v.Table != nil && len(v.Servers) == 6
	})
	time.Sleep(agreementTime)
	f.sendUntilQuarantined(late, "c", 1)
	if now := f.crashesAfter(time.Time{}); now > crashes {
		t.Errorf("%d engines crashed after the first rejection", now-crashes)
	}
	f.waitFor("the engines are back", func() bool { return len(f.gateways[0].dir.View().Servers) == 6 })
	for n := range 10 {
		if status, _ := f.send(f.gateways[n%2], fmt.Sprintf("other-%d", n), fmt.Sprintf("harmless %d", n)); status != http.StatusOK {
			t.Errorf("another request of the same caller and path got status %d, want 200", status)
		}
	}
}

// Guards against harmless requests being quarantined: they were running at engines that
// crashed for other reasons.
func TestRequestsThatRanWhereEnginesEndedAreServedAgain(t *testing.T) {
	f := newClusterFixture(t, 1, 6)
	for round := range 4 {
		var running sync.WaitGroup
		for n := range 12 {
			running.Go(func() { f.send(f.gateways[0], fmt.Sprintf("r%d-%d", round, n), fmt.Sprintf("harmless %d", n)) })
		}
		f.mu.Lock()
		victim := f.engines[round]
		f.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		victim.Crash()
		running.Wait()
	}
	f.waitFor("the engines are back", func() bool { return len(f.gateways[0].dir.View().Servers) == 6 })
	for n := range 12 {
		if status, _ := f.send(f.gateways[0], fmt.Sprintf("again-%d", n), fmt.Sprintf("harmless %d", n)); status != http.StatusOK {
			t.Errorf("request %d got status %d after all engines restarted, want 200", n, status)
		}
	}
}

// Guards against interrupted responses counting as terminations although the servers
// keep running.
func TestAnswersThatBreakOffAreNoEvidence(t *testing.T) {
	f := newClusterFixture(t, 1, 5)
	f.mu.Lock()
	for _, r := range f.engines {
		r.SetFault(runner.TruncatingStream)
	}
	f.mu.Unlock()
	for n := range 4 {
		f.send(f.gateways[0], fmt.Sprintf("r%d", n), "harmless")
	}
	time.Sleep(agreementTime)
	f.mu.Lock()
	for _, r := range f.engines {
		r.SetFault(runner.Healthy)
	}
	f.mu.Unlock()
	time.Sleep(2 * agreementTime)
	if status, _ := f.send(f.gateways[0], "again", "harmless"); status != http.StatusOK {
		t.Errorf("got status %d from recovered engines, want 200", status)
	}
}

// Guards against engines that learn a key, or serve for no account, when a request is
// suspected of terminating them.
func TestSuspectedRequestKeepsItsAccount(t *testing.T) {
	f := newClusterFixture(t, 1, 6)
	f.store.PutRaw("config", "main", []byte(accountsConfiguration("2", bothAccounts)))
	f.waitFor("the gateway knows the accounts", func() bool { return f.gateways[0].dir.View().Table.Version == 2 })
	for n := range 8 {
		f.send(f.gateways[0], fmt.Sprintf("r%d", n), fatal)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := 0
	for _, e := range f.engines {
		for _, run := range e.Runs() {
			runs++
			if account, key := run.Header.Get("Tenant"), run.Header.Get("Authorization"); account != "desk" || key != "" {
				t.Errorf("request reached an engine for account %q with authorization %q, want desk and none", account, key)
			}
		}
	}
	if runs < 3 {
		t.Errorf("%d runs, want at least 3, so that the request is suspected", runs)
	}
}
