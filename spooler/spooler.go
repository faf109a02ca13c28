// Package spooler keeps announcements that wait to be sent. It answers the load of a
// fleet that reads more prompts than its messages can announce: what is of least use to
// the others is dropped first.
package spooler

import "slices"

// Spool is an immutable queue of announcements, each with the key of what it is about.
// The zero value is an empty spool.
type Spool[K comparable, V any] struct {
	items []item[K, V]
}

type item[K comparable, V any] struct {
	key   K
	value V
	rank  int
}

// With returns a spool with an announcement more, at most limit in all. It replaces an
// earlier one with the same key. If there are too many, the oldest of those with the
// highest rank is dropped, which may be the new one; the second result reports that.
func (s Spool[K, V]) With(key K, value V, rank, limit int) (Spool[K, V], bool) {
	items := slices.DeleteFunc(slices.Clone(s.items), func(i item[K, V]) bool { return i.key == key })
	items = append(items, item[K, V]{key, value, rank})
	if len(items) <= limit {
		return Spool[K, V]{items}, false
	}
	worst := 0
	for i := range items {
		if items[i].rank > items[worst].rank {
			worst = i
		}
	}
	return Spool[K, V]{slices.Delete(items, worst, worst+1)}, true
}

// Take returns up to n announcements, those of lower ranks first, then the older ones,
// and the spool without them.
func (s Spool[K, V]) Take(n int) ([]V, Spool[K, V]) {
	items := slices.Clone(s.items)
	slices.SortStableFunc(items, func(a, b item[K, V]) int { return a.rank - b.rank })
	n = min(n, len(items))
	var values []V
	for _, taken := range items[:n] {
		values = append(values, taken.value)
	}
	return values, Spool[K, V]{items[n:]}
}

// Len returns the number of announcements.
func (s Spool[K, V]) Len() int { return len(s.items) }
