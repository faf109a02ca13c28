// Package coster chooses the endpoint with the lowest expected cost: the wait
// ahead, and the prefill of what its cache lacks, which weighs more because
// it also makes others wait.
package coster

import (
	"math"
	"sort"
	"time"

	"wisteriadrum/calibrator"
	"wisteriadrum/chooser"
	"wisteriadrum/director"
	"wisteriadrum/mapper"
	"wisteriadrum/tracker"
)

const (
	ranked  = 2  // endpoints considered by rendezvous for each ranked level
	sampled = 4  // endpoints considered at random
	holders = 16 // holders considered
	room    = 64 // endpoints considered in all

	// tailMissing and wasteMissing weigh a byte to compute against one ahead.
	tailMissing  = 12.0
	wasteMissing = 40.0
	// blindShare and seeingShare are how far the first in rendezvous order is
	// trusted to hold a prefix without and with cache events.
	blindShare  = 0.9
	seeingShare = 0.1
	// awayCost is the cost of leaving the data centre, in nanoseconds.
	awayCost = float64(2 * time.Millisecond)
	// shortlist is the number of endpoints whose load is worth asking for.
	shortlist = 2
)

// worthAsking is the prefill time from which on fresh loads are asked for.
const worthAsking = 20 * time.Millisecond

type cost struct {
	holders *mapper.Map
	trust   *calibrator.Calibrator
}

// New returns a policy that knows of caches what holders knows and learns how
// far that can be trusted.
func New(holders *mapper.Map, trust *calibrator.Calibrator) chooser.Policy {
	return &cost{holders: holders, trust: trust}
}

// candidate is one endpoint with the guess that its cache holds depth levels.
type candidate struct {
	track  *tracker.Track
	depth  int
	kind   calibrator.AgeClass
	share  float64 // of depth that is expected to be true
	reason string
}

func (c *cost) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	var space [room]candidate
	found := c.candidates(query, tracks, space[:0])
	best, bestCost := -1, math.Inf(1)
	for i := range found {
		if price := price(query, found[i]); price < bestCost {
			best, bestCost = i, price
		}
	}
	if best < 0 {
		return first(query, tracks)
	}
	return c.choice(found[best])
}

// Shortlist returns the endpoints whose load is worth asking for before a
// choice, which are few, and none for a request that is cheap anyhow.
func (c *cost) Shortlist(query chooser.Query, tracks []*tracker.Track) []*tracker.Track {
	if query.Objective == director.MinRecompute {
		return nil
	}
	var space [room]candidate
	found := c.candidates(query, tracks, space[:0])
	if len(found) < 2 {
		return nil
	}
	sort.SliceStable(found, func(i, j int) bool { return price(query, found[i]) < price(query, found[j]) })
	missing := query.Chain.MissingBytes(min(found[0].depth, query.Chain.Depth()))
	if time.Duration(missing*query.PrefillNanosPerByte) < worthAsking {
		return nil
	}
	list := make([]*tracker.Track, 0, shortlist)
	for _, option := range found[:shortlist] {
		list = append(list, option.track)
	}
	return list
}

func (c *cost) choice(option candidate) chooser.Choice {
	choice := chooser.Choice{Track: option.track, Reason: option.reason}
	choice.CachedLevels = int(math.Round(option.expected()))
	if option.reason != "holder" {
		return choice
	}
	choice.OnCached = func(cached int) {
		c.trust.Update(option.kind, float64(min(cached, option.depth))/float64(option.depth))
	}
	return choice
}

func (c *cost) candidates(query chooser.Query, tracks []*tracker.Track, found []candidate) []candidate {
	found = c.known(query, found)
	found = c.ranks(query, tracks, found)
	return samples(query, tracks, found)
}

// price returns the expected cost in nanoseconds.
func price(query chooser.Query, option candidate) float64 {
	perByte := float64(max(query.PrefillNanosPerByte, 1))
	weight := tailMissing
	if query.Objective == director.MinRecompute {
		weight = wasteMissing
	}
	cached := float64(query.Chain.SizeBytes()-query.Chain.MissingBytes(option.depth)) * option.share
	price := perByte * (float64(option.track.QueuedBytes(query.Now, query.PrefillNanosPerByte)) + weight*(float64(query.Chain.SizeBytes())-cached))
	if !option.track.Local {
		price += awayCost
	}
	return price
}

// known adds the open holders of the deepest levels.
func (c *cost) known(query chooser.Query, found []candidate) []candidate {
	var space [8]mapper.Holder
	for level := query.Chain.Depth() - 1; level >= 0 && len(found) < holders; level-- {
		for _, holder := range c.holders.Holders(query.Chain.Level(level), query.Now, space[:0]) {
			track := c.holders.Owner(holder.Slot)
			if track == nil || !query.Usable(track) || has(found, track) {
				continue
			}
			kind := calibrator.ClassOf(holder.Age)
			found = append(found, candidate{track: track, depth: level + 1, kind: kind, share: c.trust.HitRate(kind), reason: "holder"})
		}
	}
	return found
}

// ranks adds the first endpoints in rendezvous order of the prefixes of 1, 2,
// 4, 8 and so on levels, the longest first. Prompts that part late share the
// short ones, so that all instances look for them at the same endpoints.
func (c *cost) ranks(query chooser.Query, tracks []*tracker.Track, found []candidate) []candidate {
	depth := 1
	for depth*2 <= query.Chain.Depth() {
		depth *= 2
	}
	for ; depth > 0 && depth <= query.Chain.Depth(); depth /= 2 {
		if len(found) > room-sampled-ranked {
			break
		}
		found = c.rankLevel(query, depth, tracks, found)
	}
	return found
}

func (c *cost) rankLevel(query chooser.Query, depth int, tracks []*tracker.Track, found []candidate) []candidate {
	for rank, track := range top(query, query.Chain.Level(depth-1), tracks) {
		if track == nil {
			continue
		}
		guess := candidate{track: track, depth: depth, share: c.blind(rank), reason: "ranked"}
		found = addBetter(found, guess)
	}
	return found
}

// blind returns how far the rendezvous order alone is trusted: much when the
// map sees little, and little when it would show the prefix if it were there.
func (c *cost) blind(rank int) float64 {
	coverage := c.holders.Coverage()
	share := blindShare*(1-coverage) + seeingShare*coverage
	return share / float64(rank+1)
}

// top returns the first usable endpoints in rendezvous order of key, nil in
// the places of those that are closed beyond the kept beginning of the order.
func top(query chooser.Query, key uint64, tracks []*tracker.Track) [ranked]*tracker.Track {
	var best [ranked]*tracker.Track
	count := 0
	for _, place := range query.Order.First(key) {
		if track := tracks[place]; count < ranked && query.Usable(track) {
			best[count] = track
			count++
		}
	}
	return best
}

// addBetter adds guess, or puts it in the place of a guess about the same
// endpoint that expects less.
func addBetter(found []candidate, guess candidate) []candidate {
	for i := range found {
		if found[i].track != guess.track {
			continue
		}
		if found[i].expected() < guess.expected() {
			found[i] = guess
		}
		return found
	}
	return append(found, guess)
}

// expected returns the number of levels expected in the cache.
func (c candidate) expected() float64 { return float64(c.depth) * c.share }

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
