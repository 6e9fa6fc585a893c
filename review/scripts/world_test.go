//go:build review

// Package scripts has the scripted cases of the review. A case starts the gateways of the
// deploy file as separate processes on loopback addresses, in front of stand-ins, and checks
// a rule from what clients, servers and the platform see.
package scripts

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var (
	caseName = flag.String("case", "", "the case to run")
	caseDir  = flag.String("dir", "", "the folder of the case")
	root     = flag.String("root", ".", "the root of the repository")
)

// cases are the cases by name. They return one of the exit codes.
var cases = map[string]func(*world) int{}

// TestMain runs the case that the flags name.
func TestMain(*testing.M) {
	flag.Parse()
	run, ok := cases[*caseName]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *caseName)
		os.Exit(couldNot)
	}
	os.Exit(runCase(run))
}

func runCase(run func(*world) int) (code int) {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.stop()
	defer func() {
		if r := recover(); r != nil {
			w.note("could not run: %v", r)
			code = couldNot
		}
		w.note("exit %d", code)
	}()
	return run(w)
}

// The ports of each address.
const (
	portStore   = 7000
	portCloud   = 7001
	portCallers = 8080
	portReady   = 8081
	portControl = 8082
	portPeers   = 7380
	portServer  = 9000
	portProxy   = 9100
)

// world is all that a case starts.
type world struct {
	trouble  bool
	temp     string
	began    time.Time
	subnet   string
	store    *objectstore.Store
	gateways []*gateway
	closers  []func()
	bounds   map[string]any
	extra    map[string]any

	mu     sync.Mutex
	record *os.File
}

func newWorld() (*world, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(*caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", temp: temp, began: time.Now(), record: record,
		store: objectstore.New(),
		// The bounds of a small deployment of the users' pages.
		bounds: map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "retrySlack": 108, "recoveryS": 12, "transitMs": 120, "requireFence": false, "leaseMs": 3000, "thawMs": 300,
		},
		extra: map[string]any{},
	}
	w.store.NameEra(1)
	for n := range 200 {
		w.subnet = fmt.Sprintf("127.%d.%d.", 200+n%50, 1+(os.Getpid()+n)%250)
		err = w.serve(w.address(1, portStore), w.store)
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	w.note("trouble: %v", w.trouble)
	return w, err
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(w.record, line)
}

// say is note, also on standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) ip(host int) string { return w.subnet + strconv.Itoa(host) }

func (w *world) address(host, port int) string {
	return net.JoinHostPort(w.ip(host), strconv.Itoa(port))
}

func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	return nil
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// addServer starts a server of a service and registers it.
func (w *world) addServer(host int, service, role string) *runner.BackendServer {
	s := runner.New(fmt.Sprintf("i-%d", host), role)
	must(w.serve(w.address(host, portServer), s))
	w.register(s, host, service, "ready")
	return s
}

func (w *world) register(s *runner.BackendServer, host int, service, state string) {
	w.store.Put("servers", s.ID, s.Registration(service, w.address(host, portServer), "z", state))
}

// gateway is one gateway process.
type gateway struct {
	world    *world
	name     string
	host     int
	settings string
	command  *exec.Cmd
	done     chan struct{}
}

// addGateways starts n gateways, which are ready when it returns.
func (w *world) addGateways(n int) {
	for i := range n {
		g := &gateway{world: w, name: fmt.Sprintf("frontend-z-%d", i+1), host: 100 + i}
		g.settings = filepath.Join(w.temp, g.name+".json")
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		must(g.writeSettings())
		must(g.start())
	}
	for _, g := range w.gateways {
		must(g.waitReady(20 * time.Second))
	}
	w.note("%d gateways are ready", n)
}

func (g *gateway) address() string { return g.world.address(g.host, portCallers) }

func (g *gateway) writeSettings() error {
	w := g.world
	seeds := []string{}
	for _, other := range w.gateways[:min(3, len(w.gateways))] {
		seeds = append(seeds, w.address(other.host, portControl))
	}
	settings := map[string]any{
		"node": g.name, "role": "gateway", "machineClass": "frontend", "serves": []string{"frontend", "control_plane"},
		"ipAddress": w.ip(g.host), "zone": "z", "region": "r", "zones": map[string]string{"z": "r"},
		"listenAddrs": map[string]any{
			"frontend": g.address(), "readiness": w.address(g.host, portReady), "controlPlane": w.address(g.host, portControl),
		},
		"portRange": []int{portPeers, portPeers + 15}, "seedNodes": seeds, "bootstrap": true,
		"limits":    map[string]any{"cpuShare": 0.208, "cpuCores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"discovery": "platform", "ingress": "vip", "heartbeatMs": 1200,
		"policies":         []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"bounds":           w.bounds,
		"platformSettings": map[string]any{"address": w.address(1, portStore), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20},
	}
	for name, value := range w.extra {
		settings[name] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, data, 0o600)
}

// runLine returns the command of the deploy file.
func runLine() ([]string, error) {
	data, err := os.ReadFile(filepath.Join(*root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(rest), `"`)), nil
		}
	}
	return nil, errors.New("no run line in the deploy file")
}

// start starts the process with the command of the deploy file, in the repository's root.
func (g *gateway) start() error {
	words, err := runLine()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(g.world.temp, g.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	c := exec.Command(words[0], words[1:]...)
	c.Dir = *root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOROAD_CONFIG=" + g.settings}
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(done)
	}()
	g.command, g.done = c, done
	return nil
}

// kill ends the process with SIGKILL.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.done
}

func (g *gateway) signal(s syscall.Signal) { must(g.command.Process.Signal(s)) }

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.world.address(g.host, portReady) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.ready() {
			return nil
		}
	}
	return errors.New(g.name + " is not ready")
}

// stop ends all processes and listeners, and keeps the logs only on request.
func (w *world) stop() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, c := range w.closers {
		c()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs are in", w.temp)
	}
}
