package main

import (
	"os"
	"os/exec"
	"path/filepath"
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

// Guards against a SIGHUP that ends the process before it serves.
func TestHangupWhileTheSettingsAreReadIsHandled(t *testing.T) {
	data, err := os.ReadFile("../../examples/hanbit/entry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0], "-settings", path, "-check")
	program.Env = append(os.Environ(), asProgram+"=1")
	program.Stderr = os.Stderr
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = program.Process.Kill() }()
	// The program waits for its settings once it has opened the pipe.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = pipe.Write(data)
	pipe.Close()
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}
