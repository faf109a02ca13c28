// Package indexer builds the look-up tables of a configuration that requests use.
package indexer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"wisteriadrum/cataloguer"
	"wisteriadrum/director"
	"wisteriadrum/grouper"
	"wisteriadrum/modeler"
	"wisteriadrum/tenant"
	"wisteriadrum/worker"
)

// Index is a published configuration with its look-up tables. It is immutable.
type Index struct {
	Number uint64
	Digest string
	Source []byte
	Config *cataloguer.Config

	keyHashes     [][sha256.Size]byte
	models        map[string]modeler.Model
	pools         map[string]grouper.Pool
	poolEndpoints map[string][]worker.Endpoint
	routesByModel map[string]director.Route
	routesByName  map[string]director.Route
	endpoints     map[string]worker.Endpoint
	regions       map[string]string
}

// New returns the index of the configuration in source, published under number.
// The error lists every fault of the configuration.
func New(number uint64, source []byte) (*Index, error) {
	config, err := cataloguer.New(source)
	if err != nil {
		return nil, err
	}
	x := &Index{
		Number: number, Digest: cataloguer.Digest(source), Source: source, Config: config,
		models: map[string]modeler.Model{}, pools: map[string]grouper.Pool{},
		poolEndpoints: map[string][]worker.Endpoint{}, routesByModel: map[string]director.Route{},
		routesByName: map[string]director.Route{}, endpoints: map[string]worker.Endpoint{}, regions: map[string]string{},
	}
	x.build()
	return x, nil
}

func (x *Index) build() {
	for _, workspace := range x.Config.Workspaces {
		var key [sha256.Size]byte
		digest, _ := hex.DecodeString(workspace.KeyHash) // Workspace.Check has validated it
		copy(key[:], digest)
		x.keyHashes = append(x.keyHashes, key)
	}
	for _, model := range x.Config.Models {
		x.models[model.Name] = model
	}
	for _, pool := range x.Config.Pools {
		x.pools[pool.Name] = pool
	}
	for _, endpoint := range x.Config.Endpoints {
		x.poolEndpoints[endpoint.Pool] = append(x.poolEndpoints[endpoint.Pool], endpoint)
		x.endpoints[endpoint.Name] = endpoint
	}
	for _, dataCentre := range x.Config.DataCentres {
		x.regions[dataCentre.Name] = dataCentre.Region
	}
	for _, route := range x.Config.Routes {
		x.routesByName[route.Name] = route
		if route.Model != "" {
			x.routesByModel[route.Model] = route
		}
	}
}

// Workspace returns the workspace of a bearer key. It takes constant time, so that
// its duration does not reveal how much of a wrong key matches.
func (x *Index) Workspace(key string) (tenant.Workspace, bool) {
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i := range x.keyHashes {
		if subtle.ConstantTimeCompare(digest[:], x.keyHashes[i][:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return tenant.Workspace{}, false
	}
	return x.Config.Workspaces[found], true
}

// ModelRoute returns the route of the model that a request's body names.
func (x *Index) ModelRoute(model string) (director.Route, bool) {
	route, ok := x.routesByModel[model]
	return route, ok
}

// PathRoute returns the route with the longest prefix of path.
func (x *Index) PathRoute(path string) (director.Route, bool) {
	var longest director.Route
	for _, route := range x.Config.Routes {
		if route.Prefix != "" && len(route.Prefix) > len(longest.Prefix) && matchesPrefix(route.Prefix, path) {
			longest = route
		}
	}
	return longest, longest.Prefix != ""
}

// matchesPrefix reports whether path begins with prefix and prefix ends at a
// segment boundary.
func matchesPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Model returns the model named name, or a zero value.
func (x *Index) Model(name string) modeler.Model { return x.models[name] }

// Pool returns the pool named name, or a zero value.
func (x *Index) Pool(name string) grouper.Pool { return x.pools[name] }

// PoolEndpoints returns the endpoints of a pool. They must not be modified.
func (x *Index) PoolEndpoints(pool string) []worker.Endpoint { return x.poolEndpoints[pool] }

// Endpoint returns the endpoint named name.
func (x *Index) Endpoint(name string) (worker.Endpoint, bool) {
	endpoint, ok := x.endpoints[name]
	return endpoint, ok
}

// Region returns the region of a data centre, or an empty string.
func (x *Index) Region(dataCentre string) string { return x.regions[dataCentre] }
