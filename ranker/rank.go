// Package ranker orders endpoints by rendezvous hash, the same at every
// instance and without a seed of its own.
package ranker

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of an endpoint for a key; the highest goes first.
func Rank(key, endpoint uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], endpoint)
	return xxhash.Sum64(pair[:])
}
