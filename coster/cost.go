// Package coster implements the policy that chooses the endpoint with the
// lowest expected cost. The cost is the prefill time of the queue and that of
// the prompt bytes that the endpoint's cache lacks. The latter has a higher
// weight because it also delays later requests.
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
	rankedPerLevel = 2  // candidates by rendezvous order for each ranked level
	maxSampled     = 4  // candidates drawn at random
	maxHolders     = 16 // candidates that are known holders
	maxCandidates  = 64 // candidates in all

	// tailMissingWeight and recomputeMissingWeight are the weights of a prompt
	// byte that is not cached, relative to a byte in the queue, for the objectives
	// MinTailLatency and MinRecompute.
	tailMissingWeight      = 12.0
	recomputeMissingWeight = 40.0
	// rankedHitRateWithoutEvents and rankedHitRateWithEvents are the expected
	// hit rates at the first endpoint in rendezvous order if none or all of the
	// engines' cache events arrive.
	rankedHitRateWithoutEvents = 0.9
	rankedHitRateWithEvents    = 0.1
	// remoteCost is the cost of an endpoint in another data centre, in
	// nanoseconds.
	remoteCost = float64(2 * time.Millisecond)
	// shortlistLength is the number of endpoints whose load is refreshed.
	shortlistLength = 2
)

// minRefreshPrefill is the shortest prefill for which load reports are refreshed.
const minRefreshPrefill = 20 * time.Millisecond

type costPolicy struct {
	cacheMap    *mapper.Map
	calibration *calibrator.Calibrator
}

// New returns a policy that looks up cached prefixes in cacheMap and uses and
// updates calibration for the hit rate of its entries.
func New(cacheMap *mapper.Map, calibration *calibrator.Calibrator) chooser.Policy {
	return &costPolicy{cacheMap: cacheMap, calibration: calibration}
}

// candidate is an endpoint that may hold depth levels in its cache.
type candidate struct {
	track    *tracker.Track
	depth    int
	ageClass calibrator.AgeClass // if reason is "holder"
	hitRate  float64             // expected share of depth that is cached
	reason   string
}

func (c *costPolicy) Choose(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	var buffer [maxCandidates]candidate
	candidates := c.findCandidates(query, tracks, buffer[:0])
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		if cost := expectedCost(query, candidates[i]); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return firstUsable(query, tracks)
	}
	return c.choice(candidates[best])
}

// Shortlist returns the candidates with the lowest cost. It returns none if the
// route minimises recomputation, if there are fewer than two candidates, or if
// the expected prefill is short.
func (c *costPolicy) Shortlist(query chooser.Query, tracks []*tracker.Track) []*tracker.Track {
	if query.Objective == director.MinRecompute {
		return nil
	}
	var buffer [maxCandidates]candidate
	candidates := c.findCandidates(query, tracks, buffer[:0])
	if len(candidates) < 2 {
		return nil
	}
	sort.SliceStable(candidates, func(i, j int) bool { return expectedCost(query, candidates[i]) < expectedCost(query, candidates[j]) })
	missing := query.Chain.MissingBytes(min(candidates[0].depth, query.Chain.Depth()))
	if time.Duration(missing*query.PrefillNanosPerByte) < minRefreshPrefill {
		return nil
	}
	list := make([]*tracker.Track, 0, shortlistLength)
	for _, option := range candidates[:shortlistLength] {
		list = append(list, option.track)
	}
	return list
}

func (c *costPolicy) choice(option candidate) chooser.Choice {
	choice := chooser.Choice{Track: option.track, Reason: option.reason}
	choice.CachedLevels = int(math.Round(option.expected()))
	if option.reason != "holder" {
		return choice
	}
	choice.OnCached = func(cached int) {
		c.calibration.Update(option.ageClass, float64(min(cached, option.depth))/float64(option.depth))
	}
	return choice
}

func (c *costPolicy) findCandidates(query chooser.Query, tracks []*tracker.Track, candidates []candidate) []candidate {
	candidates = c.addHolders(query, candidates)
	candidates = c.addRanked(query, tracks, candidates)
	return addSampled(query, tracks, candidates)
}

// expectedCost returns the expected cost of option in nanoseconds.
func expectedCost(query chooser.Query, option candidate) float64 {
	perByte := float64(max(query.PrefillNanosPerByte, 1))
	weight := tailMissingWeight
	if query.Objective == director.MinRecompute {
		weight = recomputeMissingWeight
	}
	cached := float64(query.Chain.SizeBytes()-query.Chain.MissingBytes(option.depth)) * option.hitRate
	cost := perByte * (float64(option.track.QueuedBytes(query.Now, query.PrefillNanosPerByte)) + weight*(float64(query.Chain.SizeBytes())-cached))
	if !option.track.Local {
		cost += remoteCost
	}
	return cost
}

// addHolders appends the usable endpoints that hold the deepest levels.
func (c *costPolicy) addHolders(query chooser.Query, candidates []candidate) []candidate {
	var buffer [8]mapper.Holder
	for level := query.Chain.Depth() - 1; level >= 0 && len(candidates) < maxHolders; level-- {
		for _, holder := range c.cacheMap.Holders(query.Chain.Level(level), query.Now, buffer[:0]) {
			track := c.cacheMap.Owner(holder.Slot)
			if track == nil || !query.Usable(track) || contains(candidates, track) {
				continue
			}
			ageClass := calibrator.ClassOf(holder.Age)
			candidates = append(candidates, candidate{track: track, depth: level + 1, ageClass: ageClass, hitRate: c.calibration.HitRate(ageClass), reason: "holder"})
		}
	}
	return candidates
}

// addRanked appends the first endpoints in rendezvous order of the prefixes of
// 1, 2, 4, 8 and so on levels, the longest first. Prompts with a common
// beginning share the shorter of these prefixes, and so all instances consider
// the same endpoints for them.
func (c *costPolicy) addRanked(query chooser.Query, tracks []*tracker.Track, candidates []candidate) []candidate {
	depth := 1
	for depth*2 <= query.Chain.Depth() {
		depth *= 2
	}
	for ; depth > 0 && depth <= query.Chain.Depth(); depth /= 2 {
		if len(candidates) > maxCandidates-maxSampled-rankedPerLevel {
			break
		}
		candidates = c.addRankedLevel(query, depth, tracks, candidates)
	}
	return candidates
}

func (c *costPolicy) addRankedLevel(query chooser.Query, depth int, tracks []*tracker.Track, candidates []candidate) []candidate {
	for rank, track := range firstRanked(query, query.Chain.Level(depth-1), tracks) {
		if track == nil {
			continue
		}
		option := candidate{track: track, depth: depth, hitRate: c.rankedHitRate(rank), reason: "ranked"}
		candidates = addOrReplace(candidates, option)
	}
	return candidates
}

// rankedHitRate returns the expected hit rate at the endpoint with the given
// rank in rendezvous order. It is high while few cache events arrive. With many
// events it is low, because the cache map would list the endpoint as a holder
// if it had the prefix.
func (c *costPolicy) rankedHitRate(rank int) float64 {
	coverage := c.cacheMap.Coverage()
	hitRate := rankedHitRateWithoutEvents*(1-coverage) + rankedHitRateWithEvents*coverage
	return hitRate / float64(rank+1)
}

// firstRanked returns the first usable endpoints in rendezvous order of key.
// The remaining elements are nil if fewer of those that the order stores are
// usable.
func firstRanked(query chooser.Query, key uint64, tracks []*tracker.Track) [rankedPerLevel]*tracker.Track {
	var best [rankedPerLevel]*tracker.Track
	count := 0
	for _, index := range query.Order.First(key) {
		if track := tracks[index]; count < rankedPerLevel && query.Usable(track) {
			best[count] = track
			count++
		}
	}
	return best
}

// addOrReplace appends option. If there already is a candidate with the same
// endpoint, only the one with more expected cached levels is kept.
func addOrReplace(candidates []candidate, option candidate) []candidate {
	for i := range candidates {
		if candidates[i].track != option.track {
			continue
		}
		if candidates[i].expected() < option.expected() {
			candidates[i] = option
		}
		return candidates
	}
	return append(candidates, option)
}

// expected returns the expected number of cached levels.
func (c candidate) expected() float64 { return float64(c.depth) * c.hitRate }

func addSampled(query chooser.Query, tracks []*tracker.Track, candidates []candidate) []candidate {
	for range min(maxSampled, len(tracks)) {
		track := tracks[query.Rand.IntN(len(tracks))]
		if query.Usable(track) && !contains(candidates, track) {
			candidates = append(candidates, candidate{track: track, reason: "sampled"})
		}
	}
	return candidates
}

// firstUsable returns the first usable endpoint. It is used if there are no
// candidates.
func firstUsable(query chooser.Query, tracks []*tracker.Track) chooser.Choice {
	for _, track := range tracks {
		if query.Usable(track) {
			return chooser.Choice{Track: track, Reason: "only"}
		}
	}
	return chooser.Choice{}
}

func contains(candidates []candidate, track *tracker.Track) bool {
	for i := range candidates {
		if candidates[i].track == track {
			return true
		}
	}
	return false
}
