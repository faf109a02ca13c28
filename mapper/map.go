// Package mapper implements the cache map, which records which endpoint
// incarnations have which prompt prefixes in their KV caches.
package mapper

import (
	"math"
	"sync/atomic"
	"time"

	"wisteriadrum/tracker"
)

const (
	entriesPerBucket = 4
	holdersPerEntry  = 4
	tick             = 100 * time.Millisecond // resolution of ages
	entryBytes       = 8 + 4*holdersPerEntry
	minBuckets       = 1 << 8
	// maxAgeTicks is the age above which Expire removes holders: half of the range
	// of ages, in ticks.
	maxAgeTicks = 1 << 15
	// coverageWeight is the weight of one event in the moving average.
	coverageWeight = 0.002
)

// Holder is an endpoint incarnation that was last recorded as a holder of a prefix
// Age ago.
type Holder struct {
	Slot uint16
	Age  time.Duration
}

// Map holds the holders of prefixes in a fixed amount of memory. Reads and
// writes take no lock. An entry that is read during a write may be wrong, which
// costs prefill time but never correctness.
type Map struct {
	buckets []bucket
	mask    uint64
	start   time.Time
	slots   atomic.Uint32
	owners  [1 << 16]atomic.Pointer[tracker.Track]
	// coverage is the bits of a float64. One of two concurrent updates may be
	// lost.
	coverage atomic.Uint64
}

type bucket [entriesPerBucket]entry

type entry struct {
	level   atomic.Uint64
	holders [holdersPerEntry]atomic.Uint32 // slot in the high half, ticks in the low half
}

// New returns a map that uses at most maxBytes, or minBuckets buckets if these are
// larger. Times are stored as ticks since start.
func New(maxBytes int, start time.Time) *Map {
	bucketCount := uint64(minBuckets)
	for bucketCount*2*entriesPerBucket*entryBytes <= uint64(maxBytes) {
		bucketCount *= 2
	}
	return &Map{buckets: make([]bucket, bucketCount), mask: bucketCount - 1, start: start}
}

// NewSlot allocates a number for an incarnation of owner. Numbers are never 0
// and are reused after 65,535 incarnations.
func (m *Map) NewSlot(owner *tracker.Track) uint16 {
	slot := uint16((m.slots.Add(1)-1)%(1<<16-1)) + 1
	m.owners[slot].Store(owner)
	return slot
}

// Owner returns the endpoint whose current incarnation has the given slot, or
// nil if that incarnation has ended.
func (m *Map) Owner(slot uint16) *tracker.Track {
	owner := m.owners[slot].Load()
	if owner == nil || owner.View().Slot != slot {
		return nil
	}
	return owner
}

// Add records that at time now the incarnation slot holds the prefix whose hash
// is level. It ignores slot 0.
func (m *Map) Add(level uint64, slot uint16, now time.Time) {
	if slot == 0 {
		return
	}
	nowTicks := m.ticks(now)
	match := m.find(level)
	if match == nil {
		match = m.replaceOldest(level, nowTicks)
	}
	match.put(slot, nowTicks)
}

// Remove records that the incarnation slot does not hold the prefix whose hash is
// level.
func (m *Map) Remove(level uint64, slot uint16) {
	match := m.find(level)
	if match == nil {
		return
	}
	for i := range match.holders {
		if packed := match.holders[i].Load(); uint16(packed>>16) == slot {
			match.holders[i].CompareAndSwap(packed, 0)
		}
	}
}

// Holders appends to list the known holders of the prefix whose hash is level.
func (m *Map) Holders(level uint64, now time.Time, list []Holder) []Holder {
	match := m.find(level)
	if match == nil {
		return list
	}
	nowTicks := m.ticks(now)
	for i := range match.holders {
		packed := match.holders[i].Load()
		if packed == 0 {
			continue
		}
		age := time.Duration(nowTicks-uint16(packed)) * tick
		list = append(list, Holder{Slot: uint16(packed >> 16), Age: age})
	}
	return list
}

// Expire removes the holders that were last added more than half of the range of
// ages before now. Their ages would start at 0 again after the whole range, of 109
// minutes, so it must be called more often than every 54 minutes.
func (m *Map) Expire(now time.Time) {
	nowTicks := m.ticks(now)
	for b := range m.buckets {
		for e := range m.buckets[b] {
			m.buckets[b][e].expire(nowTicks)
		}
	}
}

// expire removes the holders whose age is above maxAgeTicks.
func (e *entry) expire(nowTicks uint16) {
	for i := range e.holders {
		packed := e.holders[i].Load()
		if packed != 0 && nowTicks-uint16(packed) > maxAgeTicks {
			e.holders[i].CompareAndSwap(packed, 0)
		}
	}
}

// Coverage returns a moving average of the share of the engines' cache events
// that arrive, or 0 before the first event.
func (m *Map) Coverage() float64 { return math.Float64frombits(m.coverage.Load()) }

// RecordEvents updates the coverage with the numbers of cache events that arrived
// and that are known to be lost.
func (m *Map) RecordEvents(arrived, missing int) {
	old := m.Coverage()
	share := float64(arrived) / float64(max(arrived+missing, 1))
	weight := 1 - math.Pow(1-coverageWeight, float64(arrived+missing))
	m.coverage.Store(math.Float64bits(old + weight*(share-old)))
}

// Bytes returns the size of the buckets in bytes.
func (m *Map) Bytes() int { return len(m.buckets) * entriesPerBucket * entryBytes }

func (m *Map) ticks(now time.Time) uint16 { return uint16(now.Sub(m.start) / tick) }

func (m *Map) find(level uint64) *entry {
	bucketEntries := &m.buckets[level&m.mask]
	for i := range bucketEntries {
		if bucketEntries[i].level.Load() == level {
			return &bucketEntries[i]
		}
	}
	return nil
}

// replaceOldest reuses the entry of the bucket that was updated the longest time
// ago.
func (m *Map) replaceOldest(level uint64, nowTicks uint16) *entry {
	bucketEntries := &m.buckets[level&m.mask]
	oldest, oldestAge := &bucketEntries[0], -1
	for i := range bucketEntries {
		if age := bucketEntries[i].age(nowTicks); age > oldestAge {
			oldest, oldestAge = &bucketEntries[i], age
		}
	}
	for i := range oldest.holders {
		oldest.holders[i].Store(0)
	}
	oldest.level.Store(level)
	return oldest
}

// age returns the ticks since a holder was last added to e.
func (e *entry) age(nowTicks uint16) int {
	minAge := 1 << 16
	for i := range e.holders {
		if packed := e.holders[i].Load(); packed != 0 {
			minAge = min(minAge, int(nowTicks-uint16(packed)))
		}
	}
	return minAge
}

// put stores slot at its present index, else at a free one, else in place of the
// oldest holder.
func (e *entry) put(slot uint16, nowTicks uint16) {
	index, indexAge := 0, -1
	for i := range e.holders {
		packed := e.holders[i].Load()
		age := int(nowTicks - uint16(packed))
		if packed == 0 {
			age = 1 << 16
		}
		if uint16(packed>>16) == slot && packed != 0 {
			age = 1 << 17
		}
		if age > indexAge {
			index, indexAge = i, age
		}
	}
	e.holders[index].Store(uint32(slot)<<16 | uint32(nowTicks))
}
