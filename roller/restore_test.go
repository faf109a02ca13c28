package roller_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/emulator"
	"wisteriadrum/tabler"
)

// restorableTable is a table with eras that can lose all of its rows.
type restorableTable struct {
	mu    sync.Mutex
	table tabler.Table
	era   uint64
}

func newRestorableTable() *restorableTable {
	return &restorableTable{table: emulator.New(time.Now).Table(), era: 1}
}

func (r *restorableTable) currentEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// lose makes the table come back from a copy without any rows.
func (r *restorableTable) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table, r.era = emulator.New(time.Now).Table(), r.era+1
}

func (r *restorableTable) Get(ctx context.Context, keys ...string) ([]tabler.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.table.Get(ctx, keys...)
	for i := range rows {
		rows[i].Era = r.era
	}
	return rows, err
}

func (r *restorableTable) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conflicts, err := r.table.Apply(ctx, writes)
	if err == nil && writes[0].Era != r.era {
		return nil, tabler.ErrOtherEra
	}
	return conflicts, err
}

// Guards against orders that wait for a holder of an earlier era although this instance,
// or another that could order, has run for long since.
func TestFirstOrderIsNotLate(t *testing.T) {
	for _, restored := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			engines, table := newFleet(), newRestorableTable()
			_, state := instanceWith(ctx, t, "a", engines, table, knownClock)
			time.Sleep(10 * time.Second)
			if restored {
				table.lose()
				time.Sleep(6 * time.Second)
			}
			announcedAt := time.Now()
			state.AddVersion("m", announced(2))
			time.Sleep(time.Second)
			assert.Assert(t, engines.orderCount() > 0)
			assert.Check(t, engines.orders[0].at.Sub(announcedAt) < 300*time.Millisecond, "ordered after %s", engines.orders[0].at.Sub(announcedAt))
		})
	}
}

// Guards against two holders that order within the pause after the table has lost the row
// of the lease, or with one token.
func TestOrdersAroundALostRow(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			engines, table := newFleet(), newRestorableTable()
			crashing, crash := context.WithCancel(ctx)
			defer crash()
			for _, name := range []string{"a", "b"} {
				_, state := instanceWith(crashing, t, name, engines, table, knownClock)
				if name == "a" {
					time.Sleep(10 * time.Second)
				}
				state.AddVersion("m", announced(2))
				time.Sleep(700 * time.Millisecond)
			}
			before := engines.orderCount()
			assert.Assert(t, before > 0)
			table.lose()
			if crashes {
				crash()
			}
			_, state := instanceWith(ctx, t, "c", engines, table, knownClock)
			state.AddVersion("m", announced(2))
			time.Sleep(20 * time.Second)
			assert.Equal(t, engines.outdated(2), 0)
			for i, order := range engines.orders[1:] {
				last := engines.orders[i]
				assert.Assert(t, order.order.FencingToken >= last.order.FencingToken)
				if order.holder != last.holder {
					assert.Assert(t, order.order.FencingToken > last.order.FencingToken)
					assert.Assert(t, order.at.Sub(last.at) >= orderPause, "%s ordered %s after %s", order.holder, order.at.Sub(last.at), last.holder)
				}
			}
		})
	}
}
