// Package enroller counts the instances of the fleet, whether or not they can be reached
// now.
package enroller

import "time"

// retention is how long an instance is counted after its last message, also if it said that
// it stops. It outlasts a network partition, in which the instance still runs. An instance
// that is removed for good is counted as long.
const retention = time.Hour

// Enroller records the instances that one instance knows.
type Enroller struct {
	dataCentre string
	// members holds the other instances by name, also those that are not counted any more.
	members map[string]member
	// total is the number of instances that the hub of this one has announced.
	total             int
	totalCountedUntil time.Time
}

// member is another instance. local is the number of instances in its data centre that it
// has announced.
type member struct {
	dataCentre   string
	local        int
	countedUntil time.Time
}

// New returns an enroller for an instance in dataCentre that knows no other.
func New(dataCentre string) *Enroller {
	return &Enroller{dataCentre: dataCentre, members: map[string]member{}}
}

// Hear records a message of an instance that knows local instances in its data centre,
// itself included.
func (e *Enroller) Hear(name, dataCentre string, local int, now time.Time) {
	e.members[name] = member{dataCentre: dataCentre, local: local, countedUntil: now.Add(retention)}
}

// List records that an instance is listed. The list may contain instances that do not exist
// any more, so a repeated listing does not prolong how long it is counted.
func (e *Enroller) List(name, dataCentre string, now time.Time) {
	if _, known := e.members[name]; !known {
		e.Hear(name, dataCentre, 1, now)
	}
}

// HearTotal records the number of instances that the hub of this one has announced, 0 if
// the hub does not know it.
func (e *Enroller) HearTotal(total int, now time.Time) {
	if total > 0 {
		e.total, e.totalCountedUntil = total, now.Add(retention)
	}
}

// Local returns the number of known instances in the data centre of this one, itself
// included. It counts no announcements, which other instances would announce again.
func (e *Enroller) Local(now time.Time) int { return e.known(now)[e.dataCentre] }

// Total returns the number of instances in all data centres, itself included.
func (e *Enroller) Total(now time.Time) int {
	counts := e.known(now)
	for _, m := range e.members {
		if now.Before(m.countedUntil) {
			counts[m.dataCentre] = max(counts[m.dataCentre], m.local)
		}
	}
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return max(sum, e.Announced(now))
}

// Announced returns the number of instances that the hub of this one has announced, 0 if
// it has announced none.
func (e *Enroller) Announced(now time.Time) int {
	if !now.Before(e.totalCountedUntil) {
		return 0
	}
	return e.total
}

// known returns the numbers of instances that this one has heard of, itself included, by
// data centre.
func (e *Enroller) known(now time.Time) map[string]int {
	counts := map[string]int{e.dataCentre: 1}
	for _, m := range e.members {
		if now.Before(m.countedUntil) {
			counts[m.dataCentre]++
		}
	}
	return counts
}
