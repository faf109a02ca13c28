package stopper

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// List returns all stops sorted by name, including those that have ended.
func (s Stops) List() []Stop {
	list := make([]Stop, 0, len(s.byName))
	for _, stop := range s.byName {
		list = append(list, stop)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Encode returns the JSON encoding of s.
func (s Stops) Encode() []byte {
	encoded, err := json.Marshal(s.List())
	if err != nil {
		panic(err) // every field of Stop can be encoded as JSON
	}
	return encoded
}

// computeHash returns the hash of the encoded stops, or 0 if there are none.
func (s Stops) computeHash() uint64 {
	if len(s.byName) == 0 {
		return 0
	}
	return xxhash.Sum64(s.Encode())
}
