package detector

import (
	"cmp"
	"slices"
	"time"

	"wisteriadrum/requester"
)

const (
	// crashLimit is the level at which a part is refused of which no answer is known, and
	// highCrashLimit that of a part that endpoints have answered, and of the first part of
	// a prompt: many prompts begin with it, so it is also involved in the crashes that
	// other parts cause, and its refusal affects more callers.
	crashLimit     = 3
	highCrashLimit = 5
	// explainedLevel and highExplainedLevel are the levels to which the other parts of a
	// prompt return when one is refused, and answeredExplainedLevel that of parts with
	// answers. They are above 0 since each part may be the cause in the place of the
	// refused one, in other prompts.
	explainedLevel         = 1
	highExplainedLevel     = 3
	answeredExplainedLevel = 2
)

// Crash is the crash of an endpoint while it ran a request.
type Crash struct {
	Request *requester.Request
	// Marks is the evidence against the parts of the prompt when the request was sent, nil
	// if there was none.
	Marks []Suspect
	// Endpoint identifies the incarnation of the endpoint.
	Endpoint string
	// Weights is the version of the model's weights that the endpoint was to use.
	Weights int
	// Begun reports that an endpoint had begun to answer, so that the crash is no evidence
	// against the prompt.
	Begun bool
}

// limits returns the level at which the part at an index of a prompt is refused, and
// the one to which it returns when another part of the prompt is.
func (s Suspect) limits(index int) (refused, explained int) {
	switch {
	case s.Answers > 0:
		return highCrashLimit, answeredExplainedLevel
	case index == 0:
		return highCrashLimit, highExplainedLevel
	default:
		return crashLimit, explainedLevel
	}
}

// compareCause orders parts of a prompt by how likely they are the cause of its crashes:
// those without an answer, then by crashes, then by fewer answers.
func compareCause(a, b Suspect) int {
	return cmp.Or(cmp.Compare(boolRank(a.Answers == 0), boolRank(b.Answers == 0)), cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(b.Answers, a.Answers))
}

// isAsLikelyAs reports whether the part explains the crashes of other as well.
func (s Suspect) isAsLikelyAs(other Suspect) bool {
	return s.suspected() && s.Crashes >= other.Crashes && (s.Answers == 0 || other.Answers > 0)
}

// mayExplain reports whether the part explains all crashes of other but one, which may have
// had another reason.
func (s Suspect) mayExplain(other Suspect) bool {
	other.Crashes--
	return s.isAsLikelyAs(other)
}

// rival returns the key of the part that explains the crashes of a prompt as well as the
// cause does, or 0.
func rival(parts []Suspect, cause int) uint64 {
	best := -1
	for i, part := range parts {
		if i != cause && part.isAsLikelyAs(parts[cause]) && (best < 0 || compareCause(part, parts[best]) >= 0) {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	return parts[best].Part
}

// likeliest returns the index of the likeliest cause among the parts that may be refused, of
// several the deepest, or -1 if there is none. Those are the parts that reached their limits,
// and if only answered ones did, the others that crashed often enough for one that is not the
// first: requests for answered parts are also lost with the endpoints that the cause crashes.
func likeliest(parts []Suspect) int {
	cause := -1
	consider := func(i int, reached bool) {
		if reached && (cause < 0 || compareCause(parts[i], parts[cause]) >= 0) {
			cause = i
		}
	}
	for i, part := range parts {
		limit, _ := part.limits(i)
		consider(i, part.Blocked() || part.Level >= limit)
	}
	if cause >= 0 && parts[cause].Answers > 0 {
		for i, part := range parts {
			consider(i, part.Answers == 0 && part.Level >= crashLimit)
		}
	}
	return cause
}

// withCrash returns the evidence against the parts of a prompt after a crash.
func (r record) withCrash(current []Suspect, crash Crash, past history, now time.Time) []Suspect {
	next := make([]Suspect, len(current))
	for i, mark := range crash.Marks {
		next[i] = merge(current[i], mark.withCrash(crash.Weights, now))
		if mark.Blocked() {
			next[i] = merge(next[i], mark.withTrial(r.nextTrial(mark.Trials+1, next[i], past, now)))
		}
	}
	return next
}

// assess returns the evidence against the parts of a prompt after a crash, and the
// part that is refused from now on if found is true. A part that was refused for the crashes
// of a likelier one is not refused any more.
func (r record) assess(current []Suspect, crash Crash, past history, now time.Time) (next []Suspect, refused Suspect, found bool) {
	next = r.withCrash(current, crash, past, now)
	cause := likeliest(next)
	switch {
	case cause < 0:
		return next, Suspect{}, false
	case current[cause].Blocked():
		return explain(next, current, cause, crash.Marks[cause].Blocked()), Suspect{}, false
	}
	other := rival(next, cause)
	for i := range next {
		if _, explained := next[i].limits(i); i != cause && next[i].Level > explained {
			next[i] = next[i].withLevel(explained, now)
		}
	}
	next[cause] = next[cause].withRefusal(other)
	next[cause] = next[cause].withTrialAt(r.nextTrial(0, next[cause], past, now))
	return next, next[cause], true
}

// explain returns the evidence after a crash that a refused part explains: it proves nothing
// against the others, unless it is that of a trial and they may be the cause as well.
func explain(next, current []Suspect, cause int, isTrial bool) []Suspect {
	explained := slices.Clone(current)
	for i := range next {
		if i == cause || isTrial && next[i].mayExplain(next[cause]) {
			explained[i] = next[i]
		}
	}
	return explained
}
