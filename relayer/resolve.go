package relayer

import (
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"wisteriadrum/judge"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refuser"
	"wisteriadrum/requester"
	"wisteriadrum/router"
)

// Resolve sets the route, workspace and pool of request according to table. It
// returns a refusal if no route matches or the request is not authorized; the
// request has not run then.
func Resolve(request *requester.Request, table *router.Table) *refuser.Refusal {
	if table == nil {
		return refuser.New(refuser.NoConfiguration, judge.NotRun, "no configuration is known yet").WithRetryAt(request.ReceivedAt.Add(retryAfter))
	}
	route, ok := table.Match(request.Host, request.Path)
	if !ok {
		return refuser.New(refuser.NoRoute, judge.NotRun, "no route leads from %s%s", request.Host, request.Path)
	}
	workspace, authorized := table.Authorize(route, request.Key)
	if !authorized {
		return refuser.New(refuser.Unauthorized, judge.NotRun, "the key is not known")
	}
	if !route.Serves(request.Pool.Name) || request.Pool.Name == "" {
		request.Pool = table.Pools[route.Pick(rand.Float64())]
	} else {
		request.Pool = table.Pools[request.Pool.Name]
	}
	request.Route, request.Workspace, request.ConfigVersion = route, workspace, table.Version
	if request.Fingerprint == 0 {
		request.Fingerprint = quarantiner.Fingerprint(workspace.Name, request.Host+request.Head.Target, request.Body)
	}
	return nil
}

// cacheSalt returns the salt that separates cached parts: by the version of the
// weights, and by the partition of the workspace.
func cacheSalt(request *requester.Request, weights int) string {
	return "v" + strconv.Itoa(weights) + request.Workspace.Partition
}

// partKey returns the key under which engines cache a part.
func partKey(request *requester.Request, weights int, part requester.Part) uint64 {
	return xxhash.Sum64String(cacheSalt(request, weights) + "\x00" + request.Model + "\x00" + part.ID)
}
