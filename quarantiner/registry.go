// Package quarantiner records requests that crashed the endpoints running them,
// and refuses them after the second crash without a complete answer between.
package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/holder"
)

const (
	// crashLimit is the number of crashes after which a request is refused.
	crashLimit = 2
	// retention is how long a request is kept after its last crash.
	retention = 10 * time.Minute
)

// Crash is the crash of one incarnation of an endpoint.
type Crash struct {
	Endpoint    string `json:"endpoint"`
	Incarnation string `json:"incarnation"`
}

// Case is a request with the crashes it was involved in. It expires at Until. Epoch counts
// how often an answer made the crashes void; those of an older epoch do not count.
type Case struct {
	Fingerprint uint64    `json:"print"`
	Losses      []Crash   `json:"losses"`
	Until       time.Time `json:"until"`
	Epoch       int       `json:"epoch"`
}

// Registry holds the cases known to this instance.
type Registry struct {
	cases holder.Value[map[uint64]Case]
}

// New returns an empty registry.
func New() *Registry { return &Registry{} }

// Fingerprint returns the hash that identifies a request and its resends.
func Fingerprint(workspace, path string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{workspace, path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// RecordCrash records that crash happened while the endpoint ran the request,
// and returns the request's case.
func (r *Registry) RecordCrash(fingerprint uint64, crash Crash, now time.Time) Case {
	epoch := r.cases.Load()[fingerprint].Epoch
	r.Merge([]Case{{Fingerprint: fingerprint, Losses: []Crash{crash}, Until: now.Add(retention), Epoch: epoch}}, now)
	return r.cases.Load()[fingerprint]
}

// RecordAnswer records that a request was answered completely, which makes its crashes
// void: endpoints also end for other reasons. It returns the case of the request, and
// whether that changed.
func (r *Registry) RecordAnswer(fingerprint uint64, now time.Time) (cleared Case, changed bool) {
	known, ok := r.Find(fingerprint, now)
	if !ok {
		return known, false
	}
	r.Merge([]Case{{Fingerprint: fingerprint, Until: now.Add(retention), Epoch: known.Epoch + 1}}, now)
	return r.cases.Load()[fingerprint], true
}

// Merge adds cases from other instances and reports whether any contained new
// information.
func (r *Registry) Merge(cases []Case, now time.Time) bool {
	if !r.addsAny(cases, now) {
		return false
	}
	r.cases.Update(func(old map[uint64]Case) map[uint64]Case {
		next := make(map[uint64]Case, len(old)+len(cases))
		for fingerprint, known := range old {
			if known.Until.After(now) {
				next[fingerprint] = known
			}
		}
		for _, other := range cases {
			next[other.Fingerprint] = mergeCases(next[other.Fingerprint], other)
		}
		return next
	})
	return true
}

// Cases returns the cases that have not expired at now.
func (r *Registry) Cases(now time.Time) []Case {
	var list []Case
	for _, known := range r.cases.Load() {
		if known.Until.After(now) {
			list = append(list, known)
		}
	}
	return list
}

// Find returns the case of a request and whether one exists that has not
// expired. The request is refused only if Refused returns true; with fewer
// crashes it is merely a suspect.
func (r *Registry) Find(fingerprint uint64, now time.Time) (Case, bool) {
	known, ok := r.cases.Load()[fingerprint]
	return known, ok && known.Until.After(now) && len(known.Losses) > 0
}

// Refused reports whether the request of c must not run.
func (c Case) Refused() bool { return len(c.Losses) >= crashLimit }

// addsAny reports whether any of cases contains information that is not recorded yet.
func (r *Registry) addsAny(cases []Case, now time.Time) bool {
	known := r.cases.Load()
	for _, other := range cases {
		old, ok := known[other.Fingerprint]
		merged := mergeCases(old, other)
		if other.Until.After(now) && (!ok || merged.Epoch > old.Epoch || len(merged.Losses) > len(old.Losses) || merged.Until.After(old.Until)) {
			return true
		}
	}
	return false
}

// mergeCases returns the case of the newer epoch, and within an epoch that with the crashes
// of both and the later expiry.
func mergeCases(a, b Case) Case {
	switch {
	case a.Epoch > b.Epoch:
		return a
	case a.Epoch < b.Epoch:
		return b
	}
	merged := Case{Fingerprint: b.Fingerprint, Losses: append([]Crash(nil), a.Losses...), Until: a.Until, Epoch: a.Epoch}
	for _, crash := range b.Losses {
		if !contains(merged.Losses, crash) {
			merged.Losses = append(merged.Losses, crash)
		}
	}
	if b.Until.After(merged.Until) {
		merged.Until = b.Until
	}
	return merged
}

func contains(crashes []Crash, crash Crash) bool {
	for _, known := range crashes {
		if known == crash {
			return true
		}
	}
	return false
}
