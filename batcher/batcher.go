// Package batcher commits independent conditional writes together, so that
// the table service sees one transaction for many requests.
package batcher

import (
	"bytes"
	"context"
	"sync"
	"time"

	"wisteriadrum/counter"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/tabler"
)

const (
	maxBatch   = 100 // writes in one transaction
	retryPause = 50 * time.Millisecond
	tryTimeout = 2 * time.Second
)

// Batcher gathers the writes that arrive while a transaction is under way and
// commits them in the next one.
type Batcher struct {
	table   tabler.Table
	count   *counter.Counter
	mu      sync.Mutex
	pending []*entry
	running bool
}

type entry struct {
	ctx    context.Context
	write  tabler.Write
	result chan result
}

type result struct {
	row tabler.Row
	won bool
	err error
}

// New returns a batcher that writes to table.
func New(table tabler.Table, count *counter.Counter) *Batcher {
	return &Batcher{table: table, count: count}
}

// Apply commits write and reports whether it took effect; if another write
// came first it returns the row as it is now. A transaction whose answer was
// lost is tried again with the same write until ctx ends. After an error the
// write may take effect at any later time.
func (b *Batcher) Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error) {
	e := &entry{ctx: ctx, write: write, result: make(chan result, 1)}
	b.add(e)
	select {
	case r := <-e.result:
		return r.row, r.won, r.err
	case <-ctx.Done():
		return tabler.Row{}, false, refuser.New(refuser.ClaimFailed, judge.MayHaveRun, "table service: %s", ctx.Err())
	}
}

func (b *Batcher) add(entries ...*entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, entries...)
	if !b.running {
		b.running = true
		go b.run()
	}
}

func (b *Batcher) run() {
	for {
		batch := b.next()
		if batch == nil {
			return
		}
		b.commit(batch)
	}
}

// next takes the next batch, which names no row twice, or ends the run.
func (b *Batcher) next() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*entry
	taken := map[string]bool{}
	for _, e := range b.pending {
		switch {
		case e.ctx.Err() != nil:
			b.count.Add("table", "abandoned")
		case taken[e.write.Key] || len(batch) == maxBatch:
			rest = append(rest, e)
		default:
			taken[e.write.Key] = true
			batch = append(batch, e)
		}
	}
	b.pending = rest
	if len(batch) == 0 {
		b.running = len(rest) > 0
	}
	return batch
}

func (b *Batcher) commit(batch []*entry) {
	writes := make([]tabler.Write, len(batch))
	for i, e := range batch {
		writes[i] = e.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	b.count.Add("table", "transactions")
	conflicts, err := b.table.Apply(ctx, writes)
	if err != nil {
		b.retry(batch)
		return
	}
	b.settle(batch, conflicts)
}

// retry puts the batch back after a pause. If the transaction has committed
// after all, settle recognises its writes by their values.
func (b *Batcher) retry(batch []*entry) {
	b.count.Add("table", "failures")
	time.Sleep(retryPause)
	b.add(batch...)
}

func (b *Batcher) settle(batch []*entry, conflicts []tabler.Row) {
	current := make(map[string]tabler.Row, len(conflicts))
	for _, row := range conflicts {
		current[row.Key] = row
	}
	var again []*entry
	for _, e := range batch {
		row, conflict := current[e.write.Key]
		switch {
		case conflict && bytes.Equal(row.Value, e.write.Value):
			e.result <- result{row: row, won: true}
		case conflict:
			e.result <- result{row: row}
		case len(conflicts) > 0:
			again = append(again, e)
		default:
			row := tabler.Row{Key: e.write.Key, Value: e.write.Value, Version: e.write.Version + 1}
			e.result <- result{row: row, won: true}
		}
	}
	if len(again) > 0 {
		b.add(again...)
	}
}
