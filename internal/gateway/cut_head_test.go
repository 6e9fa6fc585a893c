package gateway_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// framing is how the end of an answer's body is marked.
type framing string

const (
	withLength framing = "length"
	chunked    framing = "chunks"
	unframed   framing = "unframed"
)

// cut is what a server does with one attempt. The zero cut is a whole answer.
type cut struct {
	framing framing
	// before precedes the answer, status replaces its status line, and fields are further ones
	// of its head.
	before, status, fields string
	// end is the trailer of chunks.
	end string
	// replaced is a text of the head and what is sent instead of it.
	replaced [2]string
	// at is after how many bytes of what it sends the server ends the connection, 0 for never,
	// and reset whether with a reset.
	at    int
	reset bool
	// delay precedes what follows the first sent bytes of the answer.
	delay time.Duration
	sent  int
}

// attempt is one that reached a cutServer.
type attempt struct {
	id, lastEventID, kvSource string
	prefill, reused           bool
}

// cutServers are servers of which the n-th attempt of a request gets the n-th of its cuts, at
// whichever of them it arrives, and later attempts whole answers.
type cutServers struct {
	f *fixture
	// longPrompts makes send send prompts that are worth a prefill by another engine.
	longPrompts bool
	// open has the connections.
	open sync.Map

	mu       sync.Mutex
	cuts     map[string][]cut
	attempts map[string][]attempt
	lastID   int
}

// nextID returns an ID for a request. All have the same length.
func (s *cutServers) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return fmt.Sprintf("r%08d", s.lastID)
}

// add registers one more server.
func (s *cutServers) add(service, id, phase string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.f.atEnd(func() {
		l.Close()
		s.open.Range(func(c, _ any) bool {
			c.(net.Conn).Close()
			return true
		})
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Store(c, nil)
			go s.serve(c)
		}
	}()
	s.f.store.Put("servers", id, runner.New(id, phase).Registration(service, l.Addr().String(), "z", "ready"))
}

func (s *cutServers) serve(c net.Conn) {
	defer s.open.Delete(c)
	defer c.Close()
	r := bufio.NewReader(c)
	for reused := false; ; reused = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		how := s.next(req, reused)
		text, _ := how.text(req)
		if how.at != 0 {
			text = text[:min(how.at, len(text))]
		}
		_, _ = io.WriteString(c, text[:how.sent])
		time.Sleep(how.delay)
		if _, err := io.WriteString(c, text[how.sent:]); err != nil {
			return
		}
		if how.at != 0 || how.framing == unframed {
			if how.reset {
				// A reset drops what has not been read.
				time.Sleep(time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// next records an attempt and returns what to do with it.
func (s *cutServers) next(req *http.Request, reused bool) cut {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := attempt{
		id: req.Header.Get("Request-Id"), lastEventID: req.Header.Get("Last-Event-Id"), kvSource: req.Header.Get("Kv-Source"),
		prefill: req.Header.Get("Serving-Phase") == "prefill", reused: reused,
	}
	s.attempts[a.id] = append(s.attempts[a.id], a)
	if cuts := s.cuts[a.id]; len(cuts) > 0 {
		s.cuts[a.id] = cuts[1:]
		return cuts[0]
	}
	return cut{}
}

// attemptsOf returns the attempts of a request.
func (s *cutServers) attemptsOf(id string) []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.attempts[id])
}

// sealOf returns the seal of the answer to a request. All have the same length.
func sealOf(id string) string { return "seal-" + id }

// text returns all that the server would send without the cut, and where its head ends.
func (c cut) text(req *http.Request) (text string, head int) {
	id := req.Header.Get("Request-Id")
	from := 1
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &from)
		from++
	}
	parts, fields := []string{runner.Body(id)}, ""
	switch {
	case req.Header.Get("Serving-Phase") == "prefill":
		parts = []string{`{"kvHandle":"h1","tokens":1,"version":1}`}
	case strings.Contains(req.RequestURI, "stream"):
		parts, fields = nil, "Content-Type: text/event-stream\r\n"
		for n := from; n <= 3; n++ {
			parts = append(parts, runner.Event(id, n))
		}
	}
	body := strings.Join(parts, "")
	switch cmp.Or(c.framing, withLength) {
	case withLength:
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case chunked:
		fields += "Transfer-Encoding: chunked\r\n"
		body = ""
		for _, part := range parts {
			body += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		body += "0\r\n" + c.end + "\r\n"
	}
	text = c.before + cmp.Or(c.status, "HTTP/1.1 200 OK") + "\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + sealOf(id) + "\r\n" + c.fields + fields + "\r\n"
	text = strings.Replace(text, c.replaced[0], c.replaced[1], 1)
	return text + body, len(text)
}

// cutRoute is a route of configuration and what it allows.
type cutRoute struct {
	method, target     string
	stream, repeatable bool
}

var cutRoutes = []cutRoute{
	{http.MethodGet, "/read/", false, true},
	{http.MethodPost, "/hold/", false, false},
	{http.MethodPost, "/stream-once/", true, false},
	{http.MethodPost, "/stream-again/", true, true},
}

// whole returns the body of a whole answer.
func (r cutRoute) whole(id string) string {
	if r.stream {
		return streamEvents(id, 1, 3)
	}
	return runner.Body(id)
}

// newCutFixture starts a gateway in front of servers of each of the two services.
func newCutFixture(t *testing.T, plain, engines int) *cutServers {
	RegisterTestingT(t)
	f := startFixture(100_000, t.Cleanup)
	text := strings.ReplaceAll(configuration, `"timeoutMs":2000`, `"timeoutMs":`+patience)
	text = strings.ReplaceAll(text, `"maxAttempts":2`, `"maxAttempts":3`)
	text = strings.ReplaceAll(text, `"capacity":8`, `"capacity":64`)
	text = strings.ReplaceAll(text, `"kvCapacity":100000`, `"kvCapacity":10000000`)
	text = strings.ReplaceAll(text, `"latencyGoalMs":500`, `"latencyGoalMs":`+patience)
	f.store.PutRaw("config", "main", []byte(strings.ReplaceAll(text, "%VERSION%", "1")))
	s := &cutServers{f: f, cuts: map[string][]cut{}, attempts: map[string][]attempt{}}
	for n := range plain {
		s.add("plain", fmt.Sprintf("p-%d", n), "")
	}
	for n := range engines {
		s.add("llm", fmt.Sprintf("d-%d", n), "decode")
	}
	f.followUntilKnown(plain + engines)
	return s
}

// send sends a request whose attempts get the given cuts.
func (s *cutServers) send(r cutRoute, id string, cuts ...cut) response {
	s.mu.Lock()
	s.cuts[id] = cuts
	s.mu.Unlock()
	tokens := "200"
	if s.longPrompts {
		tokens = "20000"
	}
	return s.f.send(r.method, r.target+id, id, "Token-Count", tokens+",20", "Prefix-Hash", id[1:]+":"+tokens, "Deadline-Ms", patience)
}

// check returns what is wrong with the answer to a request, empty for nothing. The cuts are those
// of its attempts.
func (s *cutServers) check(r cutRoute, id string, got response, cuts ...cut) string {
	whole, attempts := r.whole(id), s.attemptsOf(id)
	runs := 0
	for _, a := range attempts {
		if !a.prefill {
			runs++
		}
	}
	success := got.err == nil && got.status == http.StatusOK
	problem := ""
	switch {
	case runs > 1 && !r.repeatable:
		problem = "ran twice"
	case runs > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests):
		problem = "rejected as not run"
	case got.status == http.StatusOK && !strings.HasPrefix(whole, got.body):
		problem = "no beginning of the whole answer"
	case success && got.header.Get("Response-Seal") != sealOf(id):
		problem = "without the seal of its server"
	case success && got.body != whole && !endsLikeWhole(r, cuts, got.body):
		problem = "short, framed as whole"
	case got.err == nil && got.status != http.StatusOK && got.status != http.StatusBadGateway && got.status != http.StatusServiceUnavailable:
		problem = "unexpected status"
	}
	if problem == "" {
		return ""
	}
	return fmt.Sprintf("%s%s: %s: %d %q %v, %d attempts, %+v", r.target, id, problem, got.status, got.body, got.err, len(attempts), cuts)
}

// endsLikeWhole reports whether a short body may look whole: only the end of the connection marks
// the end of an unframed answer, and events only lack when it ends between two.
func endsLikeWhole(r cutRoute, cuts []cut, body string) bool {
	last := cuts[len(cuts)-1]
	if last.framing != unframed || last.reset {
		return false
	}
	return !r.stream || strings.HasSuffix(body, "\n\n")
}

// forEach calls f for 1 to n, for a number of them at a time, and fails the test with what it
// returns.
func forEach(t *testing.T, n, atOnce int, f func(n int) (problem string)) {
	t.Helper()
	var workers sync.WaitGroup
	next := make(chan int)
	for range atOnce {
		workers.Go(func() {
			for n := range next {
				if problem := f(n); problem != "" {
					t.Error(problem)
				}
			}
		})
	}
	for i := 1; i <= n; i++ {
		next <- i
	}
	close(next)
	workers.Wait()
}

// lengths returns the lengths of an answer and of its head.
func (c cut) lengths(target string, header ...string) (text, head int) {
	req := &http.Request{Header: http.Header{"Request-Id": {"r00000000"}}, RequestURI: target}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	all, head := c.text(req)
	return len(all), head
}

// ends are the framings with each end of their connection.
func ends(framings ...framing) (cuts []cut) {
	for _, f := range framings {
		cuts = append(cuts, cut{framing: f}, cut{framing: f, reset: true})
	}
	return cuts
}

// Guards against an answer that ends within its head or soon after and reaches its caller as a
// whole one, and against one that runs twice or is rejected though it may have run: at each
// position of the answer.
func TestAnswerCutAtAnyPosition(t *testing.T) {
	for _, servers := range []int{1, 2} {
		s := newCutFixture(t, servers, servers)
		for _, r := range cutRoutes {
			for _, how := range ends(withLength, chunked, unframed) {
				length, head := how.lengths(r.target)
				forEach(t, length-1, 8, func(n int) string {
					how := how
					how.at = n
					id := s.nextID()
					got := s.send(r, id, how)
					switch another := r.repeatable && servers == 2; {
					case len(s.attemptsOf(id)) == 0:
						return id + ": reached no server"
					case another && n < head && (got.err != nil || got.body != r.whole(id)):
						return fmt.Sprintf("%s%s: not answered by the other server: %d %q %v", r.target, id, got.status, got.body, got.err)
					}
					return s.check(r, id, got, how)
				})
			}
		}
	}
}

// Guards against the same after what may precede a head, and where a head exceeds the buffer
// that it is read into.
func TestAnswerCutAfterOthersOrInALongHead(t *testing.T) {
	s := newCutFixture(t, 1, 1)
	for name, what := range map[string]cut{
		"1xx":   {before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"stale": {before: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"},
		"long":  {fields: "A: " + strings.Repeat("x", 3950) + "\r\n"},
	} {
		for variant, how := range ends(withLength, chunked, unframed) {
			for _, r := range cutRoutes {
				how.before, how.fields = what.before, what.fields
				length, _ := how.lengths(r.target)
				first := len(what.fields)
				const step = 3
				forEach(t, (length-1-first)/step, 8, func(n int) string {
					how := how
					how.at = first + n*step - variant%step
					id := s.nextID()
					got := s.send(r, id, how)
					if len(s.attemptsOf(id)) == 0 {
						return name + ": reached no server"
					}
					return s.check(r, id, got, how)
				})
			}
		}
	}
}

// Guards against the same on a connection that has been used, where a client may take a connection
// that ends for one that was closed before the request.
func TestAnswerCutOnAKeptConnection(t *testing.T) {
	s := newCutFixture(t, 1, 1)
	reused, sent := 0, 0
	for _, how := range ends(withLength, chunked) {
		for _, r := range cutRoutes {
			length, _ := how.lengths(r.target)
			for n := 1; n < length; n += 3 {
				how.at = n
				id := s.nextID()
				if got := s.send(r, id); got.body != r.whole(id) {
					t.Fatalf("whole answer: %d %q %v", got.status, got.body, got.err)
				}
				id = s.nextID()
				got := s.send(r, id, how)
				if problem := s.check(r, id, got, how); problem != "" {
					t.Error(problem)
				}
				sent++
				if of := s.attemptsOf(id); len(of) > 0 && of[0].reused {
					reused++
				}
			}
		}
	}
	if reused < sent*9/10 {
		t.Errorf("%d of %d requests were sent on a used connection", reused, sent)
	}
}

// Guards against events that are missing or come twice where the engine that takes a stream up
// breaks off as well, in its head or later.
func TestAnswerCutWhereAStreamIsTakenUp(t *testing.T) {
	again := cutRoutes[3]
	for _, servers := range []int{2, 3} {
		s := newCutFixture(t, 0, servers)
		for _, broken := range ends(chunked, unframed) {
			_, head := broken.lengths(again.target)
			broken.at = head + len(runner.Event("r00000000", 1)) + 20
			for _, how := range ends(withLength, chunked, unframed) {
				length, _ := how.lengths(again.target, "Last-Event-Id", "1")
				// Every second position, the even ones with two servers.
				forEach(t, (length-1)/2, 8, func(n int) string {
					how := how
					how.at = 2*n - servers%2
					id := s.nextID()
					got := s.send(again, id, broken, how)
					of := s.attemptsOf(id)
					switch framed := how.framing != unframed || how.reset; {
					case len(of) < 2 || of[1].lastEventID != "1":
						return fmt.Sprintf("%s: not taken up after event 1: %+v", id, of)
					case servers == 3 && framed && (got.err != nil || got.body != again.whole(id)):
						return fmt.Sprintf("%s: not taken up twice: %d %q %v, %+v, %+v", id, got.status, got.body, got.err, of, how)
					}
					return s.check(again, id, got, broken, how)
				})
			}
		}
	}
}

// Guards against the same in the answer of a server that is tried beside one that is silent before
// its answer or within a stream.
func TestAnswerCutOfASecondServerBesideASilentOne(t *testing.T) {
	again, silent := cutRoutes[3], cut{framing: chunked, delay: 1600 * time.Millisecond}
	_, head := silent.lengths(again.target)
	within := silent
	within.sent = head + len("19\r\n"+runner.Event("r00000000", 1)+"\r\n")
	s := newCutFixture(t, 3, 3)
	type attempts struct {
		route     cutRoute
		first     cut
		lastEvent string
	}
	for _, a := range []attempts{{cutRoutes[0], silent, ""}, {again, silent, ""}, {again, within, "1"}} {
		var cuts []cut
		for variant, how := range ends(withLength, chunked, unframed) {
			length, head := how.lengths(a.route.target, "Last-Event-Id", a.lastEvent)
			for n := 1 + variant; n < length; n += 11 {
				how.at = n
				cuts = append(cuts, how)
			}
			for n := head - 3; n <= head+1; n++ {
				how.at = n
				cuts = append(cuts, how)
			}
		}
		forEach(t, len(cuts), len(cuts), func(n int) string {
			id, how := s.nextID(), cuts[n-1]
			got := s.send(a.route, id, a.first, how)
			_, head := how.lengths(a.route.target, "Last-Event-Id", a.lastEvent)
			switch of := s.attemptsOf(id); {
			case len(of) < 2 || of[1].lastEventID != a.lastEvent:
				return fmt.Sprintf("%s: no second server was tried after event %q: %+v", id, a.lastEvent, of)
			case how.at < head && (got.err != nil || got.body != a.route.whole(id)):
				return fmt.Sprintf("%s%s: not answered: %d %q %v, %+v, %+v", a.route.target, id, got.status, got.body, got.err, how, of)
			}
			return s.check(a.route, id, got, a.first, how)
		})
	}
}

// Guards against an answer to a prefill that is cut and ends the request, or takes the place of
// the answer.
func TestAnswerCutOfAPrefill(t *testing.T) {
	const step = 13
	for variant, how := range ends(withLength, chunked, unframed) {
		r := cutRoutes[2+variant%2]
		length, _ := how.lengths(r.target, "Serving-Phase", "prefill")
		for how.at = 1 + 2*variant; how.at < length; how.at += step {
			// A gateway that has learned how fast these engines are plans no prefills.
			t.Run(fmt.Sprintf("%s-%v-%d", how.framing, how.reset, how.at), func(t *testing.T) {
				s := newCutFixture(t, 0, 1)
				s.longPrompts = true
				s.add("llm", "f-0", "prefill")
				s.add("llm", "f-1", "prefill")
				Eventually(func() int { return len(s.f.dir.View().Servers) }).Should(Equal(3))
				id := s.nextID()
				got := s.send(r, id, how)
				if of := s.attemptsOf(id); len(of) == 0 || !of[0].prefill || got.err != nil || got.body != r.whole(id) {
					t.Errorf("%d %q %v, %+v", got.status, got.body, got.err, of)
				}
				if problem := s.check(r, id, got, how); problem != "" {
					t.Error(problem)
				}
			})
		}
	}
}

// Guards against a short body that its caller takes for whole although the gateway could have told
// that only the end of a connection marked its end.
func TestCallerIsToldOfAnUnframedAnswer(t *testing.T) {
	s := newCutFixture(t, 1, 1)
	for _, r := range cutRoutes {
		for _, how := range []cut{{framing: withLength}, {framing: chunked, fields: "Pistachioroad-Unframed: 1\r\n"}, {framing: unframed}} {
			id, want := s.nextID(), ""
			if how.framing == unframed {
				want = "1"
			}
			got := s.send(r, id, how)
			if got.err != nil || got.body != r.whole(id) || got.header.Get("Pistachioroad-Unframed") != want {
				t.Errorf("%s, %s: %d %q %v, %v", r.target, how.framing, got.status, got.body, got.err, got.header)
			}
		}
	}
}
