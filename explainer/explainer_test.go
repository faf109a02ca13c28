package explainer_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriadrum/explainer"
)

// The story holds the request's own lines and what bears on it, in order,
// from the logs of several instances.
func TestStory(t *testing.T) {
	e := explainer.New("r1")
	for _, name := range []string{"testdata/one.log", "testdata/two.log"} {
		log, err := os.Open(name)
		assert.NilError(t, err)
		assert.NilError(t, e.Read(log))
		assert.NilError(t, log.Close())
	}
	var story strings.Builder
	found, err := e.Explain(&story)
	assert.NilError(t, err)
	assert.Assert(t, found)
	golden.Assert(t, story.String(), "story.golden")
}

func TestUnknownRequest(t *testing.T) {
	e := explainer.New("r9")
	assert.NilError(t, e.Read(strings.NewReader("{\"ts\":\"2026-01-01T00:00:00Z\",\"msg\":\"x\"}\nno json\n{broken\n")))
	var story strings.Builder
	found, err := e.Explain(&story)
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.Equal(t, story.String(), "no line of these logs names request r9\n")
}
