// Package registrar holds the routing state of an instance: the configuration
// in force, the known endpoints and stores, and the known versions of weights.
package registrar

import (
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/estimator"
	"wisteriadrum/holder"
	"wisteriadrum/monitor"
	"wisteriadrum/router"
	"wisteriadrum/versioner"
)

// Fleet is an immutable snapshot of the endpoints and stores.
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

// ByKey returns the endpoint or store with the given key, or nil.
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

// Registrar holds the routing state of an instance.
type Registrar struct {
	table   holder.Value[*router.Table]
	fleet   holder.Value[*Fleet]
	weights holder.Value[map[string]versioner.Versions]
	figures holder.Value[map[string]estimator.Estimator]
	now     func() time.Time
	// versionAdded receives a value when a new version is known.
	versionAdded chan struct{}
}

// New returns an empty registrar. now is the clock of the versions of weights; it
// continues while the process is suspended.
func New(now func() time.Time) *Registrar {
	return &Registrar{now: now, versionAdded: make(chan struct{}, 1)}
}

// Now returns the time by the clock of the versions of weights.
func (r *Registrar) Now() time.Time { return r.now() }

// Table returns the configuration in force, nil before the first one.
func (r *Registrar) Table() *router.Table { return r.table.Load() }

// Fleet returns the current endpoints and stores.
func (r *Registrar) Fleet() *Fleet { return r.fleet.Load() }

// Versions returns the known versions of a model.
func (r *Registrar) Versions(model string) versioner.Versions { return r.weights.Load()[model] }

// VersionsByModel returns the known versions of all models.
func (r *Registrar) VersionsByModel() map[string]versioner.Versions { return r.weights.Load() }

// PutTable stores a configuration unless the one in force is as new or newer,
// and reports whether it was stored.
func (r *Registrar) PutTable(table *router.Table) bool {
	stored := false
	r.table.Update(func(old *router.Table) *router.Table {
		if old != nil && old.Version >= table.Version {
			return old
		}
		stored = true
		return table
	})
	if stored {
		r.fleet.Update(func(old *Fleet) *Fleet { return r.rebuildFleet(old.All(), old.Stores()) })
	}
	return stored
}

// AddVersion adds a version of a model's weights and reports whether it is
// newer than all known ones.
func (r *Registrar) AddVersion(model string, version versioner.Version) bool {
	newer := false
	r.weights.Update(func(old map[string]versioner.Versions) map[string]versioner.Versions {
		versions, changed := old[model].With(version)
		if !changed {
			return old
		}
		newer = version.Number > old[model].Newest()
		next := maps.Clone(old)
		if next == nil {
			next = map[string]versioner.Versions{}
		}
		next[model] = versions
		return next
	})
	if newer {
		select {
		case r.versionAdded <- struct{}{}:
		default: // an earlier one was not received yet
		}
	}
	return newer
}

// VersionAdded returns a channel that receives a value when a new version of any
// model's weights is known. It has one receiver.
func (r *Registrar) VersionAdded() <-chan struct{} { return r.versionAdded }

// PutEndpoints applies changed entries and the names of removed ones in gone.
// An endpoint that is leaving or removed is used only as a last resort until
// leaveBy, and not at all afterwards. It is not dropped at once, since entries
// also expire while their endpoints are up. One that is leaving and was not known may
// have been for long: it is not used, as after the same entry is received again.
func (r *Registrar) PutEndpoints(entries []monitor.Entry, gone []string, now, leaveBy time.Time) {
	r.updateEndpoints(func(byName map[string]*monitor.Monitor) {
		isFirst := len(byName) == 0
		for name, endpoint := range byName {
			endpoint.Resume(now)
			if endpoint.Forgettable(now) {
				delete(byName, name)
			}
		}
		for _, name := range gone {
			if existing := byName[name]; existing != nil {
				existing.MarkLeaving(leaveBy)
			}
		}
		for _, entry := range entries {
			if r.put(byName, entry, now, leaveBy, now) && !isFirst {
				byName[entry.Name].MarkStarted(now)
			}
		}
	})
}

// PutCopy applies the entries of an older copy of the list, as PutEndpoints does. Entries
// of an older incarnation than the known one are ignored. An endpoint that was leaving or
// removed is used only from resumeAt on, if it is still listed then.
func (r *Registrar) PutCopy(entries []monitor.Entry, now, leaveBy, resumeAt time.Time) {
	r.updateEndpoints(func(byName map[string]*monitor.Monitor) {
		for _, entry := range entries {
			existing := byName[entry.Name]
			if existing == nil || entry.Incarnation >= existing.Entry().Incarnation {
				r.put(byName, entry, now, leaveBy, resumeAt)
			}
		}
	})
}

// updateEndpoints replaces the fleet by one with changed endpoints.
func (r *Registrar) updateEndpoints(change func(byName map[string]*monitor.Monitor)) {
	r.fleet.Update(func(old *Fleet) *Fleet {
		byName := maps.Clone(old.All())
		if byName == nil {
			byName = map[string]*monitor.Monitor{}
		}
		change(byName)
		return r.rebuildFleet(byName, old.Stores())
	})
}

// put applies an entry to the endpoints by name. If it is not leaving it is used from
// resumeAt on. It reports whether the endpoint was not known before.
func (r *Registrar) put(byName map[string]*monitor.Monitor, entry monitor.Entry, now, leaveBy, resumeAt time.Time) (isNew bool) {
	existing := byName[entry.Name]
	if existing == nil {
		leaveBy = now
	}
	news := true
	if existing != nil && existing.Entry().Incarnation == entry.Incarnation && existing.Entry().Address == entry.Address {
		if entry.Before(existing.Entry()) {
			return false
		}
		news = entry.Sequence > existing.Entry().Sequence
		existing.Update(entry, r.engine(entry.Pool))
	} else {
		existing = monitor.New(endpointKey(entry), entry, r.engine(entry.Pool))
		byName[entry.Name] = existing
		isNew = true
	}
	switch {
	case entry.Leaving:
		existing.MarkLeaving(leaveBy)
	case resumeAt.After(now):
		existing.ClearLeavingAt(resumeAt)
	case news || !existing.Resumes():
		existing.ClearLeaving()
	}
	return isNew
}

// rebuildFleet returns a fleet of the given endpoints and of the stores in the
// configuration in force.
func (r *Registrar) rebuildFleet(byName map[string]*monitor.Monitor, stores []*monitor.Monitor) *Fleet {
	fleet := &Fleet{byName: byName, byKey: map[uint64]*monitor.Monitor{}, pools: map[string][]*monitor.Monitor{}}
	for _, endpoint := range byName {
		entry := endpoint.Entry()
		endpoint.Update(entry, r.engine(entry.Pool))
		fleet.byKey[endpoint.Key] = endpoint
		fleet.pools[entry.Pool] = append(fleet.pools[entry.Pool], endpoint)
	}
	fleet.stores = r.rebuildStores(stores)
	for _, endpoint := range fleet.stores {
		fleet.byKey[endpoint.Key] = endpoint
	}
	return fleet
}

// rebuildStores returns a monitor for each store of the configuration in force.
// The monitors of unchanged stores are reused, with their state.
func (r *Registrar) rebuildStores(existing []*monitor.Monitor) []*monitor.Monitor {
	table := r.table.Load()
	if table == nil {
		return existing
	}
	var stores []*monitor.Monitor
	for _, store := range table.Stores {
		entry := monitor.Entry{Name: store.Name, Address: store.Address, DataCentre: store.DataCentre}
		engine := &router.Engine{CapacityTokens: store.CapacityTokens, LinkMbps: store.LinkMbps}
		endpoint := monitor.New(endpointKey(entry), entry, engine)
		for _, old := range existing {
			if old.Key == endpoint.Key {
				old.Update(entry, engine)
				endpoint = old
			}
		}
		stores = append(stores, endpoint)
	}
	return stores
}

// engine returns the engine settings of a pool, nil if it has none.
func (r *Registrar) engine(pool string) *router.Engine {
	table := r.table.Load()
	if table == nil {
		return nil
	}
	return table.Pools[pool].Engine
}

// endpointKey identifies an incarnation of an endpoint in messages between
// instances.
func endpointKey(entry monitor.Entry) uint64 {
	sum := xxhash.Sum64String(entry.Name + "\x00" + entry.Address + "\x00" + strconv.FormatInt(entry.Incarnation, 10))
	return sum & math.MaxUint32 // 32 bits keep messages short; collisions are unlikely among thousands of endpoints
}
