// Package mapper remembers which endpoint incarnations hold which prefixes.
package mapper

import (
	"math"
	"sync/atomic"
	"time"

	"wisteriadrum/tracker"
)

const (
	ways        = 4 // entries in a bucket
	width       = 4 // holders in an entry
	tick        = 100 * time.Millisecond
	entryBytes  = 8 + 4*width
	minimumSize = 1 << 8 // buckets
	// coverageWeight is the pull of one event on the coverage.
	coverageWeight = 0.002
)

// Holder is an endpoint incarnation that was last known to hold a prefix Age ago.
type Holder struct {
	Slot uint16
	Age  time.Duration
}

// Map remembers prefix holders in a fixed amount of memory. Reads and writes
// take no lock: a torn entry is a wrong guess, and a wrong guess costs time only.
type Map struct {
	buckets []bucket
	mask    uint64
	start   time.Time
	slots   atomic.Uint32
	owners  [1 << 16]atomic.Pointer[tracker.Track]
	// coverage is the bits of a float64. Of two that write it at the same
	// moment one may be lost.
	coverage atomic.Uint64
}

type bucket [ways]entry

type entry struct {
	level   atomic.Uint64
	holders [width]atomic.Uint32 // slot in the high half, ticks in the low half
}

// New returns a map that takes at most budget bytes, counting time from start.
func New(budget int, start time.Time) *Map {
	size := uint64(minimumSize)
	for size*2*ways*entryBytes <= uint64(budget) {
		size *= 2
	}
	return &Map{buckets: make([]bucket, size), mask: size - 1, start: start}
}

// NewSlot returns a new name for an incarnation of owner. Names are never 0.
// They are used again after 65,535 incarnations.
func (m *Map) NewSlot(owner *tracker.Track) uint16 {
	slot := uint16((m.slots.Add(1)-1)%(1<<16-1)) + 1
	m.owners[slot].Store(owner)
	return slot
}

// Owner returns the endpoint that slot names, or nil if its incarnation has
// ended.
func (m *Map) Owner(slot uint16) *tracker.Track {
	owner := m.owners[slot].Load()
	if owner == nil || owner.View().Slot != slot {
		return nil
	}
	return owner
}

// Add records that slot holds the prefix level at now.
func (m *Map) Add(level uint64, slot uint16, now time.Time) {
	if slot == 0 {
		return
	}
	stamp := m.ticks(now)
	found := m.find(level)
	if found == nil {
		found = m.claim(level, stamp)
	}
	found.put(slot, stamp)
}

// Remove records that slot does not hold the prefix level.
func (m *Map) Remove(level uint64, slot uint16) {
	found := m.find(level)
	if found == nil {
		return
	}
	for i := range found.holders {
		if packed := found.holders[i].Load(); uint16(packed>>16) == slot {
			found.holders[i].CompareAndSwap(packed, 0)
		}
	}
}

// Holders appends the known holders of the prefix level to list.
func (m *Map) Holders(level uint64, now time.Time, list []Holder) []Holder {
	found := m.find(level)
	if found == nil {
		return list
	}
	stamp := m.ticks(now)
	for i := range found.holders {
		packed := found.holders[i].Load()
		if packed == 0 {
			continue
		}
		age := time.Duration(stamp-uint16(packed)) * tick
		list = append(list, Holder{Slot: uint16(packed >> 16), Age: age})
	}
	return list
}

// Coverage returns the share of the engines' cache events that arrive, 0 if
// none have been heard of.
func (m *Map) Coverage() float64 { return math.Float64frombits(m.coverage.Load()) }

// RecordEvents takes in that so many cache events have arrived and so many are known
// to be missing.
func (m *Map) RecordEvents(arrived, missing int) {
	old := m.Coverage()
	share := float64(arrived) / float64(max(arrived+missing, 1))
	pull := 1 - math.Pow(1-coverageWeight, float64(arrived+missing))
	m.coverage.Store(math.Float64bits(old + pull*(share-old)))
}

// Bytes returns the memory that the map takes.
func (m *Map) Bytes() int { return len(m.buckets) * ways * entryBytes }

func (m *Map) ticks(now time.Time) uint16 { return uint16(now.Sub(m.start) / tick) }

func (m *Map) find(level uint64) *entry {
	home := &m.buckets[level&m.mask]
	for i := range home {
		if home[i].level.Load() == level {
			return &home[i]
		}
	}
	return nil
}

// claim takes the entry of the bucket that was noted longest ago.
func (m *Map) claim(level uint64, stamp uint16) *entry {
	home := &m.buckets[level&m.mask]
	oldest, oldestAge := &home[0], -1
	for i := range home {
		if age := home[i].age(stamp); age > oldestAge {
			oldest, oldestAge = &home[i], age
		}
	}
	for i := range oldest.holders {
		oldest.holders[i].Store(0)
	}
	oldest.level.Store(level)
	return oldest
}

// age returns the ticks since the newest holder was noted.
func (e *entry) age(stamp uint16) int {
	youngest := 1 << 16
	for i := range e.holders {
		if packed := e.holders[i].Load(); packed != 0 {
			youngest = min(youngest, int(stamp-uint16(packed)))
		}
	}
	return youngest
}

// put notes slot in its own place, a free one, or the oldest.
func (e *entry) put(slot uint16, stamp uint16) {
	place, placeAge := 0, -1
	for i := range e.holders {
		packed := e.holders[i].Load()
		age := int(stamp - uint16(packed))
		if packed == 0 {
			age = 1 << 16
		}
		if uint16(packed>>16) == slot && packed != 0 {
			age = 1 << 17
		}
		if age > placeAge {
			place, placeAge = i, age
		}
	}
	e.holders[place].Store(uint32(slot)<<16 | uint32(stamp))
}
