// Package assembler builds the endpoint states of a published configuration.
package assembler

import (
	"slices"

	"wisteriadrum/indexer"
	"wisteriadrum/permuter"
	"wisteriadrum/tracker"
)

// Fleet holds the tracks of all endpoints of a configuration. It is immutable.
type Fleet struct {
	byName map[string]*tracker.Track
	byPool map[string][]*tracker.Track
	orders map[string]*permuter.Order
}

// New returns the fleet of index as seen from dataCentre. Endpoints whose
// configuration is the same in previous keep their tracks.
func New(index *indexer.Index, dataCentre string, previous *Fleet) *Fleet {
	f := &Fleet{byName: map[string]*tracker.Track{}, byPool: map[string][]*tracker.Track{}, orders: map[string]*permuter.Order{}}
	for _, endpoint := range index.Config.Endpoints {
		track := previous.Track(endpoint.Name)
		if track == nil || track.Endpoint != endpoint {
			track = tracker.New(endpoint, endpoint.DataCentre == dataCentre)
		}
		f.byName[endpoint.Name] = track
		f.byPool[endpoint.Pool] = append(f.byPool[endpoint.Pool], track)
	}
	for pool, tracks := range f.byPool {
		f.orders[pool] = orderOf(tracks, previous, pool)
	}
	return f
}

// orderOf returns the rendezvous order of tracks. It reuses that of previous if the
// endpoints are the same.
func orderOf(tracks []*tracker.Track, previous *Fleet, pool string) *permuter.Order {
	hashes := hashesOf(tracks)
	if slices.Equal(hashes, hashesOf(previous.Pool(pool))) {
		return previous.Order(pool)
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

// Order returns the rendezvous order of a pool, or nil for an unknown pool.
func (f *Fleet) Order(pool string) *permuter.Order {
	if f == nil {
		return nil
	}
	return f.orders[pool]
}

// Track returns the track of the endpoint named name, or nil.
func (f *Fleet) Track(name string) *tracker.Track {
	if f == nil {
		return nil
	}
	return f.byName[name]
}

// Pool returns the tracks of a pool. The slice must not be modified.
func (f *Fleet) Pool(name string) []*tracker.Track {
	if f == nil {
		return nil
	}
	return f.byPool[name]
}

// All returns the tracks of all endpoints by name. The map must not be modified.
func (f *Fleet) All() map[string]*tracker.Track {
	if f == nil {
		return nil
	}
	return f.byName
}
