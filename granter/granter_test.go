package granter_test

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/granter"
	"wisteriadrum/reserver"
)

const key = 7

// fleet is instances of which n0 is the home of the engine, and the others ask the next one.
type fleet struct {
	clock    atomic.Int64
	granters map[string]*granter.Granter
	lost     atomic.Bool
	dials    atomic.Int32
}

func newFleet() *fleet {
	f := &fleet{granters: map[string]*granter.Granter{}}
	f.clock.Store(int64(time.Hour))
	for n := range 3 {
		home := func(uint64) (string, bool) { return fmt.Sprint("n", n-1), n == 0 }
		f.granters[fmt.Sprint("n", n)] = granter.New(home, f.dial, func(uint64) (string, int) { return "e", 5000 }, counter.New(metrics.NewRegistry()), zap.NewNop(), f.now)
	}
	return f
}

func (f *fleet) now() time.Time { return time.Unix(0, f.clock.Load()) }

func (f *fleet) dial(address string) (net.Conn, error) {
	f.dials.Add(1)
	if f.lost.Load() {
		return nil, errors.New("unreachable")
	}
	server := rpc.NewServer()
	if err := f.granters[address].Register(server); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	return near, nil
}

// take asks for room of which the engine has 35,000 tokens.
func (f *fleet) take(instance int, id uint64) bool {
	request := reserver.Request{ID: id, Tokens: 17000, LimitTokens: 40000}
	return f.granters[fmt.Sprint("n", instance)].Take(key, request) == reserver.Granted
}

// Guards against instances that each send a prompt to the engine that looks empty to all.
func TestHomeGrantsRoomToAllInstances(t *testing.T) {
	f := newFleet()
	granted := 0
	for id := range uint64(9) {
		if f.take(int(id)%3, id+1) {
			granted++
		}
	}
	assert.Equal(t, granted, 2)
	f.clock.Add(int64(2 * time.Second))
	assert.Assert(t, f.take(1, 100), "granted room shows in the load")
}

// Guards against prompts that wait for a home that is gone.
func TestHomeIsLost(t *testing.T) {
	f := newFleet()
	f.lost.Store(true)
	for id := range uint64(5) {
		assert.Equal(t, f.take(1, id+1), id < 2, "decided by what the instance knows")
	}
	assert.Equal(t, f.dials.Load(), int32(1), "asked again at once")
	f.lost.Store(false)
	f.clock.Add(int64(time.Second))
	assert.Assert(t, f.take(1, 10))
	assert.Assert(t, f.take(1, 11))
	assert.Assert(t, !f.take(1, 12))
}

func TestMalformedRequest(t *testing.T) {
	f := newFleet()
	client := func() *rpc.Client {
		conn, err := f.dial("n0")
		assert.NilError(t, err)
		return rpc.NewClient(conn)
	}()
	var answer reserver.Answer
	err := client.Call("Room.Answer", granter.Ask{Key: key, Room: reserver.Request{Tokens: -1}}, &answer)
	assert.ErrorContains(t, err, "negative")
}
