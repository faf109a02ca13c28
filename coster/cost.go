// Package coster chooses the endpoint with the lowest expected time to the
// first token: the wait ahead plus the prefill of what its cache lacks.
package coster

import (
	"math"
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/director"
	"wisteriadrum/mapper"
	"wisteriadrum/ranker"
	"wisteriadrum/tracker"
)

const (
	ranked    = 2 // endpoints considered by rendezvous for each level
	rankedTop = 3 // deepest levels that are ranked
	sampled   = 2 // endpoints considered at random
	// halfTrust is the age at which a holder's entry counts half.
	halfTrust = 20 * time.Second
	// tailWait and wasteWait are the weights of the wait ahead.
	tailWait  = 1.0
	wasteWait = 0.35
	// localGain is the cost in nanoseconds of leaving the data centre.
	localGain = float64(2 * time.Millisecond)
)

type cost struct {
	holders *mapper.Map
}

// New returns a policy that knows of caches what holders knows.
func New(holders *mapper.Map) chooser.Policy {
	return &cost{holders: holders}
}

type candidate struct {
	track  *tracker.Track
	depth  int
	trust  float64
	reason string
}

func (c *cost) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	var room [64]candidate
	found := c.known(query, tracks, room[:0])
	found = ranks(query, tracks, found)
	found = samples(query, tracks, found)
	best, bestCost := -1, math.Inf(1)
	for i := range found {
		if price := c.price(query, found[i]); price < bestCost {
			best, bestCost = i, price
		}
	}
	if best < 0 {
		return first(query, tracks)
	}
	return chooser.Choice{Track: found[best].track, Reason: found[best].reason, Depth: found[best].depth}
}

// price returns the expected time to the first token in nanoseconds, with the
// wait ahead weighted as the route asks.
func (c *cost) price(query chooser.Query, option candidate) float64 {
	perByte := float64(max(query.PerByte, 1))
	weight := tailWait
	if query.Weigh == director.Waste {
		weight = wasteWait
	}
	wait := float64(option.track.Queue(query.Now, query.PerByte)) * perByte * weight
	saved := float64(query.Chain.Size()-query.Chain.Missing(option.depth)) * option.trust
	price := wait + (float64(query.Chain.Size())-saved)*perByte
	if !option.track.Local {
		price += localGain
	}
	return price
}

// known adds the open holders of the deepest levels.
func (c *cost) known(query chooser.Query, tracks []*tracker.Track, found []candidate) []candidate {
	var room [8]mapper.Holder
	for level := query.Chain.Depth() - 1; level >= 0 && len(found) < 16; level-- {
		for _, holder := range c.holders.Holders(query.Chain.Level(level), query.Now, room[:0]) {
			track := bySlot(tracks, holder.Slot)
			if track == nil || !query.Usable(track) || has(found, track) {
				continue
			}
			trust := math.Exp2(-float64(holder.Age) / float64(halfTrust))
			found = append(found, candidate{track: track, depth: level + 1, trust: trust, reason: "holder"})
		}
	}
	return found
}

// ranks adds the first endpoints in rendezvous order for the first level and
// for the deepest ones.
func ranks(query chooser.Query, tracks []*tracker.Track, found []candidate) []candidate {
	depth := query.Chain.Depth()
	for level := range depth {
		if level > 0 && level < depth-rankedTop {
			continue
		}
		found = rankLevel(query, query.Chain.Level(level), tracks, found)
	}
	return found
}

func rankLevel(query chooser.Query, key uint64, tracks []*tracker.Track, found []candidate) []candidate {
	var top [ranked]*tracker.Track
	var ranks [ranked]uint64
	for _, track := range tracks {
		rank := ranker.Rank(key, track.Hash)
		if rank <= ranks[ranked-1] || !query.Usable(track) {
			continue
		}
		place := ranked - 1
		for ; place > 0 && rank > ranks[place-1]; place-- {
			top[place], ranks[place] = top[place-1], ranks[place-1]
		}
		top[place], ranks[place] = track, rank
	}
	for _, track := range top {
		if track != nil && !has(found, track) {
			found = append(found, candidate{track: track, reason: "ranked"})
		}
	}
	return found
}

func samples(query chooser.Query, tracks []*tracker.Track, found []candidate) []candidate {
	for range min(sampled, len(tracks)) {
		track := tracks[query.Rand.IntN(len(tracks))]
		if query.Usable(track) && !has(found, track) {
			found = append(found, candidate{track: track, reason: "sampled"})
		}
	}
	return found
}

// first returns any usable endpoint when no candidate was.
func first(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	for _, track := range tracks {
		if query.Usable(track) {
			return chooser.Choice{Track: track, Reason: "only"}
		}
	}
	return chooser.Choice{}
}

func has(found []candidate, track *tracker.Track) bool {
	for i := range found {
		if found[i].track == track {
			return true
		}
	}
	return false
}

func bySlot(tracks []*tracker.Track, slot uint16) *tracker.Track {
	for _, track := range tracks {
		if track.View().Slot == slot {
			return track
		}
	}
	return nil
}
