// Package saver decides to which store an engine saves the parts of a prompt. It answers
// the load of many long shared parts after new weights, a start or a crash: their engines
// evict or lose them, and reading them again delays all prompts behind.
package saver

import "wisteriadrum/ranker"

// Store is a store that parts can be saved to.
type Store struct {
	// ID identifies the store.
	ID uint64
	// Holds means that the store has the part already.
	Holds bool
	// QueuedMillis is the time until its link is free.
	QueuedMillis float64
}

// Choose returns the index of the store to save a prompt to that begins with a part, or
// -1. The stores divide the parts among them by rendezvous hashing. No part is saved twice,
// and none to a store whose link is busy for maxQueueMillis or longer: what is fetched from
// there would wait behind it.
func Choose(part uint64, stores []Store, maxQueueMillis float64) int {
	home, homeScore := -1, uint64(0)
	for index, store := range stores {
		if store.Holds {
			return -1
		}
		if score := ranker.Rank(part, store.ID); home < 0 || score > homeScore {
			home, homeScore = index, score
		}
	}
	if home < 0 || stores[home].QueuedMillis >= maxQueueMillis {
		return -1
	}
	return home
}
