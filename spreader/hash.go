// Package spreader chooses by a hash of the prefix, as a baseline.
package spreader

import (
	"wisteriadrum/chooser"
	"wisteriadrum/ranker"
	"wisteriadrum/tracker"
)

type hash struct{ level int }

// New returns a policy that chooses by rendezvous hash of the prefix of level
// pieces, or of the longest prefix if that is shorter.
func New(level int) chooser.Policy { return hash{level: level} }

func (h hash) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	key := Key(query, h.level)
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

// Key returns the hash of the prefix of level pieces, or a random number for
// prompts without a whole piece.
func Key(query chooser.Query, level int) uint64 {
	depth := min(level, query.Chain.Depth())
	if depth == 0 {
		return query.Rand.Uint64()
	}
	return query.Chain.Level(depth - 1)
}
