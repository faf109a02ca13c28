// Package keeper holds the blackboard: what the controllers of an instance
// find out and its requests read.
package keeper

import (
	"wisteriadrum/assembler"
	"wisteriadrum/holder"
	"wisteriadrum/indexer"
	"wisteriadrum/lister"
	"wisteriadrum/messenger"
	"wisteriadrum/stopper"
)

// Board is the shared state of one instance. Each section holds an immutable
// value, written by one controller and read without a lock.
type Board struct {
	// Index is the newest configuration, written by the follower.
	Index holder.Value[*indexer.Index]
	// Fleet is the endpoints of Index, written by the follower.
	Fleet holder.Value[*assembler.Fleet]
	// ListedInstances is the platform's list, written by the membership controller.
	ListedInstances holder.Value[[]lister.Entry]
	// Stops is the planned stops, written by the follower and by operators.
	Stops holder.Value[stopper.Stops]
	// StoredStopsHash is the hash of the stops that the platform holds, written by
	// the follower.
	StoredStopsHash holder.Value[uint64]
	// Members is the instances believed alive, this one included, written by
	// the gossiper.
	Members holder.Value[[]messenger.Member]
	// Draining is set once the instance has begun to stop.
	Draining holder.Value[bool]
}

// New returns an empty board.
func New() *Board { return &Board{} }
