// Package bounder implements rendezvous hashing of the prompt prefix with bounded
// loads. It is a baseline for other policies.
package bounder

import (
	"wisteriadrum/chooser"
	"wisteriadrum/ranker"
	"wisteriadrum/spreader"
	"wisteriadrum/tracker"
)

type bounded struct {
	depth  int
	factor float64
}

// New returns a policy that chooses the first endpoint in rendezvous order of the
// prefix of depth pieces whose load is below factor times the mean.
func New(depth int, factor float64) chooser.Policy {
	return bounded{depth: depth, factor: factor}
}

func (b bounded) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	maxLoad := b.maxLoad(query, tracks)
	key := spreader.Key(query, b.depth)
	var best, leastLoaded *tracker.Track
	var bestRank uint64
	for _, track := range tracks {
		if !query.Usable(track) {
			continue
		}
		if leastLoaded == nil || load(track) < load(leastLoaded) {
			leastLoaded = track
		}
		if float64(load(track)) >= maxLoad {
			continue
		}
		if rank := ranker.Rank(key, track.Hash); best == nil || rank > bestRank {
			best, bestRank = track, rank
		}
	}
	if best == nil {
		return chooser.Choice{Track: leastLoaded, Reason: "spare"}
	}
	return chooser.Choice{Track: best, Reason: "bounded"}
}

func (b bounded) maxLoad(query chooser.Query, tracks []*tracker.Track) float64 {
	total, usable := 0, 0
	for _, track := range tracks {
		if query.Usable(track) {
			total += load(track)
			usable++
		}
	}
	return max(1, b.factor*float64(total+1)/float64(max(usable, 1)))
}

func load(track *tracker.Track) int { return max(track.InFlight(), track.View().Running) }
