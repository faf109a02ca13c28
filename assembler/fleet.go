// Package assembler derives the endpoints' tracks from a published set.
package assembler

import (
	"wisteriadrum/indexer"
	"wisteriadrum/tracker"
)

// Fleet is every endpoint of a set with its track. It is never modified.
type Fleet struct {
	names map[string]*tracker.Track
	pools map[string][]*tracker.Track
}

// New returns the fleet of index as seen from dataCentre. Endpoints that old
// has at the same address keep their tracks.
func New(index *indexer.Index, dataCentre string, old *Fleet) *Fleet {
	f := &Fleet{names: map[string]*tracker.Track{}, pools: map[string][]*tracker.Track{}}
	for _, endpoint := range index.Set.Endpoints {
		track := old.Track(endpoint.Name)
		if track == nil || track.Endpoint != endpoint {
			track = tracker.New(endpoint, endpoint.DataCentre == dataCentre)
		}
		f.names[endpoint.Name] = track
		f.pools[endpoint.Pool] = append(f.pools[endpoint.Pool], track)
	}
	return f
}

// Track returns the track of the endpoint named name, or nil.
func (f *Fleet) Track(name string) *tracker.Track {
	if f == nil {
		return nil
	}
	return f.names[name]
}

// Pool returns the tracks of a pool. They must not be modified.
func (f *Fleet) Pool(name string) []*tracker.Track {
	if f == nil {
		return nil
	}
	return f.pools[name]
}

// All returns the tracks of all endpoints by name. They must not be modified.
func (f *Fleet) All() map[string]*tracker.Track {
	if f == nil {
		return nil
	}
	return f.names
}
