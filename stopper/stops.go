// Package stopper defines planned stops of endpoints and instances and merges
// concurrent changes of them.
package stopper

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Stop is a planned stop. While it is active, the endpoint or instance Name gets
// no new work.
type Stop struct {
	Name   string `json:"name"`
	Active bool   `json:"active"`
	// Serial orders the changes of one name; the highest is current.
	Serial uint64 `json:"serial"`
	// By is the instance that made the change. It breaks the tie between two
	// changes with the same serial, made during a network partition.
	By string `json:"by"`
}

// Stops holds the newest stop of each name. It is immutable.
type Stops struct {
	byName map[string]Stop
	hash   uint64
}

// New decodes a JSON list of stops. Empty input decodes to no stops.
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

// With returns a copy of s with changes merged in. The newer change of a name
// replaces the older one.
func (s Stops) With(changes ...Stop) Stops {
	next := Stops{byName: make(map[string]Stop, len(s.byName)+len(changes))}
	for name, stop := range s.byName {
		next.byName[name] = stop
	}
	for _, change := range changes {
		if old, known := next.byName[change.Name]; !known || change.supersedes(old) {
			next.byName[change.Name] = change
		}
	}
	next.hash = next.computeHash()
	return next
}

// Change returns the change of name that follows the one in s, made by
// instance. It does not modify s.
func (s Stops) Change(name string, active bool, instance string) Stop {
	return Stop{Name: name, Active: active, Serial: s.byName[name].Serial + 1, By: instance}
}

// Active reports whether name is stopped.
func (s Stops) Active(name string) bool { return s.byName[name].Active }

// Hash returns a hash that is equal for equal stops.
func (s Stops) Hash() uint64 { return s.hash }

// supersedes reports whether a is a newer change than b of the same name.
func (a Stop) supersedes(b Stop) bool {
	if a.Serial != b.Serial {
		return a.Serial > b.Serial
	}
	return a.By > b.By
}
