package archiver

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/detector"
	"wisteriadrum/versioner"
)

// maxParts bounds the refused parts that are kept: those that expire last.
const maxParts = 64

// clockTolerance is the difference between times of instances that their estimates of the
// table's clock explain. A version is not written again for less.
const clockTolerance = 200 * time.Millisecond

// archive is the value of the row.
type archive struct {
	Versions []version `json:"versions"`
	Parts    []part    `json:"parts"`
}

// version is an announced version of a model's weights. Until is when requests must no
// longer start on older ones, in milliseconds by the table's clock.
type version struct {
	Model  string `json:"model"`
	Number int    `json:"number"`
	Until  int64  `json:"until"`
}

// part is a refused part of prompts. Until is when that ends, and Trial when a request may
// be sent with it again, in milliseconds by the table's clock; Trial is 0 if none may.
type part struct {
	Key     uint64 `json:"key"`
	Name    string `json:"name"`
	Epoch   int    `json:"epoch"`
	Level   int    `json:"level"`
	Until   int64  `json:"until"`
	Answers int    `json:"answers,omitzero"`
	Crashes int    `json:"crashes,omitzero"`
	Trials  int    `json:"trials,omitzero"`
	Trial   int64  `json:"trial,omitzero"`
	Rival   uint64 `json:"rival,omitzero"`
	Weights int    `json:"weights,omitzero"`
}

func decode(value []byte) (archive, error) {
	var decoded archive
	if len(value) == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(value, &decoded); err != nil {
		return archive{}, eris.Wrap(err, "decode archive")
	}
	for _, v := range decoded.Versions {
		if v.Model == "" || v.Number <= 0 || v.Until <= 0 {
			return archive{}, eris.Errorf("archive has version %d of model %q until %d", v.Number, v.Model, v.Until)
		}
	}
	for _, p := range decoded.Parts {
		if p.Until <= 0 {
			return archive{}, eris.Errorf("archive has part %x until %d", p.Key, p.Until)
		}
		if err := p.suspect().Validate(); err != nil {
			return archive{}, eris.Wrap(err, "archive")
		}
	}
	return decoded, nil
}

// suspect returns the evidence against a part. Its time is by the table's clock.
func (p part) suspect() detector.Suspect {
	s := detector.Suspect{
		Part: p.Key, Name: p.Name, Epoch: p.Epoch, Level: p.Level, Refused: true, Until: time.UnixMilli(p.Until),
		Answers: p.Answers, Crashes: p.Crashes, Trials: p.Trials, Rival: p.Rival, Weights: p.Weights,
	}
	if p.Trial != 0 {
		s.TrialAt = time.UnixMilli(p.Trial)
	}
	return s
}

// newPart returns the row's form of the evidence against a refused part. Its time is by the
// table's clock.
func newPart(s detector.Suspect) part {
	p := part{
		Key: s.Part, Name: s.Name, Epoch: s.Epoch, Level: s.Level, Until: s.Until.UnixMilli(),
		Answers: s.Answers, Crashes: s.Crashes, Trials: s.Trials, Rival: s.Rival, Weights: s.Weights,
	}
	if !s.TrialAt.IsZero() {
		p.Trial = s.TrialAt.UnixMilli()
	}
	return p
}

// includes reports whether the row has what it is to keep of s. Trials are written again,
// since there may be only a few of them.
func (p part) includes(s detector.Suspect) bool {
	return s.Epoch < p.Epoch || s.Epoch == p.Epoch && s.Trials <= p.Trials
}

// versions returns the versions by model. Their times are by the table's clock.
func (a archive) versions() map[string]versioner.Versions {
	byModel := map[string]versioner.Versions{}
	for _, v := range a.Versions {
		byModel[v.Model], _ = byModel[v.Model].With(versioner.Version{Number: v.Number, OlderUntil: time.UnixMilli(v.Until)})
	}
	return byModel
}

// WithVersions returns the archive with the versions that it lacks or has with a later
// time, and whether there were any. Those that no longer matter at now are removed. All
// times are by the table's clock.
func (a archive) WithVersions(added map[string]versioner.Versions, now time.Time) (next archive, changed bool) {
	byModel := a.versions()
	for model, versions := range added {
		for _, v := range versions {
			atLatest := v
			atLatest.OlderUntil = v.OlderUntil.Add(clockTolerance)
			if _, differs := byModel[model].With(atLatest); differs {
				byModel[model], _ = byModel[model].With(v)
				changed = true
			}
		}
	}
	next.Parts = a.Parts
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		for _, v := range byModel[model].Current(now) {
			next.Versions = append(next.Versions, version{Model: model, Number: v.Number, Until: v.OlderUntil.UnixMilli()})
		}
	}
	return next, changed
}

// WithSuspects returns the archive with the refused parts among suspects that it lacks,
// without the parts that are not refused any more, and whether there were any of these.
// Those that have expired at now are removed. All times are by the table's clock.
func (a archive) WithSuspects(suspects []detector.Suspect, now time.Time) (next archive, changed bool) {
	next = a
	known := map[uint64]part{}
	for _, p := range a.Parts {
		if time.UnixMilli(p.Until).After(now) {
			known[p.Key] = p
		}
	}
	before := maps.Clone(known)
	for _, s := range suspects {
		old, ok := known[s.Part]
		switch {
		case ok && old.includes(s):
		case s.Blocked():
			known[s.Part] = newPart(s)
		default:
			delete(known, s.Part)
		}
	}
	next.Parts = slices.SortedFunc(maps.Values(known), func(a, b part) int {
		return cmp.Or(cmp.Compare(b.Until, a.Until), cmp.Compare(a.Key, b.Key))
	})
	next.Parts = next.Parts[:min(len(next.Parts), maxParts)]
	changed = len(next.Parts) != len(before)
	for _, p := range next.Parts {
		old, ok := before[p.Key]
		changed = changed || !ok || old != p
	}
	return next, changed
}
