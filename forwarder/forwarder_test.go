package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/forwarder"
	"wisteriadrum/keeper"
	"wisteriadrum/messenger"
	"wisteriadrum/tabler"
)

type writer struct{ keys []string }

func (w *writer) Apply(_ context.Context, write tabler.Write) (tabler.Row, bool, error) {
	w.keys = append(w.keys, write.Key)
	return tabler.Row{Key: write.Key}, true, nil
}

type network struct {
	addresses map[string]int
	down      bool
}

func (n *network) Apply(_ context.Context, address string, write tabler.Write) (tabler.Row, bool, error) {
	if n.down {
		return tabler.Row{}, false, errors.New("unreachable")
	}
	n.addresses[address]++
	return tabler.Row{Key: write.Key}, true, nil
}

// Without agreement on the batching instances, forwarded writes would be spread
// over all instances and not be batched. All instances must forward to the same few
// instances. If one of these is unreachable, the write must be committed locally.
func TestFewInstancesBatch(t *testing.T) {
	board := keeper.New()
	var members []messenger.Member
	for i := range 55 {
		members = append(members, messenger.Member{Name: fmt.Sprint("node-", i), DataCentre: "a", Peer: fmt.Sprint("peer-", i)})
	}
	members = append(members, messenger.Member{Name: "far", DataCentre: "b", Peer: "far"})
	board.Members.Store(members)
	remote := &network{addresses: map[string]int{}}
	local := &writer{}
	for _, self := range members[:10] {
		f := forwarder.New(self, board, local, remote, counter.New(metrics.NewRegistry()))
		for key := range 100 {
			_, committed, err := f.Apply(t.Context(), tabler.Write{Key: fmt.Sprint(key)})
			assert.Assert(t, err == nil && committed)
		}
	}
	assert.Assert(t, len(remote.addresses) >= 3 && len(remote.addresses) <= 4, "%v", remote.addresses)
	remote.down = true
	f := forwarder.New(messenger.Member{Name: "new", DataCentre: "a"}, board, local, remote, counter.New(metrics.NewRegistry()))
	before := len(local.keys)
	_, committed, err := f.Apply(t.Context(), tabler.Write{Key: "k"})
	assert.Assert(t, err == nil && committed)
	assert.Equal(t, len(local.keys), before+1)
}
