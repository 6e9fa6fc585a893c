// Package crowd_test tests that processes survive crowds of clients that exceed their limits:
// they stay within the memory and the descriptors of their machines and serve other callers.
//
// The machines have far lower limits than real ones, so that small crowds suffice. The tests
// check nothing that depends on the speed of the computer.
package crowd_test

import (
	"context"
	"encoding/json"
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
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/measure"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// The limits of the machine of a gateway, and those that the configuration has for callers.
const (
	memoryMB       = 64
	maxDescriptors = 1000
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

// The ports of the gateway's address.
const (
	portCallers = 8080
	portReady   = 8081
	portState   = 8082
	portMetrics = 9464
	portPeers   = 7380
)

const (
	// patience is how long a test waits for what has no deadline.
	patience = 60 * time.Second
	// sampleInterval is the interval between samples of a process's resources.
	sampleInterval = 10 * time.Millisecond
	// endMemory is the memory at which a process is ended, for the sake of the computer.
	endMemory = 2 << 30
	// ordinaryBody is the size of the body of an ordinary request.
	ordinaryBody = 20_000
	// bigAnswer is the size of the answers of the route /big/.
	bigAnswer = 8 << 20
)

var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if bin, err = os.MkdirTemp("", "crowd-bin-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	build := exec.Command("go", "build", "-o", bin, "pistachioroad.dev/pistachioroad/cmd/...", "pistachioroad.dev/pistachioroad/test/cmd/standin")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build of the programs failed:", err)
		return 1
	}
	return m.Run()
}

// subnet returns the first three octets of the addresses of this test process.
func subnet() string { return fmt.Sprintf("127.%d.%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250) }

func serve(t *testing.T, address string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// gateway is a gateway process on a machine of its own, with a store and backend servers.
type gateway struct {
	*machine
	ip    string
	store *objectstore.Store
}

func (g *gateway) callers() string { return net.JoinHostPort(g.ip, strconv.Itoa(portCallers)) }

// startGateway starts a gateway and returns once it is ready and has served a request.
func startGateway(t *testing.T) *gateway {
	t.Helper()
	store := objectstore.New()
	ip := func(host int) string { return fmt.Sprintf("%s.%d", subnet(), host) }
	storeAddress := net.JoinHostPort(ip(1), "7000")
	serve(t, storeAddress, store)
	plain, engine := runner.New("i-plain", ""), runner.New("i-engine", "decode")
	plainAddress, engineAddress := net.JoinHostPort(ip(10), "9000"), net.JoinHostPort(ip(11), "9000")
	serve(t, plainAddress, withBigAnswers(plain))
	serve(t, engineAddress, engine)
	store.Put("servers", plain.ID, plain.Registration("desk", plainAddress, "z", "ready"))
	store.Put("servers", engine.ID, engine.Registration("llm", engineAddress, "z", "ready"))
	store.Put("config", "main", configuration())

	g := &gateway{ip: ip(100), store: store}
	address := func(port int) string { return net.JoinHostPort(g.ip, strconv.Itoa(port)) }
	settings, err := json.Marshal(map[string]any{
		"node": "f-1", "zone": "z", "ipAddress": g.ip,
		"listenAddrs": map[string]any{
			"frontend": address(portCallers), "readiness": address(portReady), "controlPlane": address(portState),
		},
		"portRange":        []int{portPeers, portPeers + 10},
		"limits":           map[string]any{"memoryMb": memoryMB, "maxFds": maxDescriptors},
		"bounds":           map[string]any{"drainTimeoutMs": 2000, "gracePeriodS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "retrySlack": 100, "budgetWindowS": 10},
		"platformSettings": map[string]any{"address": storeAddress},
	})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	p := fleet.NewProcess("gateway", filepath.Join(bin, "pistachioroad-gateway"), dir, "http://"+address(portReady)+"/-/readiness",
		"-settings", path, "-metrics", strconv.Itoa(portMetrics))
	if err := p.Restart(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	g.machine = newMachine(t, p, g.ip, memoryMB<<20, maxDescriptors, ip(1), ip(10), ip(11), faultyIP())
	g.ordinary = g.ordinaryRequest
	g.expectAnswer(t, "before the crowd")
	return g
}

func configuration() map[string]any {
	route := func(name, service string, model bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "pathPrefix": "/" + name + "/", "routeType": "unsafe", "timeoutMs": 30_000,
			"latencyGoalMs": 1000, "serviceName": service, "maxAttempts": 1, "affinity": model,
		}
	}
	stream := route("draft", "llm", true)
	stream["routeType"] = "streaming"
	resumable := route("faulty-stream", "faulty", false)
	resumable["routeType"], resumable["resumable"] = "streaming", true
	return map[string]any{
		"version": 1,
		"routes":  []any{route("hold", "desk", false), route("big", "desk", false), route("slow", "desk", false), stream, route("faulty", "faulty", false), resumable},
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/health"},
			map[string]any{"name": "faulty", "healthPath": "/health"},
			map[string]any{"name": "llm", "healthPath": "/health", "engine": map[string]any{
				"capacity": 16, "kvCapacity": 1_000_000, "kvTokenBytes": 1000, "linkMbps": 1000, "handleTtlS": 5, "stageSwitchS": 0.1,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
	}
}

// withBigAnswers answers requests for /big/ with bigAnswer bytes and those for /slow/ not before
// they are given up. h answers the others.
func withBigAnswers(h http.Handler) http.Handler {
	block := strings.Repeat("x", 64<<10)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, slow := strings.CutPrefix(r.URL.Path, "/slow/")
		if _, big := strings.CutPrefix(r.URL.Path, "/big/"); !big && !slow {
			h.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if slow {
			<-r.Context().Done()
			return
		}
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		w.Header().Set("Response-Seal", runner.Seal(id))
		w.Header().Set("Content-Length", strconv.Itoa(bigAnswer))
		for range bigAnswer / len(block) {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	})
}

// machine is the machine of one process, with limits of memory and descriptors.
type machine struct {
	process *fleet.Process
	ip      string
	// servers are the IPs of the servers that the process connects to.
	servers []string
	memory  int64
	files   int
	// ordinary returns a request of an ordinary caller.
	ordinary func() (*http.Request, error)
	ended    chan struct{}

	mu sync.Mutex
	// most is the most memory, resident and received but not read, and mostFiles the most
	// descriptors in any sample.
	most, mostUnread int64
	mostFiles        int
}

// newMachine returns the machine of a process, once that is ready, and samples its resources until
// the end of the test.
func newMachine(t *testing.T, p *fleet.Process, ip string, memory int64, files int, servers ...string) *machine {
	t.Helper()
	m := &machine{process: p, ip: ip, servers: servers, memory: memory, files: files, ended: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		m.sample(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-sampled
		if t.Failed() {
			printEnd(t, p.Log())
		}
	})
	if err := p.WaitReady(context.Background()); err != nil {
		t.Fatal(err)
	}
	return m
}

func printEnd(t *testing.T, path string) {
	const tail = 2000
	data, err := os.ReadFile(path)
	if err != nil {
		t.Log(err)
		return
	}
	t.Logf("end of the log:\n%s", data[max(0, len(data)-tail):])
}

func (m *machine) sample(ctx context.Context) {
	for ctx.Err() == nil {
		usage, err := measure.Read(m.process.PID())
		if err != nil || usage.ResidentBytes == 0 {
			// A zombie has no memory.
			close(m.ended)
			return
		}
		unread := unreadBytes(m.ip, m.servers)
		files := countFiles(m.process.PID())
		m.mu.Lock()
		m.most = max(m.most, usage.PeakResidentBytes, usage.ResidentBytes+unread)
		m.mostUnread = max(m.mostUnread, unread)
		m.mostFiles = max(m.mostFiles, files)
		m.mu.Unlock()
		if usage.ResidentBytes > endMemory {
			m.process.Kill()
		}
		time.Sleep(sampleInterval)
	}
}

func countFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// unreadBytes returns how many bytes the connections of a process at an address, and those to its
// servers, have received that the process has not read.
func unreadBytes(ip string, servers []string) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := socketAddress(ip)
	remote := make(map[string]bool)
	for _, server := range servers {
		remote[socketAddress(server)] = true
	}
	// The queue of a listening socket is one of connections. That of a connection that is being opened
	// is the difference of two numbers of which one may not be set yet.
	ignored := map[string]bool{"0A": true, "02": true}
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || ignored[fields[3]] {
			continue
		}
		if !strings.HasPrefix(fields[1], local) && !remote[fields[2][:len(local)]] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// socketAddress returns an IP as it stands in /proc/net/tcp, with the colon before the port.
func socketAddress(ip string) string {
	octets := net.ParseIP(ip).To4()
	return fmt.Sprintf("%02X%02X%02X%02X:", octets[3], octets[2], octets[1], octets[0])
}

func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// expectWithinLimits checks that the process lives and stayed within its machine's limits.
func (m *machine) expectWithinLimits(t *testing.T) {
	t.Helper()
	if m.hasEnded() {
		t.Errorf("the process ended")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("most memory %.1f MB of %.1f MB, of it unread at most %.1f MB; most descriptors %d of %d",
		float64(m.most)/1e6, float64(m.memory)/1e6, float64(m.mostUnread)/1e6, m.mostFiles, m.files)
	if m.most > m.memory {
		t.Errorf("the process had %d bytes of memory, its machine has %d", m.most, m.memory)
	}
	if m.mostFiles > m.files {
		t.Errorf("the process had %d descriptors, its machine allows %d", m.mostFiles, m.files)
	}
}

// ordinaryRequest returns the request of an ordinary caller.
func (g *gateway) ordinaryRequest() (*http.Request, error) { return g.request("/hold/1") }

func (g *gateway) request(path string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callers()+path, strings.NewReader(strings.Repeat("x", ordinaryBody)))
	if err != nil {
		return nil, err
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", nextID())
	r.Header.Set("Deadline-Ms", "5000")
	return r, nil
}

// expectAnswer sends an ordinary request, and again as long as it is rejected as not run or not
// read, and expects an answer with success.
func (m *machine) expectAnswer(t *testing.T, when string) {
	t.Helper()
	const attemptTime = 5 * time.Second
	client := &http.Client{Timeout: attemptTime, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(patience); time.Now().Before(end) && !m.hasEnded(); time.Sleep(100 * time.Millisecond) {
		r, err := m.ordinary()
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK && err == nil {
			return
		}
		last = fmt.Sprintf("status %d, %.200s, error %v", resp.StatusCode, body, err)
	}
	t.Errorf("%s, an ordinary request got no answer: %s", when, last)
}
