// Package asker asks other instances over connections that are kept.
package asker

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// callTimeout bounds the time that a request waits for an answer.
const callTimeout = 100 * time.Millisecond

// errSilent means that the instance did not answer in time.
var errSilent = errors.New("instance did not answer in time")

// Asker calls one method of other instances.
type Asker struct {
	method string
	dial   func(address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[string]*rpc.Client
}

// New returns an asker that calls a method.
func New(method string, dial func(address string) (net.Conn, error)) *Asker {
	return &Asker{method: method, dial: dial, clients: map[string]*rpc.Client{}}
}

// Ask calls the instance at address and stores what it returns in answer, which must not
// be used after an error.
func (a *Asker) Ask(address string, request, answer any) error {
	client, err := a.client(address)
	if err != nil {
		return err
	}
	call := client.Go(a.method, request, answer, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = errSilent
	}
	if err != nil {
		a.drop(address, client)
	}
	return err
}

// client returns a connection to the instance at address.
func (a *Asker) client(address string) (*rpc.Client, error) {
	a.mu.Lock()
	known := a.clients[address]
	a.mu.Unlock()
	if known != nil {
		return known, nil
	}
	conn, err := a.dial(address)
	if err != nil {
		return nil, err
	}
	added := rpc.NewClient(conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if known = a.clients[address]; known != nil {
		_ = added.Close() // another request was faster
		return known, nil
	}
	a.clients[address] = added
	return added, nil
}

// drop closes a connection that has failed.
func (a *Asker) drop(address string, client *rpc.Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.clients[address] == client {
		delete(a.clients, address)
	}
	_ = client.Close() // it is not used again
}
