package direct

import (
	"sync"
	"time"
)

const (
	// maxIdle bounds the connections kept idle to one backend server. An entry
	// seldom has more requests than this at one server.
	maxIdle = 16
	// defaultKeep is how long an idle connection is trusted if the server did
	// not say; shorter than the common timeouts of servers.
	defaultKeep = 4 * time.Second
	// keepMargin is taken off what the server says. It says whole seconds, and
	// a request that crosses its close may or may not have run.
	keepMargin = 900 * time.Millisecond
	// leastKeep is the least time for which a kept connection is used again.
	leastKeep = 300 * time.Millisecond
)

// pool keeps idle connections, by server.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool() *pool { return &pool{idle: make(map[string][]*conn)} }

// take returns the connection that was used last, or nil.
func (p *pool) take(key string, now time.Time) *conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if c.fresh(now) && c.quiet() {
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

// put keeps a connection on which nothing is outstanding.
func (p *pool) put(key string, c *conn, now time.Time) {
	c.idleSince = now
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// drop closes the idle connections for which forget holds.
func (p *pool) drop(forget func(key string, c *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if forget(key, c) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// fresh reports whether the server surely keeps the connection open still.
func (c *conn) fresh(now time.Time) bool {
	keep := defaultKeep
	if c.keepFor > 0 {
		keep = max(leastKeep, c.keepFor-keepMargin)
	}
	return now.Sub(c.idleSince) < keep
}
