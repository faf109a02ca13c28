// Package cataloguer holds the named objects that operators publish together.
package cataloguer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"wisteriadrum/decoder"
	"wisteriadrum/director"
	"wisteriadrum/grouper"
	"wisteriadrum/host"
	"wisteriadrum/modeler"
	"wisteriadrum/tenant"
	"wisteriadrum/worker"
)

// Config is a whole configuration. It is checked whole and never modified.
type Config struct {
	DataCentres []host.DataCentre  `json:"data_centres"`
	Models      []modeler.Model    `json:"models"`
	Pools       []grouper.Pool     `json:"pools"`
	Endpoints   []worker.Endpoint  `json:"endpoints"`
	Workspaces  []tenant.Workspace `json:"workspaces"`
	Routes      []director.Route   `json:"routes"`
}

// New reads a set from JSON with comments and checks it whole.
// The error is of type decoder.Problems and lists every fault.
func New(source []byte) (*Config, error) {
	set := &Config{}
	if err := decoder.Decode(source, set); err != nil {
		return nil, err
	}
	return set, nil
}

// Check reports duplicate names and references to objects that do not exist.
func (s *Config) Check(report func(path, text string)) {
	sites := names(report, "data_centres", s.DataCentres, func(d host.DataCentre) string { return d.Name })
	models := names(report, "models", s.Models, func(m modeler.Model) string { return m.Name })
	pools := names(report, "pools", s.Pools, func(p grouper.Pool) string { return p.Name })
	spaces := names(report, "workspaces", s.Workspaces, func(w tenant.Workspace) string { return w.Name })
	names(report, "endpoints", s.Endpoints, func(e worker.Endpoint) string { return e.Name })
	names(report, "endpoints", s.Endpoints, func(e worker.Endpoint) string { return e.Address })
	names(report, "workspaces", s.Workspaces, func(w tenant.Workspace) string { return w.KeyHash })
	names(report, "routes", s.Routes, func(r director.Route) string { return r.Name })
	names(report, "routes", s.Routes, func(r director.Route) string { return r.Model + r.Prefix })
	for i, pool := range s.Pools {
		s.checkPool(report, i, pool, models)
	}
	for i, endpoint := range s.Endpoints {
		refer(report, pools, endpoint.Pool, "endpoints", i, "pool")
		refer(report, sites, endpoint.DataCentre, "endpoints", i, "data_centre")
	}
	for i, route := range s.Routes {
		refer(report, pools, route.Pool, "routes", i, "pool")
		s.checkRoute(report, i, route, pools)
		for _, workspace := range route.Workspaces {
			refer(report, spaces, workspace, "routes", i, "workspaces")
		}
	}
}

func (s *Config) checkPool(report func(path, text string), i int, pool grouper.Pool, models map[string]int) {
	if pool.Kind != grouper.Engine || pool.Model == "" {
		return
	}
	place, ok := models[pool.Model]
	if !ok {
		refer(report, models, pool.Model, "pools", i, "model")
		return
	}
	for _, version := range append([]string{pool.Version}, pool.OlderVersions...) {
		if !s.Models[place].HasVersion(version) {
			report(fmt.Sprintf("pools[%d].version", i), fmt.Sprintf("model %q has no version %q", pool.Model, version))
		}
	}
}

func (s *Config) checkRoute(report func(path, text string), i int, route director.Route, pools map[string]int) {
	place, ok := pools[route.Pool]
	if !ok {
		return
	}
	kind := s.Pools[place].Kind
	if kind == grouper.Engine && route.Prefix != "" || kind == grouper.Service && route.Model != "" {
		report(fmt.Sprintf("routes[%d].pool", i), fmt.Sprintf("pool %q is of kind %q: use model for engines, prefix for services", route.Pool, kind))
	}
	if kind == grouper.Engine && route.AtMostOnce {
		report(fmt.Sprintf("routes[%d].once", i), "is only for routes to services")
	}
}

// Encode returns the canonical JSON form of s.
func (s *Config) Encode() []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // every field of a Set has a JSON form
	}
	return encoded
}

// Digest returns the SHA-256 of encoded in hexadecimal, the name of a set in
// the object store.
func Digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

func names[T any](report func(path, text string), list string, items []T, name func(T) string) map[string]int {
	places := make(map[string]int, len(items))
	for i, item := range items {
		key := name(item)
		if first, twice := places[key]; twice && key != "" {
			report(fmt.Sprintf("%s[%d]", list, i), fmt.Sprintf("%q is already used by %s[%d]", key, list, first))
			continue
		}
		places[key] = i
	}
	return places
}

func refer(report func(path, text string), known map[string]int, name, list string, i int, field string) {
	if _, ok := known[name]; !ok || name == "" {
		report(fmt.Sprintf("%s[%d].%s", list, i, field), fmt.Sprintf("no object is named %q", name))
	}
}
