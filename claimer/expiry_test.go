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

// expiringWriter returns another owner's void record for the first write and an
// absent row for the second, and commits the third.
type expiringWriter struct {
	versions []uint64
}

func (e *expiringWriter) Apply(_ context.Context, write tabler.Write) (tabler.Row, bool, error) {
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

// A void record can expire between the read of its version and the write that
// replaces it. The key must then be claimed as a new row, and the request must run
// once.
func TestRecordEndsMeanwhile(t *testing.T) {
	writer := &expiringWriter{}
	instance := claimer.New("me", "", writer, nil, nil, nil, counter.New(metrics.NewRegistry()), time.Now)
	runs := 0
	_, err := instance.Do(t.Context(), "key", "hash", time.Now().Add(time.Hour), func(time.Time) (recorder.Answer, error) {
		runs++
		return recorder.Answer{Status: 200}, nil
	})
	instance.Flush(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, runs, 1)
	assert.DeepEqual(t, writer.versions[:3], []uint64{0, 2, 0})
}
