// Package severer wraps a listener so that tests can make its connections fail
// as real ones do: closed, or open without passing data.
package severer

import (
	"net"
	"sync"
)

// Listener accepts connections that can be closed or blackholed all at once.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a listener that wraps inner.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l, blackholed: make(chan struct{}), closed: make(chan struct{})}
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

// Blackhole permanently discards the traffic of all connections accepted so far:
// writes are lost and reads block, but the connections stay open.
func (l *Listener) Blackhole() {
	for _, c := range l.open() {
		c.blackhole()
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
	listener      *Listener
	blackholeOnce sync.Once
	closeOnce     sync.Once
	blackholed    chan struct{}
	closed        chan struct{}
}

func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	select {
	case <-c.blackholed:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *conn) Write(data []byte) (int, error) {
	select {
	case <-c.blackholed:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

// Close closes the connection. A blackholed one stays open for the peer.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		select {
		case <-c.blackholed:
		default:
			err = c.Conn.Close()
		}
	})
	return err
}

func (c *conn) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }
