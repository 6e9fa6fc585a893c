//go:build review

package scripts

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

func init() { cases["usage"] = usageTwice }

// usageReport is a report that the platform has accepted.
type usageReport struct {
	holder string
	fence  int64
	window int64
	counts map[string]int64
}

// cloud is a stand-in for the platform's interface for duties.
type cloud struct {
	world   *world
	mu      sync.Mutex
	reports []usageReport
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID      int64            `json:"windowId"`
		ReplicaCounts map[string]int64 `json:"replicaCounts"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report := usageReport{holder: r.Header.Get("Duty-Holder"), fence: fence, window: body.WindowID, counts: body.ReplicaCounts}
	c.reports = append(c.reports, report)
	c.world.note("usage of window %d from %s, fence %d: %v, accepted", report.window, report.holder, report.fence, report.counts)
}

func (c *cloud) all() []usageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]usageReport(nil), c.reports...)
}

// changed returns the windows that were reported with two different counts.
func (c *cloud) changed() (windows []string) {
	first := map[int64]map[string]int64{}
	for _, r := range c.all() {
		known, ok := first[r.window]
		if !ok {
			first[r.window] = r.counts
		} else if !reflect.DeepEqual(known, r.counts) {
			windows = append(windows, fmt.Sprintf("window %d was reported with %v and then with %v", r.window, known, r.counts))
		}
	}
	return windows
}

// The timing of the case.
const (
	usageWindowS = 5
	// copyAge is how old the copy of the store is from which it comes back.
	copyAge = 4 * time.Second
	// storeAway is how long the store is away in the drill.
	storeAway = 2 * time.Second
	// restartDelay is after how long a killed process is started again.
	restartDelay = time.Second
)

var tenantNames = []string{"hule930", "fida11"}

// usageTwice kills all gateways while the store is away in a drill, right after a report of
// usage was accepted whose record the store's copy lacks.
func usageTwice(w *world) int {
	c := &cloud{world: w}
	must(w.serve(w.address(1, portCloud), c))
	w.bounds["windowS"], w.bounds["usageTolerance"], w.bounds["usageLateS"] = usageWindowS, 0.05, 10
	w.extra["cloudApi"] = map[string]any{"address": w.address(1, portCloud), "duties": []string{"usage_reporting"}, "dutyPerS": 50}
	writeConfig := func() {
		w.store.Put("config", "main", map[string]any{
			"version": 3,
			"routes": []any{map[string]any{
				"name": "read", "hostname": "h.example", "pathPrefix": "/read/", "routeType": "safe", "timeoutMs": 1500, "latencyGoalMs": 200,
				"serviceName": "desk", "maxAttempts": 2, "priority": 1,
			}},
			"services": []any{map[string]any{"name": "desk", "healthPath": "/health"}},
			"tenants": []any{
				map[string]any{"name": tenantNames[0], "apiKeys": []string{"key-0"}},
				map[string]any{"name": tenantNames[1], "apiKeys": []string{"key-1"}},
			},
			"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		})
	}
	writeConfig()
	first, second := w.addServer(10, "desk", ""), w.addServer(11, "desk", "")
	w.addGateways(3)
	copies := newCopies(w.store)
	defer close(copies.end)
	stop := make(chan struct{})
	defer close(stop)
	for i := range tenantNames {
		go w.readAlways(i, stop)
	}

	if !waitFor(60*time.Second, func() bool { return len(c.all()) >= 3 }) {
		w.say("no usage was reported")
		return couldNot
	}
	if len(c.changed()) > 0 {
		w.say("broken before the disruption: %v", c.changed())
		return couldNot
	}
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		old := copies.before(time.Now().Add(-copyAge))
		// TROUBLE=kill and TROUBLE=drill leave out the other of the two disruptions.
		drill, kill := os.Getenv("TROUBLE") != "kill", os.Getenv("TROUBLE") != "drill"
		w.note("the store is away: %v, all gateways are killed: %v", drill, kill)
		w.store.SetFaults(objectstore.Faults{Unavailable: drill})
		if kill {
			for _, g := range w.gateways {
				g.kill()
			}
		}
		time.Sleep(restartDelay)
		if kill {
			for _, g := range w.gateways {
				must(g.start())
			}
			w.note("the gateways are started again")
		}
		time.Sleep(storeAway - restartDelay)
		if drill {
			w.store.Restore(old)
		}
		w.store.SetFaults(objectstore.Faults{})
		// What the operator and the servers wrote is written again.
		writeConfig()
		w.register(first, 10, "desk", "ready")
		w.register(second, 11, "desk", "ready")
		w.note("the store is back, from a copy that was %v old: %v", copyAge, drill)
		for _, g := range w.gateways {
			must(g.waitReady(10 * time.Second))
		}
	}
	reports := len(c.all())
	waitFor(40*time.Second, func() bool { return len(c.all()) >= reports+4 || len(c.changed()) > 0 })
	if got := c.changed(); len(got) > 0 {
		w.say("ONE is broken: %s", strings.Join(got, "; "))
		return broken
	}
	if len(c.all()) < reports+3 {
		w.say("only %d reports after the disruption", len(c.all())-reports)
		return couldNot
	}
	w.say("held: %d reports", len(c.all()))
	return held
}

func waitFor(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// copies are copies of the store, one every 250 ms.
type copies struct {
	mu   sync.Mutex
	list []copyAt
	end  chan struct{}
}

type copyAt struct {
	at   time.Time
	copy objectstore.Copy
}

func newCopies(s *objectstore.Store) *copies {
	c := &copies{end: make(chan struct{})}
	go func() {
		tick := time.NewTicker(250 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-c.end:
				return
			case now := <-tick.C:
				c.mu.Lock()
				c.list = append(c.list, copyAt{now, s.Copy()})
				c.mu.Unlock()
			}
		}
	}()
	return c
}

// before returns the newest copy that was made before a time.
func (c *copies) before(t time.Time) objectstore.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.list) - 1; i >= 0; i-- {
		if c.list[i].at.Before(t) {
			return c.list[i].copy
		}
	}
	panic("no copy is that old")
}

var lastID atomic.Int64

func nextID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1))
}

// readAlways sends reads of one tenant to the gateways in turn.
func (w *world) readAlways(tenant int, stop chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		g := w.gateways[n%len(w.gateways)]
		req, _ := http.NewRequest(http.MethodGet, "http://"+g.address()+"/read/"+strconv.Itoa(n), nil)
		req.Host = "h.example"
		id := nextID()
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Ms", "1500")
		req.Header.Set("Authorization", fmt.Sprintf("Bearer key-%d", tenant))
		resp, err := client.Do(req)
		if err != nil {
			w.note("read %s of %s to %s: no answer", id, tenantNames[tenant], g.name)
			continue
		}
		_ = resp.Body.Close()
		w.note("read %s of %s to %s: %d", id, tenantNames[tenant], g.name, resp.StatusCode)
	}
}
