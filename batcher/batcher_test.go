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

// paced is a table that carries 400 transactions a second.
type paced struct {
	*emulator.Platform
	turn         sync.Mutex
	transactions atomic.Int64
}

const (
	transactionTime = 2500 * time.Microsecond
	callTime        = time.Millisecond
)

func (p *paced) Get(_ context.Context, keys ...string) ([]tabler.Row, error) {
	return p.Read(keys...), nil
}

func (p *paced) Apply(_ context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	time.Sleep(callTime)
	p.turn.Lock()
	time.Sleep(transactionTime)
	p.turn.Unlock()
	p.transactions.Add(1)
	return p.Transact(writes), nil
}

// Writes that conflict do not hold up those they share a transaction with.
func TestConflictsAreToldApart(t *testing.T) {
	table := &paced{Platform: emulator.New(time.Now)}
	b := batcher.New(table, counter.New(metrics.NewRegistry()))
	var won atomic.Int64
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			write := tabler.Write{Key: fmt.Sprint("key-", i%30), Value: fmt.Append(nil, i)}
			row, mine, err := b.Apply(t.Context(), write)
			assert.Check(t, err == nil)
			assert.Check(t, mine == (string(row.Value) == fmt.Sprint(i)))
			if mine {
				won.Add(1)
			}
		})
	}
	all.Wait()
	assert.Equal(t, won.Load(), int64(30))
}

// BenchmarkClaims gives claims a second and their time at a table of 400
// transactions a second: one transaction a claim, grouped by each of 7 or 55
// instances, and gathered at 4 of the 55.
func BenchmarkClaims(b *testing.B) {
	const atOnce = 800
	for _, c := range []struct {
		name     string
		batchers int
	}{{"single", 0}, {"grouped-7", 7}, {"grouped-55", 55}, {"gathered-4", 4}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				claims(b, c.batchers, atOnce)
			}
		})
	}
}

func claims(b *testing.B, batchers, atOnce int) {
	const length = 2 * time.Second
	table := &paced{Platform: emulator.New(time.Now)}
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
	taken := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for i := range atOnce {
		done.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				begun := time.Now()
				if err := apply(context.Background(), i, tabler.Write{Key: fmt.Sprint(i, "-", n)}); err != nil {
					b.Error(err)
				}
				mu.Lock()
				_ = taken.RecordValue(time.Since(begun).Microseconds()) // in range
				mu.Unlock()
			}
		})
	}
	done.Wait()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(taken.TotalCount())/length.Seconds(), "claims/s")
	b.ReportMetric(float64(taken.ValueAtQuantile(50))/1000, "p50ms")
	b.ReportMetric(float64(taken.ValueAtQuantile(99))/1000, "p99ms")
	b.ReportMetric(float64(taken.TotalCount())/float64(table.transactions.Load()), "claims/transaction")
}

// forgetful commits the first transactions and loses their answers.
type forgetful struct {
	*paced
	lose atomic.Int64
}

func (f *forgetful) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	conflicts, err := f.paced.Apply(ctx, writes)
	if f.lose.Add(-1) >= 0 {
		return nil, errors.New("answer lost")
	}
	return conflicts, err
}

// A write whose answer was lost is recognised as made when it is tried again.
func TestLostAnswersAreRecognised(t *testing.T) {
	table := &forgetful{paced: &paced{Platform: emulator.New(time.Now)}}
	table.lose.Store(2)
	b := batcher.New(table, counter.New(metrics.NewRegistry()))
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() {
			row, won, err := b.Apply(t.Context(), tabler.Write{Key: fmt.Sprint(i), Value: []byte("mine")})
			assert.Check(t, err == nil && won)
			assert.Check(t, row.Version == 1)
		})
	}
	all.Wait()
}
