package direct

import (
	"sync"
	"time"
)

const (
	// maxIdlePerServer limits the idle connections to one backend server. A gateway
	// rarely has more requests in flight at one server.
	maxIdlePerServer = 16
	// defaultIdleTimeout is how long an idle connection may be reused if the server
	// states no timeout. It is shorter than the common timeouts of servers.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that a server states, which is
	// in whole seconds. A request sent while the server closes the connection may or
	// may not have run.
	idleTimeoutMargin = 900 * time.Millisecond
	// minIdleTimeout is the lower limit of the idle timeout after the margin.
	minIdleTimeout = 300 * time.Millisecond
)

// pool holds the idle connections by server.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool() *pool { return &pool{idle: make(map[string][]*conn)} }

// get removes and returns the most recently used connection that is still usable,
// or nil. It closes those that are not.
func (p *pool) get(key string, now time.Time) *conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if c.withinIdleTimeout(now) && c.healthy() {
			return c
		}
		c.Close()
	}
}

func (p *pool) pop(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

// put adds a connection without an outstanding request, or closes it if there are
// too many.
func (p *pool) put(key string, c *conn, now time.Time) {
	c.idleSince = now
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// connected returns the servers that have an idle connection.
func (p *pool) connected(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := make(map[string]bool, len(p.idle))
	for key, conns := range p.idle {
		if len(conns) > 0 && conns[len(conns)-1].withinIdleTimeout(now) {
			servers[serverID(key)] = true
		}
	}
	return servers
}

// closeIf closes the idle connections for which match returns true.
func (p *pool) closeIf(match func(key string, c *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		remaining := conns[:0]
		for _, c := range conns {
			if match(key, c) {
				c.Close()
				continue
			}
			remaining = append(remaining, c)
		}
		clear(conns[len(remaining):])
		if len(remaining) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = remaining
	}
}

// withinIdleTimeout reports whether the server should still have the connection open.
func (c *conn) withinIdleTimeout(now time.Time) bool {
	timeout := defaultIdleTimeout
	if c.idleTimeout > 0 {
		timeout = max(minIdleTimeout, c.idleTimeout-idleTimeoutMargin)
	}
	return now.Sub(c.idleSince) < timeout
}
