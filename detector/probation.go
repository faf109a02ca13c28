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
}

// Slots returns how many requests with the part may be under way at once, and whether
// that is bounded.
func (p Probation) Slots() (slots int, bounded bool) {
	switch {
	case p.Suspect.Refused:
		return 0, true
	case p.Suspect.Level == 0 || p.Suspect.Level < p.Limit-probationLevels:
		return 0, false
	default:
		return 1, true
	}
}

// Probations returns the parts of a prompt that are on probation. Refused ones are not.
func (d *Detector) Probations(request *requester.Request, now time.Time) []Probation {
	var list []Probation
	for i, mark := range d.Marks(request, now) {
		limit, _ := levels(i)
		probation := Probation{Suspect: mark, Limit: limit}
		if _, bounded := probation.Slots(); bounded && !mark.Refused {
			list = append(list, probation)
		}
	}
	return list
}

// Review returns the probations with the evidence that is known now.
func (d *Detector) Review(probations []Probation, now time.Time) []Probation {
	known := d.suspects.Load()
	reviewed := make([]Probation, len(probations))
	for i, probation := range probations {
		reviewed[i] = Probation{Suspect: known.find(probation.Suspect, now), Limit: probation.Limit}
	}
	return reviewed
}

// Scope returns the key of the prompts that may share a part with that of request.
func Scope(request *requester.Request) uint64 { return key(request, "") }
