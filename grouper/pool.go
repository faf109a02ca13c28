// Package grouper defines pools of interchangeable endpoints.
package grouper

import (
	"slices"

	"wisteriadrum/namer"
)

// Kind is the kind of the endpoints of a pool.
type Kind string

const (
	// Engine is a pool of model engines.
	Engine Kind = "engine"
	// Service is a pool of plain services.
	Service Kind = "service"
)

// Pool is a group of endpoints. Model and Version are set for engines.
type Pool struct {
	Name    string `json:"name"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// OlderVersions lists versions of the weights that may still serve requests
	// during the rollout of Version.
	OlderVersions []string `json:"older,omitempty"`
	// Fenced means that the engines refuse orders with an outdated fencing token.
	Fenced bool `json:"fenced,omitempty"`
	// CanContinue means that an engine can continue from text that was already
	// generated.
	CanContinue bool `json:"continues,omitempty"`
	// MinServing is the minimum number of endpoints that serve during a rollout.
	MinServing int `json:"serving,omitempty"`
	// PrefillNanosPerByte is the prefill time of one prompt byte in nanoseconds.
	PrefillNanosPerByte int `json:"prefill,omitempty"`
}

// Accepts reports whether engines with the version weights may serve the pool's
// requests.
func (p Pool) Accepts(weights string) bool {
	return weights == p.Version || slices.Contains(p.OlderVersions, weights)
}

// Check reports each fault of p.
func (p *Pool) Check(report func(path, text string)) {
	if !namer.Valid(p.Name) {
		report("name", namer.Rule)
	}
	switch p.Kind {
	case Engine:
		if p.Model == "" || p.Version == "" {
			report("model", "an engine pool needs a model and a version")
		}
	case Service:
		if p.Model != "" || p.Version != "" || p.CanContinue || len(p.OlderVersions) > 0 {
			report("kind", "a service pool has no model, version or continues")
		}
	default:
		report("kind", `must be "engine" or "service"`)
	}
	if p.MinServing < 0 || p.PrefillNanosPerByte < 0 {
		report("serving", "serving and prefill must not be negative")
	}
}
