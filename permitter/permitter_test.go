package permitter_test

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/permitter"
)

// fleet is a number of instances, of which one is the home of all endpoints.
type fleet struct {
	mu        sync.Mutex
	home      string
	addresses map[string]string
	lost      map[string]bool
	members   map[string]*permitter.Permitter
}

// newFleet starts instances. Those named in hubs know the home only through their hub.
func newFleet(t *testing.T, home string, hubs map[string]string, names ...string) *fleet {
	t.Helper()
	f := &fleet{home: home, addresses: map[string]string{}, lost: map[string]bool{}, members: map[string]*permitter.Permitter{}}
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		f.addresses[name] = listener.Addr().String()
		member := permitter.New(func(uint64) (string, bool) { return f.homeOf(name, hubs[name]) }, f.dial, counter.New(metrics.NewRegistry()), time.Now)
		server := rpc.NewServer()
		assert.NilError(t, member.Register(server))
		go server.Accept(listener)
		f.members[name] = member
	}
	return f
}

func (f *fleet) homeOf(name, hub string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hub != "" {
		return f.addresses[hub], false
	}
	return f.addresses[f.home], f.home == name
}

func (f *fleet) dial(address string) (net.Conn, error) {
	f.mu.Lock()
	lost := f.lost[address]
	f.mu.Unlock()
	if lost {
		return nil, errors.New("unreachable")
	}
	return net.Dial("tcp", address)
}

// lose makes the home unreachable and another instance the home.
func (f *fleet) lose(home, next string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[f.addresses[home]], f.home = true, next
}

// Guards against more permits than the endpoint takes while several instances ask, one of
// them through a hub, and against counting of each endpoint's requests for another.
func TestPermitsOfAllInstances(t *testing.T) {
	f := newFleet(t, "a", map[string]string{"c": "b"}, "a", "b", "c")
	const perSecond, seconds = 20, 2
	var granted sync.Map
	var group sync.WaitGroup
	for name, member := range f.members {
		group.Go(func() {
			for begun := time.Now(); time.Since(begun) < seconds*time.Second; time.Sleep(10 * time.Millisecond) {
				ok, retryAt := member.Take(7, perSecond)
				if ok {
					count, _ := granted.LoadOrStore(name, 0)
					granted.Store(name, count.(int)+1)
				}
				time.Sleep(time.Until(retryAt))
			}
		})
	}
	group.Wait()
	total := 0
	for name := range f.members {
		count, _ := granted.LoadOrStore(name, 0)
		assert.Assert(t, count.(int) > 0, "%s got no permit", name)
		total += count.(int)
	}
	assert.Assert(t, total <= perSecond*seconds+perSecond+1 && total >= perSecond*seconds/2, "%d permits", total)
	ok, _ := f.members["b"].Take(8, perSecond)
	assert.Assert(t, ok)
}

// Guards against a wait for a home that is lost, and against a limit without effect at the
// next one.
func TestHomeIsLost(t *testing.T) {
	f := newFleet(t, "a", nil, "a", "b", "c")
	f.lose("a", "a")
	begun := time.Now()
	ok, retryAt := f.members["b"].Take(7, 1)
	assert.Assert(t, !ok && retryAt.After(begun) && time.Since(begun) < time.Second)
	f.lose("a", "c")
	ok, _ = f.members["b"].Take(7, 1)
	assert.Assert(t, ok)
	ok, _ = f.members["b"].Take(7, 1)
	assert.Assert(t, !ok)
	for range 3 {
		f.members["b"].RecordCall(9, 1)
	}
	ok, retryAt = f.members["c"].Take(9, 1)
	assert.Assert(t, !ok && time.Until(retryAt) > 2*time.Second, "calls that need no permit count")
}
