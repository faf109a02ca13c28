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

// Every fault of a document is listed at once, as in the golden files.
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

// No document makes the decoder fail otherwise than by an error, and what it
// accepts keeps its meaning when it is written and read again.
func FuzzSet(f *testing.F) {
	for _, name := range []string{"../examples/consorzio/set.hujson", "../examples/gwasg/set.hujson", "testdata/set.hujson"} {
		source, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(source)
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		set, err := cataloguer.New(source)
		if err != nil {
			return
		}
		again, err := cataloguer.New(set.Encode())
		assert.NilError(t, err)
		assert.Equal(t, string(again.Encode()), string(set.Encode()))
	})
}
