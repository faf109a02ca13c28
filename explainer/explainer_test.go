package explainer_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriadrum/explainer"
)

// Guards against lines of the request or its context that are missing, irrelevant
// or out of order when the logs of several instances are merged.
func TestStory(t *testing.T) {
	e := explainer.New("r1")
	for _, name := range []string{"testdata/one.log", "testdata/two.log"} {
		log, err := os.Open(name)
		assert.NilError(t, err)
		assert.NilError(t, e.Read(log))
		assert.NilError(t, log.Close())
	}
	var output strings.Builder
	found, err := e.Explain(&output)
	assert.NilError(t, err)
	assert.Assert(t, found)
	golden.Assert(t, output.String(), "story.golden")
}

func TestUnknownRequest(t *testing.T) {
	e := explainer.New("r9")
	assert.NilError(t, e.Read(strings.NewReader("{\"ts\":\"2026-01-01T00:00:00Z\",\"msg\":\"x\"}\nno json\n{broken\n")))
	var output strings.Builder
	found, err := e.Explain(&output)
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.Equal(t, output.String(), "no line of these logs names request r9\n")
}
