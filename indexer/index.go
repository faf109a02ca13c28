// Package indexer compiles a set into the form that requests look things up in.
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

// Index is one published set, ready for look-ups. It is never modified.
type Index struct {
	Number uint64
	Digest string
	Source []byte
	Config *cataloguer.Config

	keys      [][sha256.Size]byte
	models    map[string]modeler.Model
	pools     map[string]grouper.Pool
	members   map[string][]worker.Endpoint
	byModel   map[string]director.Route
	byName    map[string]director.Route
	endpoints map[string]worker.Endpoint
	regions   map[string]string
}

// New returns the index of the set in source, published under number.
// The error lists every fault of the set.
func New(number uint64, source []byte) (*Index, error) {
	set, err := cataloguer.New(source)
	if err != nil {
		return nil, err
	}
	x := &Index{
		Number: number, Digest: cataloguer.Digest(source), Source: source, Config: set,
		models: map[string]modeler.Model{}, pools: map[string]grouper.Pool{},
		members: map[string][]worker.Endpoint{}, byModel: map[string]director.Route{},
		byName: map[string]director.Route{}, endpoints: map[string]worker.Endpoint{}, regions: map[string]string{},
	}
	x.fill()
	return x, nil
}

func (x *Index) fill() {
	for _, workspace := range x.Config.Workspaces {
		var key [sha256.Size]byte
		digest, _ := hex.DecodeString(workspace.KeyHash) // Workspace.Check has decoded it before
		copy(key[:], digest)
		x.keys = append(x.keys, key)
	}
	for _, model := range x.Config.Models {
		x.models[model.Name] = model
	}
	for _, pool := range x.Config.Pools {
		x.pools[pool.Name] = pool
	}
	for _, endpoint := range x.Config.Endpoints {
		x.members[endpoint.Pool] = append(x.members[endpoint.Pool], endpoint)
		x.endpoints[endpoint.Name] = endpoint
	}
	for _, site := range x.Config.DataCentres {
		x.regions[site.Name] = site.Region
	}
	for _, route := range x.Config.Routes {
		x.byName[route.Name] = route
		if route.Model != "" {
			x.byModel[route.Model] = route
		}
	}
}

// Workspace returns the workspace of a bearer key. Its time does not depend
// on how much of a wrong key is right.
func (x *Index) Workspace(key string) (tenant.Workspace, bool) {
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i := range x.keys {
		if subtle.ConstantTimeCompare(digest[:], x.keys[i][:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return tenant.Workspace{}, false
	}
	return x.Config.Workspaces[found], true
}

// ModelRoute returns the route for a model name in a request's body.
func (x *Index) ModelRoute(model string) (director.Route, bool) {
	route, ok := x.byModel[model]
	return route, ok
}

// PathRoute returns the route with the longest prefix of path.
func (x *Index) PathRoute(path string) (director.Route, bool) {
	var best director.Route
	for _, route := range x.Config.Routes {
		if route.Prefix != "" && len(route.Prefix) > len(best.Prefix) && covers(route.Prefix, path) {
			best = route
		}
	}
	return best, best.Prefix != ""
}

// covers reports whether prefix ends at a segment boundary of path.
func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Model returns the model named name.
func (x *Index) Model(name string) modeler.Model { return x.models[name] }

// Pool returns the pool named name.
func (x *Index) Pool(name string) grouper.Pool { return x.pools[name] }

// PoolEndpoints returns the endpoints of a pool. They must not be modified.
func (x *Index) PoolEndpoints(pool string) []worker.Endpoint { return x.members[pool] }

// Endpoint returns the endpoint named name.
func (x *Index) Endpoint(name string) (worker.Endpoint, bool) {
	endpoint, ok := x.endpoints[name]
	return endpoint, ok
}

// Region returns the region of a data centre.
func (x *Index) Region(dataCentre string) string { return x.regions[dataCentre] }
