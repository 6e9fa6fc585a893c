package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

func faultyIP() string { return subnet() + ".12" }

// endlessAnswer is what a faulty server sends after a request: a beginning, with ID for the request's
// ID, and then a text again and again until its connection ends, or nothing more if that is empty.
type endlessAnswer struct{ begin, repeated string }

const (
	success     = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n"
	chunks      = "Transfer-Encoding: chunked\r\n\r\n"
	eventStream = "Content-Type: text/event-stream\r\n"
)

var endlessAnswers = map[string]endlessAnswer{
	"garbage":     {"", "x"},
	"field":       {success + "A: ", "x"},
	"fields":      {success, "A: x\r\n"},
	"long-field":  {success + "A: " + strings.Repeat("x", 60<<10), ""},
	"many-fields": {success + distinctFields(60<<10), ""},
	"interim":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"extensions":  {success + chunks, "1;" + strings.Repeat("x", 50) + "\r\nx\r\n"},
	"trailers":    {success + chunks + "1\r\nx\r\n0\r\n", "A: x\r\n"},
	"chunks":      {success + chunks, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"unframed":    {success + "\r\n", "x"},
	"length":      {success + "Content-Length: 1000000000000\r\n\r\n", "x"},
	"error":       {strings.Replace(success, "200 OK", "500 X", 1) + "\r\n", "x"},
	"events":      {success + eventStream + chunks, "12\r\nid: 1\ndata: xxxxx\n\n\r\n"},
	"comments":    {success + eventStream + "\r\n", ": x\n"},
	"empty-lines": {success + eventStream + "\r\n", "\n"},
	"long-event":  {success + eventStream + "\r\ndata: " + strings.Repeat("x", 60<<10), ""},
}

// distinctFields returns size bytes of fields that are as short as possible.
func distinctFields(size int) string {
	var fields strings.Builder
	for n := 0; fields.Len() < size; n++ {
		fmt.Fprintf(&fields, "%c%c%c:\r\n", 'A'+n%26, 'A'+n/26%26, 'A'+n/676%26)
	}
	return fields.String()
}

// startFaulty starts a server that answers a request for /faulty/NAME, or /faulty-stream/NAME, with
// the endless answer NAME, and returns once the gateway knows it.
func (g *gateway) startFaulty(t *testing.T) {
	t.Helper()
	address := serveFaulty(t)
	faulty := runner.New("i-faulty", "")
	g.store.Put("servers", faulty.ID, faulty.Registration("faulty", address, "z", "ready"))
	asking := &machine{ended: g.ended}
	asking.ordinary = func() (*http.Request, error) { return g.request("/faulty/sound") }
	asking.expectAnswer(t, "from the faulty server")
}

// serveFaulty starts a server that answers a request whose path ends with NAME with the endless
// answer NAME.
func serveFaulty(t *testing.T) (address string) {
	t.Helper()
	address = net.JoinHostPort(faultyIP(), "9000")
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				answerWithoutEnd(c)
			}()
		}
	}()
	return address
}

func answerWithoutEnd(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	answer, faulty := endlessAnswers[path.Base(req.URL.Path)]
	if !faulty {
		answer.begin = success + "Content-Length: 0\r\n\r\n"
	}
	_, err = io.WriteString(c, strings.ReplaceAll(answer.begin, "ID", req.Header.Get("Request-Id")))
	if !faulty || answer.repeated == "" {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	const blockBytes = 32 << 10
	block := strings.Repeat(answer.repeated, 1+blockBytes/len(answer.repeated))
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}

// readThenStop reads some megabytes and then hardly anything.
func readThenStop(c net.Conn) {
	const some = 4 << 20
	_, _ = io.CopyN(io.Discard, c, some)
	unreading(c)
}

// readSlowly reads 64 KB in a second.
func readSlowly(c net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		time.Sleep(time.Second / 16)
	}
}

// Guards against memory for what a faulty server sends without end, over all its connections: in
// heads, and in bodies whose callers read them, read slowly, stop or read nothing.
func TestEndlessAnswers(t *testing.T) {
	const callers = 250
	for _, c := range []struct {
		path string
		read func(c net.Conn)
	}{
		{"/faulty/garbage", stay},
		{"/faulty/field", stay},
		{"/faulty/fields", stay},
		{"/faulty/long-field", stay},
		{"/faulty/many-fields", stay},
		{"/faulty/interim", stay},
		{"/faulty/extensions", stay},
		{"/faulty/trailers", stay},
		{"/faulty/chunks", stay},
		{"/faulty/chunks", readThenStop},
		{"/faulty/unframed", unreading},
		{"/faulty/unframed", readThenStop},
		{"/faulty/unframed", readSlowly},
		{"/faulty/length", readThenStop},
		{"/faulty/length", readSlowly},
		{"/faulty/error", readThenStop},
		{"/faulty-stream/events", readThenStop},
		{"/faulty-stream/comments", readSlowly},
		{"/faulty-stream/empty-lines", unreading},
		{"/faulty-stream/long-event", stay},
	} {
		name := runtime.FuncForPC(reflect.ValueOf(c.read).Pointer()).Name()
		t.Run(c.path[1:]+"/"+name[strings.LastIndex(name, ".")+1:], func(t *testing.T) {
			g := startGateway(t)
			g.startFaulty(t)
			g.endureCallers(t, callers, func(conn net.Conn, sent func()) {
				_ = write(conn, head(c.path, "Content-Length: 0\r\n\r\n"))
				sent()
				c.read(conn)
			})
		})
	}
}
