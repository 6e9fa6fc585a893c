// Package soakproc runs real gateways as separate processes in front of
// stand-ins and injects faults from outside: signals, fault proxies that delay,
// close and blackhole connections, and faults of the store and the backend
// servers. The records of callers and stand-ins are checked for violations of
// the guarantees.
package soakproc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// The ports of each address of the environment.
const (
	portStore   = 7000
	portCallers = 8080
	portReady   = 8081
	portPeers   = 7380
	portBackend = 9000
	portProxy   = 9100
)

// The names of the services.
const (
	plainService = "desk"
	modelService = "llm"
)

// eventInterval lets pauses meet streams in the middle.
const eventInterval = 10 * time.Millisecond

const (
	// drainTimeout is how long a server may still get requests after the store
	// lists it as draining.
	drainTimeout = 2 * time.Second
	// configApply bounds the time in which gateways apply a stored configuration.
	configApply = 2 * time.Second
	// contact is the time after a disturbance from which the bounds apply again.
	contact = 3 * time.Second
)

// gatewayCount exceeds three, the number of gateways that watch the store on
// behalf of the others.
const gatewayCount = 5

// gateway is one gateway process.
type gateway struct {
	process *fleet.Process
	address string
	// writeSettings writes the settings file of the process.
	writeSettings func() error
	// store is the proxy between this gateway and the store.
	store *faultproxy.Proxy
	// busy is set while a signal has paused or ended the process.
	busy atomic.Bool
}

// claim reports whether the process can be paused or ended, and sets busy.
func (g *gateway) claim() bool { return g.busy.CompareAndSwap(false, true) }

func (g *gateway) release() { g.busy.Store(false) }

// server is one backend server behind its proxy.
type server struct {
	*runner.BackendServer
	service string
	// decodes reports that it is an engine that began as one that generates answers.
	decodes bool
	proxy   *faultproxy.Proxy
	// drainedAt is when the server was registered as draining; zero if it is not.
	drainedAt time.Time
	// silent reports that a pause is in progress.
	silent bool
}

// environment holds everything that one run starts.
type environment struct {
	ip       func(host int) string
	store    *objectstore.Store
	gateways []*gateway
	servers  []*server
	version  int64
	closers  []func()
	// crashes are those on the fatal request, segmentCrashes those on the fatal segment.
	crashes, segmentCrashes crashTimes
	crashKind               crashKind
	fatalKind               fatalKind
	// budget is the retry budget of a service in the newest settings file, and budgetChanges
	// has all that there have been, in order.
	budget        retryBudget
	budgetChanges []budgetChange
	// idleTimeout is that of callers' connections.
	idleTimeout time.Duration
	// bootstrap is what the settings files say of the first start of the system. They are
	// written once, so that a process that is started again reads the same.
	bootstrap bool
	timeouts  routeTimeouts
	usage     *usageReports
	// released are the engines of the second version while they are registered.
	released []*server
	written  written
	// namesEras is set if the store names eras, and may come back from copies.
	namesEras bool
	// moreRoutes are routes of the configuration besides the usual ones.
	moreRoutes []map[string]any
}

// retryBudget bounds the retries for a service within 10 s to a share of its requests
// plus slack.
type retryBudget struct {
	share float64
	slack int
}

// budgetChange is a retry budget that settings files have from a time on.
type budgetChange struct {
	retryBudget
	from time.Time
}

// setBudget changes the retry budget of the settings files that are written from now on.
func (env *environment) setBudget(b retryBudget) {
	env.budget = b
	env.budgetChanges = append(env.budgetChanges, budgetChange{retryBudget: b, from: time.Now()})
}

// allowed returns how many extra arrivals the largest retry budget in force at any time in a
// window allows, with a number of requests.
func (env *environment) allowed(begin time.Time, requests int) float64 {
	most := 0.0
	for i, c := range env.budgetChanges {
		replaced := i+1 < len(env.budgetChanges) && !env.budgetChanges[i+1].from.After(begin)
		if !replaced && c.from.Before(begin.Add(retryWindow)) {
			most = max(most, c.share*float64(requests)+float64(c.slack))
		}
	}
	return most
}

// retryBudgets are the budgets of the runs in turn: with the first one, a service that sheds
// most requests uses up the budget, with the last one, a pause of one server does.
var retryBudgets = []retryBudget{{share: 0.05, slack: 20}, {share: 0.5, slack: 300}, {share: 0.002, slack: 5}}

// maxSubnets limits the subnets that a run tries to find a free one.
const maxSubnets = 200

// start starts the environment of a seed. Its addresses in 127.0.0.0/8 depend on
// the seed and the process id, so that concurrent runs rarely collide. A run whose
// store finds its port taken uses the next subnet.
func start(seed uint64, bin, dir string) (*environment, error) {
	return startWith(seed, bin, dir, options{
		budget: retryBudgets[seed/2%uint64(len(retryBudgets))], bootstrap: seed%4 < 2, crashKind: crashKindOf(seed), fatalKind: fatalKindOf(seed),
		namesEras: namesEras(seed),
	})
}

// options are what differs between environments.
type options struct {
	budget    retryBudget
	bootstrap bool
	crashKind crashKind
	fatalKind fatalKind
	// firstAlone makes the first gateway lose the store for good before the others start,
	// after it has run for aloneFor.
	firstAlone bool
	namesEras  bool
	aloneFor   time.Duration
}

// startWith is like start with the given options.
func startWith(seed uint64, bin, dir string, o options) (*environment, error) {
	env := &environment{store: objectstore.New(), bootstrap: o.bootstrap, idleTimeout: maxIdleTimeout, crashKind: o.crashKind, fatalKind: o.fatalKind, namesEras: o.namesEras}
	env.written.specs = make(map[[2]string]json.RawMessage)
	if o.namesEras {
		env.store.NameEra(1)
	}
	env.setBudget(o.budget)
	env.timeouts.set(callerTimeout)
	if err := errors.Join(env.serveStore(seed), env.serveReports()); err != nil {
		return env, err
	}
	for i, role := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "", "", ""} {
		version := firstVersion
		if i == 5 || i == 6 {
			version = secondVersion
		}
		if err := env.addServer(10+i, role, version); err != nil {
			return env, err
		}
	}
	env.writeConfig()
	for i := range gatewayCount {
		if err := env.addGateway(100+i, bin, dir); err != nil {
			return env, err
		}
		if i == 0 && o.firstAlone {
			if err := env.cutFirst(o.aloneFor); err != nil {
				return env, err
			}
		}
	}
	return env, nil
}

// cutFirst cuts the first gateway from the store a while after it is ready.
func (env *environment) cutFirst(after time.Duration) error {
	first := env.gateways[0]
	if err := first.process.WaitReady(context.Background()); err != nil {
		return err
	}
	time.Sleep(after)
	first.store.Set(faultproxy.Mode{Cut: true})
	return nil
}

// serveStore chooses the subnet of the run and serves the store there.
func (env *environment) serveStore(seed uint64) (err error) {
	for n := range maxSubnets {
		subnet := 1 + (os.Getpid()+n)%maxSubnets
		env.ip = func(host int) string { return fmt.Sprintf("127.%d.%d.%d", 100+seed%100, subnet, host) }
		if err = env.serve(net.JoinHostPort(env.ip(1), strconv.Itoa(portStore)), env.store); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

func (env *environment) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	env.closers = append(env.closers, func() { _ = s.Close() })
	return nil
}

func (env *environment) addServer(host int, role, version string) error {
	s := &server{BackendServer: runner.New(fmt.Sprintf("i-%d", host), role), service: modelService, decodes: role == "decode"}
	s.Version = version
	if role == "" {
		s.service = plainService
	}
	s.EventInterval = eventInterval
	s.PhaseChanged = func() { env.register(s, "ready") }
	if role != "" {
		env.crashOnFatal(s)
	}
	backend := net.JoinHostPort(env.ip(host), strconv.Itoa(portBackend))
	if err := env.serve(backend, s.BackendServer); err != nil {
		return err
	}
	proxy, err := faultproxy.Listen(net.JoinHostPort(env.ip(host), strconv.Itoa(portProxy)), backend)
	if err != nil {
		return err
	}
	env.closers = append(env.closers, proxy.Close)
	s.proxy = proxy
	s.RegisterKVSource(proxy.Address())
	env.servers = append(env.servers, s)
	if version == firstVersion {
		env.register(s, "ready")
	}
	return nil
}

func (env *environment) register(s *server, state string) {
	env.put("servers", s.ID, s.Registration(s.service, s.proxy.Address(), "z", state))
}

// writeConfig writes the next version of the configuration. Its route /vN/, with
// N the version, exists in that version only, so that a response from it shows
// which version a gateway has applied.
func (env *environment) writeConfig() {
	env.version++
	env.writeMalformedServers()
	route := func(name, prefix, kind, service string, attempts int, model, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": env.timeouts.newest().Milliseconds(),
			"latencyGoalMs": 1000, "serviceName": service, "maxAttempts": attempts, "affinity": model, "resumable": resumable,
		}
	}
	rules := []any{
		route("read", "/read/", "safe", plainService, maxAttempts["read"], false, false),
		route("hold", "/hold/", "unsafe", plainService, maxAttempts["hold"], false, false),
		route("draft", "/stream-once/", "streaming", modelService, maxAttempts["once"], true, false),
		route("summary", "/stream-again/", "streaming", modelService, maxAttempts["again"], true, true),
		route("version", fmt.Sprintf("/v%d/", env.version), "safe", plainService, maxAttempts["version"], false, false),
	}
	for _, r := range env.moreRoutes {
		rules = append(rules, r)
	}
	env.put("config", "main", map[string]any{
		"version": env.version, "routes": rules, "tenants": tenants(env.version),
		"services": []any{
			map[string]any{"name": plainService, "healthPath": "/health"},
			map[string]any{"name": modelService, "healthPath": "/health", "engine": map[string]any{
				"capacity": 16, "kvCapacity": 100_000, "kvTokenBytes": 1000, "linkMbps": 1000, "handleTtlS": 5, "stageSwitchS": 0.1,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": env.idleTimeout.Milliseconds()},
	})
}

func (env *environment) addGateway(host int, bin, dir string) error {
	ip := env.ip(host)
	proxy, err := faultproxy.Listen(net.JoinHostPort(ip, strconv.Itoa(portStore)), net.JoinHostPort(env.ip(1), strconv.Itoa(portStore)))
	if err != nil {
		return err
	}
	env.closers = append(env.closers, proxy.Close)
	name := fmt.Sprintf("f-%d", host)
	path := filepath.Join(dir, name+".json")
	writeSettings := func() error { return env.writeSettings(path, name, ip, proxy.Address()) }
	if err := writeSettings(); err != nil {
		return err
	}
	ready := "http://" + net.JoinHostPort(ip, strconv.Itoa(portReady)) + "/-/readiness"
	p := fleet.NewProcess(name, filepath.Join(bin, "pistachioroad-gateway"), dir, ready, "-settings", path)
	if err := p.Restart(); err != nil {
		return err
	}
	address := net.JoinHostPort(ip, strconv.Itoa(portCallers))
	env.gateways = append(env.gateways, &gateway{process: p, address: address, writeSettings: writeSettings, store: proxy})
	return nil
}

func (env *environment) writeSettings(path, name, ip, store string) error {
	data, err := json.Marshal(map[string]any{
		"node": name, "zone": "z", "ipAddress": ip,
		"listenAddrs": map[string]any{
			"frontend": net.JoinHostPort(ip, strconv.Itoa(portCallers)), "readiness": net.JoinHostPort(ip, strconv.Itoa(portReady)),
		},
		"bootstrap": env.bootstrap,
		"portRange": []int{portPeers, portPeers + 10},
		"limits":    map[string]any{"memoryMb": 206, "maxFds": 2870},
		"bounds": map[string]any{
			"drainTimeoutMs": drainTimeout.Milliseconds(), "gracePeriodS": 8, "configApplyMs": configApply.Milliseconds(), "contactMs": contact.Milliseconds(),
			"retryBudgetRatio": env.budget.share, "retrySlack": env.budget.slack, "budgetWindowS": 10, "leaseMs": alternation.Milliseconds(),
			"windowS": usageWindow.Seconds(),
		},
		"cloudApi":         map[string]any{"address": env.reportsAddress(), "duties": []string{"usage_reporting"}},
		"platformSettings": map[string]any{"address": store},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// stop kills every process and closes every listener of the run.
func (env *environment) stop() {
	for _, g := range env.gateways {
		g.process.Kill()
	}
	for _, c := range env.closers {
		c()
	}
}
