// Package hasher names the nested prefixes of a prompt.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Chain holds one hash for each nested prefix of a prompt, shortest first.
// Equal hashes mean equal text under the same seed.
type Chain struct {
	levels []uint64
	piece  int
	size   int
}

// New returns the chain of prompt, cut in pieces of piece bytes. The seed is
// derived from the workspace, the model and the version of its weights, so
// that equal text of two workspaces or versions never has equal hashes.
func New(workspace, model, version, prompt string, piece int) Chain {
	seed := xxhash.New()
	for _, part := range []string{workspace, model, version} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = seed.Write(length[:])
		_, _ = seed.WriteString(part)
	}
	previous := seed.Sum64()
	levels := make([]uint64, 0, len(prompt)/piece)
	digest := xxhash.New()
	for end := piece; end <= len(prompt); end += piece {
		previous = next(digest, previous, prompt[end-piece:end])
		levels = append(levels, previous)
	}
	return Chain{levels: levels, piece: piece, size: len(prompt)}
}

// FromLevels returns a chain of known level hashes over a prompt of size bytes.
func FromLevels(levels []uint64, piece, size int) Chain {
	return Chain{levels: levels, piece: piece, size: size}
}

// Depth returns the number of levels.
func (c Chain) Depth() int { return len(c.levels) }

// Level returns the hash of the prefix of i+1 pieces.
func (c Chain) Level(i int) uint64 { return c.levels[i] }

// Levels returns all hashes, shortest prefix first. They must not be modified.
func (c Chain) Levels() []uint64 { return c.levels }

// PieceBytes returns the size of a level in bytes.
func (c Chain) PieceBytes() int { return c.piece }

// SizeBytes returns the length of the whole prompt in bytes.
func (c Chain) SizeBytes() int { return c.size }

// MissingBytes returns the bytes to compute when depth levels are cached.
func (c Chain) MissingBytes(depth int) int { return c.size - depth*c.piece }

// FirstLevel returns a hash that is shared by prompts with the same first piece, or
// a constant for prompts shorter than a piece.
func (c Chain) FirstLevel() uint64 {
	if len(c.levels) == 0 {
		return 0
	}
	return c.levels[0]
}

func next(digest *xxhash.Digest, previous uint64, piece string) uint64 {
	var link [8]byte
	binary.LittleEndian.PutUint64(link[:], previous)
	digest.Reset()
	_, _ = digest.Write(link[:])
	_, _ = digest.WriteString(piece)
	return digest.Sum64()
}
