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

	program string
	args    []string
	dir     string
	ready   string
	log     string

	cmd  *exec.Cmd
	done chan struct{}
}

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
)

// NewProcess returns a process that is not started yet: Restart starts it.
// Ready is the URL of its readiness check; its log goes to dir.
func NewProcess(name, program, dir, ready string, args ...string) *Process {
	return &Process{Name: name, program: program, args: args, dir: dir, ready: ready}
}

// start runs the process; its output goes to a file of its own.
func (p *Process) start() error {
	p.log = filepath.Join(p.dir, p.Name+".log")
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return eris.Wrap(err, "log of "+p.Name)
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = output, output
	// A harness that is killed takes its processes with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
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

// WaitReady waits until the process answers its readiness check.
func (p *Process) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.ready, nil)
		if err != nil {
			return eris.Wrap(err, p.Name)
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
			return eris.Errorf("%s exited with %d, see %s", p.Name, p.ExitCode(), p.log)
		case <-ctx.Done():
			return eris.Errorf("%s is not ready, see %s", p.Name, p.log)
		case <-time.After(readyInterval):
		}
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to leave.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Pause stops the process where it is; Resume lets it go on.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Wait waits for the end of the process and returns its exit code, -1 if it
// has not ended within the timeout.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Restart starts an ended process again, without waiting for it.
func (p *Process) Restart() error { return p.start() }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// ExitCode returns the exit code of an ended process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the path of the process's output.
func (p *Process) Log() string { return p.log }

func (p *Process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}
