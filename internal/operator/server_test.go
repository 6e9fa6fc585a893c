package operator

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/callerconn/callerconntest"
)

// Guards against dropping an operator's request, or a scrape of the metrics, that has just been
// read when the process stops.
func TestRequestReadAtTheStopIsAnswered(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("0123456789abcdef0123"), 0o600); err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(Config{TokenFile: token}, Sources{})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- server.serve(ctx, &callerconntest.Listener{Listener: l, Stop: stop}) }()
	if err := callerconntest.SendTwo(l.Addr().String(), pathHealth); err != nil {
		t.Error(err)
	}
	<-served
}
