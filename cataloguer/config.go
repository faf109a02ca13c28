// Package cataloguer defines the configuration that operators publish: the data
// centres, models, pools, endpoints, workspaces and routes.
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

// Config is a complete configuration. It is immutable after validation.
type Config struct {
	DataCentres []host.DataCentre  `json:"data_centres"`
	Models      []modeler.Model    `json:"models"`
	Pools       []grouper.Pool     `json:"pools"`
	Endpoints   []worker.Endpoint  `json:"endpoints"`
	Workspaces  []tenant.Workspace `json:"workspaces"`
	Routes      []director.Route   `json:"routes"`
}

// New decodes a configuration from JSON with comments and validates it. The error
// is of type decoder.Problems and lists every fault.
func New(source []byte) (*Config, error) {
	config := &Config{}
	if err := decoder.Decode(source, config); err != nil {
		return nil, err
	}
	return config, nil
}

// Check reports duplicate names and references to objects that do not exist.
func (c *Config) Check(report func(path, text string)) {
	dataCentres := checkUnique(report, "data_centres", c.DataCentres, func(d host.DataCentre) string { return d.Name })
	models := checkUnique(report, "models", c.Models, func(m modeler.Model) string { return m.Name })
	pools := checkUnique(report, "pools", c.Pools, func(p grouper.Pool) string { return p.Name })
	workspaces := checkUnique(report, "workspaces", c.Workspaces, func(w tenant.Workspace) string { return w.Name })
	checkUnique(report, "endpoints", c.Endpoints, func(e worker.Endpoint) string { return e.Name })
	checkUnique(report, "endpoints", c.Endpoints, func(e worker.Endpoint) string { return e.Address })
	checkUnique(report, "workspaces", c.Workspaces, func(w tenant.Workspace) string { return w.KeyHash })
	checkUnique(report, "routes", c.Routes, func(r director.Route) string { return r.Name })
	checkUnique(report, "routes", c.Routes, func(r director.Route) string { return r.Model + r.Prefix })
	for i, pool := range c.Pools {
		c.checkPool(report, i, pool, models)
	}
	for i, endpoint := range c.Endpoints {
		checkReference(report, pools, endpoint.Pool, "endpoints", i, "pool")
		checkReference(report, dataCentres, endpoint.DataCentre, "endpoints", i, "data_centre")
	}
	for i, route := range c.Routes {
		checkReference(report, pools, route.Pool, "routes", i, "pool")
		c.checkRoute(report, i, route, pools)
		for _, workspace := range route.Workspaces {
			checkReference(report, workspaces, workspace, "routes", i, "workspaces")
		}
	}
}

func (c *Config) checkPool(report func(path, text string), i int, pool grouper.Pool, models map[string]int) {
	if pool.Kind != grouper.Engine || pool.Model == "" {
		return
	}
	index, ok := models[pool.Model]
	if !ok {
		checkReference(report, models, pool.Model, "pools", i, "model")
		return
	}
	for _, version := range append([]string{pool.Version}, pool.OlderVersions...) {
		if !c.Models[index].HasVersion(version) {
			report(fmt.Sprintf("pools[%d].version", i), fmt.Sprintf("model %q has no version %q", pool.Model, version))
		}
	}
}

func (c *Config) checkRoute(report func(path, text string), i int, route director.Route, pools map[string]int) {
	index, ok := pools[route.Pool]
	if !ok {
		return
	}
	kind := c.Pools[index].Kind
	if kind == grouper.Engine && route.Prefix != "" || kind == grouper.Service && route.Model != "" {
		report(fmt.Sprintf("routes[%d].pool", i), fmt.Sprintf("pool %q is of kind %q: use model for engines, prefix for services", route.Pool, kind))
	}
	if kind == grouper.Engine && route.AtMostOnce {
		report(fmt.Sprintf("routes[%d].once", i), "is only for routes to services")
	}
}

// Encode returns the canonical JSON encoding of c.
func (c *Config) Encode() []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err) // every field of Config can be encoded as JSON
	}
	return encoded
}

// Digest returns the SHA-256 of encoded in hexadecimal, which is the name of a
// configuration in the object store.
func Digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// checkUnique reports items with the same non-empty name. It returns the index of
// the first item of each name.
func checkUnique[T any](report func(path, text string), list string, items []T, name func(T) string) map[string]int {
	indexes := make(map[string]int, len(items))
	for i, item := range items {
		key := name(item)
		if earlier, duplicate := indexes[key]; duplicate && key != "" {
			report(fmt.Sprintf("%s[%d]", list, i), fmt.Sprintf("%q is already used by %s[%d]", key, list, earlier))
			continue
		}
		indexes[key] = i
	}
	return indexes
}

// checkReference reports a field whose value name is not a key of known.
func checkReference(report func(path, text string), known map[string]int, name, list string, i int, field string) {
	if _, ok := known[name]; !ok || name == "" {
		report(fmt.Sprintf("%s[%d].%s", list, i, field), fmt.Sprintf("no object is named %q", name))
	}
}
