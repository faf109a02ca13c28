package packer

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const hexBase = 16

// Incarnation returns the fixed-size hash that instances use for an endpoint's
// incarnation, which may have any form. It is empty for an empty incarnation.
func Incarnation(incarnation string) string {
	if incarnation == "" {
		return ""
	}
	return formatIncarnation(uint32(xxhash.Sum64String(incarnation)))
}

func formatIncarnation(hash uint32) string { return fmt.Sprintf("%08x", hash) }

func parseIncarnation(name string) uint32 {
	hash, err := strconv.ParseUint(name, hexBase, 32)
	if err != nil {
		return 0
	}
	return uint32(hash)
}
