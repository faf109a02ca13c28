package claimer_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/claimer"
	"wisteriadrum/counter"
	"wisteriadrum/recorder"
	"wisteriadrum/tabler"
)

// ending answers the first write with another's void record, the second with
// the news that this record has ended, and takes the third.
type ending struct {
	versions []uint64
}

func (e *ending) Apply(_ context.Context, write tabler.Write) (tabler.Row, bool, error) {
	e.versions = append(e.versions, write.Version)
	switch len(e.versions) {
	case 1:
		void := recorder.Record{State: recorder.Void, Token: "other", Hash: "hash"}.Write(write.Key, 1)
		return tabler.Row{Key: write.Key, Value: void.Value, Version: 2}, false, nil
	case 2:
		return tabler.Row{Key: write.Key}, false, nil
	default:
		return tabler.Row{Key: write.Key, Value: write.Value, Version: write.Version + 1}, true, nil
	}
}

// A key whose void record ends while it is claimed again is claimed anew.
func TestRecordEndsMeanwhile(t *testing.T) {
	writes := &ending{}
	node := claimer.New("me", "", writes, nil, nil, nil, counter.New(metrics.NewRegistry()), time.Now)
	runs := 0
	_, err := node.Do(t.Context(), "key", "hash", time.Now().Add(time.Hour), func(time.Time) (recorder.Answer, error) {
		runs++
		return recorder.Answer{Status: 200}, nil
	})
	node.Flush(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, runs, 1)
	assert.DeepEqual(t, writes.versions[:3], []uint64{0, 2, 0})
}
