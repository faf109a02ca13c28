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
	// Refused reports that prompts with the part are refused.
	Refused bool `json:"refused"`
	// Until is when the evidence expires.
	Until time.Time `json:"until"`
}

// Validate returns an error if a field is out of range.
func (s Suspect) Validate() error {
	if len(s.Name) > maxNameBytes {
		return eris.Errorf("suspect part %x has a name of %d bytes", s.Part, len(s.Name))
	}
	if s.Epoch < 0 || s.Epoch > maxCount || s.Level < 0 || s.Level > maxCount {
		return eris.Errorf("suspect part %x has epoch %d and level %d", s.Part, s.Epoch, s.Level)
	}
	return nil
}

// suspected reports whether there is evidence against the part.
func (s Suspect) suspected() bool { return s.Level > 0 || s.Refused }

// withCrash returns the suspect after the crash of a request that was sent when s
// was known.
func (s Suspect) withCrash(now time.Time) Suspect {
	s.Level = min(s.Level+1, maxCount)
	s.Until = expiry(now)
	return s
}

// withRefusal returns the suspect as a refused part.
func (s Suspect) withRefusal() Suspect {
	s.Refused = true
	return s
}

// withLevel returns the suspect in a new epoch with the given level.
func (s Suspect) withLevel(level int, now time.Time) Suspect {
	s.Epoch = min(s.Epoch+1, maxCount)
	s.Level, s.Refused = level, false
	s.Until = expiry(now)
	return s
}

// expiry returns when evidence of now expires, without a monotonic clock reading,
// which other instances do not have.
func expiry(now time.Time) time.Time { return now.Add(retention).Round(0).UTC() }

// merge returns the evidence of both: that of the newer epoch, and within an epoch
// the higher level, the refusal and the later expiry. It is commutative,
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
	if b.Until.After(a.Until) {
		merged.Until = b.Until
	}
	return merged
}

// equal reports whether a and b are the same evidence.
func equal(a, b Suspect) bool {
	return a.Part == b.Part && a.Name == b.Name && a.Epoch == b.Epoch && a.Level == b.Level && a.Refused == b.Refused && a.Until.Equal(b.Until)
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
