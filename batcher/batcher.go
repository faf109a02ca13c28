// Package batcher groups independent conditional writes into one transaction of
// the table service.
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
	maxBatch           = 100 // writes per transaction
	retryDelay         = 50 * time.Millisecond
	transactionTimeout = 2 * time.Second
)

// Batcher collects the writes that arrive during a transaction and commits them in
// the next one.
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
	row       tabler.Row
	committed bool
	err       error
}

// New returns a batcher that writes to table.
func New(table tabler.Table, count *counter.Counter) *Batcher {
	return &Batcher{table: table, count: count}
}

// Apply commits write and reports whether it took effect. If the version of the
// row did not match, it returns the current row. A failed transaction, including
// one whose answer was lost, is retried with the same write until ctx ends. After
// an error, the write may still take effect at any time.
func (b *Batcher) Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error) {
	e := &entry{ctx: ctx, write: write, result: make(chan result, 1)}
	b.add(e)
	select {
	case r := <-e.result:
		return r.row, r.committed, r.err
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
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		b.commit(batch)
	}
}

// nextBatch removes the next batch from the pending writes. A batch has at most one
// write per row. If it is empty and nothing is pending, the batcher stops running.
func (b *Batcher) nextBatch() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*entry
	keysInBatch := map[string]bool{}
	for _, e := range b.pending {
		switch {
		case e.ctx.Err() != nil:
			b.count.Add("table", "abandoned")
		case keysInBatch[e.write.Key] || len(batch) == maxBatch:
			remaining = append(remaining, e)
		default:
			keysInBatch[e.write.Key] = true
			batch = append(batch, e)
		}
	}
	b.pending = remaining
	if len(batch) == 0 {
		b.running = len(remaining) > 0
	}
	return batch
}

func (b *Batcher) commit(batch []*entry) {
	writes := make([]tabler.Write, len(batch))
	for i, e := range batch {
		writes[i] = e.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), transactionTimeout)
	defer cancel()
	b.count.Add("table", "transactions")
	conflicts, err := b.table.Apply(ctx, writes)
	if err != nil {
		b.retry(batch)
		return
	}
	b.reportResults(batch, conflicts)
}

// retry adds the batch to the pending writes after a delay. If the transaction was
// committed although its answer was lost, the retry conflicts with its own writes.
// reportResults recognises them by their values.
func (b *Batcher) retry(batch []*entry) {
	b.count.Add("table", "failures")
	time.Sleep(retryDelay)
	b.add(batch...)
}

func (b *Batcher) reportResults(batch []*entry, conflicts []tabler.Row) {
	current := make(map[string]tabler.Row, len(conflicts))
	for _, row := range conflicts {
		current[row.Key] = row
	}
	var unaffected []*entry
	for _, e := range batch {
		row, conflict := current[e.write.Key]
		switch {
		case conflict && bytes.Equal(row.Value, e.write.Value):
			e.result <- result{row: row, committed: true}
		case conflict:
			e.result <- result{row: row}
		case len(conflicts) > 0:
			unaffected = append(unaffected, e)
		default:
			row := tabler.Row{Key: e.write.Key, Value: e.write.Value, Version: e.write.Version + 1}
			e.result <- result{row: row, committed: true}
		}
	}
	if len(unaffected) > 0 {
		b.add(unaffected...)
	}
}
