package compressor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/compressor"
)

// Whatever arrives is refused or unpacked, and what was packed comes back.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("a set"))
	f.Add(compressor.Compress([]byte("a set")))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, _ = compressor.Decompress(text) // must not panic
		back, err := compressor.Decompress(compressor.Compress(text))
		assert.NilError(t, err)
		assert.Equal(t, string(back), string(text))
	})
}
