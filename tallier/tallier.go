// Package tallier counts events by key. A count begins again after a period without an
// event, and the least recently used keys are dropped beyond a number of keys.
package tallier

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCount bounds a count.
const maxCount = 1 << 10

// tally is the number of events of a key, which counts until then.
type tally struct {
	count int
	until time.Time
}

// Tallier holds the counts of keys of type K.
type Tallier[K comparable] struct {
	retention time.Duration

	mu      sync.Mutex
	tallies *simplelru.LRU[K, tally]
}

// New returns a tallier without counts. capacity is the number of keys that are kept, and
// retention how long a count is kept after its last event; both must be positive.
func New[K comparable](capacity int, retention time.Duration) *Tallier[K] {
	tallies, err := simplelru.NewLRU[K, tally](capacity, nil)
	if err != nil {
		panic(err) // the capacity is not positive
	}
	return &Tallier[K]{retention: retention, tallies: tallies}
}

// Add counts an event of a key at now.
func (t *Tallier[K]) Add(key K, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, _ := t.tallies.Get(key)
	if !known.until.After(now) {
		known.count = 0
	}
	t.tallies.Add(key, tally{count: min(known.count+1, maxCount), until: now.Add(t.retention)})
}

// Count returns the number of events of a key that count at now.
func (t *Tallier[K]) Count(key K, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.tallies.Peek(key)
	if !ok || !known.until.After(now) {
		return 0
	}
	return known.count
}
