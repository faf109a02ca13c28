// Package severer wraps a listener so that a stand-in can lose its
// connections in the ways that real ones are lost.
package severer

import (
	"net"
	"sync"
)

// Listener accepts connections that can be cut or made silent.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a listener over inner.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Sever closes all connections accepted so far.
func (l *Listener) Sever() {
	for _, c := range l.open() {
		_ = c.Close()
	}
}

// Blackhole makes all connections accepted so far silent for good: what is
// written to them is lost and nothing is read from them, but they stay open.
func (l *Listener) Blackhole() {
	for _, c := range l.open() {
		c.mute()
	}
}

// Crash closes the listener and all its connections.
func (l *Listener) Crash() {
	_ = l.Listener.Close()
	l.Sever()
}

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

type conn struct {
	net.Conn
	owner     *Listener
	muteOnce  sync.Once
	closeOnce sync.Once
	silent    chan struct{}
	closed    chan struct{}
}

func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *conn) Write(data []byte) (int, error) {
	select {
	case <-c.silent:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

// Close closes the connection; a silent one stays open for the other side.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
		select {
		case <-c.silent:
		default:
			err = c.Conn.Close()
		}
	})
	return err
}

func (c *conn) mute() { c.muteOnce.Do(func() { close(c.silent) }) }
