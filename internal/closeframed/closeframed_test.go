package closeframed_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/closeframed"
)

// exchange sends a request and returns all that is read, with the error that ended it.
func exchange(t *testing.T, protocol string, h http.HandlerFunc) (string, error) {
	t.Helper()
	server := httptest.NewUnstartedServer(closeframed.Handler(h))
	server.Config.ConnContext = closeframed.ConnContext
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / "+protocol+"\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(c)
	return string(data), err
}

func writePart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "id: 1\n\n")
	_ = http.NewResponseController(w).Flush()
}

// Guards against an interrupted answer that looks complete to a caller of HTTP/1.0, whose
// answer ends with its connection.
func TestInterruptedResponseToHTTP10EndsWithAReset(t *testing.T) {
	_, err := exchange(t, "HTTP/1.0", func(w http.ResponseWriter, _ *http.Request) {
		writePart(w)
		panic(http.ErrAbortHandler)
	})
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset", err)
	}
}

// Guards against a reset of complete answers, which would lose what the caller has not read.
func TestCompleteResponseEndsWithoutAReset(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		data, err := exchange(t, protocol, func(w http.ResponseWriter, _ *http.Request) { writePart(w) })
		if err != nil || data == "" {
			t.Errorf("%s: %q, error %v", protocol, data, err)
		}
	}
}

// Guards against an interrupted answer in chunks that has a last one, also if the caller asked
// for the close of its connection.
func TestInterruptedResponseToHTTP11HasNoLastChunk(t *testing.T) {
	data, err := exchange(t, "HTTP/1.1", func(w http.ResponseWriter, _ *http.Request) {
		writePart(w)
		panic(http.ErrAbortHandler)
	})
	if err != nil || data == "" || data[len(data)-9:] != "id: 1\n\n\r\n" {
		t.Errorf("%q, error %v", data, err)
	}
}

// Guards against an answer that the kernel keeps for a caller that does not read it.
func TestInterruptedResponseEndsWithAResetOnRequest(t *testing.T) {
	_, err := exchange(t, "HTTP/1.1", func(w http.ResponseWriter, r *http.Request) {
		writePart(w)
		closeframed.Reset(r.Context())
		panic(http.ErrAbortHandler)
	})
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset", err)
	}
}
