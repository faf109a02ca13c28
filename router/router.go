// Package router holds the configuration in force as an immutable table and
// finds the route, workspace and pool of a request in it.
package router

import (
	"strings"
	"time"
)

// Repeatability says what may be done again with a request that may have run.
type Repeatability int

const (
	// Once means that a request runs at most once.
	Once Repeatability = iota
	// Resumable means that a stream may go on at another endpoint after the
	// last event that reached the caller.
	Resumable
	// Repeatable means that a request may run several times.
	Repeatable
)

// Route leads the requests under a host and path prefix to pools.
type Route struct {
	Name, Host, Prefix string
	Repeat             Repeatability
	// Stream reports that answers are streams of events.
	Stream bool
	// Sticky reports that requests carry a prompt whose parts engines keep.
	Sticky bool
	// Public reports that requests need no key.
	Public bool
	// TimeoutMillis is the longest time an answer may take, in milliseconds.
	TimeoutMillis int
	// TargetMillis is the time within which an answer is on time, in milliseconds.
	TargetMillis int
	// Priority is the rank of the route's requests, 0 the most urgent.
	Priority int
	// Attempts is the number of endpoints on which one request may run.
	Attempts int
	// Splits are the pools with their shares.
	Splits []Split
}

// Split is a pool with its share of a route's requests.
type Split struct {
	Pool   string
	Weight int
}

// Workspace is the owner of a key.
type Workspace struct {
	Name string
	// Isolated reports that nothing cached is shared with other workspaces.
	Isolated bool
	// Priority is the rank of the workspace, 0 the most urgent.
	Priority int
}

// Pool is a set of endpoints that do the same work.
type Pool struct {
	Name string
	// Engine describes the model engines of the pool, nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the most requests that run at once.
	Slots int
	// CapacityTokens is the memory for prompts in tokens.
	CapacityTokens int
	// TokenBytes is the size of one cached token.
	TokenBytes int
	// LinkMbps is the rate of an engine's link in Mbit/s.
	LinkMbps float64
	// Models are the names of the models that the engines serve.
	Models []string
}

// Store is a store of cached parts, which serves no requests.
type Store struct {
	Name, Address, DataCentre string
	// CapacityTokens is in tokens.
	CapacityTokens int
	// LinkMbps is the rate of its link in Mbit/s.
	LinkMbps float64
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and Body are in bytes.
	HeaderBytes, BodyBytes int
	// HeaderTimeoutMillis and IdleTimeout are in milliseconds.
	HeaderTimeoutMillis, IdleTimeoutMillis int
}

// Table is one version of the configuration. It must not be changed.
type Table struct {
	Version int64
	Limits  Limits
	Pools   map[string]Pool
	Keys    map[string]Workspace
	Stores  []Store
	hosts   map[string][]Route
}

// New returns the table of a version with its routes.
func New(version int64, routes []Route, pools []Pool, stores []Store, keys map[string]Workspace, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Pools: map[string]Pool{}, Stores: stores, Keys: keys, hosts: map[string][]Route{}}
	for _, route := range routes {
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, pool := range pools {
		t.Pools[pool.Name] = pool
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins
// the path, or false.
func (t *Table) Match(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(best.Prefix) {
			best, found = route, true
		}
	}
	return best, found
}

// Pick returns the pool for a request; draw is a random number below 1.
func (r Route) Pick(draw float64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	at := draw * float64(total)
	for _, split := range r.Splits {
		if at -= float64(split.Weight); at < 0 {
			return split.Pool
		}
	}
	return r.Splits[len(r.Splits)-1].Pool
}

// Serves reports whether the route leads to pool.
func (r Route) Serves(pool string) bool {
	for _, split := range r.Splits {
		if split.Pool == pool {
			return true
		}
	}
	return false
}

// AnswerDeadline returns when a request that came at must have its final answer.
func (r Route) AnswerDeadline(at time.Time) time.Time {
	return at.Add(time.Duration(r.TimeoutMillis) * time.Millisecond)
}

// TargetDeadline returns when the answer to a request that came at is late.
func (r Route) TargetDeadline(at time.Time) time.Time {
	return at.Add(time.Duration(r.TargetMillis) * time.Millisecond)
}

// HeaderDeadline returns when the head of a request whose first byte came at must be whole.
func (l Limits) HeaderDeadline(at time.Time) time.Time {
	return at.Add(time.Duration(l.HeaderTimeoutMillis) * time.Millisecond)
}

// IdleDeadline returns when a connection idle since at is closed.
func (l Limits) IdleDeadline(at time.Time) time.Time {
	return at.Add(time.Duration(l.IdleTimeoutMillis) * time.Millisecond)
}

// TransferMillis returns the time in milliseconds that the cached form of so
// many tokens takes on the slower of an engine's link and another.
func (e *Engine) TransferMillis(tokens int, other float64) float64 {
	slower := min(e.LinkMbps, other)
	if slower <= 0 {
		return 0
	}
	return float64(tokens) * float64(e.TokenBytes) * 8 / (slower * 1000)
}
