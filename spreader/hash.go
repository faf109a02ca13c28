// Package spreader implements rendezvous hashing of the prompt prefix. It is a
// baseline for other policies.
package spreader

import (
	"wisteriadrum/chooser"
	"wisteriadrum/ranker"
	"wisteriadrum/tracker"
)

type hash struct{ depth int }

// New returns a policy that chooses by rendezvous hash of the prefix of depth pieces,
// or of the longest prefix if the prompt has fewer pieces.
func New(depth int) chooser.Policy { return hash{depth: depth} }

func (h hash) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	key := Key(query, h.depth)
	var best *tracker.Track
	var bestRank uint64
	for _, track := range tracks {
		if !query.Usable(track) {
			continue
		}
		if rank := ranker.Rank(key, track.Hash); best == nil || rank > bestRank {
			best, bestRank = track, rank
		}
	}
	return chooser.Choice{Track: best, Reason: "hash"}
}

// Key returns the hash of the prefix of maxDepth pieces, or of the longest prefix if
// the prompt has fewer. It returns a random number for prompts shorter than a piece.
func Key(query chooser.Query, maxDepth int) uint64 {
	depth := min(maxDepth, query.Chain.Depth())
	if depth == 0 {
		return query.Rand.Uint64()
	}
	return query.Chain.Level(depth - 1)
}
