// Package keeper holds the blackboard of an instance, the state that its controllers
// write and its requests read.
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
	// Index is the newest configuration. It is written by the follower.
	Index holder.Value[*indexer.Index]
	// Fleet holds the state of the endpoints of Index. It is written by the
	// follower.
	Fleet holder.Value[*assembler.Fleet]
	// ListedInstances is the platform's list of instances. It is written by the
	// follower.
	ListedInstances holder.Value[[]lister.Entry]
	// Stops is the set of planned stops. It is written by the follower, which
	// merges those of the platform, of other instances and of operators.
	Stops holder.Value[stopper.Stops]
	// StoredStopsHash is the hash of the planned stops that are stored on the
	// platform. It is written by the follower, and by the controller that stores
	// the stops.
	StoredStopsHash holder.Value[uint64]
	// Members lists the live instances, including this one. It is written by the
	// gossiper.
	Members holder.Value[[]messenger.Member]
	// Draining is set when the instance begins to stop.
	Draining holder.Value[bool]
}

// New returns an empty board.
func New() *Board { return &Board{} }
