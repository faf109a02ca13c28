package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/emulator"
	"wisteriadrum/follower"
	"wisteriadrum/publisher"
	"wisteriadrum/tabler"
)

// table is the emulated platform's table without a network. It loses the answers
// to the next answersToLose writes after they were committed.
type table struct {
	*emulator.Platform
	mu            sync.Mutex
	answersToLose int
	// onLost is called after an answer was lost.
	onLost func()
}

func (t *table) Get(_ context.Context, keys ...string) ([]tabler.Row, error) {
	return t.Read(keys...), nil
}

func (t *table) Apply(_ context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	conflicts := t.Transact(writes)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answersToLose > 0 {
		t.answersToLose--
		if t.onLost != nil {
			t.mu.Unlock()
			t.onLost()
			t.mu.Lock()
		}
		return nil, errors.New("answer lost")
	}
	return conflicts, nil
}

type store struct{}

func (store) Get(context.Context, string) ([]byte, error) { return nil, errors.New("unused") }
func (store) Put(context.Context, string, []byte) error   { return nil }

func source(name string) []byte {
	return fmt.Appendf(nil, `{"data_centres": [{"name": %q}]}`, name)
}

// Guards against lost updates: of two operators who publish on the same base at
// the same time, exactly one succeeds, and the other gets the number in force.
func TestRacesHaveOneWinner(t *testing.T) {
	shared := &table{Platform: emulator.New(time.Now)}
	for round := range uint64(200) {
		var outcomes [2]error
		var wg sync.WaitGroup
		for i := range outcomes {
			wg.Go(func() {
				_, outcomes[i] = publisher.New(shared, store{}).Publish(t.Context(), source(fmt.Sprintf("site-%d", i)), &round)
			})
		}
		wg.Wait()
		conflictErr := outcomes[0]
		if conflictErr == nil {
			conflictErr = outcomes[1]
		}
		var conflict *publisher.ConflictError
		assert.Assert(t, errors.As(conflictErr, &conflict), "round %d: %v", round, outcomes)
		assert.Equal(t, conflict.Number, round+1)
		assert.Assert(t, outcomes[0] == nil || outcomes[1] == nil)
	}
}

// Guards against reporting a conflict to a publisher whose write succeeded but
// whose answer was lost.
func TestLostAnswerIsFoundAgain(t *testing.T) {
	shared := &table{Platform: emulator.New(time.Now), answersToLose: 2}
	head, err := publisher.New(shared, store{}).Publish(t.Context(), source("one"), nil)
	assert.NilError(t, err)
	assert.Equal(t, head.Number, uint64(1))
}

// The same holds if another publisher's configuration follows before the first
// one finds that its own was committed.
func TestLostAnswerAndNextPublication(t *testing.T) {
	shared := &table{Platform: emulator.New(time.Now), answersToLose: 1}
	shared.onLost = func() {
		next, err := publisher.New(shared, store{}).Publish(t.Context(), source("two"), nil)
		assert.NilError(t, err)
		assert.Equal(t, next.Number, uint64(2))
	}
	head, err := publisher.New(shared, store{}).Publish(t.Context(), source("one"), nil)
	assert.NilError(t, err)
	assert.Equal(t, head.Number, uint64(1))
	row, err := shared.Get(t.Context(), follower.HeadKey)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(row[0].Value), `"number":2`), "%s", row[0].Value)
}

func TestFaultySetListsEveryFault(t *testing.T) {
	_, err := publisher.New(&table{Platform: emulator.New(time.Now)}, store{}).Publish(t.Context(), []byte(`{"pools": [{"name": "UPPER"}], "what": 1}`), nil)
	assert.ErrorContains(t, err, "pools[0].name")
	assert.ErrorContains(t, err, "what: unknown field")
}
