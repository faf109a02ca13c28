package reserver_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/reserver"
)

// limitTokens is the room of the engine of the tests.
const limitTokens = 40000

var start = time.Unix(1000, 0)

// engine is the room of one engine with the prompts that run there.
type engine struct {
	reserver reserver.Reserver
	running  int
	now      time.Time
}

// take asks for room, and lets the prompt run as soon as the others know of it.
func (e *engine) take(id uint64, tokens, priority int) bool {
	var granted bool
	e.reserver, granted = e.reserver.Take(reserver.Request{ID: id, Tokens: tokens, LimitTokens: limitTokens, Priority: priority, Claims: true}, e.running, e.now)
	return granted
}

// Guards against prompts of many instances that are sent to the same engine, which each of
// them sees empty.
func TestRoomIsGrantedOnce(t *testing.T) {
	e := &engine{now: start}
	granted := 0
	for id := range uint64(100) {
		if e.take(id+1, 10000, 0) {
			granted++
		}
	}
	assert.Equal(t, granted, 4)
	e.now = e.now.Add(time.Second)
	assert.Assert(t, e.take(1000, 10000, 0), "room that was granted long ago shows in the load")
}

// Guards against a large prompt that smaller, later ones overtake forever.
func TestLargePromptHasATurn(t *testing.T) {
	e := &engine{now: start, running: 30000}
	overtaken := 0
	for id := uint64(100); ; id++ {
		e.now = e.now.Add(50 * time.Millisecond)
		if e.take(1, 35000, 0) {
			break
		}
		if e.take(id, 10000, 0) {
			overtaken += 10000
		} else {
			e.running = max(0, e.running-10000)
		}
		assert.Assert(t, overtaken <= 35000+10000, "%d tokens went first", overtaken)
	}
}

func TestTurns(t *testing.T) {
	for name, test := range map[string]struct {
		then     func(e *engine)
		priority int
		granted  bool
	}{
		"later one":          {func(*engine) {}, 1, false},
		"more urgent one":    {func(*engine) {}, 0, true},
		"claim not renewed":  {func(e *engine) { e.now = e.now.Add(time.Second) }, 1, true},
		"both fit":           {func(e *engine) { e.running = 0 }, 1, true},
		"the turn has come":  {func(e *engine) { e.running = 0; e.take(1, 35000, 1) }, 1, true},
		"the turn took room": {func(e *engine) { e.running = 0; e.take(1, 35000, 1); e.running = 5000 }, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{now: start, running: 10000}
			assert.Assert(t, !e.take(1, 35000, 1))
			for id := range uint64(7) {
				assert.Assert(t, e.take(100+id, 5000, 1), "overtaken by less than its size")
				e.now = e.now.Add(160 * time.Millisecond)
				assert.Assert(t, !e.take(1, 35000, 1))
			}
			test.then(e)
			assert.Equal(t, e.take(2, 5000, test.priority), test.granted)
		})
	}
}

func TestValidate(t *testing.T) {
	assert.NilError(t, reserver.Request{Tokens: 1}.Validate())
	for _, bad := range []reserver.Request{{Tokens: -1}, {LimitTokens: -1}, {Priority: -1}} {
		assert.ErrorContains(t, bad.Validate(), "negative")
	}
}
