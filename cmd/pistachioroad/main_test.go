package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pistachioroad")
}

// fakeFleet implements operator.Fleet with fixed data.
type fakeFleet struct {
	mu     sync.Mutex
	config sharedstate.Object
}

func (f *fakeFleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{
		Entry: "gangnam-entry-1",
		Store: operator.StoreStatus{Healthy: true},
		Processes: []operator.ProcessStatus{{
			Name:     "m1\x1b[2J",
			State:    operator.ProcessUp,
			Versions: map[string]uint64{"fleetconfig": 7},
			Work:     &operator.WorkStatus{Drained: true, Running: 2},
		}},
		Engines: []operator.EngineStatus{{BackendServer: "m1", Admitting: true, Changing: true, Wanted: operator.EngineState{Generation: 2}}},
	}, nil
}

func (f *fakeFleet) Peers(context.Context) ([]operator.Peer, error) {
	return []operator.Peer{{Name: "m1", Address: "127.0.0.1:1"}}, nil
}

func (f *fakeFleet) Config() sharedstate.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakeFleet) Accept(o sharedstate.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = o
}

// deployment is a store and the operator API of an entry that uses it.
type deployment struct {
	store   *objectstore.Store
	handler http.Handler
	entry   string
	token   string
}

// deploy starts a store and an entry's operator API.
func deploy() *deployment {
	GinkgoHelper()
	d := &deployment{store: objectstore.New(), token: filepath.Join(GinkgoT().TempDir(), "token")}
	Expect(os.WriteFile(d.token, []byte("0123456789abcdef"), 0o600)).To(Succeed())
	store := httptest.NewServer(d.store)
	DeferCleanup(store.Close)
	client := sharedstate.NewClient(sharedstate.ClientConfig{
		Store: platform.NewStore(strings.TrimPrefix(store.URL, "http://")), CallsPerSecond: 1000,
	})
	log := explain.New(8)
	log.Add(time.Unix(1, 0), "r1", "sent to m1", "least expected wait")
	server, err := operator.NewServer(
		operator.Config{TokenFile: d.token, EditTimeout: 500 * time.Millisecond},
		operator.Sources{Process: "gangnam-entry-1", Fleet: &fakeFleet{}, Store: client, Explain: log})
	Expect(err).NotTo(HaveOccurred())
	d.handler = server.Handler()
	d.entry = listen(d.handler)
	return d
}

// listen serves handler and returns the address.
func listen(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// unreachable returns an address without a listener.
func unreachable() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

// run executes a command line against the entry and returns the exit status and the
// output.
func (d *deployment) run(args ...string) (exitStatus, string) {
	return d.runAt([]string{d.entry}, args...)
}

func (d *deployment) runAt(entries []string, args ...string) (exitStatus, string) {
	line := []string{"-token-file", d.token}
	for _, entry := range entries {
		line = append(line, "-entry", entry)
	}
	var output bytes.Buffer
	status := run(context.Background(), append(line, args...), &output, &output)
	return status, output.String()
}

var _ = Describe("pistachioroad", func() {
	var d *deployment

	BeforeEach(func() {
		GinkgoT().Setenv("USER", "kim")
		d = deploy()
	})

	It("sets, shows and unsets defaults", func() {
		status, output := d.run("defaults", "set", "role_change_cost=5", "class=batch")
		Expect(status).To(Equal(exitOK), output)
		_, output = d.run("defaults", "get", "role_change_cost", "deadline")
		Expect(output).To(MatchRegexp(`version 101\nKEY +VALUE\ndeadline +30s \(built in\)\nrole_change_cost +5\n`))
		status, _ = d.run("defaults", "set", "class=")
		Expect(status).To(Equal(exitOK))
		_, output = d.run("-json", "defaults", "get")
		var decoded defaultsOutput
		Expect(json.Unmarshal([]byte(output), &decoded)).To(Succeed())
		Expect(decoded.Set.String()).To(Equal("role_change_cost=5"))
		Expect(*decoded.InForce.Class).To(Equal("normal"))
	})

	It("adds, lists and removes exceptions, and records the history", func() {
		_, empty := d.run("-json", "exception", "list")
		Expect(empty).To(MatchJSON("[]"))
		status, output := d.run("exception", "add", "-service", "holds", "deadline=3s", "-reason", "fair week", "-expires", "72h")
		Expect(status).To(Equal(exitOK), output)
		_, output = d.run("exception", "list")
		Expect(output).To(MatchRegexp(`x[0-9a-f]{8} +service=holds +deadline=3s +kim .* fair week`))
		id := strings.Fields(strings.Split(output, "\n")[2])[0]
		status, _ = d.run("exception", "remove", id)
		Expect(status).To(Equal(exitOK))
		_, output = d.run("config", "history")
		Expect(output).To(And(ContainSubstring("add exception "+id), ContainSubstring("remove exception "+id)))
	})

	It("drains and undrains a backend server, and warns if it is unknown", func() {
		status, output := d.run("drain", "m1", "-reason", "new disk")
		Expect(status).To(Equal(exitOK))
		Expect(output).NotTo(ContainSubstring("warning"))
		_, output = d.run("drain", "m7", "-reason", "new disk")
		Expect(output).To(ContainSubstring("warning: the VM list has no backend server m7"))
		status, _ = d.run("undrain", "m1")
		Expect(status).To(Equal(exitOK))
		status, _ = d.run("undrain", "m1")
		Expect(status).To(Equal(exitFailed))
	})

	It("shows status, explanations and dumps without control characters", func() {
		status, output := d.run("status")
		Expect(status).To(Equal(exitOK))
		Expect(output).To(And(ContainSubstring("fleetconfig=7"), ContainSubstring("changing"), ContainSubstring("drained, 2 running"), Not(ContainSubstring("\x1b"))))
		status, output = d.run("explain", "r1")
		Expect(status).To(Equal(exitOK))
		Expect(output).To(And(ContainSubstring("least expected wait"), ContainSubstring("m1 did not answer")))
		status, _ = d.run("explain", "r2")
		Expect(status).To(Equal(exitFailed))
		status, output = d.run("dump", "gangnam-entry-1")
		Expect(status).To(Equal(exitOK))
		Expect(output).To(ContainSubstring("gangnam-entry-1 at "))
	})

	DescribeTable("rejects a wrong command line", func(want string, args ...string) {
		status, output := d.run(args...)
		Expect(status).To(Equal(exitUsage))
		Expect(output).To(ContainSubstring(want))
	},
		Entry("no command", "a command is missing"),
		Entry("an unknown command", `no command "default get"`, "default", "get"),
		Entry("an unknown flag", "not defined", "status", "-verbose"),
		Entry("a host name", "not an IP number and a port", "-entry", "gangnam:7002", "status"),
		Entry("no reason", "-reason is missing", "drain", "m1"),
		Entry("a blank reason", "-reason is missing", "drain", "m1", "-reason", " "),
		Entry("no author", "-author is missing", "undrain", "m1", "-author", ""),
		Entry("an unknown key", "not KEY=VALUE", "defaults", "set", "speed=1"),
		Entry("a value out of range", "expected 0 to 0.1", "defaults", "set", "retry_share=0.5"),
		Entry("a bad expiry", "neither a duration", "exception", "add", "class=batch", "-service", "s", "-reason", "r", "-expires", "soon"),
		Entry("two names", "expected one BACKEND", "undrain", "m1", "m2"),
	)

	It("prints help with an example for each command", func() {
		for _, c := range commands() {
			status, output := d.run(append(strings.Fields(c.name), "-h")...)
			Expect(status).To(Equal(exitOK))
			Expect(output).To(And(ContainSubstring("example:"), ContainSubstring(c.summary), ContainSubstring("-token-file")))
		}
	})

	It("reports a wrong token", func() {
		Expect(os.WriteFile(d.token, []byte("another token, long enough"), 0o600)).To(Succeed())
		status, output := d.run("status")
		Expect(status).To(Equal(exitFailed))
		Expect(output).To(ContainSubstring("token missing or wrong"))
	})

	// Guards against an edit that overwrites another: two operators edit the same version. The
	// second edit fails and shows both values.
	It("shows both values if another edit came first", func() {
		d.run("defaults", "set", "role_change_cost=5")
		d.run("defaults", "set", "role_change_cost=9", "-author", "lee")
		status, output := d.run("defaults", "set", "role_change_cost=30", "-version", "101")
		Expect(status).To(Equal(exitConflict))
		Expect(output).To(MatchRegexp(`role_change_cost +30 +9`))
		Expect(output).To(ContainSubstring("lee: set defaults role_change_cost=9"))
	})

	// Guards against an operator who cannot tell whether an edit that was made while the store
	// is down becomes active when the store is up again.
	It("reports that nothing was changed while the store is down", func() {
		d.run("defaults", "set", "role_change_cost=5")
		d.store.SetFaults(objectstore.Faults{Unavailable: true})
		status, output := d.run("defaults", "set", "role_change_cost=9")
		Expect(status).To(Equal(exitStoreUnavailable))
		Expect(output).To(ContainSubstring("nothing was changed"))
		status, output = d.run("defaults", "get", "role_change_cost")
		Expect(status).To(Equal(exitOK))
		Expect(output).To(ContainSubstring("this is the version in force at the entry"))
	})

	// Guards against an edit that is repeated although it is already active: the store applied
	// it, the reply was lost, and the operator is told that it failed.
	It("finds an edit if the store's reply was lost", func() {
		d.store.SetFaults(objectstore.Faults{LoseReplies: true})
		status, output := d.run("defaults", "set", "role_change_cost=5")
		Expect(status).To(Equal(exitOK), output)
		_, output = d.run("config", "history")
		Expect(strings.Count(output, "set defaults")).To(Equal(1))
	})

	// Guards against undoing a later edit by another operator: the entry applied the edit and
	// crashed before it responded, and the edit is sent again to another entry. It must be
	// read back instead.
	It("reads back an edit if the entry's response was lost", func() {
		posts := 0
		crashing := listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				panic(http.ErrAbortHandler)
			}
			posts++
			d.handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}))
		status, output := d.runAt([]string{crashing, d.entry}, "defaults", "set", "role_change_cost=5")
		Expect(status).To(Equal(exitOK), output)
		Expect(output).To(ContainSubstring("found on reading back version 1"))
		Expect(posts).To(Equal(1))
		_, output = d.run("config", "history")
		Expect(strings.Count(output, "set defaults")).To(Equal(1))
	})

	// Guards against reporting a failure when the edit is not found by reading it back: it may
	// still be in flight, so the operator is told to look again later.
	It("reports an unknown outcome if the edit is not found", func() {
		failing := listen(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}))
		status, output := d.runAt([]string{failing, d.entry}, "defaults", "set", "role_change_cost=5")
		Expect(status).To(Equal(exitOutcomeUnknown))
		Expect(output).To(ContainSubstring("Do not repeat it yet"))
		status, output = d.runAt([]string{failing, d.entry}, "-json", "defaults", "set", "role_change_cost=5")
		Expect(status).To(Equal(exitOutcomeUnknown))
		Expect(output).To(ContainSubstring(`"outcome": "unknown"`))
	})

	It("tries the next entry if one is unreachable", func() {
		entries := []string{unreachable(), d.entry}
		for _, args := range [][]string{{"status"}, {"defaults", "set", "role_change_cost=5"}} {
			status, output := d.runAt(entries, args...)
			Expect(status).To(Equal(exitOK), output)
		}
		status, output := d.runAt([]string{unreachable()}, "status")
		Expect(status).To(Equal(exitFailed))
		Expect(output).To(ContainSubstring("no entry answers"))
	})
})

var _ = Describe("parseExpires", func() {
	It("accepts a duration and a time", func() {
		now := time.Date(2026, 11, 2, 12, 0, 0, 0, time.UTC)
		for _, text := range []string{"4h", "2026-11-02T16:00:00Z"} {
			expires, err := parseExpires(text, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(fmt.Sprint(*expires)).To(Equal("2026-11-02 16:00:00 +0000 UTC"))
		}
	})
})
