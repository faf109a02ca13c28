// Package router holds the configuration in force as an immutable routing
// table, which is used to find the route, workspace and pool of a request.
package router

import (
	"strings"
	"time"

	"wisteriadrum/partitioner"
)

// Repeatability states how a request that may have run can be repeated.
type Repeatability int

const (
	// Once means that a request runs at most once.
	Once Repeatability = iota
	// Resumable means that a stream may be resumed at another endpoint after
	// the last event that the caller received.
	Resumable
	// Repeatable means that a request may run several times.
	Repeatable
)

// Route maps requests by host and path prefix to pools.
type Route struct {
	Name, Host, Prefix string
	Repeat             Repeatability
	// Stream reports that answers are event streams.
	Stream bool
	// Sticky reports that requests carry a prompt whose parts engines cache.
	Sticky bool
	// Public reports that requests need no key.
	Public bool
	// TimeoutMillis is the maximum duration of an answer.
	TimeoutMillis int
	// TargetMillis is the latency target for the beginning of an answer.
	TargetMillis int
	// PatienceMillis is how long callers wait for the beginning of a stream before they
	// leave, 0 if unknown.
	PatienceMillis int
	// Priority is the rank of the route's requests, 0 the most urgent.
	Priority int
	// Attempts is the maximum number of endpoints on which one request may run.
	Attempts int
	// Splits are the pools with their weights.
	Splits []Split
}

// Split is a pool with its weight among the pools of a route.
type Split struct {
	Pool   string
	Weight int
}

// Workspace is the owner of an API key.
type Workspace struct {
	Name string
	// Isolated reports that cached parts are not shared with other workspaces.
	Isolated bool
	// Partition is the partition of the caches that holds its parts.
	Partition string
	// Priority is the rank of the workspace, 0 the most urgent.
	Priority int
	// Quota limits what its requests use.
	Quota Quota
}

// Quota is the limit of a workspace over all instances.
type Quota struct {
	// PerSecond and Burst are numbers of tokens if CountsTokens is set, and of requests
	// otherwise. There is no limit if PerSecond is 0.
	PerSecond, Burst float64
	CountsTokens     bool
	// PlainTokens is what a request counts that names no tokens.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns what a request counts that names a number of tokens, 0 if it names none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case tokens == 0:
		return float64(q.PlainTokens)
	default:
		return float64(tokens)
	}
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name string
	// Engine describes the model engines of the pool, nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the maximum number of concurrently running requests.
	Slots int
	// CapacityTokens is the size of the KV memory.
	CapacityTokens int
	// TokenBytes is the size of the KV cache of one token.
	TokenBytes int
	// LinkMbps is the rate of an engine's network link in Mbit/s.
	LinkMbps float64
	// Models are the names of the models that the engines serve.
	Models []string
}

// Store holds cached parts and serves no requests.
type Store struct {
	Name, Address, DataCentre string
	// CapacityTokens is the number of tokens whose KV cache the store can hold.
	CapacityTokens int
	// LinkMbps is the rate of its link in Mbit/s.
	LinkMbps float64
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's head and
	// body.
	HeaderBytes, BodyBytes int
	// HeaderTimeoutMillis is the maximum time to receive a request's head,
	// IdleTimeoutMillis the time after which an idle connection is closed.
	HeaderTimeoutMillis, IdleTimeoutMillis int
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version int64
	Limits  Limits
	Pools   map[string]Pool
	// Keys are the workspaces by API key. It is nil if requests need no key, and empty if
	// they need one and there is none.
	Keys map[string]Workspace
	// Quotas are the limits of the workspaces that have one, by name.
	Quotas       map[string]Quota
	Stores       []Store
	partitions   partitioner.Partitioner
	routesByHost map[string][]Route
}

// New returns the routing table of a version of the configuration. keys is nil if requests
// need no key.
func New(version int64, routes []Route, pools []Pool, stores []Store, keys map[string]Workspace, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Pools: map[string]Pool{}, Stores: stores, Keys: keys, Quotas: map[string]Quota{}, routesByHost: map[string][]Route{}}
	for _, route := range routes {
		t.routesByHost[route.Host] = append(t.routesByHost[route.Host], route)
	}
	for _, pool := range pools {
		t.Pools[pool.Name] = pool
	}
	for _, workspace := range keys {
		if workspace.Quota.Limited() {
			t.Quotas[workspace.Name] = workspace.Quota
		}
	}
	return t
}

// WithIsolated returns a table with the names of the isolated workspaces, also of those that
// have no key.
func (t *Table) WithIsolated(names []string) *Table {
	next := *t
	next.partitions = partitioner.New(names)
	return &next
}

// SharedPartition returns the partition of the caches for workspaces that are not isolated.
func (t *Table) SharedPartition() string { return t.partitions.Shared() }

// Match returns the route of host with the longest prefix of path, or false.
func (t *Table) Match(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range t.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(best.Prefix) {
			best, found = route, true
		}
	}
	return best, found
}

// Authorize returns the workspace of a key, and whether a request with that key may use
// route.
func (t *Table) Authorize(route Route, key string) (Workspace, bool) {
	workspace, known := t.Keys[key]
	workspace.Partition = t.partitions.Shared()
	if workspace.Isolated {
		workspace.Partition = t.partitions.Own(workspace.Name)
	}
	return workspace, known || route.Public || t.Keys == nil
}

// Pick returns a pool, chosen at random by weight; draw is a random number in
// [0, 1).
func (r Route) Pick(draw float64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	target := draw * float64(total)
	for _, split := range r.Splits {
		if target -= float64(split.Weight); target < 0 {
			return split.Pool
		}
	}
	return r.Splits[len(r.Splits)-1].Pool
}

// Serves reports whether the route maps to pool.
func (r Route) Serves(pool string) bool {
	for _, split := range r.Splits {
		if split.Pool == pool {
			return true
		}
	}
	return false
}

// AnswerDeadline returns when the answer to a request received at receivedAt
// must be complete.
func (r Route) AnswerDeadline(receivedAt time.Time) time.Time {
	return receivedAt.Add(time.Duration(r.TimeoutMillis) * time.Millisecond)
}

// TargetDeadline returns when the answer to a request received at receivedAt
// must have begun to meet the latency target.
func (r Route) TargetDeadline(receivedAt time.Time) time.Time {
	return receivedAt.Add(time.Duration(r.TargetMillis) * time.Millisecond)
}

// PatienceDeadline returns when the caller of a request received at receivedAt leaves if
// its stream has not begun, and false if that is unknown.
func (r Route) PatienceDeadline(receivedAt time.Time) (time.Time, bool) {
	return receivedAt.Add(time.Duration(r.PatienceMillis) * time.Millisecond), r.PatienceMillis > 0
}

// HeaderDeadline returns when the head of a request must be complete if its
// first byte was received at firstByteAt.
func (l Limits) HeaderDeadline(firstByteAt time.Time) time.Time {
	return firstByteAt.Add(time.Duration(l.HeaderTimeoutMillis) * time.Millisecond)
}

// IdleDeadline returns when a connection that has been idle since idleSince is
// closed.
func (l Limits) IdleDeadline(idleSince time.Time) time.Time {
	return idleSince.Add(time.Duration(l.IdleTimeoutMillis) * time.Millisecond)
}

// TransferMillis returns the time in milliseconds to transfer the KV cache of
// the given number of tokens over the slower of the engine's link and a link of
// otherMbps. It returns 0 if the slower rate is not known.
func (e *Engine) TransferMillis(tokens int, otherMbps float64) float64 {
	minMbps := min(e.LinkMbps, otherMbps)
	if minMbps <= 0 {
		return 0
	}
	return float64(tokens) * float64(e.TokenBytes) * 8 / (minMbps * 1000)
}
