package batcher_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/batcher"
	"wisteriadrum/counter"
	"wisteriadrum/emulator"
	"wisteriadrum/tabler"
)

// pacedTable is a table with a throughput of 400 transactions per second.
type pacedTable struct {
	*emulator.Platform
	transactionMu sync.Mutex
	transactions  atomic.Int64
}

const (
	transactionTime = 2500 * time.Microsecond
	callTime        = time.Millisecond
)

func (p *pacedTable) Get(_ context.Context, keys ...string) ([]tabler.Row, error) {
	return p.Read(keys...), nil
}

func (p *pacedTable) Apply(_ context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	time.Sleep(callTime)
	p.transactionMu.Lock()
	time.Sleep(transactionTime)
	p.transactionMu.Unlock()
	p.transactions.Add(1)
	return p.Transact(writes), nil
}

// A transaction fails as a whole if one of its writes conflicts. The other writes
// in the batch must still be committed, and exactly one write per key must win.
func TestConflictsAreToldApart(t *testing.T) {
	table := &pacedTable{Platform: emulator.New(time.Now)}
	b := batcher.New(table, counter.New(metrics.NewRegistry()))
	var committedCount atomic.Int64
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			write := tabler.Write{Key: fmt.Sprint("key-", i%30), Value: fmt.Append(nil, i)}
			row, committed, err := b.Apply(t.Context(), write)
			assert.Check(t, err == nil)
			assert.Check(t, committed == (string(row.Value) == fmt.Sprint(i)))
			if committed {
				committedCount.Add(1)
			}
		})
	}
	all.Wait()
	assert.Equal(t, committedCount.Load(), int64(30))
}

// BenchmarkClaims measures the rate and the latency of claims on a table with 400
// transactions per second: one transaction per claim, claims batched by each of 7
// or 55 instances, and claims forwarded to 4 of the 55 instances for batching.
func BenchmarkClaims(b *testing.B) {
	const concurrency = 800
	for _, c := range []struct {
		name     string
		batchers int
	}{{"single", 0}, {"grouped-7", 7}, {"grouped-55", 55}, {"gathered-4", 4}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				runClaims(b, c.batchers, concurrency)
			}
		})
	}
}

func runClaims(b *testing.B, batchers, concurrency int) {
	const length = 2 * time.Second
	table := &pacedTable{Platform: emulator.New(time.Now)}
	count := counter.New(metrics.NewRegistry())
	apply := func(ctx context.Context, _ int, write tabler.Write) error {
		_, err := table.Apply(ctx, []tabler.Write{write})
		return err
	}
	if batchers > 0 {
		all := make([]*batcher.Batcher, batchers)
		for i := range all {
			all[i] = batcher.New(table, count)
		}
		apply = func(ctx context.Context, i int, write tabler.Write) error {
			_, _, err := all[i%batchers].Apply(ctx, write)
			return err
		}
	}
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for i := range concurrency {
		done.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				start := time.Now()
				if err := apply(context.Background(), i, tabler.Write{Key: fmt.Sprint(i, "-", n)}); err != nil {
					b.Error(err)
				}
				mu.Lock()
				_ = latencies.RecordValue(time.Since(start).Microseconds()) // in range
				mu.Unlock()
			}
		})
	}
	done.Wait()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(latencies.TotalCount())/length.Seconds(), "claims/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99ms")
	b.ReportMetric(float64(latencies.TotalCount())/float64(table.transactions.Load()), "claims/transaction")
}

// answerLosingTable commits all transactions and loses the answers of the first
// ones.
type answerLosingTable struct {
	*pacedTable
	toLose atomic.Int64 // answers
}

func (f *answerLosingTable) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	conflicts, err := f.pacedTable.Apply(ctx, writes)
	if f.toLose.Add(-1) >= 0 {
		return nil, errors.New("answer lost")
	}
	return conflicts, err
}

// If the answer of a committed transaction is lost, the retry conflicts with its
// own write. The batcher must report the write as committed.
func TestLostAnswersAreRecognised(t *testing.T) {
	table := &answerLosingTable{pacedTable: &pacedTable{Platform: emulator.New(time.Now)}}
	table.toLose.Store(2)
	b := batcher.New(table, counter.New(metrics.NewRegistry()))
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() {
			row, committed, err := b.Apply(t.Context(), tabler.Write{Key: fmt.Sprint(i), Value: []byte("mine")})
			assert.Check(t, err == nil && committed)
			assert.Check(t, row.Version == 1)
		})
	}
	all.Wait()
}
