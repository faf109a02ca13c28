// Package pooler keeps idle connections to endpoints for reuse.
package pooler

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	maxIdle     = 32
	idleTimeout = 20 * time.Second
	bufferBytes = 4096
)

// Conn is a connection with the reader that holds what arrived on it.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused reports whether an earlier answer came over this connection.
	Reused  bool
	closeBy time.Time
}

// Pool keeps idle connections by address, the latest used first.
type Pool struct {
	dial func(address string) (net.Conn, error)
	now  func() time.Time
	mu   sync.Mutex
	idle map[string][]*Conn
}

// New returns a pool that opens connections with dial.
func New(dial func(address string) (net.Conn, error), now func() time.Time) *Pool {
	return &Pool{dial: dial, now: now, idle: map[string][]*Conn{}}
}

// Get returns an idle connection to address, or a new one.
func (p *Pool) Get(address string, fresh bool) (*Conn, error) {
	if !fresh {
		if conn := p.take(address); conn != nil {
			return conn, nil
		}
	}
	raw, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(raw, bufferBytes)}, nil
}

// Put keeps conn for reuse until the pool's own limit or closeBy, unless that
// is zero. Nothing may be unread on it.
func (p *Pool) Put(address string, conn *Conn, closeBy time.Time) {
	conn.Reused = true
	conn.closeBy = p.now().Add(idleTimeout)
	if !closeBy.IsZero() && closeBy.Before(conn.closeBy) {
		conn.closeBy = closeBy
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle || conn.Reader.Buffered() > 0 {
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

func (p *Pool) take(address string) *Conn {
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
	return last
}
