package main

import (
	"io"
	"net"
	"sync"
)

// link is a loopback proxy before a worker. It stands for the network between the instances
// and the worker.
type link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func newLink(address, target string) (*link, error) {
	l := &link{address: address, target: target, conns: map[net.Conn]struct{}{}}
	return l, l.heal()
}

// moveBehindLink puts a link before a worker, whose row names the address of the link from
// then on.
func (s *scene) moveBehindLink(w *worker, zone string) (*link, error) {
	path, err := newLink(s.ip()+":8080", w.address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.listed, w.zone = path.address, zone
	w.mu.Unlock()
	w.register()
	return path, nil
}

// heal accepts connections unless it does already.
func (l *link) heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return nil
}

// cut resets all connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	l.listener = nil
	for conn := range l.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// track records that a connection is open, or is not any more.
func (l *link) track(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = struct{}{}
	} else {
		delete(l.conns, conn)
	}
}

func (l *link) serve(conn net.Conn) {
	l.track(conn, true)
	defer l.track(conn, false)
	defer conn.Close() //nolint:errcheck // nothing is left to do
	worker, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer worker.Close() //nolint:errcheck // nothing is left to do
	go func() {
		_, _ = io.Copy(conn, worker) // its end is that of the channel
		_ = conn.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if _, err := worker.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
