package reserver_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/reserver"
)

// Guards against an engine that is nearly empty and gets no long prompt at all, since a very
// large one is due that finds no room beside short requests.
func TestDuePromptDoesNotBlockAnEmptyEngine(t *testing.T) {
	const shortTokens = 5000 // 5 % of the engine
	huge := reserver.Request{ID: 1, Tokens: 60000, LimitTokens: 61500, Claims: true}
	now := time.Unix(1000, 0)
	var engine reserver.Reserver
	engine, _ = engine.Take(huge, shortTokens, now)
	granted := 0
	for n := range 100 {
		now = now.Add(100 * time.Millisecond)
		var answer reserver.Answer
		if engine, answer = engine.Take(huge, shortTokens, now); answer == reserver.Granted {
			return
		}
		if engine, answer = engine.Take(reserver.Request{ID: uint64(n) + 2, Tokens: 10000, LimitTokens: 40000}, shortTokens, now); answer == reserver.Granted {
			granted = n
		}
	}
	assert.Assert(t, granted > 90, "no prompt got room after the first %d", granted)
}
