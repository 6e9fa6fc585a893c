// Package gateway implements a reverse proxy for callers that address services
// by host and path. It selects backend servers for each request, sends the
// request to them directly and forwards the response byte for byte.
package gateway

import (
	"cmp"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/callerbody"
	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/durations"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/serverhealth"
	"pistachioroad.dev/pistachioroad/internal/usage"
)

// Codec encodes and decodes the HTTP headers and bodies that callers and backend
// servers use.
type Codec interface {
	direct.Codec
	// ParseRequest parses the head of a caller's request.
	ParseRequest(r *http.Request, received time.Time) (request.Request, error)
	// RestoreAuthorization adds the caller's authorization to the header to be forwarded.
	RestoreAuthorization(header, received http.Header)
	// RequestID returns the ID of a caller's request, or "" if it has none.
	RequestID(h http.Header) string
	// ParsePrefilled parses the body of the response to a PrefillOnly request.
	ParsePrefilled(body []byte) (request.PrefillResult, error)
	// KVSource encodes a reference to KV cache held by the backend server at address.
	KVSource(address, handle string) string
	// FreeHandle returns the method and path of the request that frees the KV
	// cache of a handle.
	FreeHandle(handle string) (method, path string)
}

// Gateway is the HTTP handler for callers' requests.
type Gateway struct {
	deployment atomic.Pointer[deployment.Deployment]
	codec      Codec
	transport  *direct.Transport
	directory  *directory.Directory

	// memory is how the memory of the process is divided among what callers can make it hold.
	memory membudget.Plan
	// bodies limits the memory of all request bodies in flight.
	bodies *callerbody.Memory
	// answers forwards the bodies of responses.
	answers *readahead.Forwarder

	engines      *engines
	plain        *plainBalancer
	terminations *terminations
	watches      watches
	streams      *streamVersions
	statements   *serverStatements
	// health finds the servers that fail more often than their peers.
	health *serverhealth.Tracker
	loads  *loadReports

	retryBudgets *retryBudgets

	// usage counts the requests of client accounts, nil if they are not counted.
	usage *usage.Counter

	calls     *openrequests.List
	durations *durations.Durations
	// schedule is that of the shutdown, nil before it.
	schedule atomic.Pointer[shutdown.Schedule]
}

// Config configures a Gateway.
type Config struct {
	Deployment deployment.Deployment
	Codec      Codec
	Directory  *directory.Directory
	// StartedAt is when the process started, in time since boot; 0 means now.
	StartedAt time.Duration
	// ReadAhead limits what is read ahead for slow callers. Without a total, it is a fraction
	// of the process's memory.
	ReadAhead readahead.Limits
}

// SetGossip sets the gossip by which this gateway announces its requests to the
// other gateways. It must be called before the gateway serves. The fixed part of
// each service's retry budget is divided by the number of gateways that it reports.
func (g *Gateway) SetGossip(gossip Gossip) {
	g.engines.gossip = gossip
	g.plain.gossip = gossip
	g.terminations.gossip = gossip
	g.statements.gossip = gossip
	g.streams.gossip = gossip
}

// New returns a Gateway.
func New(c Config) *Gateway {
	s := newServerStatements()
	e, plain := newEngines(s), newPlainBalancer(s)
	g := &Gateway{
		codec:        c.Codec,
		transport:    direct.New(c.Codec),
		directory:    c.Directory,
		engines:      e,
		plain:        plain,
		terminations: newTerminations(),
		statements:   s,
		loads:        newLoadReports(e, plain),
		streams:      newStreamVersions(c.Directory.View),
		calls:        openrequests.New("gateway"),
		durations:    durations.New(),
		retryBudgets: newRetryBudgets(cmp.Or(c.StartedAt, boottime.Now())),
	}
	g.health = serverhealth.New(func(o []serverhealth.Outcome, urgent bool) { g.engines.gossip.AnnounceOutcomes(o, urgent) })
	g.transport.OnResponse = func(info direct.ResponseInfo) {
		g.statements.observe(info)
		g.loads.observe(info)
		g.watches.answered(info.Server.Instance(), info.Sent)
		g.retryBudgets.observe(info)
	}
	g.retryBudgets.bounds = func() deployment.Bounds { return g.deployment.Load().Bounds }
	g.retryBudgets.gateways = func() int { return g.engines.gossip.GatewaysSharing() }
	g.retryBudgets.firstProcess = func() bool { return g.engines.gossip.FirstProcess() }
	g.memory = MemoryPlan(c.Deployment)
	e.maxSegments = g.memory.CachedSegments
	g.transport.LimitMemory(g.memory)
	g.Reload(c.Deployment)
	g.bodies = callerbody.New("gateway", g.memory, 1)
	if c.ReadAhead.Total == 0 {
		c.ReadAhead.Total = g.memory.Answers
	}
	g.answers = readahead.New(c.ReadAhead)
	return g
}

// reservedDescriptors is the number of file descriptors set aside for files, the store and backend
// servers. The rest are for callers' connections.
const reservedDescriptors = 700

// MemoryPlan divides the memory of a gateway process.
func MemoryPlan(d deployment.Deployment) membudget.Plan {
	connections := math.MaxInt
	if d.MaxFileDescriptors > 0 {
		connections = max(1, d.MaxFileDescriptors-reservedDescriptors)
	}
	return membudget.PlanFor(d.MaxMemoryBytes, connections)
}

// RemoteConfirmation forwards another gateway's confirmation of the store's state to
// the directory.
func (g *Gateway) RemoteConfirmation(now time.Time, c directory.Confirmation) {
	g.directory.RemoteConfirmation(now, c)
}

// RemoteServerChange forwards a change of a server object, received from another
// gateway, to the directory.
func (g *Gateway) RemoteServerChange(now time.Time, c directory.ServerChange) {
	g.directory.RemoteServerChange(now, c)
}

// Reload replaces the deployment settings.
func (g *Gateway) Reload(d deployment.Deployment) {
	g.deployment.Store(&d)
	g.engines.setMemoryReservation(d.MemoryPressure)
	g.engines.setDistancePrice(d.DistancePrice)
}

// ViewChanged updates the gateway to the servers and services of a new view.
func (g *Gateway) ViewChanged(v *directory.View) {
	g.engines.update(v)
	g.plain.update(v)
	g.health.Update(v.Servers)
	g.statements.update(v)
	g.streams.viewChanged()
	g.transport.CloseServers(func(id string) bool {
		s, ok := v.Servers[id]
		return !ok || s.Draining
	})
}

// ServerSeen records a server that is new or has changed.
func (g *Gateway) ServerSeen(s backend.Server) { g.streams.sawServer(s) }

// gatewayCount returns the number of gateways, including this one.
func (g *Gateway) gatewayCount() int { return g.engines.gossip.GatewayCount() }
