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
	return e.ask(reserver.Request{ID: id, Tokens: tokens, LimitTokens: limitTokens, Priority: priority, Claims: true}) == reserver.Granted
}

func (e *engine) ask(request reserver.Request) reserver.Answer {
	var answer reserver.Answer
	e.reserver, answer = e.reserver.Take(request, e.running, e.now)
	return answer
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

// Guards against room that is given away while a prompt waits for it that came before.
func TestTurns(t *testing.T) {
	small := reserver.Request{ID: 2, Tokens: 5000, LimitTokens: limitTokens, Priority: 1}
	for name, test := range map[string]struct {
		then    func(e *engine, small *reserver.Request)
		granted bool
	}{
		"later one":         {func(*engine, *reserver.Request) {}, false},
		"more urgent one":   {func(_ *engine, small *reserver.Request) { small.Priority = 0 }, true},
		"earlier one":       {func(_ *engine, small *reserver.Request) { small.WaitedMillis = 2000 }, true},
		"claim not renewed": {func(e *engine, _ *reserver.Request) { e.now = e.now.Add(time.Second) }, true},
		"claim renewed": {func(e *engine, _ *reserver.Request) {
			for range 4 {
				e.now = e.now.Add(200 * time.Millisecond)
				e.take(1, 35000, 1)
			}
		}, false},
		"claim ended": {func(e *engine, _ *reserver.Request) {
			e.ask(reserver.Request{ID: 1, Ends: true})
		}, true},
		"both fit":           {func(e *engine, _ *reserver.Request) { e.running = 0 }, true},
		"the turn has come":  {func(e *engine, _ *reserver.Request) { e.running = 0; e.take(1, 35000, 1) }, true},
		"the turn took room": {func(e *engine, _ *reserver.Request) { e.running = 0; e.take(1, 35000, 1); e.running = 5000 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{now: start, running: 10000}
			assert.Assert(t, !e.take(1, 35000, 1))
			e.now = e.now.Add(100 * time.Millisecond)
			later := small
			test.then(e, &later)
			assert.Equal(t, e.ask(later) == reserver.Granted, test.granted)
		})
	}
}

// Guards against a queue in which all wait until it is too late.
func TestQueueIsBounded(t *testing.T) {
	e := &engine{now: start, running: 30000}
	bounded := func(id uint64, waitedMillis int) reserver.Answer {
		return e.ask(reserver.Request{ID: id, Tokens: 20000, LimitTokens: limitTokens, Claims: true, WaitedMillis: waitedMillis, QueueMillis: 300})
	}
	assert.Equal(t, bounded(1, 0), reserver.Refused)
	e.now = e.now.Add(200 * time.Millisecond)
	assert.Equal(t, bounded(1, 200), reserver.Refused)
	assert.Equal(t, bounded(2, 0), reserver.Refused)
	e.now = e.now.Add(200 * time.Millisecond)
	assert.Equal(t, bounded(3, 0), reserver.Crowded)
	assert.Equal(t, bounded(2, 200), reserver.Refused, "keeps its place")
	assert.Equal(t, bounded(4, 500), reserver.Refused, "came before all others")
	e.running = 0
	assert.Equal(t, bounded(3, 0), reserver.Crowded, "the others go before")
	assert.Equal(t, bounded(1, 400), reserver.Granted)
}

func TestValidate(t *testing.T) {
	assert.NilError(t, reserver.Request{Tokens: 1}.Validate())
	for _, bad := range []reserver.Request{{Tokens: -1}, {LimitTokens: -1}, {Priority: -1}, {WaitedMillis: -1}, {QueueMillis: -1}} {
		assert.ErrorContains(t, bad.Validate(), "negative")
	}
	for _, bad := range []reserver.Request{{WaitedMillis: 1 << 40}, {QueueMillis: 1 << 40}} {
		assert.ErrorContains(t, bad.Validate(), "above a day")
	}
}
