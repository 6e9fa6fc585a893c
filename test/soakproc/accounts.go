package soakproc

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"time"
)

const (
	// portReports is the port of the platform's interface for usage reports, on the VM of
	// the store.
	portReports = 7001
	// usageWindow is the length of the windows of usage.
	usageWindow = time.Second
	// reportDue is how long after the end of a window its report is due.
	reportDue = 10 * time.Second
	// alternation is the time within which two holders must not alternate.
	alternation = time.Second
	// wrongKeyInterval is the number of requests of which one has a key that nobody holds.
	wrongKeyInterval = 17
)

// accountNames are the client accounts. Each has one key that stays.
var accountNames = []string{"desk", "brand", "agency"}

func lastingKey(account string) string { return "key-of-" + account }

// versionKey is a key of the first account that only one version of the configuration has.
func versionKey(version int64) string { return fmt.Sprintf("key-of-version-%d", version) }

// tenants returns the client accounts of a version of the configuration.
func tenants(version int64) []any {
	var list []any
	for i, name := range accountNames {
		keys := []string{lastingKey(name)}
		if i == 0 {
			keys = append(keys, versionKey(version))
		}
		list = append(list, map[string]any{"name": name, "apiKeys": keys, "priority": i})
	}
	return list
}

// accountOf returns the account that sends a request, by its number.
func accountOf(number int64) string { return accountNames[number%int64(len(accountNames))] }

// keyOf returns the key of a request, which for some requests nobody holds.
func keyOf(number int64) string {
	if number%wrongKeyInterval == 0 {
		return "key-of-nobody"
	}
	return lastingKey(accountOf(number))
}

// nextIDOf returns the ID of a request with a valid key of an account.
func (l *requestLog) nextIDOf(account string) string {
	for {
		id := l.nextID()
		if n := requestNumber(id); n%wrongKeyInterval != 0 && accountOf(n) == account {
			return id
		}
	}
}

// requestNumber returns the number in the ID of a request.
func requestNumber(id string) int64 {
	var n int64
	if _, err := fmt.Sscanf(id, "r%d", &n); err != nil {
		return 1
	}
	return n
}

// checkAccounts checks that servers learn the account of each request and no key, and that
// no request with an unknown key ran.
func (l *requestLog) checkAccounts(env *environment) {
	for _, s := range env.servers {
		for _, run := range append(s.Runs(), s.Prefills()...) {
			n := requestNumber(run.ID)
			if n%wrongKeyInterval == 0 {
				l.addViolation("%s ran although nobody holds its key", run.ID)
			}
			if got := run.Header.Values("Tenant"); len(got) != 1 || got[0] != accountOf(n) {
				l.addViolation("%s reached %s for account %q, want %s", run.ID, s.ID, got, accountOf(n))
			}
			if run.Header.Get("Authorization") != "" {
				l.addViolation("%s reached %s with its key", run.ID, s.ID)
			}
		}
	}
}

// checkKeys checks that every gateway accepts the key of the newest configuration and
// denies that of the one before.
func (env *environment) checkKeys(l *requestLog) {
	for _, g := range env.gateways {
		for version, want := range map[int64]int{env.version: http.StatusOK, env.version - 1: http.StatusUnauthorized} {
			got := send(newClient(), g.address, request{method: "GET", target: "/read/1", id: l.nextIDOf(accountNames[0]), kind: "read", key: versionKey(version)})
			if got.status != want {
				l.addViolation("%s answers %d to the key of version %d, want %d, with version %d in force", g.address, got.status, version, want, env.version)
			}
		}
	}
}

// usageReport is one report that was accepted.
type usageReport struct {
	at     time.Time
	holder string
	fence  int64
	window int64
	counts map[string]int64
}

// usageReports is a stand-in for the platform's interface for usage reports.
type usageReports struct {
	mu      sync.Mutex
	reports []usageReport
}

// ServeHTTP implements http.Handler.
func (u *usageReports) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID      int64            `json:"windowId"`
		ReplicaCounts map[string]int64 `json:"replicaCounts"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports = append(u.reports, usageReport{
		at: time.Now(), holder: r.Header.Get("Duty-Holder"), fence: fence, window: body.WindowID, counts: body.ReplicaCounts,
	})
}

// awaitReports waits for further reports, and reports whether they came within twice the time
// in which they are due.
func (u *usageReports) awaitReports(n int) bool {
	count := func() int {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.reports)
	}
	before := count()
	for end := time.Now().Add(2 * reportDue); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if count() >= before+n {
			return true
		}
	}
	return false
}

// check checks that no window was reported with two counts, that fencing tokens belong to
// one holder and do not go down, and that holders do not alternate.
func (u *usageReports) check(l *requestLog) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.reports) == 0 {
		l.addViolation("no usage was reported")
	}
	counts, holders := map[int64]map[string]int64{}, map[int64]string{}
	for i, r := range u.reports {
		if first, ok := counts[r.window]; ok && !reflect.DeepEqual(first, r.counts) {
			l.addViolation("window %d was reported with %v and %v", r.window, first, r.counts)
		}
		counts[r.window] = r.counts
		if holder, ok := holders[r.fence]; ok && holder != r.holder {
			l.addViolation("%s and %s report with fencing token %d", holder, r.holder, r.fence)
		}
		holders[r.fence] = r.holder
		if i > 0 && r.fence < u.reports[i-1].fence {
			l.addViolation("fencing token %d of %s after %d of %s", r.fence, r.holder, u.reports[i-1].fence, u.reports[i-1].holder)
		}
		if u.alternates(i) {
			l.addViolation("%s reports, another gateway, and %s again within %v", r.holder, r.holder, alternation)
		}
	}
}

// alternates reports whether the holder of report i has reported before another one within
// alternation.
func (u *usageReports) alternates(i int) bool {
	r, other := u.reports[i], false
	for j := i - 1; j >= 0 && r.at.Sub(u.reports[j].at) < alternation; j-- {
		same := u.reports[j].holder == r.holder
		if other && same {
			return true
		}
		other = other || !same
	}
	return false
}

// checkComplete checks that every window within a span was reported when it was due.
func (u *usageReports) checkComplete(from, to time.Time, l *requestLog) {
	u.mu.Lock()
	defer u.mu.Unlock()
	reported := map[int64]bool{}
	for _, r := range u.reports {
		reported[r.window] = true
	}
	for k := from.UnixNano()/int64(usageWindow) + 1; k < to.Add(-reportDue).UnixNano()/int64(usageWindow)-1; k++ {
		if !reported[k] {
			l.addViolation("usage of window %d was not reported within %v", k, reportDue)
		}
	}
}

// serveReports serves the interface for usage reports.
func (env *environment) serveReports() error {
	env.usage = &usageReports{}
	return env.serve(env.reportsAddress(), env.usage)
}

func (env *environment) reportsAddress() string {
	return net.JoinHostPort(env.ip(1), strconv.Itoa(portReports))
}
