// Package versioner keeps the announced versions of a model's weights and the
// time until which requests may still start on older ones.
package versioner

import (
	"slices"
	"time"
)

// maxVersions limits the number of versions kept for a model.
const maxVersions = 16

// Version is an announced version of a model's weights.
type Version struct {
	Number int
	// OlderUntil is when requests must no longer start on older versions.
	OlderUntil time.Time
	// Assumed means that OlderUntil is not known: the version was announced before
	// this instance started.
	Assumed bool
}

// Versions is an immutable list of versions in ascending order.
type Versions []Version

// Newest returns the newest version, 0 if none is known.
func (v Versions) Newest() int {
	if len(v) == 0 {
		return 0
	}
	return v[len(v)-1].Number
}

// Contains reports whether a version is known.
func (v Versions) Contains(number int) bool {
	_, known := v.find(number)
	return known
}

// Assumes reports whether a version is known but not its OlderUntil.
func (v Versions) Assumes(number int) bool {
	index, known := v.find(number)
	return known && v[index].Assumed
}

// find returns the index of a version, or where it belongs if it is not known.
func (v Versions) find(number int) (index int, known bool) {
	return slices.BinarySearchFunc(v, number, func(version Version, number int) int { return version.Number - number })
}

// Required returns the oldest version on which a request may start at the given
// time, 0 if any may be used.
func (v Versions) Required(at time.Time) int {
	required := 0
	for _, version := range v {
		if !at.Before(version.OlderUntil) {
			required = version.Number
		}
	}
	return required
}

// Binding reports whether a required version is to be kept to even while no endpoint
// serves it. An instance that missed announcements serves what it can: the version is
// binding if they have been received without interruption from the start on, or since
// periodStart, one period ago. One whose OlderUntil is assumed is binding only then.
func (v Versions) Binding(number int, followedSince time.Time, fromStart bool, periodStart time.Time) bool {
	if followedSince.IsZero() {
		return false
	}
	return fromStart && !v.Assumes(number) || !followedSince.After(periodStart)
}

// UsableUntil returns when requests must no longer start on a version, and
// whether a newer one is known.
func (v Versions) UsableUntil(number int) (until time.Time, obsolete bool) {
	for _, version := range v {
		if version.Number > number && (!obsolete || version.OlderUntil.Before(until)) {
			until, obsolete = version.OlderUntil, true
		}
	}
	return until, obsolete
}

// With returns the versions with another one added, and whether they differ. If
// it is known already, the earlier OlderUntil applies, and a known one replaces an
// assumed one.
func (v Versions) With(added Version) (next Versions, changed bool) {
	index, known := v.find(added.Number)
	if !known {
		next = slices.Insert(slices.Clone(v), index, added)
		return next[max(0, len(next)-maxVersions):], true
	}
	old := v[index]
	replaces := old.Assumed && !added.Assumed
	if !replaces && (added.Assumed && !old.Assumed || !added.OlderUntil.Before(old.OlderUntil)) {
		return v, false
	}
	next = slices.Clone(v)
	next[index] = added
	return next, true
}

// Current returns the versions whose OlderUntil other instances need: those after
// which older ones may still be used at now, and the newest other one. Assumed
// ones are left out.
func (v Versions) Current(now time.Time) Versions {
	var current Versions
	for _, version := range slices.Backward(v) {
		if !version.Assumed {
			current = append(current, version)
		}
		if !now.Before(version.OlderUntil) {
			break
		}
	}
	return current
}
