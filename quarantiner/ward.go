// Package quarantiner remembers requests that crashed the endpoints running
// them and refuses them after the second crash.
package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/holder"
)

const (
	// limit is the number of crashes after which a request is refused.
	limit = 2
	// keep is how long after its last crash a request is remembered.
	keep = 10 * time.Minute
)

// Crash is one crash: an endpoint and the incarnation that ended.
type Crash struct {
	Endpoint    string `json:"endpoint"`
	Incarnation string `json:"incarnation"`
}

// Case is one request with the crashes it was part of. It ends at Until.
type Case struct {
	Fingerprint uint64    `json:"print"`
	Losses      []Crash   `json:"losses"`
	Until       time.Time `json:"until"`
}

// Registry holds the cases that this instance knows of.
type Registry struct {
	cases holder.Value[map[uint64]Case]
}

// New returns an empty ward.
func New() *Registry { return &Registry{} }

// Fingerprint returns the name of a request in the ward.
func Fingerprint(workspace, path string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{workspace, path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// RecordCrash records that loss ended while it ran the request, and returns the case.
func (w *Registry) RecordCrash(fingerprint uint64, loss Crash, now time.Time) Case {
	w.Merge([]Case{{Fingerprint: fingerprint, Losses: []Crash{loss}, Until: now.Add(keep)}}, now)
	return w.cases.Load()[fingerprint]
}

// Merge takes in cases that others know of and reports whether any was news.
func (w *Registry) Merge(cases []Case, now time.Time) bool {
	if !w.news(cases, now) {
		return false
	}
	w.cases.Update(func(old map[uint64]Case) map[uint64]Case {
		next := make(map[uint64]Case, len(old)+len(cases))
		for fingerprint, known := range old {
			if known.Until.After(now) {
				next[fingerprint] = known
			}
		}
		for _, other := range cases {
			next[other.Fingerprint] = join(next[other.Fingerprint], other)
		}
		return next
	})
	return true
}

// Cases returns the cases that have not ended at now.
func (w *Registry) Cases(now time.Time) []Case {
	var list []Case
	for _, known := range w.cases.Load() {
		if known.Until.After(now) {
			list = append(list, known)
		}
	}
	return list
}

// Find returns the case of a request. It is refused when Refused says so; a
// case with fewer crashes is only suspect.
func (w *Registry) Find(fingerprint uint64, now time.Time) (Case, bool) {
	known, ok := w.cases.Load()[fingerprint]
	return known, ok && known.Until.After(now)
}

// Refused reports whether the request of c must not run.
func (c Case) Refused() bool { return len(c.Losses) >= limit }

func (w *Registry) news(cases []Case, now time.Time) bool {
	known := w.cases.Load()
	for _, other := range cases {
		old, ok := known[other.Fingerprint]
		joined := join(old, other)
		if other.Until.After(now) && (!ok || len(joined.Losses) > len(old.Losses) || joined.Until.After(old.Until)) {
			return true
		}
	}
	return false
}

func join(a, b Case) Case {
	joined := Case{Fingerprint: b.Fingerprint, Losses: append([]Crash(nil), a.Losses...), Until: a.Until}
	for _, loss := range b.Losses {
		if !contains(joined.Losses, loss) {
			joined.Losses = append(joined.Losses, loss)
		}
	}
	if b.Until.After(joined.Until) {
		joined.Until = b.Until
	}
	return joined
}

func contains(losses []Crash, loss Crash) bool {
	for _, known := range losses {
		if known == loss {
			return true
		}
	}
	return false
}
