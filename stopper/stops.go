// Package stopper holds the planned stops of endpoints and instances.
package stopper

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Stop keeps new work away from the endpoint or instance Name while Active.
type Stop struct {
	Name   string `json:"name"`
	Active bool   `json:"active"`
	// Serial orders the changes of one name; the highest counts.
	Serial uint64 `json:"serial"`
	// By tells apart two changes that were given the same serial while apart.
	By string `json:"by"`
}

// Stops is the newest stop of each name. It is never modified.
type Stops struct {
	byName map[string]Stop
	hash   uint64
}

// New returns the stops in encoded, a JSON list; nothing encodes none.
func New(encoded []byte) (Stops, error) {
	if len(encoded) == 0 {
		return Stops{}, nil
	}
	var list []Stop
	if err := json.Unmarshal(encoded, &list); err != nil {
		return Stops{}, eris.Wrap(err, "decode stops")
	}
	return Stops{}.With(list...), nil
}

// With returns a copy of s with changes; of two for one name the later counts.
func (s Stops) With(changes ...Stop) Stops {
	next := Stops{byName: make(map[string]Stop, len(s.byName)+len(changes))}
	for name, stop := range s.byName {
		next.byName[name] = stop
	}
	for _, change := range changes {
		if old, known := next.byName[change.Name]; !known || change.after(old) {
			next.byName[change.Name] = change
		}
	}
	next.hash = next.sum()
	return next
}

// Change returns the next change of name, made by the instance by.
func (s Stops) Change(name string, active bool, by string) Stop {
	return Stop{Name: name, Active: active, Serial: s.byName[name].Serial + 1, By: by}
}

// Active reports whether name is stopped.
func (s Stops) Active(name string) bool { return s.byName[name].Active }

// Hash is equal for equal stops.
func (s Stops) Hash() uint64 { return s.hash }

func (a Stop) after(b Stop) bool {
	if a.Serial != b.Serial {
		return a.Serial > b.Serial
	}
	return a.By > b.By
}
