package packer

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const hex = 16

// Incarnation returns the short form in which instances speak of an
// endpoint's incarnation, whatever form the endpoint gives it.
func Incarnation(given string) string {
	if given == "" {
		return ""
	}
	return name(uint32(xxhash.Sum64String(given)))
}

func name(number uint32) string { return fmt.Sprintf("%08x", number) }

func incarnation(name string) uint32 {
	number, err := strconv.ParseUint(name, hex, 32)
	if err != nil {
		return 0
	}
	return uint32(number)
}
