//go:build review

// Package standin2 plays the scripts of the second review: it starts gateways as processes, with
// a store, backend servers and callers as stand-ins, and checks what callers and servers see.
package standin2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

const (
	storePort   = 7000
	callerPort  = 8149
	readyPort   = 8141
	controlPort = 8144
	firstPeer   = 7380
	lastPeer    = 7395
	serverPort  = 9000
	// heartbeat is the interval at which servers write their objects.
	heartbeat = 1200 * time.Millisecond
	// startTimeout limits the start of a gateway.
	startTimeout = 20 * time.Second
)

// environment is what one play starts.
type environment struct {
	subnet   string
	dir      string
	program  string
	store    *objectstore.Store
	gateways []*gateway
	record   *recorder
	closers  []func()
	stopped  chan struct{}
}

// newEnvironment returns an environment with a store that listens on a free subnet of the
// loopback addresses.
func newEnvironment(program string, r *recorder) (*environment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	e := &environment{dir: dir, program: program, store: objectstore.New(), record: r, stopped: make(chan struct{})}
	e.store.NameEra(1)
	e.closers = append(e.closers, func() { _ = os.RemoveAll(dir) })
	for n := range 200 {
		e.subnet = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%80, 1+(os.Getpid()/80+n)%250)
		err = e.serveHTTP(e.ip(1), storePort, e.store)
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return e, err
}

func (e *environment) ip(host int) string { return fmt.Sprintf("%s%d", e.subnet, host) }

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func (e *environment) serveHTTP(ip string, port int, h http.Handler) error {
	l, err := net.Listen("tcp4", address(ip, port))
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	e.closers = append(e.closers, func() { _ = s.Close() })
	return nil
}

// register writes the object of a server again at each heartbeat.
func (e *environment) register(id, service, addr, phase string, capacity int) {
	born := time.Now().UnixMilli()
	write := func(n int) {
		object := map[string]any{
			"serviceName": service, "address": addr, "zone": "gangnam", "version": "v1", "capacity": capacity,
			"state": "ready", "coldLeftMs": 0, "sequence": n, "born": born,
		}
		if phase != "" {
			object["phase"] = phase
			object["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
		}
		e.store.Put("servers", id, object)
	}
	write(1)
	go func() {
		for n := 2; ; n++ {
			select {
			case <-e.stopped:
				return
			case <-time.After(heartbeat):
				write(n)
			}
		}
	}()
}

// route is one route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, attempts         int
	model, resumable            bool
}

// configure writes a version of the configuration.
func (e *environment) configure(version int, routes []route, services []map[string]any) {
	var rules []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "hostname": "h.example", "pathPrefix": r.prefix, "routeType": r.kind, "timeoutMs": r.timeoutMs,
			"latencyGoalMs": 500, "priority": 1, "serviceName": r.service, "maxAttempts": r.attempts, "affinity": r.model,
			"resumable": r.resumable, "gapAimMs": 400,
		})
	}
	e.store.Put("config", "main", map[string]any{
		"version": version, "routes": rules, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// gateway is one gateway process.
type gateway struct {
	name, ip string
	cmd      *exec.Cmd
	done     chan struct{}
	settings string
}

func (g *gateway) callers() string { return address(g.ip, callerPort) }

// startGateway starts a gateway with the command of the deploy file and waits until it is ready.
func (e *environment) startGateway(n int) (*gateway, error) {
	g := &gateway{name: fmt.Sprintf("frontend-gangnam-%d", n), ip: e.ip(100 + n)}
	g.settings = filepath.Join(e.dir, g.name+".json")
	if err := e.writeSettings(g); err != nil {
		return nil, err
	}
	e.gateways = append(e.gateways, g)
	return g, e.run(g)
}

func (e *environment) run(g *gateway) error {
	output, err := os.OpenFile(filepath.Join(e.dir, g.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	g.cmd = exec.Command(e.program, "-metrics", "9464", "-distance-price", "2s")
	g.cmd.Env = append(os.Environ(), "PISTACHIOROAD_CONFIG="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = output, output
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.done = done
	cmd := g.cmd
	go func() { _ = cmd.Wait(); close(done) }()
	return g.awaitReady()
}

func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + address(g.ip, readyPort) + "/-/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.name + " did not get ready")
}

func (e *environment) writeSettings(g *gateway) error {
	var seeds []string
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, address(e.ip(100+n), controlPort))
	}
	data, err := json.Marshal(map[string]any{
		"node": g.name, "role": "gateway", "machineClass": "frontend", "serves": []string{"frontend", "control_plane"},
		"ipAddress": g.ip, "zone": "gangnam", "region": "seoul", "zones": map[string]string{"gangnam": "seoul"},
		"listenAddrs": map[string]string{
			"frontend": g.callers(), "readiness": address(g.ip, readyPort), "controlPlane": address(g.ip, controlPort),
		},
		"portRange": []int{firstPeer, lastPeer}, "seedNodes": seeds, "bootstrap": true,
		"limits":      map[string]any{"cpuShare": 0.208, "cpuCores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"heartbeatMs": heartbeat.Milliseconds(), "discovery": "platform", "ingress": "vip",
		"policies": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "retrySlack": 108, "recoveryS": 12, "transitMs": 120, "reuseWindowS": 8.7, "requireFence": false,
			"leaseMs": 3000, "thawMs": 300,
		},
		"platformSettings": map[string]any{"address": address(e.ip(1), storePort), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, data, 0o600)
}

// stop ends everything that the play has started.
func (e *environment) stop() {
	close(e.stopped)
	for _, g := range e.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Kill()
			<-g.done
		}
	}
	for i := len(e.closers) - 1; i >= 0; i-- {
		e.closers[i]()
	}
}

// recorder writes what was sent, answered and run to the record of the case.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
