package restrainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/restrainer"
)

var start = time.Unix(1000, 0)

// at returns the time so many milliseconds after start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// Guards against an endpoint that gets more time by saying again that it leaves.
func TestLeaving(t *testing.T) {
	said := restrainer.Restrainer{}
	assert.Assert(t, !said.Leaving() && !said.Left(at(1<<30)))
	said = said.WithLeaving(at(1000)).WithLeaving(at(2000))
	assert.Assert(t, said.Leaving())
	assert.Assert(t, !said.Left(at(999)) && said.Left(at(1000)))
}

// Guards against an endpoint whose wait is shortened by a later answer.
func TestWait(t *testing.T) {
	said := restrainer.Restrainer{}
	assert.Assert(t, said.HeldUntil().IsZero())
	said = said.WithWait(at(3000)).WithWait(at(1000))
	assert.Equal(t, said.HeldUntil(), at(3000))
	assert.Equal(t, said.WithWait(at(4000)).HeldUntil(), at(4000))
	assert.Assert(t, !said.Leaving())
}

// Guards against a limit that ends by an older answer or never, and against a permit that
// is missing after the limit has ended.
func TestLimit(t *testing.T) {
	said := restrainer.Restrainer{}.WithNoPermit(at(9000))
	assert.Assert(t, said.HeldUntil().IsZero(), "an endpoint without a limit needs no permit")
	said = said.WithLimit(5, at(1000)).WithLimit(3, at(2000)).WithNoPermit(at(4000)).WithNoPermit(at(3000))
	perSecond, limited := said.WithoutLimit(at(900)).Limit()
	assert.Assert(t, limited && perSecond == 3)
	assert.Equal(t, said.HeldUntil(), at(4000))
	assert.Assert(t, said.WaitUntil().IsZero())
	assert.Equal(t, said.WithWait(at(5000)).HeldUntil(), at(5000))
	ended := said.WithoutLimit(at(1500))
	_, limited = ended.Limit()
	assert.Assert(t, !limited && ended.HeldUntil().IsZero())
}
