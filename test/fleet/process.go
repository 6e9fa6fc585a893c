package fleet

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is one process of the fleet.
type Process struct {
	Name string

	program  string
	args     []string
	dir      string
	readyURL string
	logPath  string

	cmd  *exec.Cmd
	done chan struct{}
}

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
)

// NewProcess returns a process that Restart starts. The readiness check is at
// the URL ready; the log is written to dir.
func NewProcess(name, program, dir, ready string, args ...string) *Process {
	return &Process{Name: name, program: program, args: args, dir: dir, readyURL: ready}
}

// start starts the process; its output is appended to its log file.
func (p *Process) start() error {
	p.logPath = filepath.Join(p.dir, p.Name+".log")
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return eris.Wrap(err, "open log file of "+p.Name)
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = output, output
	// The process is killed if the test process dies. It has a process group of its own: the
	// kernel hangs up a group with stopped members whose starter's shell has ended.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start "+p.Name)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}

// WaitReady waits until the readiness check answers with a status below 500.
func (p *Process) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.readyURL, nil)
		if err != nil {
			return eris.Wrap(err, "create readiness request for "+p.Name)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode < http.StatusInternalServerError {
				return nil
			}
		}
		select {
		case <-p.done:
			return eris.Errorf("%s exited with %d, see %s", p.Name, p.ExitCode(), p.logPath)
		case <-ctx.Done():
			return eris.Errorf("%s is not ready, see %s", p.Name, p.logPath)
		case <-time.After(readyInterval):
		}
	}
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// HangUp sends SIGHUP.
func (p *Process) HangUp() { p.signal(syscall.SIGHUP) }

// Pause sends SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Wait waits for the process to exit and returns its exit code, or -1 if it has
// not exited within the timeout.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Restart starts the process, for the first time or after its exit, without
// waiting until it is ready.
func (p *Process) Restart() error { return p.start() }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// ExitCode returns the exit code of an exited process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the path of the log file.
func (p *Process) Log() string { return p.logPath }

func (p *Process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}
