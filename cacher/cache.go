// Package cacher models an engine's prefix cache, which keeps the prefixes
// used last.
package cacher

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"wisteriadrum/hasher"
)

// Cache holds the hashes of a limited number of prefixes.
type Cache struct {
	entries *simplelru.LRU[uint64, struct{}]
}

// New returns an empty cache with room for so many pieces. It calls evicted,
// if set, for each prefix that it drops.
func New(room int, evicted func(level uint64)) *Cache {
	var dropped simplelru.EvictCallback[uint64, struct{}]
	if evicted != nil {
		dropped = func(level uint64, _ struct{}) { evicted(level) }
	}
	entries, err := simplelru.NewLRU(max(room, 1), dropped)
	if err != nil {
		panic(err) // the room is positive
	}
	return &Cache{entries: entries}
}

// Depth returns the number of levels of chain that are cached.
func (c *Cache) Depth(chain hasher.Chain) int {
	for i, level := range chain.Levels() {
		if !c.entries.Contains(level) {
			return i
		}
	}
	return chain.Depth()
}

// Levels returns all levels cached, the one used longest ago first.
func (c *Cache) Levels() []uint64 { return c.entries.Keys() }

// Add puts all levels of chain in, the deepest first, so that shorter
// prefixes outlast longer ones. It returns how many were new.
func (c *Cache) Add(chain hasher.Chain) int {
	fresh := 0
	for i := chain.Depth() - 1; i >= 0; i-- {
		if !c.entries.Contains(chain.Level(i)) {
			fresh++
		}
		c.entries.Add(chain.Level(i), struct{}{})
	}
	return fresh
}
