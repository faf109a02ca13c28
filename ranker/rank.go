// Package ranker implements rendezvous hashing. It uses no seed, so the order is
// the same at every instance.
package ranker

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rendezvous hash of a key and the hash of an endpoint or
// instance. The endpoint or instance with the highest rank comes first for the
// key.
func Rank(key, endpointHash uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], endpointHash)
	return xxhash.Sum64(pair[:])
}
