package pager_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/pager"
)

// A malformed page from an engine must be rejected. A page that is accepted must keep
// its events when it is encoded and decoded again.
func FuzzPage(f *testing.F) {
	page, err := json.Marshal(pager.New("one", 7, []pager.Event{{Level: 1 << 63, Stored: true}, {Level: 2}}))
	assert.NilError(f, err)
	f.Add(page)
	f.Add([]byte(`{"events":"AA=="}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var page, again pager.Page
		if json.Unmarshal(text, &page) != nil {
			return
		}
		encoded, err := json.Marshal(page)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(encoded, &again))
		assert.DeepEqual(t, again, page)
	})
}
