// Package detector finds the parts of prompts that crash each endpoint which begins
// to write an answer on them. Such a part is refused: all prompts that contain it.
//
// Endpoints also end for other reasons, and requests that run there are lost with
// them. A part is refused after a chain of crashes, each of a request that was sent
// after the crash before was known; the beginning of an answer proves each part of
// its prompt sound. Of several parts that were in the same prompts, one that endpoints have
// not answered before is the likelier cause. A refused part is tried again by one request
// at a time: after growing delays, with new weights, or in a prompt that has no other part
// which may be the cause.
package detector

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/holder"
	"wisteriadrum/requester"
	"wisteriadrum/tallier"
)

const (
	// retention is how long evidence is kept after the last crash, and answers after the
	// last one.
	retention = 10 * time.Minute
	// maxSuspects bounds the parts that are kept, maxAnswered those whose answers are
	// counted, and maxPartsPerPrompt those that are considered of one prompt, so that no
	// caller fills the memory.
	maxSuspects       = 1024
	maxAnswered       = 16 << 10
	maxPartsPerPrompt = 32
)

// record maps keys of parts to the evidence against them.
type record map[uint64]Suspect

// Detector holds the evidence known to this instance.
type Detector struct {
	suspects holder.Value[record]
	// answers counts the answers that began at this instance.
	answers *tallier.Tallier[uint64]
	losses  holder.Value[history]
}

// New returns a detector without evidence.
func New() *Detector { return &Detector{answers: tallier.New[uint64](maxAnswered, retention)} }

// Marks returns the evidence against the parts of a prompt that is about to be
// sent, for RecordCrash, or nil if there is none.
func (d *Detector) Marks(request *requester.Request, now time.Time) []Suspect {
	known := d.suspects.Load()
	if len(known) == 0 {
		return nil
	}
	marks := parts(request)
	for i, part := range marks {
		marks[i] = known.find(part, now)
	}
	return marks
}

// RecordCrash records the crash of an endpoint, which is evidence against the parts of the
// prompt if the request had been sent and its answer had not begun. It returns the evidence
// that changed, and the part that is refused from now on if found is true.
func (d *Detector) RecordCrash(crash Crash, now time.Time) (changed []Suspect, refused Suspect, found bool) {
	if len(crash.Marks) == 0 {
		crash.Marks = parts(crash.Request)
	}
	d.losses.Update(func(old history) history { return old.with(crash.Endpoint, crash.Marks, now) })
	if crash.Begun {
		return nil, Suspect{}, false
	}
	d.suspects.Update(func(old record) record {
		known, current := make([]Suspect, len(crash.Marks)), make([]Suspect, len(crash.Marks))
		for i, mark := range crash.Marks {
			known[i] = old.find(mark, now)
			current[i] = known[i].withAnswers(d.answers.Count(mark.Part, now))
		}
		var next []Suspect
		next, refused, found = old.assess(current, crash, d.losses.Load(), now)
		for i := range next {
			if next[i].suspected() && !equal(next[i], known[i]) {
				changed = append(changed, next[i])
			}
		}
		return old.with(changed, now)
	})
	return changed, refused, found
}

// RecordAnswer records that the answer to a request began, which proves the parts of
// its prompt sound. It returns the evidence that is void now, and what replaces it.
func (d *Detector) RecordAnswer(request *requester.Request, now time.Time) (void, cleared []Suspect) {
	prompt := parts(request)
	for _, part := range prompt {
		d.answers.Add(part.Part, now)
	}
	if !d.suspects.Load().suspectsAny(prompt, now) {
		return nil, nil
	}
	d.suspects.Update(func(old record) record {
		for _, part := range prompt {
			if current := old.find(part, now); current.suspected() {
				void = append(void, current)
				cleared = append(cleared, current.withoutCrashes(now).withAnswers(d.answers.Count(part.Part, now)))
			}
		}
		return old.with(cleared, now)
	})
	return void, cleared
}

// Find returns the refused part of a prompt that may not be tried now, with the time when
// such a prompt may be, and whether there is one. The deepest part is returned if there are
// several. required is the oldest version of the model's weights that the request may run
// with.
func (d *Detector) Find(request *requester.Request, required int, now time.Time) (Suspect, bool) {
	known, marks := d.suspects.Load(), d.Marks(request, now)
	for _, suspect := range slices.Backward(marks) {
		if !suspect.Blocked() {
			continue
		}
		if trialAt := known.trialTime(suspect, marks, required); now.Before(trialAt) {
			return suspect.withTrialAt(trialAt), true
		}
	}
	return Suspect{}, false
}

// Merge adds evidence from other instances and reports whether any was new. Answers that
// began at this instance are added to evidence that lacks them.
func (d *Detector) Merge(suspects []Suspect, now time.Time) bool {
	if !d.suspects.Load().addsAny(suspects, now) {
		return false
	}
	added := false
	d.suspects.Update(func(old record) record {
		next := old.with(d.withAnswers(suspects, now), now)
		added = slices.ContainsFunc(suspects, func(s Suspect) bool { return !equal(old.find(s, now), next.find(s, now)) })
		return next
	})
	return added
}

// withAnswers returns suspects with the answers that began at this instance, if they have
// none.
func (d *Detector) withAnswers(suspects []Suspect, now time.Time) []Suspect {
	list := slices.Clone(suspects)
	for i, s := range list {
		if s.Answers == 0 && s.suspected() {
			list[i] = s.withAnswers(d.answers.Count(s.Part, now))
		}
	}
	return list
}

// Suspects returns the evidence that has not expired at now, that which became void
// included, since it must stay so.
func (d *Detector) Suspects(now time.Time) []Suspect {
	var list []Suspect
	for _, suspect := range d.suspects.Load() {
		if suspect.Until.After(now) {
			list = append(list, suspect)
		}
	}
	return list
}

// Refused returns the parts that are refused at now.
func (d *Detector) Refused(now time.Time) []Suspect {
	return slices.DeleteFunc(d.Suspects(now), func(s Suspect) bool { return !s.Blocked() })
}

// parts returns the parts of a prompt that other prompts may contain, without
// evidence: all but the last.
func parts(request *requester.Request) []Suspect {
	shared := request.Parts[:max(0, len(request.Parts)-1)]
	shared = shared[:min(len(shared), maxPartsPerPrompt)]
	list := make([]Suspect, 0, len(shared))
	for _, part := range shared {
		suspect := Suspect{Part: key(request, part.ID), Name: strings.ToValidUTF8(part.ID[:min(len(part.ID), maxNameBytes)], "")}
		if !slices.Contains(list, suspect) { // a part that is repeated must not count as another one
			list = append(list, suspect)
		}
	}
	return list
}

// key returns the key of a part. Isolated workspaces share no parts, so their parts
// are kept apart.
func key(request *requester.Request, id string) uint64 {
	texts := []string{request.Model, id, ""}
	if request.Workspace.Isolated {
		texts[2] = request.Workspace.Name
	}
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// find returns the evidence against part, or part itself if there is none or it has
// expired.
func (r record) find(part Suspect, now time.Time) Suspect {
	known, ok := r[part.Part]
	if !ok || !known.Until.After(now) {
		return Suspect{Part: part.Part, Name: part.Name}
	}
	return known
}

// suspectsAny reports whether there is evidence against a part of a prompt.
func (r record) suspectsAny(prompt []Suspect, now time.Time) bool {
	return len(r) > 0 && slices.ContainsFunc(prompt, func(part Suspect) bool { return r.find(part, now).suspected() })
}

// addsAny reports whether any of suspects is new.
func (r record) addsAny(suspects []Suspect, now time.Time) bool {
	return slices.ContainsFunc(suspects, func(other Suspect) bool {
		known := r.find(other, now)
		return other.Until.After(now) && !equal(merge(known, other), known)
	})
}

// with returns the record with suspects merged into it and without what has expired
// at now.
func (r record) with(suspects []Suspect, now time.Time) record {
	next := make(record, len(r)+len(suspects))
	for part, known := range r {
		if known.Until.After(now) {
			next[part] = known
		}
	}
	for _, other := range suspects {
		if other.Until.After(now) {
			next[other.Part] = merge(next.find(other, now), other)
		}
	}
	return next.bounded()
}

// bounded returns the record without the suspects beyond maxSuspects that matter
// least, so that many crashes do not displace the parts that are refused.
func (r record) bounded() record {
	if len(r) <= maxSuspects {
		return r
	}
	list := make([]Suspect, 0, len(r))
	for _, suspect := range r {
		list = append(list, suspect)
	}
	slices.SortFunc(list, compareWeight)
	for _, suspect := range list[:len(list)-maxSuspects] {
		delete(r, suspect.Part)
	}
	return r
}
