// Package director describes which pool serves which requests.
package director

import (
	"strings"
	"time"

	"wisteriadrum/namer"
)

// Weigh says which measure a route's choices favour.
type Weigh string

const (
	// Tail favours the tail of the time to first token.
	Tail Weigh = "tail"
	// Waste favours less recomputation.
	Waste Weigh = "waste"
)

const (
	defaultFirst = 20 * time.Second
	defaultIdle  = 2 * time.Second
	defaultKeep  = 24 * time.Hour
	// leastKeep outlasts by far the time in which a claimed request is sent.
	leastKeep = 60 // seconds
)

// Route leads requests to a pool: by model name for engines, by path prefix
// for plain services.
type Route struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Model is the model name in a request's body that selects this route.
	Model string `json:"model,omitempty"`
	// Prefix is the path prefix that selects this route.
	Prefix string `json:"prefix,omitempty"`
	// Once marks non-idempotent work, which runs at most once.
	Once bool `json:"once,omitempty"`
	// Keyed requires an idempotency key of each request.
	Keyed bool  `json:"keyed,omitempty"`
	Weigh Weigh `json:"weigh,omitempty"`
	// First is the time to the first byte of an answer, in milliseconds.
	First int `json:"first,omitempty"`
	// Idle is the longest silence within an answer, in milliseconds.
	Idle int `json:"idle,omitempty"`
	// Keep is how long the record of a once-only request lasts, in seconds.
	Keep int `json:"keep,omitempty"`
	// Workspaces lists who may use the route; empty means all.
	Workspaces []string `json:"workspaces,omitempty"`
}

// Check reports each fault of r.
func (r *Route) Check(report func(path, text string)) {
	if !namer.Valid(r.Name) {
		report("name", namer.Rule)
	}
	if (r.Model == "") == (r.Prefix == "") {
		report("model", "exactly one of model and prefix is required")
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		report("prefix", `must begin with "/"`)
	}
	if strings.HasPrefix(r.Prefix, "/v1/") {
		report("prefix", `must not begin with "/v1/", which is for models`)
	}
	if r.Keyed && !r.Once {
		report("keyed", "is only for once-only routes")
	}
	if r.Weigh != "" && r.Weigh != Tail && r.Weigh != Waste {
		report("weigh", `must be "tail" or "waste"`)
	}
	if r.Keep != 0 && r.Keep < leastKeep {
		report("keep", "must be at least 60 seconds")
	}
	if r.First < 0 || r.Idle < 0 || r.Keep < 0 {
		report("first", "first, idle and keep must not be negative")
	}
}

// FirstBy returns the deadline of the first byte of an answer asked for at now.
func (r Route) FirstBy(now time.Time) time.Time {
	return now.Add(orDefault(r.First, time.Millisecond, defaultFirst))
}

// IdleBy returns the deadline of the next byte of an answer silent since now.
func (r Route) IdleBy(now time.Time) time.Time {
	return now.Add(orDefault(r.Idle, time.Millisecond, defaultIdle))
}

// KeepUntil returns when the record of a once-only request made at now ends.
func (r Route) KeepUntil(now time.Time) time.Time {
	return now.Add(orDefault(r.Keep, time.Second, defaultKeep))
}

// Allows reports whether workspace may use the route.
func (r Route) Allows(workspace string) bool {
	if len(r.Workspaces) == 0 {
		return true
	}
	for _, allowed := range r.Workspaces {
		if allowed == workspace {
			return true
		}
	}
	return false
}

func orDefault(count int, unit, fallback time.Duration) time.Duration {
	if count == 0 {
		return fallback
	}
	return time.Duration(count) * unit
}
