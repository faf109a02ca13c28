package granter_test

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/granter"
	"wisteriadrum/reserver"
)

// newReporter returns an instance whose hub is the home of the engine with key 1, where no
// room is left, and which cannot reach the home of the engine with key 2.
func newReporter(runningTokens int) *granter.Granter {
	full := func(uint64) (string, int) { return "e", runningTokens }
	dialHome := func(address string) (net.Conn, error) { return nil, fmt.Errorf("%s is unreachable", address) }
	hub := granter.New(func(key uint64) (string, bool) { return "home", key == 1 }, dialHome, full, counter.New(metrics.NewRegistry()), zap.NewNop(), time.Now)
	dialHub := func(string) (net.Conn, error) {
		server := rpc.NewServer()
		if err := hub.Register(server); err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		go server.ServeConn(far)
		return near, nil
	}
	return granter.New(func(uint64) (string, bool) { return "hub", false }, dialHub, full, counter.New(metrics.NewRegistry()), zap.NewNop(), time.Now)
}

// Guards against room that is granted at all engines since the home of one of them is lost.
func TestLostHomeOfAnotherEngine(t *testing.T) {
	g := newReporter(39000)
	request := reserver.Request{ID: 1, Tokens: 17000, LimitTokens: 40000}
	assert.Assert(t, g.Take(1, request) != reserver.Granted, "no room is left")
	g.Take(2, request)
	assert.Assert(t, g.Take(1, request) != reserver.Granted, "granted by a hub that counts as silent")
}

// Guards against sending all prompts that wait at a full engine when its home is lost: they
// are asked for without a look at its load.
func TestPromptsThatWaitWhileTheHomeIsLost(t *testing.T) {
	lost := func(string) (net.Conn, error) { return nil, errors.New("unreachable") }
	g := granter.New(func(uint64) (string, bool) { return "home", false }, lost, func(uint64) (string, int) { return "e", 39000 }, counter.New(metrics.NewRegistry()), zap.NewNop(), time.Now)
	granted := 0
	for id := range uint64(20) {
		if g.Take(1, reserver.Request{ID: id + 1, Tokens: 17000, LimitTokens: 40000, Claims: true}) == reserver.Granted {
			granted++
		}
	}
	assert.Equal(t, granted, 0)
}
