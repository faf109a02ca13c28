// Package divider decides which share of an allowance of the whole fleet an instance may
// use, so that all shares together do not exceed the allowance even if instances cannot
// reach each other.
package divider

import "time"

// Divider decides on the share of one instance.
type Divider struct {
	delay time.Duration
	// highest is the highest number of live instances until now, reached that until delay
	// ago, and rises are the changes in between.
	highest, reached int
	rises            []rise
	// met means that all members were reached at once, and so count this instance.
	met bool
}

// rise is a number of live instances that counts as reached from a time on.
type rise struct {
	live        int
	reachedFrom time.Time
}

// New returns a divider for an instance that has just started. Its share begins delay after
// it has reached the others, which until then may have used it.
func New(delay time.Duration) *Divider { return &Divider{delay: delay} }

// Share returns the share of this instance. members is the number of instances that may be
// running, itself included, 0 if it is unknown, and live the number of those that are known
// to run. An instance that has not reached all members takes only as much as the others can
// have given up for it.
func (d *Divider) Share(members, live int, now time.Time) float64 {
	if members == 0 {
		return 0
	}
	d.update(live, now)
	d.met = d.met || d.reached >= members
	switch {
	case d.met:
		return 1 / float64(members)
	case d.reached == 0:
		return 0
	default:
		return float64(d.reached-1) / float64(members-1) / float64(members)
	}
}

// Rejoin records that an earlier process of this instance had joined the others, which have
// counted it since.
func (d *Divider) Rejoin() { d.met = true }

// Joined reports whether this instance has reached all others at once, which count it since.
func (d *Divider) Joined() bool { return d.met }

// update records the number of live instances.
func (d *Divider) update(live int, now time.Time) {
	if live > d.highest {
		d.highest = live
		d.rises = append(d.rises, rise{live, now.Add(d.delay)})
	}
	for len(d.rises) > 0 && !now.Before(d.rises[0].reachedFrom) {
		d.reached = d.rises[0].live
		d.rises = d.rises[1:]
	}
}
