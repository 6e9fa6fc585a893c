// Package deployment defines the deployment settings of a gateway: its addresses
// and limits, the store, and the bounds set by the operators.
package deployment

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/locality"
)

// Deployment has the settings from the settings file, which is read at the start
// and on reload.
type Deployment struct {
	// Name is the name of the VM, which is unique in the deployment.
	Name       string
	DataCentre string
	// IP is the address of the VM.
	IP string
	// CallerAddress is the address that serves callers' requests, and
	// ReadinessAddress the one that serves the balancer's readiness checks. Both
	// are IP:PORT.
	CallerAddress, ReadinessAddress string
	// PeerPort is the UDP port for gossip between gateways, the same on each VM.
	PeerPort int
	// StateAddress is the address where other gateways can fetch this gateway's
	// view of the fleet; it is not served if empty. SeedAddresses are these
	// addresses of up to three other gateways, which may be down or removed.
	StateAddress  string
	SeedAddresses []string
	// StoreAddress is the address of the metadata store.
	StoreAddress string
	// MaxMemoryBytes and MaxFileDescriptors limit the memory and the open files of
	// this process.
	MaxMemoryBytes     int64
	MaxFileDescriptors int
	// HeartbeatInterval is the interval at which backend servers renew their
	// records in the store.
	HeartbeatInterval time.Duration
	// Usage is where the usage of client accounts is reported.
	Usage  Usage
	Bounds Bounds
	// MemoryPressure is set if client accounts compete for the memory of model engines, which
	// crash if they hold more than fits. Memory is then reserved for each request and shared
	// fairly among the accounts.
	MemoryPressure bool
	// DistancePrice is what it is worth to keep traffic within a data centre.
	DistancePrice locality.Price
}

// Usage says where and how the usage of client accounts is reported. The zero value means
// that it is not.
type Usage struct {
	// Address is the IP:PORT of the platform's interface for reports.
	Address string
	// Window is the length of the windows of true time that reports are for.
	Window time.Duration
}

// Bounds has the time and rate limits that the operators set.
type Bounds struct {
	// DrainTimeout is how long a server may still receive requests after the
	// store confirmed that it is draining.
	DrainTimeout time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// ConfigApplyTimeout is the maximum time until a confirmed configuration must
	// be active.
	ConfigApplyTimeout time.Duration
	// ContactTime is how long a VM must have been free of faults before these
	// bounds apply to it.
	ContactTime time.Duration
	// RetryShare and RetrySlack bound the retries for a service within RetryWindow
	// by all VMs together: RetryShare of the number of its requests, plus
	// RetrySlack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// OrderLease is how long after an order no other process may issue one.
	OrderLease time.Duration
}
