package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// firstRetransmission is after how long TCP sends a lost packet again; each further time
// takes twice as long.
const firstRetransmission = 200 * time.Millisecond

// link is a loopback proxy before a worker. It stands for the network between the instances
// and the worker.
type link struct {
	address, target string
	record          *record

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	// lossyFor are the instances whose packets get lost, and loss is the share of the packets.
	lossyFor []string
	loss     float64
	// healedAt are the times at which this ended.
	healedAt []time.Time
}

func newLink(address, target string, rec *record) (*link, error) {
	l := &link{address: address, target: target, record: rec, conns: map[net.Conn]struct{}{}}
	return l, l.heal()
}

// moveBehindLink puts a link before a worker, whose row names the address of the link from
// then on.
func (s *scene) moveBehindLink(w *worker, zone string) (*link, error) {
	path, err := newLink(s.ip()+":8080", w.address, s.record)
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

// setLoss makes a share of the packets of some instances get lost.
func (l *link) setLoss(instances []string, loss float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lossyFor, l.loss = instances, loss
	if len(instances) == 0 {
		l.healedAt = append(l.healedAt, time.Now())
	}
}

// healedBefore reports whether packets had ceased to get lost within thawTime before a time.
func (l *link) healedBefore(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, healedAt := range l.healedAt {
		if !at.Before(healedAt) && at.Before(healedAt.Add(thawTime)) {
			return true
		}
	}
	return false
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
			time.Sleep(l.delay(buffer[:n]))
			if _, err := worker.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delay returns how much later a packet arrives since it, and its retransmissions, get lost.
func (l *link) delay(packet []byte) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := slices.IndexFunc(l.lossyFor, func(name string) bool { return bytes.Contains(packet, []byte(`"holder":"`+name+`"`)) })
	if index < 0 {
		return 0
	}
	delay := time.Duration(0)
	for next := firstRetransmission; rand.Float64() < l.loss; next *= 2 {
		delay += next
	}
	if delay > 0 {
		l.record.add("link: an order of %s is lost on the way, and arrives %d ms later", l.lossyFor[index], delay.Milliseconds())
	}
	return delay
}
