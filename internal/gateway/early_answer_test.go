package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// earlyServers are plain servers of which the first that a request reaches answers with a part of
// an unframed answer before it has read the body, and then resets its connection.
type earlyServers struct {
	f    *fixture
	mu   sync.Mutex
	runs map[string]int
}

func newEarlyServers(t *testing.T, servers int) *earlyServers {
	RegisterTestingT(t)
	s := &earlyServers{f: startFixture(100_000, t.Cleanup), runs: map[string]int{}}
	text := strings.NewReplacer("%VERSION%", "1", `"maxBodyBytes":200000`, `"maxBodyBytes":16000000`, `"timeoutMs":2000`, `"timeoutMs":`+patience).Replace(configuration)
	s.f.store.PutRaw("config", "main", []byte(text))
	for n := range servers {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
		t.Cleanup(func() { server.Close() })
		go func() { _ = server.Serve(l) }()
		id := fmt.Sprintf("p-%d", n)
		s.f.store.Put("servers", id, runner.New(id, "").Registration("plain", l.Addr().String(), "z", "ready"))
	}
	s.f.followUntilKnown(servers)
	return s
}

// ServeHTTP implements http.Handler. The last two digits of a request's ID are the milliseconds
// from the answer to the reset.
func (s *earlyServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if s.runsOf(id) > 1 {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-Id", id)
		w.Header().Set("Response-Seal", sealOf(id))
		_, _ = io.WriteString(w, runner.Body(id))
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nResponse-Seal: "+sealOf(id)+"\r\n\r\n"+runner.Body(id)[:8])
	var ms int
	_, _ = fmt.Sscanf(id[len(id)-2:], "%d", &ms)
	time.Sleep(time.Duration(ms) * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// runsOf returns how often a request has reached a server.
func (s *earlyServers) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Guards against a part of an answer that its caller takes for whole, because its server reset the
// connection while the request was still being written.
func TestAnswerDuringALongUploadIsNotWholeAfterAReset(t *testing.T) {
	const runs, bodyBytes = 63, 8 << 20
	body := make([]byte, bodyBytes)
	for _, servers := range []int{1, 2} {
		s := newEarlyServers(t, servers)
		for _, route := range []string{"/read/", "/hold/"} {
			complete := 0
			for n := range runs {
				id := fmt.Sprintf("r%d%s%04d%02d", servers, route[1:5], n, n%21)
				req, err := http.NewRequest(http.MethodPost, s.f.server.URL+route+id, bytes.NewReader(body))
				Expect(err).NotTo(HaveOccurred())
				req.GetBody, req.Host, req.Close = nil, "h.example", true
				req.Header.Set("Request-Id", id)
				req.Header.Set("Deadline-Ms", patience)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					continue
				}
				data, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err == nil && resp.StatusCode == http.StatusOK && string(data) != runner.Body(id) {
					complete++
				}
				if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusBadGateway {
					t.Errorf("%s: %d %q %v", id, resp.StatusCode, data, err)
				}
				if n := s.runsOf(id); n != 1 && route == "/hold/" {
					t.Errorf("%s: sent %d times", id, n)
				}
			}
			if complete > 0 {
				t.Errorf("%s, %d servers: %d of %d answers were complete with a part of the body", route, servers, complete, runs)
			}
		}
	}
}
