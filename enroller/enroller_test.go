package enroller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/enroller"
)

// Guards against instances that are counted no more while they cannot be reached, or for
// ever after they were removed.
func TestSilentInstanceIsCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	members := enroller.New("a")
	assert.Equal(t, members.Total(now), 1)
	members.List("listed", "b", now)
	members.Hear("heard", "a", 1, now)
	now = now.Add(50 * time.Minute)
	members.List("listed", "b", now)
	members.Hear("heard", "a", 1, now)
	assert.Equal(t, members.Total(now), 3)
	now = now.Add(20 * time.Minute)
	members.List("listed", "b", now)
	assert.Equal(t, members.Total(now), 2)
	now = now.Add(time.Hour)
	assert.Equal(t, members.Total(now), 1)
}

// Guards against instances of other data centres that only their hubs know.
func TestAnnouncedInstancesAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	members := enroller.New("a")
	members.Hear("hub1", "b", 3, now)
	members.Hear("hub2", "b", 5, now)
	members.Hear("other", "a", 2, now)
	assert.Equal(t, members.Local(now), 2)
	assert.Equal(t, members.Total(now), 7)
	members.HearTotal(9, now)
	members.HearTotal(0, now)
	assert.Equal(t, members.Total(now), 9)
	assert.Equal(t, members.Total(now.Add(2*time.Hour)), 1)
}
