// Package director defines the routes that map requests to pools.
package director

import (
	"strings"
	"time"

	"wisteriadrum/namer"
)

// Objective is the measure that the choice of an endpoint minimises on a route.
type Objective string

const (
	// MinTailLatency minimises the tail of the time to first token.
	MinTailLatency Objective = "tail"
	// MinRecompute minimises the recomputation of prompts.
	MinRecompute Objective = "waste"
)

const (
	defaultFirstByteTimeout = 20 * time.Second
	defaultIdleTimeout      = 2 * time.Second
	defaultRecordLifetime   = 24 * time.Hour
	// minRecordSeconds is much longer than the time within which a claimed
	// request is sent.
	minRecordSeconds = 60 // seconds
)

// Route maps requests to a pool: by model name for engines, by path prefix for
// plain services.
type Route struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Model is the model name in a request's body that selects this route.
	Model string `json:"model,omitempty"`
	// Prefix is the path prefix that selects this route.
	Prefix string `json:"prefix,omitempty"`
	// AtMostOnce marks requests that are not idempotent and run at most once.
	AtMostOnce bool `json:"once,omitempty"`
	// KeyRequired means that each request needs an idempotency key.
	KeyRequired bool      `json:"keyed,omitempty"`
	Objective   Objective `json:"weigh,omitempty"`
	// FirstByteMillis is the timeout for the first byte of an answer, in
	// milliseconds.
	FirstByteMillis int `json:"first,omitempty"`
	// IdleMillis is the timeout between two bytes of an answer, in milliseconds.
	IdleMillis int `json:"idle,omitempty"`
	// RecordSeconds is the lifetime of the record of an at-most-once request, in
	// seconds.
	RecordSeconds int `json:"keep,omitempty"`
	// Workspaces lists the workspaces that may use the route; empty means all.
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
	if r.RecordSeconds != 0 && r.RecordSeconds < minRecordSeconds {
		report("keep", "must be at least 60 seconds")
	}
	if r.FirstByteMillis < 0 || r.IdleMillis < 0 || r.RecordSeconds < 0 {
		report("first", "first, idle and keep must not be negative")
	}
}

// FirstByteDeadline returns the deadline for the first byte of the answer to a
// request sent at now.
func (r Route) FirstByteDeadline(now time.Time) time.Time {
	return now.Add(durationOrDefault(r.FirstByteMillis, time.Millisecond, defaultFirstByteTimeout))
}

// IdleDeadline returns the deadline for the next byte of an answer after one
// received at now.
func (r Route) IdleDeadline(now time.Time) time.Time {
	return now.Add(durationOrDefault(r.IdleMillis, time.Millisecond, defaultIdleTimeout))
}

// RecordExpiry returns the expiry time of the record of an at-most-once request
// received at now.
func (r Route) RecordExpiry(now time.Time) time.Time {
	return now.Add(durationOrDefault(r.RecordSeconds, time.Second, defaultRecordLifetime))
}

// Allows reports whether workspace may use r.
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

func durationOrDefault(count int, unit, fallback time.Duration) time.Duration {
	if count == 0 {
		return fallback
	}
	return time.Duration(count) * unit
}
