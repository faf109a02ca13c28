// Package bounder chooses by a hash of the prefix with a bound on load, as a
// baseline.
package bounder

import (
	"wisteriadrum/chooser"
	"wisteriadrum/ranker"
	"wisteriadrum/spreader"
	"wisteriadrum/tracker"
)

type bounded struct {
	level  int
	factor float64
}

// New returns a policy that chooses the first endpoint in rendezvous order of
// the prefix of level pieces whose load is below factor times the mean.
func New(level int, factor float64) chooser.Policy {
	return bounded{level: level, factor: factor}
}

func (b bounded) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	limit := b.limit(query, tracks)
	key := spreader.Key(query, b.level)
	var best, spare *tracker.Track
	var bestRank uint64
	for _, track := range tracks {
		if !query.Usable(track) {
			continue
		}
		if spare == nil || load(track) < load(spare) {
			spare = track
		}
		if float64(load(track)) >= limit {
			continue
		}
		if rank := ranker.Rank(key, track.Hash); best == nil || rank > bestRank {
			best, bestRank = track, rank
		}
	}
	if best == nil {
		return chooser.Choice{Track: spare, Reason: "spare"}
	}
	return chooser.Choice{Track: best, Reason: "bounded"}
}

func (b bounded) limit(query chooser.Query, tracks []*tracker.Track) float64 {
	total, open := 0, 0
	for _, track := range tracks {
		if query.Usable(track) {
			total += load(track)
			open++
		}
	}
	return max(1, b.factor*float64(total+1)/float64(max(open, 1)))
}

func load(track *tracker.Track) int { return max(track.InFlight(), track.View().Running) }
