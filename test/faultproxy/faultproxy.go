// Package faultproxy is a TCP proxy that injects network faults between two
// processes under test.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Mode selects the faults that a Proxy injects.
type Mode struct {
	// Cut closes all connections, and new ones as soon as they are accepted.
	Cut bool
	// BlackholeNew discards all bytes of new connections and keeps them open.
	BlackholeNew bool
	// Delay is added before each write, in both directions.
	Delay time.Duration
	// DropToServer and DropToClient discard all bytes in one direction.
	DropToServer bool
	DropToClient bool
	// Hold keeps all bytes back, in both directions, and delivers them once a mode
	// without it is set. Nothing is lost, and no connection is closed.
	Hold bool
}

// Proxy forwards connections from its own address to a target.
type Proxy struct {
	address string
	target  string

	// toServer and toClient count received bytes by their direction.
	toServer, toClient atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	mode     Mode
	// released is closed at the end of Hold. It is nil while nothing is held.
	released chan struct{}
	conns    map[*conn]struct{}
}

// conn is one connection through the proxy.
type conn struct {
	client, server net.Conn
	// blackholed connections stay open while all bytes are discarded.
	blackholed bool
}

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Listen starts a proxy from address, given as IP:port, to target.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "start fault proxy")
	}
	p := &Proxy{address: listener.Addr().String(), listener: listener, target: target, conns: map[*conn]struct{}{}}
	go p.accept(listener)
	return p, nil
}

// Down closes the listener and all connections, as if the process behind the
// proxy had exited.
func (p *Proxy) Down() { p.Close() }

// Up listens again after Down.
func (p *Proxy) Up() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return eris.Wrap(err, "restart fault proxy")
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go p.accept(listener)
	return nil
}

// Set changes the mode for existing and new connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.hold(m.Hold)
	conns := p.openConns()
	p.mu.Unlock()
	if m.Cut {
		for _, c := range conns {
			c.close()
		}
	}
}

// hold begins or ends holding bytes back. The caller holds mu.
func (p *Proxy) hold(on bool) {
	switch {
	case on && p.released == nil:
		p.released = make(chan struct{})
	case !on && p.released != nil:
		close(p.released)
		p.released = nil
	}
}

// awaitRelease waits while bytes are held back.
func (p *Proxy) awaitRelease() {
	for {
		p.mu.Lock()
		released := p.released
		p.mu.Unlock()
		if released == nil {
			return
		}
		<-released
	}
}

// BlackholeExisting permanently discards all bytes of the existing connections, as
// a NAT or firewall does that has lost their state. New connections work.
func (p *Proxy) BlackholeExisting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed = true
	}
}

// CloseClients closes the clients' ends of all connections, as a middlebox does after a
// time-out of its own. Bytes that are held back still reach the server.
func (p *Proxy) CloseClients() {
	p.mu.Lock()
	conns := p.openConns()
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.client.Close()
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.hold(false)
	conns := p.openConns()
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// openConns returns all connections. The caller holds mu.
func (p *Proxy) openConns() []*conn {
	conns := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode.Cut {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &conn{client: client, server: server, blackholed: mode.BlackholeNew}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()

	var both sync.WaitGroup
	both.Go(func() { p.forward(c, server, client, &p.toServer, func(m Mode) bool { return m.DropToServer }) })
	both.Go(func() { p.forward(c, client, server, &p.toClient, func(m Mode) bool { return m.DropToClient }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies one direction until either end closes. Discarded bytes are never
// delivered later, so after a loss it discards everything that follows.
func (p *Proxy) forward(c *conn, to, from net.Conn, count *atomic.Int64, dropped func(Mode) bool) {
	defer c.close()
	buffer := make([]byte, bufferBytes)
	discard := false
	for {
		n, err := from.Read(buffer)
		p.awaitRelease()
		if err != nil {
			return
		}
		count.Add(int64(n))
		p.mu.Lock()
		mode, blackholed := p.mode, c.blackholed
		p.mu.Unlock()
		discard = discard || blackholed || dropped(mode)
		if discard {
			continue
		}
		time.Sleep(mode.Delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (c *conn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// Bytes returns the number of bytes received for each direction, including
// discarded ones.
func (p *Proxy) Bytes() (toServer, toClient int64) {
	return p.toServer.Load(), p.toClient.Load()
}

// Address returns the IP:port that the proxy listens on.
func (p *Proxy) Address() string { return p.address }
