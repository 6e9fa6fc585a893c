// Package settings reads the settings file of one process.
//
// A file is checked as a whole: the error lists everything that is wrong with
// it, each with its line, what was found and what was expected. A number or
// duration of 0, an empty text and a key left out all mean the default.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// The roles of a process.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Settings is a whole settings file.
type Settings struct {
	Process  Process  `yaml:"process"`
	Log      Log      `yaml:"log"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Entry and Sidecar belong to the role of that name.
	Entry   *Entry   `yaml:"entry"`
	Sidecar *Sidecar `yaml:"sidecar"`
}

// Process says who the process is.
type Process struct {
	// Name is the name of the process's VM in the VM list.
	Name       string `yaml:"name"`
	Role       string `yaml:"role"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
	// Processors bounds the processors that the process uses at once.
	Processors int `yaml:"processors"`
}

// Log says what is logged and how.
type Log struct {
	// Format is json or text.
	Format string `yaml:"format"`
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Listen has the addresses of the process, each an IP number and a port.
type Listen struct {
	// Callers takes the callers' HTTP requests (entry).
	Callers string `yaml:"callers"`
	// Links takes the links of entries (sidecar) or of other entries (entry).
	Links string `yaml:"links"`
	// Operators takes the operator API (entry), health, metrics and the dump.
	Operators string `yaml:"operators"`
	// OperatorTokenFile holds the token that Operators asks for.
	OperatorTokenFile string `yaml:"operator_token_file"`
}

// Platform says how to reach the platform.
type Platform struct {
	// Address is an IP number and a port.
	Address string `yaml:"address"`
	// CallsPerSecond is this process's share of the store's rate.
	CallsPerSecond float64 `yaml:"calls_per_second"`
	// VMListInterval is how often the VM list is read.
	VMListInterval time.Duration `yaml:"vm_list_interval"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// Models are the models in service.
	Models []string `yaml:"models"`
	// Services are the plain services by name.
	Services map[string]Service `yaml:"services"`
	Limits   Limits             `yaml:"limits"`
	// BalancerLag is how long the platform's balancer may still send new
	// connections after readiness went false.
	BalancerLag time.Duration `yaml:"balancer_lag"`
	// ShutdownTimeout bounds the wait for requests in flight at shutdown.
	ShutdownTimeout time.Duration `yaml:"shutdown_timeout"`
	// Links is how many sidecars the entry keeps a link to; 0: all.
	Links int `yaml:"links"`
}

// Service is one plain service.
type Service struct {
	// Deadline is the time a call has when its caller names none; 0: that of
	// the fleet configuration.
	Deadline time.Duration `yaml:"deadline"`
	// Class is interactive, normal or batch; empty: normal.
	Class string `yaml:"class"`
	// KeyRequired refuses calls that may not be repeated and carry no
	// Idempotency-Key.
	KeyRequired bool `yaml:"key_required"`
	// Slots is how many key slots the service has; it never changes. 0: the
	// service takes no idempotency keys.
	Slots int `yaml:"slots"`
}

// Limits bound what callers may take.
type Limits struct {
	BodyBytes     int64         `yaml:"body_bytes"`
	HeaderBytes   int           `yaml:"header_bytes"`
	Connections   int           `yaml:"connections"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	BodyTimeout   time.Duration `yaml:"body_timeout"`
	IdleTimeout   time.Duration `yaml:"idle_timeout"`
	MaxDeadline   time.Duration `yaml:"max_deadline"`
	// InFlight bounds the requests of all callers.
	InFlight int `yaml:"in_flight"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	BackendServer BackendServer `yaml:"backend_server"`
	// QueueLength bounds the requests that wait.
	QueueLength int `yaml:"queue_length"`
	// ResultBytes bounds the answers kept for Resolve and idempotency keys.
	ResultBytes int `yaml:"result_bytes"`
	// ResumeWait is how long a stream whose entry is gone waits to be resumed.
	ResumeWait time.Duration `yaml:"resume_wait"`
	// ShutdownTimeout bounds the wait for running requests at shutdown.
	ShutdownTimeout time.Duration `yaml:"shutdown_timeout"`
}

// BackendServer is the backend server beside a sidecar.
type BackendServer struct {
	// Service is "models" or the name of a plain service.
	Service string `yaml:"service"`
	// Address is an IP number and a port.
	Address string `yaml:"address"`
	// ChecksFencingToken says that it refuses an order below the highest
	// generation that it has taken. Not all do; for the others the sidecar
	// alone is the fence.
	ChecksFencingToken bool `yaml:"checks_fencing_token"`
	// Slots is how many requests it runs at once.
	Slots int `yaml:"slots"`
	// OrderTimeout is how long an order of unknown outcome may still be in
	// flight.
	OrderTimeout time.Duration `yaml:"order_timeout"`
}

// Load reads, completes and checks the file. An error in its content is a
// Problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return parse(path, data)
}

// Parse is Load for the content of a file.
func Parse(data []byte) (Settings, error) {
	return parse("settings", data)
}

func parse(file string, data []byte) (Settings, error) {
	s := defaults()
	r := newReader(file)
	r.read(data, &s)
	if !r.has("entry") {
		s.Entry = nil
	}
	if !r.has("sidecar") {
		s.Sidecar = nil
	}
	if r.whole {
		check(s, r)
	}
	if len(r.problems) > 0 {
		return Settings{}, r.sorted()
	}
	return s, nil
}

// defaults returns the settings that a file may leave out, for both roles.
func defaults() Settings {
	return Settings{
		Process: Process{Processors: 2},
		Log:     Log{Format: "json", Level: "info"},
		Platform: Platform{
			CallsPerSecond: 20,
			VMListInterval: time.Second,
		},
		Entry: &Entry{
			BalancerLag:     2 * time.Second,
			ShutdownTimeout: 60 * time.Second,
			Limits: Limits{
				BodyBytes:     4 << 20,
				HeaderBytes:   16 << 10,
				Connections:   4096,
				HeaderTimeout: 5 * time.Second,
				BodyTimeout:   10 * time.Second,
				IdleTimeout:   60 * time.Second,
				MaxDeadline:   10 * time.Minute,
				InFlight:      2048,
			},
		},
		Sidecar: &Sidecar{
			BackendServer: BackendServer{
				Slots:        16,
				OrderTimeout: 10 * time.Second,
			},
			QueueLength:     256,
			ResultBytes:     8 << 20,
			ResumeWait:      3 * time.Second,
			ShutdownTimeout: 60 * time.Second,
		},
	}
}
