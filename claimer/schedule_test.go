package claimer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"wisteriadrum/attester"
	"wisteriadrum/batcher"
	"wisteriadrum/claimer"
	"wisteriadrum/counter"
	"wisteriadrum/judge"
	"wisteriadrum/recorder"
	"wisteriadrum/refuser"
	"wisteriadrum/tabler"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "10000") // the default of 100 is too few for these schedules
	}
	os.Exit(m.Run())
}

// faultyTable is a table that loses answers, commits writes late and has outages.
type faultyTable struct {
	mu   sync.Mutex
	rand *rand.Rand
	rows map[string]tabler.Row
	odds int // probability that a call fails, in tenths
	down bool
}

func (f *faultyTable) Get(_ context.Context, keys ...string) ([]tabler.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.rand.IntN(10) < f.odds {
		return nil, errors.New("down")
	}
	rows := make([]tabler.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.row(key)
	}
	return rows, nil
}

func (f *faultyTable) Apply(_ context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	f.mu.Lock()
	fails, mode := f.down || f.rand.IntN(10) < f.odds, f.rand.IntN(3)
	delay := time.Duration(f.rand.IntN(5000)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch {
	case !fails:
		return f.commit(writes), nil
	case mode == 0:
		return nil, refuser.New(refuser.ClaimFailed, judge.NotRun, "down")
	case mode == 1:
		f.commit(writes)
	default:
		time.AfterFunc(delay, func() { f.commit(writes) })
	}
	return nil, errors.New("answer lost")
}

func (f *faultyTable) commit(writes []tabler.Write) []tabler.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	var conflicts []tabler.Row
	for _, write := range writes {
		if row := f.row(write.Key); row.Version != write.Version {
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		return conflicts
	}
	for _, write := range writes {
		f.rows[write.Key] = tabler.Row{Key: write.Key, Value: write.Value, Version: write.Version + 1}
	}
	return nil
}

func (f *faultyTable) row(key string) tabler.Row {
	if row, ok := f.rows[key]; ok {
		return row
	}
	return tabler.Row{Key: key}
}

// cluster is a set of instances. An instance that is replaced keeps running, like
// one that was suspended and has resumed.
type cluster struct {
	table       *faultyTable
	mu          sync.Mutex
	instances   []*claimer.Claimer
	started     int
	partitioned bool // status queries between instances fail
}

func (c *cluster) ClaimStatus(ctx context.Context, peer, token string) (attester.Status, error) {
	c.mu.Lock()
	var instance *claimer.Claimer
	for i, other := range c.instances {
		if peer == fmt.Sprint("peer-", i) {
			instance = other
		}
	}
	partitioned := c.partitioned
	c.mu.Unlock()
	if partitioned || instance == nil {
		return attester.Status{}, errors.New("unreachable")
	}
	return instance.ClaimStatus(ctx, token), nil
}

func (c *cluster) start(index int) {
	count := counter.New(metrics.NewRegistry())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	owner := fmt.Sprintf("node-%d@%d", index, c.started)
	instance := claimer.New(owner, fmt.Sprint("peer-", index), batcher.New(c.table, count), c.table, nil, c, count, time.Now)
	if index == len(c.instances) {
		c.instances = append(c.instances, instance)
	} else {
		c.instances[index] = instance
	}
}

func (c *cluster) instance(index int) *claimer.Claimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[index]
}

// step is one event of a schedule. It happens some time after the previous one.
type step struct {
	after time.Duration
	index int
	kind  int // 0 to 5 send a request, 6 replace the instance, 7 begin or end a partition, 8 begin or end an outage of the table
	work  int // 0 and 1 answer, 2 refuse, 3 run and lose the answer
	takes time.Duration
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		after: time.Duration(rapid.IntRange(0, 4000).Draw(t, "after")) * time.Millisecond,
		index: rapid.IntRange(0, 2).Draw(t, "place"),
		kind:  rapid.IntRange(0, 8).Draw(t, "kind"),
		work:  rapid.IntRange(0, 3).Draw(t, "work"),
		takes: time.Duration(rapid.IntRange(0, 3000).Draw(t, "takes")) * time.Millisecond,
	}
}), 2, 8)

// history records the runs and the violations of one key.
type history struct {
	mu         sync.Mutex
	runs       int
	answer     string
	violations []string
}

func (h *history) fail(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// send makes one request and checks its answer or error.
func (h *history) send(instance *claimer.Claimer, s step, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	ran := false
	answer, err := instance.Do(ctx, "key", "hash", time.Now().Add(24*time.Hour), func(startDeadline time.Time) (recorder.Answer, error) {
		if s.work == 2 || time.Now().After(startDeadline) {
			return recorder.Answer{}, refuser.New(refuser.UpstreamBusy, judge.NotRun, "busy")
		}
		h.mu.Lock()
		h.runs++
		ran = true
		h.answer = fmt.Sprint("answer of ", number)
		mine := h.answer
		h.mu.Unlock()
		time.Sleep(s.takes)
		if s.work == 3 {
			return recorder.Answer{}, refuser.New(refuser.AnswerLost, judge.MayHaveRun, "lost")
		}
		return recorder.Answer{Status: 200, Body: []byte(mine)}, nil
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && string(answer.Body) != h.answer {
		h.fail("request %d got answer %q, want %q", number, answer.Body, h.answer)
	}
	if err != nil && judge.FromError(err) == judge.NotRun && ran {
		h.fail("request %d ran but got the error %v", number, err)
	}
}

// Resends, restarts, suspended instances, network partitions and table faults may
// interleave so that a request runs twice. In random schedules of these events, a
// key must run at most once, no request that ran may get the verdict "not run",
// and every answer must be that of the run.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		odds := rapid.IntRange(0, 8).Draw(rt, "odds")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			violations = play(plan, seed, odds)
		})
		if len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

func play(plan []step, seed uint64, odds int) []string {
	table := &faultyTable{rand: rand.New(rand.NewPCG(seed, seed)), rows: map[string]tabler.Row{}, odds: odds}
	instances := &cluster{table: table}
	for index := range 3 {
		instances.start(index)
	}
	observed := &history{}
	var requests sync.WaitGroup
	for number, s := range plan {
		time.Sleep(s.after)
		switch s.kind {
		case 6:
			instances.start(s.index)
		case 7:
			instances.mu.Lock()
			instances.partitioned = !instances.partitioned
			instances.mu.Unlock()
		case 8:
			table.mu.Lock()
			table.down = !table.down
			table.mu.Unlock()
		default:
			requests.Go(func() { observed.send(instances.instance(s.index), s, number) })
		}
	}
	requests.Wait()
	table.mu.Lock()
	table.odds, table.down = 0, false // lets pending operations finish
	table.mu.Unlock()
	time.Sleep(time.Minute)
	if observed.runs > 1 {
		observed.fail("the key ran %d times", observed.runs)
	}
	return observed.violations
}
