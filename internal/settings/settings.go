// Package settings reads the settings file of a process.
//
// The error for an invalid file lists all problems, each with its line, the
// value found and the value expected. A number or duration of 0, an empty string
// and a missing key all mean the default.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Settings is the content of a settings file.
type Settings struct {
	Process  Process  `yaml:"process"`
	Log      Log      `yaml:"log"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Entry and Sidecar are each set only for a process of that role.
	Entry   *Entry   `yaml:"entry"`
	Sidecar *Sidecar `yaml:"sidecar"`
}

// Process identifies the process and bounds its processors and memory.
type Process struct {
	// Name is the name of the process's VM in the VM list.
	Name       string `yaml:"name"`
	Role       string `yaml:"role"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
	// Processors is the number of processors that the process may use at a time.
	Processors int `yaml:"processors"`
	// MemoryBytes is the memory that the process may use. What callers can make it hold is limited
	// to parts of it.
	MemoryBytes int64 `yaml:"memory_bytes"`
}

// Log configures logging.
type Log struct {
	// Format is json or text.
	Format string `yaml:"format"`
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Listen has the addresses that the process listens on, each as IP:PORT.
type Listen struct {
	// Callers accepts HTTP requests of callers (entry only).
	Callers string `yaml:"callers"`
	// Links accepts links from entries; on an entry, from other entries.
	Links string `yaml:"links"`
	// Operators serves the operator API: health, metrics and the dump, on an
	// entry also the operations on the fleet.
	Operators string `yaml:"operators"`
	// OperatorTokenFile is the path of the file with the operator token.
	OperatorTokenFile string `yaml:"operator_token_file"`
}

// Platform configures access to the platform.
type Platform struct {
	// Address is the platform's IP:PORT.
	Address string `yaml:"address"`
	// CallsPerSecond is this process's share of the store's rate limit.
	CallsPerSecond float64 `yaml:"calls_per_second"`
	// VMListInterval is how often the VM list is read.
	VMListInterval time.Duration `yaml:"vm_list_interval"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// Models are the names of the models to serve.
	Models []string `yaml:"models"`
	// Services are the plain services, by name.
	Services map[string]Service `yaml:"services"`
	Limits   Limits             `yaml:"limits"`
	// BalancerLag is how long the platform's balancer may still open connections
	// after the process has become not ready.
	BalancerLag time.Duration `yaml:"balancer_lag"`
	// ShutdownTimeout bounds the wait for requests in flight at shutdown.
	ShutdownTimeout time.Duration `yaml:"shutdown_timeout"`
	// Links is the number of sidecars of each service to which the entry keeps a
	// persistent link; 0 means all.
	Links int `yaml:"links"`
}

// Service configures a plain service.
type Service struct {
	// Deadline applies to calls without a deadline of their own; 0 means the
	// deadline of the fleet configuration.
	Deadline time.Duration `yaml:"deadline"`
	// Class is interactive, normal or batch; empty means normal.
	Class string `yaml:"class"`
	// KeyRequired rejects calls that are not idempotent and have no
	// Idempotency-Key.
	KeyRequired bool `yaml:"key_required"`
	// Slots is the number of slots that idempotency keys are hashed to. It must
	// never change. 0 means that the service accepts no idempotency keys.
	Slots int `yaml:"slots"`
}

// Limits bounds the resources that callers can use.
type Limits struct {
	BodyBytes     int64         `yaml:"body_bytes"`
	HeaderBytes   int           `yaml:"header_bytes"`
	Connections   int           `yaml:"connections"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	BodyTimeout   time.Duration `yaml:"body_timeout"`
	IdleTimeout   time.Duration `yaml:"idle_timeout"`
	MaxDeadline   time.Duration `yaml:"max_deadline"`
	// InFlight bounds the requests in flight of all callers together.
	InFlight int `yaml:"in_flight"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	BackendServer BackendServer `yaml:"backend_server"`
	// QueueLength bounds the queued requests.
	QueueLength int `yaml:"queue_length"`
	// ResultBytes bounds the memory for answers that are retained for Resolve
	// and idempotency keys.
	ResultBytes int `yaml:"result_bytes"`
	// ResumeWait is how long a stream waits to be resumed after its entry is lost.
	ResumeWait time.Duration `yaml:"resume_wait"`
	// ShutdownTimeout bounds the wait for requests in flight at shutdown.
	ShutdownTimeout time.Duration `yaml:"shutdown_timeout"`
}

// BackendServer configures the backend server of a sidecar.
type BackendServer struct {
	// Service is "models" or the name of a plain service.
	Service string `yaml:"service"`
	// Address is the backend server's IP:PORT.
	Address string `yaml:"address"`
	// ChecksFencingToken means that the server itself rejects orders with a
	// generation below the highest that it has accepted. For servers that do
	// not, the sidecar is the only fence.
	ChecksFencingToken bool `yaml:"checks_fencing_token"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `yaml:"slots"`
	// OrderTimeout is how long an order with an unknown outcome may still take
	// effect.
	OrderTimeout time.Duration `yaml:"order_timeout"`
}

// Load reads and checks a settings file and fills in the defaults. An error in
// its content is of type Problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return parse(path, data)
}

// Parse is like Load for the content of a file.
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
	if r.parsed {
		check(s, r)
	}
	if len(r.problems) > 0 {
		return Settings{}, r.sortedProblems()
	}
	return s, nil
}

// defaults returns the default values for both roles.
func defaults() Settings {
	return Settings{
		Process: Process{Processors: 2, MemoryBytes: 206 << 20},
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
