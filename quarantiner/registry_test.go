package quarantiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/quarantiner"
)

var now = time.Unix(1000, 0)

func crash(endpoint string) quarantiner.Crash {
	return quarantiner.Crash{Endpoint: endpoint, Incarnation: "1"}
}

// Guards against refusing a request that is answered, because it was lost with two endpoints
// in ten minutes (the cause of review/12, for whole requests).
func TestAnswersBetweenCrashes(t *testing.T) {
	r, other := quarantiner.New(), quarantiner.New()
	for _, endpoint := range []string{"a", "b", "c"} {
		known := r.RecordCrash(1, crash(endpoint), now)
		assert.Assert(t, !known.Refused(), "after the crash of %s", endpoint)
		other.Merge([]quarantiner.Case{known}, now)
		cleared, changed := r.RecordAnswer(1, now)
		assert.Assert(t, changed)
		assert.Assert(t, other.Merge([]quarantiner.Case{cleared}, now))
		assert.Assert(t, !other.Merge([]quarantiner.Case{known}, now), "a late report counts")
		_, changed = r.RecordAnswer(1, now)
		assert.Assert(t, !changed, "announced again")
	}
	r.RecordCrash(1, crash("d"), now)
	known := r.RecordCrash(1, crash("e"), now)
	assert.Assert(t, known.Refused())
	_, changed := r.RecordAnswer(2, now)
	assert.Assert(t, !changed)
}

// Guards against instances that disagree on a request after reports in different orders.
func TestMergeOrder(t *testing.T) {
	cases := []quarantiner.Case{
		{Fingerprint: 1, Losses: []quarantiner.Crash{crash("a"), crash("b")}, Until: now.Add(time.Minute)},
		{Fingerprint: 1, Until: now.Add(time.Minute), Epoch: 1},
		{Fingerprint: 1, Losses: []quarantiner.Crash{crash("c")}, Until: now.Add(2 * time.Minute), Epoch: 1},
	}
	for first := range cases {
		r := quarantiner.New()
		for n := range cases {
			r.Merge([]quarantiner.Case{cases[(first+n)%len(cases)]}, now)
		}
		known, found := r.Find(1, now)
		assert.Assert(t, found)
		assert.DeepEqual(t, known, cases[2])
	}
}
