// Package tenant defines the workspaces that send requests.
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
	// Rate limits the requests per second that a data centre admits; 0 means no
	// limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests that may exceed Rate at once.
	Burst int `json:"burst,omitempty"`
	// MaxInFlight limits the requests in flight per instance; 0 means no limit.
	MaxInFlight int `json:"share,omitempty"`
	// Priority is passed to engines, which serve higher priorities first.
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
