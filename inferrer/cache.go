package inferrer

import (
	"container/list"

	"wisteriadrum/hasher"
)

// cache holds the prefixes used last.
type cache struct {
	room    int
	order   *list.List // of level hashes, the one used last in front
	entries map[uint64]*list.Element
}

func newCache(room int) *cache {
	return &cache{room: room, order: list.New(), entries: map[uint64]*list.Element{}}
}

// depth returns the number of levels of chain that are cached.
func (c *cache) depth(chain hasher.Chain) int {
	for i, level := range chain.Levels() {
		if c.entries[level] == nil {
			return i
		}
	}
	return chain.Depth()
}

// add puts all levels of chain in, the deepest first, so that shorter
// prefixes outlast longer ones.
func (c *cache) add(chain hasher.Chain) {
	for i := chain.Depth() - 1; i >= 0; i-- {
		level := chain.Level(i)
		if element := c.entries[level]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[level] = c.order.PushFront(level)
	}
	for c.order.Len() > c.room {
		last := c.order.Back()
		delete(c.entries, last.Value.(uint64))
		c.order.Remove(last)
	}
}
