package serverlog_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/serverlog"
)

// Guards against errors of a server that are only on standard error, and against a log that they
// fill.
func TestErrorsOfAServerAreInTheLog(t *testing.T) {
	lines := memory.New()
	log.SetHandler(lines)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("cause") }))
	server.Config.ErrorLog = serverlog.New("test")
	server.Start()
	const requests = 50
	for range requests {
		if resp, err := http.Get(server.URL); err == nil {
			resp.Body.Close()
			t.Error("answer from a handler that panics")
		}
	}
	server.Config.ErrorLog.Print(strings.Repeat("x", 1<<20))
	server.Close()
	if n := metrics.GetOrRegisterCounter("http_server.test.errors", nil).Count(); n < requests {
		t.Errorf("%d errors counted", n)
	}
	if n := len(lines.Entries); n == 0 || n > requests/2 {
		t.Fatalf("%d lines", n)
	}
	for _, line := range lines.Entries {
		text, _ := line.Fields["error"].(string)
		if len(text) > 8<<10 || line.Fields["server"] != "test" {
			t.Errorf("%d bytes, server %v", len(text), line.Fields["server"])
		}
	}
	if text := lines.Entries[0].Fields["error"].(string); !strings.Contains(text, "cause") {
		t.Errorf("line %q", text)
	}
}
