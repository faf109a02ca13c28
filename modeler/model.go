// Package modeler defines language models and the versions of their weights.
package modeler

import "wisteriadrum/namer"

const defaultPieceBytes = 4000

// Model is a language model with the versions of its weights.
type Model struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
	// Piece is the size in bytes of the pieces of prompt text that engines cache;
	// 0 means the default.
	Piece int `json:"piece,omitempty"`
}

// Check reports each fault of m.
func (m *Model) Check(report func(path, text string)) {
	if !namer.Valid(m.Name) {
		report("name", namer.Rule)
	}
	if len(m.Versions) == 0 {
		report("versions", "at least one is required")
	}
	if m.Piece < 0 {
		report("piece", "must not be negative")
	}
}

// PieceBytes returns the size in bytes of one cached piece of a prompt, with the
// default applied.
func (m Model) PieceBytes() int {
	if m.Piece == 0 {
		return defaultPieceBytes
	}
	return m.Piece
}

// HasVersion reports whether version is a version of the model's weights.
func (m Model) HasVersion(version string) bool {
	for _, known := range m.Versions {
		if known == version {
			return true
		}
	}
	return false
}
