package archiver

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/versioner"
)

// archive is the value of the row.
type archive struct {
	Versions []version `json:"versions"`
}

// version is an announced version of a model's weights. Until is when requests must no
// longer start on older ones, in milliseconds by the table's clock.
type version struct {
	Model  string `json:"model"`
	Number int    `json:"number"`
	Until  int64  `json:"until"`
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
	return decoded, nil
}

// versions returns the versions by model. Their times are by the table's clock.
func (a archive) versions() map[string]versioner.Versions {
	byModel := map[string]versioner.Versions{}
	for _, v := range a.Versions {
		byModel[v.Model], _ = byModel[v.Model].With(versioner.Version{Number: v.Number, OlderUntil: time.UnixMilli(v.Until)})
	}
	return byModel
}

// WithVersions returns the archive with the versions that it lacks, and whether it lacked
// any. Those that no longer matter at now are removed. All times are by the table's clock.
func (a archive) WithVersions(added map[string]versioner.Versions, now time.Time) (next archive, changed bool) {
	byModel := a.versions()
	for model, versions := range added {
		for _, v := range versions {
			if !byModel[model].Contains(v.Number) {
				byModel[model], _ = byModel[model].With(v)
				changed = true
			}
		}
	}
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		for _, v := range byModel[model].Current(now) {
			next.Versions = append(next.Versions, version{Model: model, Number: v.Number, Until: v.OlderUntil.UnixMilli()})
		}
	}
	return next, changed
}
