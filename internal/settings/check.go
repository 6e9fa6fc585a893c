package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// serviceModels is the reserved service name of the model engines.
const serviceModels = "models"

// Maximum length of the name of a VM, data centre or service, and of a model.
const (
	maxNameLength      = 63
	maxModelNameLength = 128
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^\S+$`)

	formats = []string{"json", "text"}
	levels  = []string{"debug", "info", "warn", "error"}
	roles   = []string{RoleEntry, RoleSidecar}
	classes = []string{"interactive", "normal", "batch"}
)

// Limits of numeric settings. The upper limits prevent a mistake, such as a body
// limit in the wrong unit, from using up all memory of a VM.
const (
	maxBodyBytes    = 64 << 20
	minMemoryBytes  = 32 << 20
	maxMemoryBytes  = 64 << 30
	maxHeaderBytes  = 1 << 20
	maxConnections  = 100_000
	maxInFlight     = 100_000
	maxQueueLength  = 100_000
	maxResultBytes  = 256 << 20
	maxSlots        = 4096
	maxServiceSlots = 1024
	maxLinks        = 10_000
	// maxCallsPerSecond is the read rate that the platform allows the whole fleet.
	maxCallsPerSecond = 2000
	minCallsPerSecond = 0.1
)

// check reports invalid values in s, which has been decoded already.
func check(s Settings, r *reader) {
	checkProcess(s.Process, r)
	r.oneOf("log.format", s.Log.Format, formats)
	r.oneOf("log.level", s.Log.Level, levels)
	checkListen(s, r)
	r.dialAddress("platform.address", s.Platform.Address)
	inRange(r, "platform.calls_per_second", s.Platform.CallsPerSecond, minCallsPerSecond, maxCallsPerSecond)
	inRange(r, "platform.vm_list_interval", s.Platform.VMListInterval, 100*time.Millisecond, time.Minute)
	checkSections(s, r)
}

func checkProcess(p Process, r *reader) {
	r.name("process.name", p.Name)
	r.oneOf("process.role", p.Role, roles)
	r.name("process.region", p.Region)
	r.name("process.data_centre", p.DataCentre)
	inRange(r, "process.processors", p.Processors, 1, 256)
	inRange(r, "process.memory_bytes", p.MemoryBytes, minMemoryBytes, maxMemoryBytes)
}

func checkListen(s Settings, r *reader) {
	if s.Process.Role == RoleSidecar {
		if s.Listen.Callers != "" {
			r.reject("listen.callers", quote(s.Listen.Callers), "no such key: a sidecar does not listen for callers")
		}
	} else {
		r.listenAddress("listen.callers", s.Listen.Callers)
	}
	r.listenAddress("listen.links", s.Listen.Links)
	r.listenAddress("listen.operators", s.Listen.Operators)
	if s.Listen.OperatorTokenFile == "" {
		r.reject("listen.operator_token_file", foundNothing, "the path of the file with the operator token")
	}
	checkDistinct(s.Listen, r)
}

// checkDistinct rejects two listeners with the same address: the second would
// fail to start after the first has accepted requests.
func checkDistinct(l Listen, r *reader) {
	seen := map[string]string{}
	for _, a := range []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.links", l.Links}, {"listen.operators", l.Operators},
	} {
		other, taken := seen[a.address]
		if taken && a.address != "" {
			r.reject(a.path, quote(a.address), "an address other than that of "+other)
		}
		seen[a.address] = a.path
	}
}

// checkSections checks that the section of the role, entry or sidecar, exists
// and the other one does not, and checks the values of both.
func checkSections(s Settings, r *reader) {
	if s.Process.Role == RoleEntry && s.Entry == nil {
		r.reject("entry", foundNothing, "the section of a process whose role is entry")
	}
	if s.Process.Role == RoleSidecar && s.Sidecar == nil {
		r.reject("sidecar", foundNothing, "the section of a process whose role is sidecar")
	}
	if s.Process.Role == RoleEntry && s.Sidecar != nil {
		r.reject("sidecar", "a section", "none, because the role is entry")
	}
	if s.Process.Role == RoleSidecar && s.Entry != nil {
		r.reject("entry", "a section", "none, because the role is sidecar")
	}
	if s.Entry != nil {
		checkEntry(*s.Entry, r)
	}
	if s.Sidecar != nil {
		checkSidecar(*s.Sidecar, r)
	}
}

func checkEntry(e Entry, r *reader) {
	if len(e.Models) == 0 && len(e.Services) == 0 {
		r.reject("entry", "neither models nor services", "at least one of them")
	}
	for i, model := range e.Models {
		path := fmt.Sprintf("entry.models[%d]", i)
		if len(model) > maxModelNameLength || !modelPattern.MatchString(model) {
			r.reject(path, quoteOrNothing(model), "a model name without spaces, at most 128 characters")
		}
		if slices.Index(e.Models, model) < i {
			r.reject(path, quote(model), "each model only once")
		}
	}
	names := lo.Keys(e.Services)
	slices.Sort(names)
	for _, name := range names {
		checkService(name, e.Services[name], r)
	}
	inRange(r, "entry.balancer_lag", e.BalancerLag, 0, time.Minute)
	inRange(r, "entry.shutdown_timeout", e.ShutdownTimeout, time.Second, time.Hour)
	inRange(r, "entry.links", e.Links, 0, maxLinks)
	checkLimits(e.Limits, r)
}

func checkService(name string, service Service, r *reader) {
	path := join("entry.services", name)
	r.name(path, name)
	if name == serviceModels {
		r.reject(path, quote(name), "another name: this one is reserved for the model engines")
	}
	inRange(r, path+".deadline", service.Deadline, 0, time.Hour)
	if service.Class != "" {
		r.oneOf(path+".class", service.Class, classes)
	}
	inRange(r, path+".slots", service.Slots, 0, maxServiceSlots)
	if service.KeyRequired && service.Slots == 0 {
		r.reject(path+".slots", "0", "at least 1, because key_required is true")
	}
}

func checkLimits(l Limits, r *reader) {
	inRange(r, "entry.limits.body_bytes", l.BodyBytes, 1, maxBodyBytes)
	inRange(r, "entry.limits.header_bytes", l.HeaderBytes, 1<<10, maxHeaderBytes)
	inRange(r, "entry.limits.connections", l.Connections, 1, maxConnections)
	inRange(r, "entry.limits.header_timeout", l.HeaderTimeout, 10*time.Millisecond, time.Minute)
	inRange(r, "entry.limits.body_timeout", l.BodyTimeout, 10*time.Millisecond, 10*time.Minute)
	inRange(r, "entry.limits.idle_timeout", l.IdleTimeout, time.Second, time.Hour)
	inRange(r, "entry.limits.max_deadline", l.MaxDeadline, time.Millisecond, 24*time.Hour)
	inRange(r, "entry.limits.in_flight", l.InFlight, 1, maxInFlight)
}

func checkSidecar(c Sidecar, r *reader) {
	r.name("sidecar.backend_server.service", c.BackendServer.Service)
	r.dialAddress("sidecar.backend_server.address", c.BackendServer.Address)
	inRange(r, "sidecar.backend_server.slots", c.BackendServer.Slots, 1, maxSlots)
	inRange(r, "sidecar.backend_server.order_timeout", c.BackendServer.OrderTimeout, 100*time.Millisecond, 10*time.Minute)
	inRange(r, "sidecar.queue_length", c.QueueLength, 1, maxQueueLength)
	inRange(r, "sidecar.result_bytes", c.ResultBytes, 1<<10, maxResultBytes)
	inRange(r, "sidecar.resume_wait", c.ResumeWait, 0, time.Minute)
	inRange(r, "sidecar.shutdown_timeout", c.ShutdownTimeout, time.Second, time.Hour)
}

func (r *reader) name(path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		r.reject(path, quoteOrNothing(name), "a name of a-z, 0-9, '-', '_' and '.', at most 63 characters")
	}
}

func (r *reader) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		r.reject(path, quoteOrNothing(value), fmt.Sprintf("one of %v", allowed))
	}
}

// listenAddress checks an address to listen on.
func (r *reader) listenAddress(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		r.reject(path, quoteOrNothing(address), "an IP number and a port, such as 10.1.0.5:8080")
	}
}

// dialAddress checks an address to connect to.
func (r *reader) dialAddress(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		r.reject(path, quoteOrNothing(address), "an IP number and a port to connect to, such as 10.1.0.5:8080")
	}
}

func quoteOrNothing(value string) string {
	if value == "" {
		return foundNothing
	}
	return quote(value)
}

func inRange[T cmp.Ordered](r *reader, path string, value, low, high T) {
	if value < low || value > high {
		r.reject(path, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high))
	}
}
