package decoder_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriadrum/cataloguer"
	"wisteriadrum/configurer"
)

// Guards against reporting only the first of several faults. The golden files list
// all faults of each document.
func TestFaultsAreListed(t *testing.T) {
	files, err := filepath.Glob("testdata/*.hujson")
	assert.NilError(t, err)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".hujson")
		t.Run(name, func(t *testing.T) {
			source, err := os.ReadFile(file)
			assert.NilError(t, err)
			if strings.HasPrefix(name, "settings") {
				_, err = configurer.New(source)
			} else {
				_, err = cataloguer.New(source)
			}
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", name+".golden")
		})
	}
}

// Guards against panics on arbitrary documents, and against a valid configuration
// that changes when it is encoded and decoded again.
func FuzzSet(f *testing.F) {
	for _, name := range []string{"../examples/consorzio/set.hujson", "../examples/gwasg/set.hujson", "testdata/set.hujson"} {
		source, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(source)
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		config, err := cataloguer.New(source)
		if err != nil {
			return
		}
		decoded, err := cataloguer.New(config.Encode())
		assert.NilError(t, err)
		assert.Equal(t, string(decoded.Encode()), string(config.Encode()))
	})
}
