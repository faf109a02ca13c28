package compressor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/compressor"
)

// Guards against panics on arbitrary input, and checks that data survives
// compression and decompression unchanged.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("a set"))
	f.Add(compressor.Compress([]byte("a set")))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = compressor.Decompress(data) // may return an error
		restored, err := compressor.Decompress(compressor.Compress(data))
		assert.NilError(t, err)
		assert.Equal(t, string(restored), string(data))
	})
}
