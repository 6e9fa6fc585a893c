package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// asProgram makes the test binary run the program instead of the tests.
const asProgram = "PISTACHIOROAD_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
	}
	os.Exit(m.Run())
}

// program is the program as a process.
type program struct {
	*exec.Cmd
	mu     sync.Mutex
	output bytes.Buffer
}

func start(t *testing.T, args ...string) *program {
	t.Helper()
	p := &program{Cmd: exec.Command(os.Args[0], args...)}
	p.Env = append(os.Environ(), asProgram+"=1")
	p.Stdout, p.Stderr = p, p
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

func (p *program) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(data)
}

func (p *program) printed() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *program) signal(t *testing.T, signals ...syscall.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := p.Process.Signal(s); err != nil {
			t.Fatalf("%v: %v", s, err)
		}
	}
}

// until waits until done, at most 20 s.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timeout: " + what)
		}
	}
}

// settings returns settings of a gateway whose store cannot be reached.
func settings(t *testing.T) []byte {
	t.Helper()
	var free []int
	for range 4 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	address := func(n int) string { return (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: free[n]}).String() }
	data, err := json.Marshal(map[string]any{
		"node": "f-1", "zone": "z", "ipAddress": "127.0.0.1",
		"listenAddrs":      map[string]string{"frontend": address(0), "readiness": address(1)},
		"portRange":        []int{free[2], free[2]},
		"platformSettings": map[string]string{"address": address(3)},
		"limits":           map[string]int{"memoryMb": 64, "maxFds": 1000},
		"bounds":           map[string]int{"gracePeriodS": 5},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// startReading starts the program with args and returns once it waits for its settings, which
// write passes on.
func startReading(t *testing.T, args ...string) (p *program, write func([]byte)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p = start(t, append([]string{"-settings", path}, args...)...)
	var pipe *os.File
	until(t, "the settings are read", func() bool {
		var err error
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	return p, func(data []byte) {
		// A process that has ended does not read.
		_, _ = pipe.Write(data)
		pipe.Close()
	}
}

// Guards against a signal that ends the process, and not gracefully, before it serves.
func TestSignalsWhileTheSettingsAreReadAreHandled(t *testing.T) {
	for _, test := range []struct {
		signal syscall.Signal
		args   []string
	}{{syscall.SIGHUP, []string{"-check"}}, {syscall.SIGTERM, nil}, {syscall.SIGINT, nil}} {
		p, write := startReading(t, test.args...)
		p.signal(t, test.signal)
		time.Sleep(50 * time.Millisecond)
		write(settings(t))
		if err := p.Wait(); err != nil {
			t.Errorf("%v: %v\n%s", test.signal, err, p.printed())
		}
	}
}

// Guards against a second signal that ends the process, and with it all open requests, within a
// graceful shutdown.
func TestSignalsWithinAShutdownDoNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, settings(t), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "-settings", path)
	p.awaitLine(t, "started")
	p.signal(t, syscall.SIGHUP, syscall.SIGTERM)
	p.awaitLine(t, "shutting down, readiness is off")
	for range 10 {
		p.signal(t, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
		time.Sleep(20 * time.Millisecond)
	}
	if err := p.Wait(); err != nil {
		t.Errorf("%v\n%s", err, p.printed())
	}
	if !strings.Contains(p.printed(), `"message":"shut down"`) {
		t.Errorf("no line about the end:\n%s", p.printed())
	}
}

func (p *program) awaitLine(t *testing.T, message string) {
	t.Helper()
	until(t, message, func() bool { return strings.Contains(p.printed(), `"message":"`+message+`"`) })
}

// Guards against a process that ends, with all open requests, because its log is not read any more.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, settings(t), 0o600); err != nil {
		t.Fatal(err)
	}
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := exec.Command(os.Args[0], "-settings", path)
	p.Env, p.Stdout, p.Stderr = append(os.Environ(), asProgram+"=1"), write, write
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Process.Kill() }()
	write.Close()
	if _, err := read.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	read.Close()
	time.Sleep(200 * time.Millisecond)
	// The shutdown logs.
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}
