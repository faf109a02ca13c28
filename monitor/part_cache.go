package monitor

import "container/list"

// partCache estimates which prompt parts an engine caches: the most recently
// used ones that fit into its memory.
type partCache struct {
	capacityTokens, usedTokens int
	recency                    *list.List // of *cachedPart, the most recently used first
	parts                      map[uint64]*list.Element
}

// cachedPart is a part that is cached or being prefilled.
type cachedPart struct {
	part   uint64
	tokens int
	// ready reports that the prefill of the part has finished.
	ready bool
}

func newPartCache(capacity int) *partCache {
	return &partCache{capacityTokens: capacity, recency: list.New(), parts: map[uint64]*list.Element{}}
}

// add adds a part or marks it as used, and evicts the least recently used parts
// that no longer fit.
func (c *partCache) add(part uint64, tokens int, ready bool) {
	if element, ok := c.parts[part]; ok {
		c.recency.MoveToFront(element)
		existing := element.Value.(*cachedPart)
		existing.ready = existing.ready || ready
		return
	}
	c.parts[part] = c.recency.PushFront(&cachedPart{part: part, tokens: tokens, ready: ready})
	c.usedTokens += tokens
	c.evict()
}

// resize changes the capacity, and evicts what no longer fits.
func (c *partCache) resize(capacity int) {
	c.capacityTokens = capacity
	c.evict()
}

func (c *partCache) evict() {
	for c.usedTokens > c.capacityTokens && c.recency.Len() > 1 {
		c.drop(c.recency.Back())
	}
}

// has reports whether a part is cached or being prefilled, and whether it is
// ready.
func (c *partCache) has(part uint64) (bool, bool) {
	element, ok := c.parts[part]
	return ok, ok && element.Value.(*cachedPart).ready
}

// depth returns the number of tokens of a part and of those used after it, 0 if the part
// is not cached.
func (c *partCache) depth(part uint64) int {
	target, ok := c.parts[part]
	if !ok {
		return 0
	}
	tokens := 0
	for element := target; element != nil; element = element.Prev() {
		tokens += element.Value.(*cachedPart).tokens
	}
	return tokens
}

// dropPending removes a part that is not ready.
func (c *partCache) dropPending(part uint64) {
	if element, ok := c.parts[part]; ok && !element.Value.(*cachedPart).ready {
		c.drop(element)
	}
}

func (c *partCache) drop(element *list.Element) {
	dropped := c.recency.Remove(element).(*cachedPart)
	delete(c.parts, dropped.part)
	c.usedTokens -= dropped.tokens
}
