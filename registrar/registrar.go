// Package registrar is the blackboard of what an instance believes: the
// configuration in force, the endpoints, and the versions of weights.
package registrar

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/holder"
	"wisteriadrum/monitor"
	"wisteriadrum/router"
)

// forgetAfter is how long an endpoint that has left is remembered, so that its
// last answers are still counted.
const forgetAfter = 10 * time.Second

// Versions is the versions of a model's weights that were heard of, in order.
type Versions []Version

// Version is a version of weights with when it was heard of.
type Version struct {
	Number int
	Since  time.Time
}

// mostVersions bounds how many versions of a model are remembered.
const mostVersions = 16

// Newest returns the newest version, 0 if there is none.
func (n Versions) Newest() int {
	if len(n) == 0 {
		return 0
	}
	return n[len(n)-1].Number
}

// NewestBefore returns the newest version that was heard of before at, 0 if none was.
func (n Versions) NewestBefore(at time.Time) int {
	floor := 0
	for _, version := range n {
		if version.Since.Before(at) {
			floor = version.Number
		}
	}
	return floor
}

// Fleet is the endpoints at one moment. It must not be changed.
type Fleet struct {
	byName map[string]*monitor.Monitor
	byKey  map[uint64]*monitor.Monitor
	pools  map[string][]*monitor.Monitor
	stores []*monitor.Monitor
}

// Stores returns the stores of cached parts.
func (f *Fleet) Stores() []*monitor.Monitor {
	if f == nil {
		return nil
	}
	return f.stores
}

// Pool returns the endpoints of a pool.
func (f *Fleet) Pool(name string) []*monitor.Monitor {
	if f == nil {
		return nil
	}
	return f.pools[name]
}

// ByKey returns the endpoint with a key, or nil.
func (f *Fleet) ByKey(key uint64) *monitor.Monitor {
	if f == nil {
		return nil
	}
	return f.byKey[key]
}

// All returns the endpoints by name.
func (f *Fleet) All() map[string]*monitor.Monitor {
	if f == nil {
		return nil
	}
	return f.byName
}

// Registrar holds the sections of the blackboard.
type Registrar struct {
	table   holder.Value[*router.Table]
	fleet   holder.Value[*Fleet]
	weights holder.Value[map[string]Versions]
}

// New returns an empty registrar.
func New() *Registrar { return &Registrar{} }

// Table returns the configuration in force, nil before the first.
func (r *Registrar) Table() *router.Table { return r.table.Load() }

// Fleet returns the endpoints.
func (r *Registrar) Fleet() *Fleet { return r.fleet.Load() }

// Versions returns the versions of a model that were heard of.
func (r *Registrar) Versions(model string) Versions { return r.weights.Load()[model] }

// VersionsByModel returns the versions that were heard of by model.
func (r *Registrar) VersionsByModel() map[string]Versions { return r.weights.Load() }

// PutTable takes in a configuration unless a newer one is in force, and
// reports whether it did.
func (r *Registrar) PutTable(table *router.Table) bool {
	put := false
	r.table.Update(func(old *router.Table) *router.Table {
		if old != nil && old.Version >= table.Version {
			return old
		}
		put = true
		return table
	})
	if put {
		r.fleet.Update(func(old *Fleet) *Fleet { return r.rebuilt(old.All(), old.Stores()) })
	}
	return put
}

// AddVersion takes in a version of a model's weights and reports whether it
// is the newest.
func (r *Registrar) AddVersion(model string, version int, now time.Time) bool {
	put := false
	r.weights.Update(func(old map[string]Versions) map[string]Versions {
		if old[model].Newest() >= version {
			return old
		}
		put = true
		next := maps.Clone(old)
		if next == nil {
			next = map[string]Versions{}
		}
		known := old[model]
		if len(known) == mostVersions {
			known = known[1:]
		}
		next[model] = append(slices.Clone(known), Version{Number: version, Since: now})
		return next
	})
	return put
}

// PutEndpoints takes in changed entries and the names of those that ended.
// An endpoint that leaves or has ended is a last resort until leaveBy, since
// entries also lapse while their endpoints live, and gets nothing after it.
func (r *Registrar) PutEndpoints(entries []monitor.Entry, gone []string, now, leaveBy time.Time) {
	r.fleet.Update(func(old *Fleet) *Fleet {
		byName := maps.Clone(old.All())
		if byName == nil {
			byName = map[string]*monitor.Monitor{}
		}
		for name, one := range byName {
			if one.Left(now.Add(-forgetAfter)) {
				delete(byName, name)
			}
		}
		for _, name := range gone {
			if known := byName[name]; known != nil {
				known.MarkLeaving(leaveBy)
			}
		}
		for _, entry := range entries {
			known := byName[entry.Name]
			if known != nil && known.Entry().Incarnation == entry.Incarnation && known.Entry().Address == entry.Address {
				known.Update(entry, r.engine(entry.Pool))
			} else {
				known = monitor.New(key(entry), entry, r.engine(entry.Pool))
				byName[entry.Name] = known
			}
			if entry.Leaving {
				known.MarkLeaving(leaveBy)
			} else {
				known.ClearLeaving()
			}
		}
		return r.rebuilt(byName, old.Stores())
	})
}

// rebuilt returns a fleet of monitors with the engines of the table in force.
func (r *Registrar) rebuilt(byName map[string]*monitor.Monitor, stores []*monitor.Monitor) *Fleet {
	fleet := &Fleet{byName: byName, byKey: map[uint64]*monitor.Monitor{}, pools: map[string][]*monitor.Monitor{}}
	for _, one := range byName {
		entry := one.Entry()
		one.Update(entry, r.engine(entry.Pool))
		fleet.byKey[one.Key] = one
		fleet.pools[entry.Pool] = append(fleet.pools[entry.Pool], one)
	}
	fleet.stores = r.stores(stores)
	for _, one := range fleet.stores {
		fleet.byKey[one.Key] = one
	}
	return fleet
}

// stores returns the stores of the table in force, those that are known with
// what they are believed to hold.
func (r *Registrar) stores(known []*monitor.Monitor) []*monitor.Monitor {
	table := r.table.Load()
	if table == nil {
		return known
	}
	var stores []*monitor.Monitor
	for _, store := range table.Stores {
		entry := monitor.Entry{Name: store.Name, Address: store.Address, DataCentre: store.DataCentre}
		one := monitor.New(key(entry), entry, &router.Engine{CapacityTokens: store.CapacityTokens, LinkMbps: store.LinkMbps})
		for _, old := range known {
			if old.Key == one.Key {
				one = old
			}
		}
		stores = append(stores, one)
	}
	return stores
}

func (r *Registrar) engine(pool string) *router.Engine {
	table := r.table.Load()
	if table == nil {
		return nil
	}
	return table.Pools[pool].Engine
}

// key names an incarnation of an endpoint in messages between instances.
func key(entry monitor.Entry) uint64 {
	sum := xxhash.Sum64String(entry.Name + "\x00" + entry.Address + "\x00" + strconv.FormatInt(entry.Incarnation, 10))
	return sum & math.MaxUint32 // short in messages, and unlikely to collide among thousands
}
