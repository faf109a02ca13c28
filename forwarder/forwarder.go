// Package forwarder forwards the conditional writes of a large data centre to a few
// of its instances, which batch them into fewer transactions of the table service.
package forwarder

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/claimer"
	"wisteriadrum/counter"
	"wisteriadrum/keeper"
	"wisteriadrum/messenger"
	"wisteriadrum/ranker"
	"wisteriadrum/tabler"
)

const (
	// batchingInstances is the number of instances of a data centre that batch the
	// writes of all. In a data centre with no more instances than that, each
	// instance batches its own writes.
	batchingInstances = 4
	forwardTimeout    = 500 * time.Millisecond
)

// Remote commits a write through another instance.
type Remote interface {
	Apply(ctx context.Context, address string, write tabler.Write) (tabler.Row, bool, error)
}

// Forwarder is a claimer.Writer that forwards writes. If the other instance fails,
// the forwarder commits the same write through the local writer. That costs only
// time, because a write that was already committed is recognised by its value.
type Forwarder struct {
	self   messenger.Member
	board  *keeper.Board
	local  claimer.Writer
	remote Remote
	count  *counter.Counter
}

// New returns a forwarder for the instance self.
func New(self messenger.Member, board *keeper.Board, local claimer.Writer, remote Remote, count *counter.Counter) *Forwarder {
	return &Forwarder{self: self, board: board, local: local, remote: remote, count: count}
}

// Apply commits write through the instance that batches for its key, or through the
// local writer if that fails.
func (f *Forwarder) Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error) {
	target := f.batchingInstance(write.Key)
	if target.Name == f.self.Name {
		return f.local.Apply(ctx, write)
	}
	forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	row, committed, err := f.remote.Apply(forwardCtx, target.Peer, write)
	cancel()
	if err == nil {
		f.count.Add("table", "forwarded")
		return row, committed, nil
	}
	f.count.Add("table", "forward-failures")
	return f.local.Apply(ctx, write)
}

// batchingInstance returns the instance that batches for key. The batching
// instances are the first of the data centre in rendezvous order of a fixed key;
// among these, the first in rendezvous order of key is chosen.
func (f *Forwarder) batchingInstance(key string) messenger.Member {
	var localMembers []messenger.Member
	for _, member := range f.board.Members.Load() {
		if member.DataCentre == f.self.DataCentre && !member.Leaving {
			localMembers = append(localMembers, member)
		}
	}
	if len(localMembers) <= batchingInstances {
		return f.self
	}
	var batching []messenger.Member
	for range batchingInstances {
		best := indexOfHighest(localMembers, 0)
		batching = append(batching, localMembers[best])
		localMembers = append(localMembers[:best], localMembers[best+1:]...)
	}
	return batching[indexOfHighest(batching, xxhash.Sum64String(key))]
}

// indexOfHighest returns the index of the member with the highest rank for key.
func indexOfHighest(members []messenger.Member, key uint64) int {
	best, bestRank := 0, uint64(0)
	for i, member := range members {
		if rank := ranker.Rank(key, xxhash.Sum64String(member.Name)); rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}
