// Package assembler derives the endpoints' tracks from a published set.
package assembler

import (
	"slices"

	"wisteriadrum/indexer"
	"wisteriadrum/permuter"
	"wisteriadrum/tracker"
)

// Fleet is every endpoint of a set with its track. It is never modified.
type Fleet struct {
	names map[string]*tracker.Track
	pools map[string][]*tracker.Track
	order map[string]*permuter.Order
}

// New returns the fleet of index as seen from dataCentre. Endpoints that old
// has at the same address keep their tracks.
func New(index *indexer.Index, dataCentre string, old *Fleet) *Fleet {
	f := &Fleet{names: map[string]*tracker.Track{}, pools: map[string][]*tracker.Track{}, order: map[string]*permuter.Order{}}
	for _, endpoint := range index.Config.Endpoints {
		track := old.Track(endpoint.Name)
		if track == nil || track.Endpoint != endpoint {
			track = tracker.New(endpoint, endpoint.DataCentre == dataCentre)
		}
		f.names[endpoint.Name] = track
		f.pools[endpoint.Pool] = append(f.pools[endpoint.Pool], track)
	}
	for pool, tracks := range f.pools {
		f.order[pool] = orderOf(tracks, old, pool)
	}
	return f
}

// orderOf returns the order of tracks, the old one if the names are the same.
func orderOf(tracks []*tracker.Track, old *Fleet, pool string) *permuter.Order {
	hashes := hashesOf(tracks)
	if slices.Equal(hashes, hashesOf(old.Pool(pool))) {
		return old.Order(pool)
	}
	return permuter.New(hashes)
}

func hashesOf(tracks []*tracker.Track) []uint64 {
	hashes := make([]uint64, len(tracks))
	for i, track := range tracks {
		hashes[i] = track.Hash
	}
	return hashes
}

// Order returns the rendezvous order of a pool.
func (f *Fleet) Order(pool string) *permuter.Order {
	if f == nil {
		return nil
	}
	return f.order[pool]
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
