package versioner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/versioner"
)

var start = time.Unix(1000, 0)

// after returns the time some seconds after the start.
func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func version(number, olderUntil int) versioner.Version {
	return versioner.Version{Number: number, OlderUntil: after(olderUntil)}
}

// versions returns the versions after adding all in turn.
func versions(added ...versioner.Version) versioner.Versions {
	var all versioner.Versions
	for _, version := range added {
		all, _ = all.With(version)
	}
	return all
}

// Older weights go out of use at a fixed time after a newer version was
// announced. Another version that follows must not extend the use of the oldest.
func TestRequired(t *testing.T) {
	known := versions(version(2, 0), version(3, 6))
	assert.Equal(t, known.Newest(), 3)
	assert.Equal(t, known.Required(after(-1)), 0)
	assert.Equal(t, known.Required(after(0)), 2)
	assert.Equal(t, known.Required(after(6)), 3)
	until, obsolete := known.UsableUntil(1)
	assert.Assert(t, obsolete)
	assert.Equal(t, until, after(0))
	_, obsolete = known.UsableUntil(3)
	assert.Assert(t, !obsolete)
}

// The earliest known time applies, and only an assumed one is replaced by a later
// one.
func TestWith(t *testing.T) {
	assumed := versioner.Version{Number: 2, OlderUntil: after(3), Assumed: true}
	for name, test := range map[string]struct {
		first, second versioner.Version
		until         time.Time
	}{
		"later":                 {version(2, 5), version(2, 8), after(5)},
		"earlier":               {version(2, 8), version(2, 5), after(5)},
		"assumed, then known":   {assumed, version(2, 8), after(8)},
		"assumed, then expired": {assumed, version(2, 0), after(0)},
		"known, then assumed":   {version(2, 8), assumed, after(8)},
	} {
		t.Run(name, func(t *testing.T) {
			known := versions(test.first, test.second)
			assert.Equal(t, len(known), 1)
			assert.Equal(t, known[0].OlderUntil, test.until)
		})
	}
}

// A required version is binding for an instance that was in contact all the time, and
// for one that was cut off only after a whole period.
func TestBinding(t *testing.T) {
	known, periodStart := versions(version(2, 0)), after(5)
	assumed := versions(versioner.Version{Number: 2, OlderUntil: after(0), Assumed: true})
	for name, test := range map[string]struct {
		versions  versioner.Versions
		since     time.Time
		fromStart bool
		want      bool
	}{
		"not followed":                   {known, time.Time{}, false, false},
		"from the start":                 {known, after(6), true, true},
		"assumed, from the start":        {assumed, after(6), true, false},
		"assumed, for a period":          {assumed, after(5), true, true},
		"interrupted":                    {known, after(6), false, false},
		"interrupted more than a period": {known, after(5), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.versions.Binding(2, test.since, test.fromStart, periodStart), test.want)
		})
	}
}

// An instance sends the versions that matter to one that has just started: also
// the newest expired one, but no assumed ones.
func TestCurrent(t *testing.T) {
	known := versions(version(1, 0), version(2, 1), version(4, 9))
	assert.DeepEqual(t, known.Current(after(2)), versioner.Versions{version(4, 9), version(2, 1)})
	assumed := versions(versioner.Version{Number: 4, OlderUntil: after(9), Assumed: true})
	assert.Equal(t, len(assumed.Current(after(2))), 0)
}

// A long series of versions must not grow without bound.
func TestBound(t *testing.T) {
	var known versioner.Versions
	for number := range 100 {
		known, _ = known.With(version(number+1, number))
	}
	assert.Equal(t, known.Newest(), 100)
	assert.Assert(t, len(known) < 50)
}
