package detector

import "time"

const (
	// maxTrials bounds the endpoints that trials of a refused part may crash, and maxCrashes
	// those that the part may have crashed in all when it is tried again.
	maxTrials  = 3
	maxCrashes = 7
)

// ambiguousDelay is how much later a prompt may be tried that has another part which explains
// all crashes, and unclearDelay one with a part that explains all but one: a crash of it does
// not tell which part is the cause.
const (
	ambiguousDelay = time.Minute
	unclearDelay   = 5 * time.Second
)

var (
	// doubtfulDelays are the times from a refusal to the first trial, and from each trial
	// to the next one, of a part that may have been refused for the crashes of something
	// else.
	doubtfulDelays = [maxTrials]time.Duration{5 * time.Second, 15 * time.Second, time.Minute}
	// delays are those of any other part. The last trial is left to new weights.
	delays = [maxTrials]time.Duration{time.Minute, 2 * time.Minute, retention}
)

// nextTrial returns when a refused part may be tried after a number of trials that crashed
// endpoints, the last one now. Its refusal is doubtful if endpoints answered it before, if
// its rival may be the cause, or if as many endpoints crashed without it.
func (r record) nextTrial(trials int, part Suspect, past history, now time.Time) time.Time {
	switch {
	case trials >= maxTrials:
		return part.Until
	case part.Answers > 0, r.hasRival(part), past.without(part.Part) >= part.Level:
		return now.Add(doubtfulDelays[trials])
	default:
		return now.Add(delays[trials])
	}
}

// hasRival reports whether another part may be the cause in the place of a refused one: no
// answer to a prompt with the other one is known.
func (r record) hasRival(s Suspect) bool { return s.Rival != 0 && r[s.Rival].Answers == 0 }

// trialTime returns from when on a request with a prompt of parts may be sent although s, one
// of them, is refused. required is the oldest version of the weights that it may run with.
func (r record) trialTime(s Suspect, prompt []Suspect, required int) time.Time {
	isNewer := s.Weights > 0 && required > s.Weights
	delay := r.trialDelay(s, prompt)
	switch {
	case s.Trials >= maxTrials, s.Crashes > maxCrashes:
		return s.Until
	case isNewer, s.Trials == 0 && r.hasRival(s) && delay == 0:
		return time.Time{}
	case s.TrialAt.IsZero():
		return s.Until
	default:
		return s.TrialAt.Add(delay)
	}
}

// trialDelay returns how much later than others a prompt of parts may be tried, since another
// one of them may be the cause in the place of s.
func (r record) trialDelay(s Suspect, prompt []Suspect) time.Duration {
	delay := time.Duration(0)
	for _, other := range prompt {
		switch {
		case other.Part == s.Part:
		case other.Blocked(), other.isAsLikelyAs(s), other.Part == s.Rival && r.hasRival(s):
			return ambiguousDelay
		case other.mayExplain(s):
			delay = unclearDelay
		}
	}
	return delay
}
