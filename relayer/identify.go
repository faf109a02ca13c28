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

// Resolve finds the route, workspace and pool of request in table. The
// refusal says why there are none; nothing has run then.
func Resolve(request *requester.Request, table *router.Table) *refuser.Refusal {
	if table == nil {
		return refuser.New(refuser.NoConfiguration, judge.NotRun, "no configuration is known yet").WithRetryAt(request.ReceivedAt.Add(retryAfter))
	}
	route, ok := table.Match(request.Host, request.Path)
	if !ok {
		return refuser.New(refuser.NoRoute, judge.NotRun, "no route leads from %s%s", request.Host, request.Path)
	}
	workspace, known := table.Keys[request.Key]
	if len(table.Keys) > 0 && !route.Public && !known {
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

// salt returns the text that separates what engines keep: by the version of
// the weights, and by workspace where that is isolated.
func salt(request *requester.Request, weights int) string {
	text := "v" + strconv.Itoa(weights)
	if request.Workspace.Isolated {
		text += "." + request.Workspace.Name
	}
	return text
}

// partKey names a part as engines keep it.
func partKey(request *requester.Request, weights int, part requester.Part) uint64 {
	return xxhash.Sum64String(salt(request, weights) + "\x00" + request.Model + "\x00" + part.ID)
}
