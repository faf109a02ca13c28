package detector

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxNameBytes bounds the name of a part in messages and logs.
	maxNameBytes = 64
	// maxCount bounds the counts in a message.
	maxCount = 1 << 30
)

// Suspect is the evidence that a part of prompts crashes endpoints. It is encoded
// as an array in datagrams, so the order of the fields is part of the format.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Part is the key of the part, Name the beginning of its ID.
	Part uint64 `json:"part"`
	Name string `json:"name"`
	// Epoch counts how often the evidence was found void. Evidence of an older epoch
	// does not count.
	Epoch int `json:"epoch"`
	// Level is the length of the longest chain of crashes in which each crashed
	// request was sent after its sender knew of the crash before. Endpoints that end
	// at one moment count once.
	Level int `json:"level"`
	// Refused reports that an instance refused prompts with the part; see Blocked.
	Refused bool `json:"refused"`
	// Until is when the evidence expires.
	Until time.Time `json:"until"`
	// Answers is how many answers to prompts with the part began before its crashes, as
	// far as one instance has counted them.
	Answers int `json:"answers"`
	// Crashes is the level that the part would have if crashes that another part explains
	// counted in full.
	Crashes int `json:"crashes"`
	// Trials is the number of crashes of requests that were sent although the part was
	// refused.
	Trials int `json:"trials"`
	// TrialAt is when a request may be sent although the part is refused, to find out
	// whether it still crashes endpoints; zero if none may be.
	TrialAt time.Time `json:"trial"`
	// Rival is the key of another part that may be the cause in the place of this one,
	// since it was in the same prompts, or 0.
	Rival uint64 `json:"rival"`
	// Weights is the newest version of the model's weights with which the part crashed an
	// endpoint, 0 if the model has no versions.
	Weights int `json:"weights"`
}

// Validate returns an error if a field is out of range.
func (s Suspect) Validate() error {
	if len(s.Name) > maxNameBytes {
		return eris.Errorf("suspect part %x has a name of %d bytes", s.Part, len(s.Name))
	}
	for name, count := range map[string]int{"epoch": s.Epoch, "level": s.Level, "answers": s.Answers, "crashes": s.Crashes, "trials": s.Trials, "weights": s.Weights} {
		if count < 0 || count > maxCount {
			return eris.Errorf("suspect part %x has %s %d", s.Part, name, count)
		}
	}
	return nil
}

// Blocked reports whether prompts with the part are refused, trials excepted. An instance
// that knows of no answers refuses a part after fewer crashes than one that does; its
// refusal does not count once answers are known.
func (s Suspect) Blocked() bool {
	return s.Refused && (s.Answers == 0 || s.Level >= highCrashLimit)
}

// suspected reports whether there is evidence against the part.
func (s Suspect) suspected() bool { return s.Level > 0 || s.Refused }

// withCrash returns the suspect after the crash of a request that was sent when s
// was known, with a version of the weights.
func (s Suspect) withCrash(weights int, now time.Time) Suspect {
	s.Level = min(s.Level+1, maxCount)
	s.Crashes = min(s.Crashes+1, maxCount)
	s.Weights = max(s.Weights, weights)
	s.Until = expiry(now)
	return s
}

// withRefusal returns the suspect as a refused part with a rival.
func (s Suspect) withRefusal(rival uint64) Suspect {
	s.Refused = true
	s.Rival = rival
	return s
}

// withLevel returns the suspect in a new epoch with the given level.
func (s Suspect) withLevel(level int, now time.Time) Suspect {
	return Suspect{
		Part: s.Part, Name: s.Name, Epoch: min(s.Epoch+1, maxCount), Level: level,
		Answers: s.Answers, Crashes: s.Crashes, Weights: s.Weights, Until: expiry(now),
	}
}

// withTrial returns the suspect after the crash of a trial, with the time of the next one.
func (s Suspect) withTrial(next time.Time) Suspect {
	s.Trials = min(s.Trials+1, maxCount)
	return s.withTrialAt(next)
}

// withTrialAt returns the suspect with the time of the next trial.
func (s Suspect) withTrialAt(at time.Time) Suspect {
	s.TrialAt = wall(at)
	return s
}

// withoutCrashes returns the suspect in a new epoch without crashes.
func (s Suspect) withoutCrashes(now time.Time) Suspect {
	s.Crashes = 0
	return s.withLevel(0, now)
}

// withAnswers returns the suspect with a number of answers that began.
func (s Suspect) withAnswers(count int) Suspect {
	s.Answers = max(s.Answers, count)
	return s
}

// expiry returns when evidence of now expires.
func expiry(now time.Time) time.Time { return wall(now.Add(retention)) }

// wall returns t without a monotonic clock reading, which other instances do not have.
func wall(t time.Time) time.Time { return t.Round(0).UTC() }

// merge returns the evidence of both: that of the newer epoch, and within an epoch
// the higher counts, the refusal and the later times. It is commutative,
// associative and idempotent, so instances agree in whatever order messages arrive.
func merge(a, b Suspect) Suspect {
	if a.Epoch != b.Epoch {
		if a.Epoch < b.Epoch {
			return b
		}
		return a
	}
	merged := a
	merged.Name = max(a.Name, b.Name)
	merged.Level = max(a.Level, b.Level)
	merged.Refused = a.Refused || b.Refused
	merged.Answers = max(a.Answers, b.Answers)
	merged.Crashes = max(a.Crashes, b.Crashes)
	merged.Trials = max(a.Trials, b.Trials)
	merged.Rival = max(a.Rival, b.Rival)
	merged.Weights = max(a.Weights, b.Weights)
	if b.Until.After(a.Until) {
		merged.Until = b.Until
	}
	if b.TrialAt.After(a.TrialAt) {
		merged.TrialAt = b.TrialAt
	}
	return merged
}

// equal reports whether a and b are the same evidence.
func equal(a, b Suspect) bool {
	if !a.Until.Equal(b.Until) || !a.TrialAt.Equal(b.TrialAt) {
		return false
	}
	a.Until, a.TrialAt = b.Until, b.TrialAt
	return a == b
}

// compareWeight orders suspects by how much they matter: refused ones, then by
// level, then by expiry.
func compareWeight(a, b Suspect) int {
	return cmp.Or(cmp.Compare(boolRank(a.Refused), boolRank(b.Refused)), cmp.Compare(a.Level, b.Level), a.Until.Compare(b.Until), cmp.Compare(a.Part, b.Part))
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
