// Package asker asks other instances over connections that are kept.
package asker

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// callTimeout bounds the time that a request waits for an answer, a dial included.
const callTimeout = 100 * time.Millisecond

// errSilent means that the instance did not answer in time.
var errSilent = errors.New("instance did not answer in time")

// Asker calls one method of other instances.
type Asker struct {
	method string
	dial   func(address string) (net.Conn, error)

	mu    sync.Mutex
	links map[string]*link
}

// link is a connection to another instance, or a dial of it that has not ended.
type link struct {
	dialed chan struct{}
	// client and err are the result of the dial, set before dialed is closed.
	client *rpc.Client
	err    error
}

// New returns an asker that calls a method.
func New(method string, dial func(address string) (net.Conn, error)) *Asker {
	return &Asker{method: method, dial: dial, links: map[string]*link{}}
}

// Ask calls the instance at address and stores what it returns in answer, which must not
// be used after an error. hops is 1 for a request of this instance, and greater for one
// that it forwards, which has less time, so that the instance it is from still gets an
// answer.
func (a *Asker) Ask(address string, hops int, request, answer any) error {
	timer := time.NewTimer(callTimeout / time.Duration(max(hops, 1)))
	defer timer.Stop()
	l := a.link(address)
	select {
	case <-l.dialed:
	case <-timer.C:
		return errSilent
	}
	if l.err != nil {
		return l.err
	}
	call := l.client.Go(a.method, request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var refused rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &refused) {
			a.drop(address, l)
		}
		return call.Error
	case <-timer.C:
		a.drop(address, l)
		return errSilent
	}
}

// link returns the connection to the instance at address, and dials it if there is none.
func (a *Asker) link(address string) *link {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.links[address]; known != nil {
		return known
	}
	l := &link{dialed: make(chan struct{})}
	a.links[address] = l
	go func() {
		defer close(l.dialed)
		conn, err := a.dial(address)
		if err != nil {
			l.err = err
			a.forget(address, l)
			return
		}
		l.client = rpc.NewClient(conn)
	}()
	return l
}

// drop closes a connection that has failed.
func (a *Asker) drop(address string, l *link) {
	a.forget(address, l)
	_ = l.client.Close() // it is not used again
}

// forget lets the next request dial the instance again.
func (a *Asker) forget(address string, l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[address] == l {
		delete(a.links, address)
	}
}
