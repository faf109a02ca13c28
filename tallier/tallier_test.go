package tallier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/tallier"
)

var now = time.Unix(1000, 0)

// Guards against counts that never end, or that grow with the number of keys.
func TestCount(t *testing.T) {
	counts := tallier.New[string](2, time.Minute)
	assert.Equal(t, counts.Count("a", now), 0)
	counts.Add("a", now)
	counts.Add("a", now.Add(50*time.Second))
	assert.Equal(t, counts.Count("a", now.Add(100*time.Second)), 2)
	assert.Equal(t, counts.Count("a", now.Add(110*time.Second)), 0)
	counts.Add("a", now.Add(110*time.Second))
	assert.Equal(t, counts.Count("a", now.Add(111*time.Second)), 1)
	counts.Add("b", now)
	counts.Add("a", now)
	counts.Add("c", now)
	assert.Equal(t, counts.Count("b", now), 0, "the least recently used key is kept")
	for range 2000 {
		counts.Add("a", now)
	}
	assert.Equal(t, counts.Count("a", now), 1024)
}
