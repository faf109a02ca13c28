// Package tenant describes the workspaces on whose behalf requests arrive.
package tenant

import (
	"encoding/hex"

	"wisteriadrum/namer"
)

// Workspace is one customer: its bearer key, limits and priority.
type Workspace struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the bearer key in hexadecimal.
	KeyHash string `json:"key"`
	// Rate limits admitted requests per second over a data centre; 0 is no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests admitted at once above Rate.
	Burst int `json:"burst,omitempty"`
	// MaxInFlight limits requests in flight per instance; 0 is no limit.
	MaxInFlight int `json:"share,omitempty"`
	// Priority is passed to engines; higher goes first.
	Priority int `json:"priority,omitempty"`
}

// Check reports each fault of w.
func (w *Workspace) Check(report func(path, text string)) {
	if !namer.Valid(w.Name) {
		report("name", namer.Rule)
	}
	if digest, err := hex.DecodeString(w.KeyHash); err != nil || len(digest) != 32 {
		report("key", "must be a SHA-256 in hexadecimal")
	}
	if w.Rate < 0 || w.Burst < 0 || w.MaxInFlight < 0 {
		report("rate", "rate, burst and share must not be negative")
	}
	if w.Rate > 0 && w.Burst == 0 {
		report("burst", "is required with rate")
	}
}
