// Package director describes which pool serves which requests.
package director

import (
	"strings"
	"time"

	"wisteriadrum/namer"
)

// Objective says which measure a route's choices favour.
type Objective string

const (
	// MinTailLatency favours the tail of the time to first token.
	MinTailLatency Objective = "tail"
	// MinRecompute favours less recomputation.
	MinRecompute Objective = "waste"
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
	// AtMostOnce marks non-idempotent work, which runs at most once.
	AtMostOnce bool `json:"once,omitempty"`
	// KeyRequired requires an idempotency key of each request.
	KeyRequired bool      `json:"keyed,omitempty"`
	Objective   Objective `json:"weigh,omitempty"`
	// FirstByteMillis is the time to the first byte of an answer, in milliseconds.
	FirstByteMillis int `json:"first,omitempty"`
	// IdleMillis is the longest silence within an answer, in milliseconds.
	IdleMillis int `json:"idle,omitempty"`
	// RecordSeconds is how long the record of a once-only request lasts, in seconds.
	RecordSeconds int `json:"keep,omitempty"`
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
	if r.KeyRequired && !r.AtMostOnce {
		report("keyed", "is only for once-only routes")
	}
	if r.Objective != "" && r.Objective != MinTailLatency && r.Objective != MinRecompute {
		report("weigh", `must be "tail" or "waste"`)
	}
	if r.RecordSeconds != 0 && r.RecordSeconds < leastKeep {
		report("keep", "must be at least 60 seconds")
	}
	if r.FirstByteMillis < 0 || r.IdleMillis < 0 || r.RecordSeconds < 0 {
		report("first", "first, idle and keep must not be negative")
	}
}

// FirstByteDeadline returns the deadline of the first byte of an answer asked for at now.
func (r Route) FirstByteDeadline(now time.Time) time.Time {
	return now.Add(orDefault(r.FirstByteMillis, time.Millisecond, defaultFirst))
}

// IdleDeadline returns the deadline of the next byte of an answer silent since now.
func (r Route) IdleDeadline(now time.Time) time.Time {
	return now.Add(orDefault(r.IdleMillis, time.Millisecond, defaultIdle))
}

// RecordExpiry returns when the record of a once-only request made at now ends.
func (r Route) RecordExpiry(now time.Time) time.Time {
	return now.Add(orDefault(r.RecordSeconds, time.Second, defaultKeep))
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
