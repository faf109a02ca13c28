// Package cacher models an engine's prefix cache with LRU eviction.
package cacher

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"wisteriadrum/hasher"
)

// Cache holds the hashes of a limited number of prefixes. It is not safe for
// concurrent use.
type Cache struct {
	entries *simplelru.LRU[uint64, struct{}]
}

// New returns an empty cache with a capacity of the given number of pieces, at
// least 1. If evicted is set, it is called for each prefix that is evicted.
func New(capacity int, evicted func(level uint64)) *Cache {
	var onEvict simplelru.EvictCallback[uint64, struct{}]
	if evicted != nil {
		onEvict = func(level uint64, _ struct{}) { evicted(level) }
	}
	entries, err := simplelru.NewLRU(max(capacity, 1), onEvict)
	if err != nil {
		panic(err) // impossible: the capacity is positive
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

// Levels returns all cached levels, the least recently used first.
func (c *Cache) Levels() []uint64 { return c.entries.Keys() }

// Add adds all levels of chain, the deepest first, so that shorter prefixes are
// evicted after longer ones. It returns the number of levels that were not cached.
func (c *Cache) Add(chain hasher.Chain) int {
	added := 0
	for i := chain.Depth() - 1; i >= 0; i-- {
		if !c.entries.Contains(chain.Level(i)) {
			added++
		}
		c.entries.Add(chain.Level(i), struct{}{})
	}
	return added
}
