// Package gateway is the front door for callers that speak to services by host
// and path: it takes a request, chooses backend servers, sends it to them
// directly and passes the answer on byte for byte.
package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// Dialect is how callers and backend servers speak.
type Dialect interface {
	direct.Codec
	// Request decodes the head of a caller's request.
	ParseRequest(r *http.Request, received time.Time) (request.Request, error)
	// RequestID returns the id of a caller's request, empty if it has none.
	RequestID(h http.Header) string
	// Prefilled decodes the answer to a PrefillOnly send.
	ParsePrefilled(body []byte) (request.PrefillResult, error)
	// KVSource names KV cache at a backend server.
	KVSource(address, handle string) string
	// FreeHandle returns the method and path of the call that frees it.
	FreeHandle(handle string) (method, path string)
}

// Gateway serves callers.
type Gateway struct {
	deployment atomic.Pointer[deployment.Deployment]
	dialect    Dialect
	transport  *direct.Transport
	directory  *directory.Directory

	// bodies bounds the bytes of request bodies that are held at once.
	bodies bodyBudget

	engines *engines
	plain   *plain
	endings *endings
	limits  *limits

	mu    sync.Mutex
	sends map[string]*retry.AttemptLimiter

	stopping atomic.Bool
}

// Config is what a Gateway is made of.
type Config struct {
	Deployment deployment.Deployment
	Dialect    Dialect
	Directory  *directory.Directory
}

// bodyPart is the part of the process's memory that request bodies may take.
// The rest is for answers in passing, connections and the runtime.
const bodyPart = 0.25

// ShareWith tells share what this gateway does at the engines from now on. It is
// called before the gateway serves. The limits of the services are shared with
// as many entries as share counts.
func (g *Gateway) SetGossip(share Gossip) {
	g.engines.share = share
	g.endings.share = share
	g.limits.share = share
}

// New returns a Gateway.
func New(c Config) *Gateway {
	l := newLimits()
	g := &Gateway{
		dialect:   c.Dialect,
		transport: direct.New(c.Dialect),
		directory: c.Directory,
		engines:   newEngines(l),
		plain:     newPlain(l),
		endings:   newEndings(),
		limits:    l,
		sends:     make(map[string]*retry.AttemptLimiter),
	}
	g.transport.OnAnswer = g.limits.answered
	g.deployment.Store(&c.Deployment)
	g.bodies.limit = int64(bodyPart * float64(c.Deployment.MemoryBytes))
	return g
}

// Relayed passes what other gateways have seen of the store to the directory.
func (g *Gateway) RemoteConfirmation(now time.Time, c directory.Confirmation) {
	g.directory.RemoteConfirmation(now, c)
}

// RelayedEntry does the same for one change of an entry.
func (g *Gateway) RemoteServerChange(now time.Time, c directory.Change) {
	g.directory.RemoteServerChange(now, c)
}

// Reload takes changed settings.
func (g *Gateway) Reload(d deployment.Deployment) { g.deployment.Store(&d) }

// ViewChanged takes in the servers and services of a new view.
func (g *Gateway) ViewChanged(v *directory.View) {
	g.engines.update(v)
	g.plain.forget(v)
	g.limits.forget(v)
	g.transport.Forget(func(id string) bool {
		s, ok := v.Servers[id]
		return !ok || s.Draining
	})
}

// entries returns how many entries share the limits of the services.
func (g *Gateway) entries() int { return g.engines.share.GatewayCount() }

// allowExtra reports whether a service bears one more send beyond the first.
func (g *Gateway) allowExtra(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sendsOf(service).Allow(now, g.entries())
}

func (g *Gateway) countRequest(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendsOf(service).CountRequest(now)
}

func (g *Gateway) sendsOf(service string) *retry.AttemptLimiter {
	s, ok := g.sends[service]
	if !ok {
		b := g.deployment.Load().Bounds
		s = retry.NewAttemptLimiter(retry.AttemptLimit{
			Share:  b.RetryShare * budgetPart,
			Slack:  b.RetrySlack * budgetPart,
			Window: b.RetryWindow,
		})
		g.sends[service] = s
	}
	return s
}

// budgetPart of the operators' bound on repeated sends is used: the entries'
// windows and the operators' do not begin together.
const budgetPart = 0.6

// bodyBudget bounds bytes that are held at once.
type bodyBudget struct {
	limit int64
	held  atomic.Int64
}

// take reports whether n more bytes fit, and holds them if so.
func (b *bodyBudget) take(n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) release(n int64) { b.held.Add(-n) }
