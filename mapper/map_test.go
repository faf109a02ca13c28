package mapper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/mapper"
)

// Ages are stored in 16 bits and start at 0 again after 109 minutes. An old entry
// must not look fresh then.
func TestOldEntriesDoNotBecomeFresh(t *testing.T) {
	start := time.Unix(1000, 0)
	cacheMap := mapper.New(0, start)
	cacheMap.Add(7, 1, start)
	for minute := range 110 {
		cacheMap.Expire(start.Add(time.Duration(minute) * time.Minute))
		if minute == 50 {
			cacheMap.Add(8, 1, start.Add(50*time.Minute))
			assert.Equal(t, len(cacheMap.Holders(7, start.Add(50*time.Minute), nil)), 1)
		}
		if minute == 100 {
			assert.Equal(t, cacheMap.Holders(8, start.Add(100*time.Minute), nil)[0].Age, 50*time.Minute)
		}
	}
	assert.Equal(t, len(cacheMap.Holders(7, start.Add(110*time.Minute), nil)), 0)
}
