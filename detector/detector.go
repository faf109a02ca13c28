// Package detector finds the parts of prompts that crash each endpoint which begins
// to write an answer on them. Such a part is refused: all prompts that contain it.
//
// Endpoints also end for other reasons, and requests that run there are lost with
// them. A part is refused after a chain of crashes, each of a request that was sent
// after the crash before was known; the beginning of an answer proves each part of
// its prompt sound.
package detector

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/holder"
	"wisteriadrum/requester"
)

const (
	// crashLimit is the level at which a part is refused, and firstCrashLimit that of
	// the first part of a prompt: many prompts begin with it, so it is also involved in
	// the crashes that other parts cause, and its refusal affects more callers.
	crashLimit      = 3
	firstCrashLimit = 5
	// explainedLevel and firstExplainedLevel are the levels to which the other parts of
	// a prompt return when one is refused. They are above 0 since each part may be the
	// cause in the place of the refused one, in other prompts.
	explainedLevel      = 1
	firstExplainedLevel = 2
	// retention is how long evidence is kept after the last crash.
	retention = 10 * time.Minute
	// maxSuspects bounds the parts that are kept, and maxPartsPerPrompt those that
	// are considered of one prompt, so that no caller fills the memory.
	maxSuspects       = 1024
	maxPartsPerPrompt = 32
)

// record maps keys of parts to the evidence against them.
type record map[uint64]Suspect

// Detector holds the evidence known to this instance.
type Detector struct {
	suspects holder.Value[record]
}

// New returns a detector without evidence.
func New() *Detector { return &Detector{} }

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

// RecordCrash records that an endpoint crashed before it began to answer a request
// that was sent with marks. It returns the evidence that changed, and the part that
// is refused from now on if found is true.
func (d *Detector) RecordCrash(request *requester.Request, marks []Suspect, now time.Time) (changed []Suspect, refused Suspect, found bool) {
	if len(marks) == 0 {
		marks = parts(request)
	}
	d.suspects.Update(func(old record) record {
		current := make([]Suspect, len(marks))
		for i, mark := range marks {
			current[i] = old.find(mark, now)
		}
		var next []Suspect
		next, refused, found = assess(current, marks, now)
		for i := range next {
			if !equal(next[i], current[i]) {
				changed = append(changed, next[i])
			}
		}
		return old.with(changed, now)
	})
	return changed, refused, found
}

// assess returns the evidence against the parts of a prompt after a crash, and the
// part that is refused from now on if found is true. Of the parts that reached their
// limits it is that with the highest level, of several the deepest. A crash that a
// refused part explains proves nothing against the others, and a part that was refused
// for the crashes of a deeper one is not refused any more.
func assess(current, marks []Suspect, now time.Time) (next []Suspect, refused Suspect, found bool) {
	next = make([]Suspect, len(current))
	cause := -1
	for i := range current {
		next[i] = merge(current[i], marks[i].withCrash(now))
		limit, _ := levels(i)
		reached := next[i].Refused || next[i].Level >= limit
		if reached && (cause < 0 || next[i].Level >= next[cause].Level) {
			cause = i
		}
	}
	if cause < 0 {
		return next, Suspect{}, false
	}
	if current[cause].Refused {
		known := next[cause]
		copy(next, current)
		next[cause] = known
		return next, Suspect{}, false
	}
	for i := range next {
		if _, explained := levels(i); i != cause && next[i].Level > explained {
			next[i] = next[i].withLevel(explained, now)
		}
	}
	next[cause] = next[cause].withRefusal()
	return next, next[cause], true
}

// levels returns the level at which the part at an index of a prompt is refused, and
// the one to which it returns when another part of the prompt is.
func levels(index int) (refused, explained int) {
	if index == 0 {
		return firstCrashLimit, firstExplainedLevel
	}
	return crashLimit, explainedLevel
}

// RecordAnswer records that the answer to a request began, which proves the parts of
// its prompt sound. It returns the evidence that is void now, and what replaces it.
func (d *Detector) RecordAnswer(request *requester.Request, now time.Time) (void, cleared []Suspect) {
	if !d.suspects.Load().suspectsAny(request, now) {
		return nil, nil
	}
	d.suspects.Update(func(old record) record {
		for _, part := range parts(request) {
			if current := old.find(part, now); current.suspected() {
				void = append(void, current)
				cleared = append(cleared, current.withLevel(0, now))
			}
		}
		return old.with(cleared, now)
	})
	return void, cleared
}

// Find returns the refused part of a prompt and whether there is one. The deepest
// part is returned if there are several.
func (d *Detector) Find(request *requester.Request, now time.Time) (Suspect, bool) {
	known := d.suspects.Load()
	if len(known) == 0 {
		return Suspect{}, false
	}
	for _, part := range slices.Backward(parts(request)) {
		if suspect := known.find(part, now); suspect.Refused {
			return suspect, true
		}
	}
	return Suspect{}, false
}

// Merge adds evidence from other instances and reports whether any was new.
func (d *Detector) Merge(suspects []Suspect, now time.Time) bool {
	if !d.suspects.Load().addsAny(suspects, now) {
		return false
	}
	added := false
	d.suspects.Update(func(old record) record {
		next := old.with(suspects, now)
		added = slices.ContainsFunc(suspects, func(s Suspect) bool { return !equal(old.find(s, now), next.find(s, now)) })
		return next
	})
	return added
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
	return slices.DeleteFunc(d.Suspects(now), func(s Suspect) bool { return !s.Refused })
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
func (r record) suspectsAny(request *requester.Request, now time.Time) bool {
	if len(r) == 0 {
		return false
	}
	return slices.ContainsFunc(parts(request), func(part Suspect) bool { return r.find(part, now).suspected() })
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
