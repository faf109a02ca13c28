package launcher

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// network opens the connections of all instances and emulates network
// partitions between data centres.
type network struct {
	mu          sync.Mutex
	dataCentres map[string]string // by address; the platform's address has no data centre
	isolated    map[string]bool   // isolated data centres
	conns       map[*trackedConn]struct{}
}

// trackedConn is a connection with the data centres of its two ends. The
// network closes it when a partition separates them.
type trackedConn struct {
	net.Conn
	network  *network
	from, to string // data centres
}

var errPartitioned = errors.New("the data centres are partitioned")

const dialTimeout = time.Second

func newNetwork() *network {
	return &network{dataCentres: map[string]string{}, isolated: map[string]bool{}, conns: map[*trackedConn]struct{}{}}
}

func (n *network) assign(address, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dataCentres[address] = dataCentre
}

func (n *network) dialFrom(dataCentre string) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.dataCentres[address]
		partitioned := n.separated(dataCentre, to)
		n.mu.Unlock()
		if partitioned {
			return nil, errPartitioned
		}
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return nil, err
		}
		c := &trackedConn{Conn: conn, network: n, from: dataCentre, to: to}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = struct{}{}
		return c, nil
	}
}

func (n *network) separated(a, b string) bool { return a != b && (n.isolated[a] || n.isolated[b]) }

func (n *network) isolate(dataCentre string, isolated bool) {
	n.mu.Lock()
	n.isolated[dataCentre] = isolated
	var severed []*trackedConn
	for c := range n.conns {
		if n.separated(c.from, c.to) {
			severed = append(severed, c)
		}
	}
	n.mu.Unlock()
	for _, c := range severed {
		_ = c.Close()
	}
}

// SyscallConn returns the raw connection of the underlying TCP connection.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
