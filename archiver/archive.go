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

// part is a refused part of prompts. Until is when that ends, in milliseconds by the
// table's clock.
type part struct {
	Key   uint64 `json:"key"`
	Name  string `json:"name"`
	Epoch int    `json:"epoch"`
	Level int    `json:"level"`
	Until int64  `json:"until"`
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
	return detector.Suspect{Part: p.Key, Name: p.Name, Epoch: p.Epoch, Level: p.Level, Refused: true, Until: time.UnixMilli(p.Until)}
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
		case ok && s.Epoch <= old.Epoch:
		case s.Refused:
			known[s.Part] = part{Key: s.Part, Name: s.Name, Epoch: s.Epoch, Level: s.Level, Until: s.Until.UnixMilli()}
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
		changed = changed || !ok || old.Epoch != p.Epoch
	}
	return next, changed
}
