package launcher

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// network opens the connections of all instances and separates data centres.
type network struct {
	mu     sync.Mutex
	places map[string]string // data centre by address; the platform has none
	apart  map[string]bool   // data centres that are cut off
	conns  map[*link]struct{}
}

// link is a connection between two places.
type link struct {
	net.Conn
	network  *network
	from, to string
}

var errCut = errors.New("the data centres are cut from each other")

const dialTimeout = time.Second

func newNetwork() *network {
	return &network{places: map[string]string{}, apart: map[string]bool{}, conns: map[*link]struct{}{}}
}

func (n *network) place(address, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = dataCentre
}

func (n *network) dialFrom(dataCentre string) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.places[address]
		separate := n.separate(dataCentre, to)
		n.mu.Unlock()
		if separate {
			return nil, errCut
		}
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return nil, err
		}
		l := &link{Conn: conn, network: n, from: dataCentre, to: to}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[l] = struct{}{}
		return l, nil
	}
}

func (n *network) separate(a, b string) bool { return a != b && (n.apart[a] || n.apart[b]) }

func (n *network) cut(dataCentre string, cut bool) {
	n.mu.Lock()
	n.apart[dataCentre] = cut
	var lost []*link
	for l := range n.conns {
		if n.separate(l.from, l.to) {
			lost = append(lost, l)
		}
	}
	n.mu.Unlock()
	for _, l := range lost {
		_ = l.Close()
	}
}

// SyscallConn gives access to the descriptor, as that of a TCP connection does.
func (l *link) SyscallConn() (syscall.RawConn, error) {
	return l.Conn.(syscall.Conn).SyscallConn()
}

// Close closes the connection and forgets it.
func (l *link) Close() error {
	l.network.mu.Lock()
	delete(l.network.conns, l)
	l.network.mu.Unlock()
	return l.Conn.Close()
}
