// Package forwarder sends the claims of a large data centre to a few of its
// instances, so that they share transactions of the table service.
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
	// gatherers is the number of instances of a data centre that batch for
	// the others. A smaller data centre has each batch for itself.
	gatherers     = 4
	forwardWithin = 500 * time.Millisecond
)

// Remote commits a write at another instance.
type Remote interface {
	Apply(ctx context.Context, address string, write tabler.Write) (tabler.Row, bool, error)
}

// Forwarder is a claimer.Writer. A wrong or dead instance costs time only:
// the same write is then committed here, and is recognised if it was made.
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

// Apply commits write as claimer.Writer describes.
func (f *Forwarder) Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error) {
	chosen := f.pick(write.Key)
	if chosen.Name == f.self.Name {
		return f.local.Apply(ctx, write)
	}
	limit, cancel := context.WithTimeout(ctx, forwardWithin)
	row, won, err := f.remote.Apply(limit, chosen.Peer, write)
	cancel()
	if err == nil {
		f.count.Add("table", "forwarded")
		return row, won, nil
	}
	f.count.Add("table", "forward-failures")
	return f.local.Apply(ctx, write)
}

// pick returns the instance that batches for key: among the first few of the
// data centre in rendezvous order the first in the order of key.
func (f *Forwarder) pick(key string) messenger.Member {
	var near []messenger.Member
	for _, member := range f.board.Members.Load() {
		if member.DataCentre == f.self.DataCentre && !member.Leaving {
			near = append(near, member)
		}
	}
	if len(near) <= gatherers {
		return f.self
	}
	var first []messenger.Member
	for range gatherers {
		best := highest(near, 0)
		first = append(first, near[best])
		near = append(near[:best], near[best+1:]...)
	}
	return first[highest(first, xxhash.Sum64String(key))]
}

func highest(members []messenger.Member, key uint64) int {
	best, bestRank := 0, uint64(0)
	for i, member := range members {
		if rank := ranker.Rank(key, xxhash.Sum64String(member.Name)); rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}
