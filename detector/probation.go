package detector

import (
	"time"

	"wisteriadrum/requester"
)

// probationLevels is the number of levels below its limit at which a part is on
// probation.
const probationLevels = 2

// Probation is a suspect part with which only one request may be under way in all
// instances, since each may crash an endpoint.
type Probation struct {
	Suspect Suspect
	// Limit is the level at which the part is refused.
	Limit int
	// Trial reports that the part is refused, and that a request is to show whether it
	// still crashes endpoints.
	Trial bool
}

// Slots returns how many requests with the part may be under way at once, and whether
// that is bounded.
func (p Probation) Slots() (slots int, bounded bool) {
	switch {
	case p.Suspect.Blocked() && p.Trial:
		return 1, true
	case p.Suspect.Blocked():
		return 0, true
	case p.Suspect.Level == 0 || p.Suspect.Level < p.Limit-probationLevels:
		return 0, false
	default:
		return 1, true
	}
}

// Probations returns the parts of a prompt that are on probation. Refused ones are not,
// unless one may be tried. required is the oldest version of the model's weights that the
// request may run with.
func (d *Detector) Probations(request *requester.Request, required int, now time.Time) []Probation {
	var list []Probation
	known, marks := d.suspects.Load(), d.Marks(request, now)
	for i, mark := range marks {
		limit, _ := mark.limits(i)
		probation := Probation{Suspect: mark, Limit: limit, Trial: mark.Blocked() && !now.Before(known.trialTime(mark, marks, required))}
		if slots, bounded := probation.Slots(); bounded && slots > 0 {
			list = append(list, probation)
		}
	}
	return list
}

// Review returns the probations with the evidence that is known now. A trial of a part that
// has crashed another endpoint since is none any more.
func (d *Detector) Review(probations []Probation, now time.Time) []Probation {
	known := d.suspects.Load()
	reviewed := make([]Probation, len(probations))
	for i, probation := range probations {
		suspect := known.find(probation.Suspect, now)
		same := suspect.Epoch == probation.Suspect.Epoch && suspect.Trials == probation.Suspect.Trials
		reviewed[i] = Probation{Suspect: suspect, Limit: probation.Limit, Trial: probation.Trial && same}
	}
	return reviewed
}

// Scope returns the key of the prompts that may share a part with that of request.
func Scope(request *requester.Request) uint64 { return key(request, "") }
