package forecaster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/forecaster"
)

var start = time.Unix(1000, 0)

func TestWhen(t *testing.T) {
	none := forecaster.New()
	_, known := none.When(0)
	assert.Assert(t, !known)
	late := none.WithOpening(start.Add(3*time.Second), 0)
	limited := none.WithOpening(start, 2).WithOpening(start.Add(time.Second), 1)
	for name, test := range map[string]struct {
		openings forecaster.Forecaster
		ahead    int
		want     time.Duration
	}{
		"first":                       {late, 0, 3 * time.Second},
		"any number":                  {late, 500, 3 * time.Second},
		"limited":                     {limited, 0, 0},
		"behind another":              {limited, 1, 500 * time.Millisecond},
		"behind two":                  {limited, 2, time.Second},
		"at both":                     {limited, 3, time.Second},
		"behind four":                 {limited, 4, 1500 * time.Millisecond},
		"one without a limit as well": {limited.WithOpening(start.Add(1200*time.Millisecond), 0), 9, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			at, known := test.openings.When(test.ahead)
			assert.Assert(t, known)
			assert.Equal(t, at.Sub(start), test.want)
		})
	}
}
