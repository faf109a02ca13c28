// Package hasher computes a hash for each of the nested prefixes of a prompt.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Chain holds the hashes of the nested prefixes of a prompt, shortest first. The
// prefix at level i consists of the first i+1 pieces. Equal hashes mean equal
// text under the same seed.
type Chain struct {
	levels     []uint64
	pieceBytes int
	sizeBytes  int
}

// New returns the chain of prompt, split into pieces of pieceBytes. The seed is
// derived from the workspace, the model and the version of its weights, so that
// equal prompts of different workspaces or versions have different hashes.
func New(workspace, model, version, prompt string, pieceBytes int) Chain {
	seed := xxhash.New()
	for _, part := range []string{workspace, model, version} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = seed.Write(length[:])
		_, _ = seed.WriteString(part)
	}
	previous := seed.Sum64()
	levels := make([]uint64, 0, len(prompt)/pieceBytes)
	digest := xxhash.New()
	for end := pieceBytes; end <= len(prompt); end += pieceBytes {
		previous = hashPiece(digest, previous, prompt[end-pieceBytes:end])
		levels = append(levels, previous)
	}
	return Chain{levels: levels, pieceBytes: pieceBytes, sizeBytes: len(prompt)}
}

// FromLevels returns a chain of known hashes of a prompt of sizeBytes.
func FromLevels(levels []uint64, pieceBytes, sizeBytes int) Chain {
	return Chain{levels: levels, pieceBytes: pieceBytes, sizeBytes: sizeBytes}
}

// Depth returns the number of levels.
func (c Chain) Depth() int { return len(c.levels) }

// Level returns the hash of the prefix of i+1 pieces.
func (c Chain) Level(i int) uint64 { return c.levels[i] }

// Levels returns all hashes, shortest prefix first. The slice must not be
// modified.
func (c Chain) Levels() []uint64 { return c.levels }

// PieceBytes returns the size of a piece.
func (c Chain) PieceBytes() int { return c.pieceBytes }

// SizeBytes returns the length of the whole prompt.
func (c Chain) SizeBytes() int { return c.sizeBytes }

// MissingBytes returns the number of bytes to prefill if depth levels are cached.
func (c Chain) MissingBytes(depth int) int { return c.sizeBytes - depth*c.pieceBytes }

// FirstLevel returns the hash of the first piece, or 0 for prompts shorter than a
// piece.
func (c Chain) FirstLevel() uint64 {
	if len(c.levels) == 0 {
		return 0
	}
	return c.levels[0]
}

func hashPiece(digest *xxhash.Digest, previous uint64, piece string) uint64 {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], previous)
	digest.Reset()
	_, _ = digest.Write(encoded[:])
	_, _ = digest.WriteString(piece)
	return digest.Sum64()
}
