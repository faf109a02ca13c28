// Package pooler keeps idle connections to endpoints for reuse.
package pooler

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"wisteriadrum/pacer"
)

const (
	maxIdlePerAddress = 32
	idleTimeout       = 20 * time.Second
	expiryInterval    = 5 * time.Second
	readBufferBytes   = 4096
)

// Conn is a connection with the buffered reader of its received data.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused reports whether the connection has carried an earlier answer.
	Reused  bool
	closeBy time.Time
}

// Reset closes the connection at once, also if the endpoint does not read: an ordinary close
// waits behind the bytes that were written before.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Pool keeps idle connections by address. The most recently used one is reused
// first.
type Pool struct {
	dial func(address string) (net.Conn, error)
	now  func() time.Time
	mu   sync.Mutex
	// idle has no empty lists.
	idle map[string][]*Conn
}

// New returns a pool that opens connections with dial.
func New(dial func(address string) (net.Conn, error), now func() time.Time) *Pool {
	return &Pool{dial: dial, now: now, idle: map[string][]*Conn{}}
}

// Get returns an idle connection to address, or a new one if there is none or
// fresh is set.
func (p *Pool) Get(address string, fresh bool) (*Conn, error) {
	if !fresh {
		if conn := p.takeIdle(address); conn != nil {
			return conn, nil
		}
	}
	opened, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: opened, Reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

// Put keeps conn for reuse until the pool's idle timeout, or until closeBy if
// that is earlier and not zero. conn must have no unread data.
func (p *Pool) Put(address string, conn *Conn, closeBy time.Time) {
	conn.Reused = true
	conn.closeBy = p.now().Add(idleTimeout)
	if !closeBy.IsZero() && closeBy.Before(conn.closeBy) {
		conn.closeBy = closeBy
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress || conn.Reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

// Drop closes all idle connections to address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// CloseExpired closes the idle connections that are not to be reused any more, and all to an
// address if the one that was idle longest has failed. No request may go there again.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		hasFailed := !alive(conns[0].Conn)
		kept := slices.DeleteFunc(conns, func(conn *Conn) bool {
			isExpired := hasFailed || conn.closeBy.Before(now)
			if isExpired {
				_ = conn.Close()
			}
			return isExpired
		})
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Run closes expired connections until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	for pacer.Wait(ctx, expiryInterval) {
		p.CloseExpired()
	}
}

// takeIdle returns the most recently used connection to address, or nil. If that
// one has expired or failed, it closes all idle connections to address.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if last.closeBy.Before(p.now()) || !alive(last.Conn) {
		delete(p.idle, address)
		for _, conn := range conns {
			_ = conn.Close()
		}
		return nil
	}
	p.idle[address] = conns[:len(conns)-1]
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	return last
}
