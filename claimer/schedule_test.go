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
		_ = flag.Set("rapid.checks", "10000") // the default is too few here
	}
	os.Exit(m.Run())
}

// faulty is a table that loses answers, lands writes late and is down at times.
type faulty struct {
	mu   sync.Mutex
	rand *rand.Rand
	rows map[string]tabler.Row
	odds int // in ten, of each transaction to fail
	down bool
}

func (f *faulty) Get(_ context.Context, keys ...string) ([]tabler.Row, error) {
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

func (f *faulty) Apply(_ context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	f.mu.Lock()
	fails, way := f.down || f.rand.IntN(10) < f.odds, f.rand.IntN(3)
	delay := time.Duration(f.rand.IntN(5000)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch {
	case !fails:
		return f.commit(writes), nil
	case way == 0:
		return nil, refuser.New(refuser.ClaimFailed, judge.NotRun, "down")
	case way == 1:
		f.commit(writes)
	default:
		time.AfterFunc(delay, func() { f.commit(writes) })
	}
	return nil, errors.New("answer lost")
}

func (f *faulty) commit(writes []tabler.Write) []tabler.Row {
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

func (f *faulty) row(key string) tabler.Row {
	if row, ok := f.rows[key]; ok {
		return row
	}
	return tabler.Row{Key: key}
}

// fleet is instances that can be replaced; a replaced one goes on as a holder
// that was paused would.
type fleet struct {
	table   *faulty
	mu      sync.Mutex
	nodes   []*claimer.Claimer
	started int
	cut     bool // instances cannot ask one another
}

func (f *fleet) ClaimStatus(ctx context.Context, peer, token string) (attester.Status, error) {
	f.mu.Lock()
	var node *claimer.Claimer
	for i, other := range f.nodes {
		if peer == fmt.Sprint("peer-", i) {
			node = other
		}
	}
	cut := f.cut
	f.mu.Unlock()
	if cut || node == nil {
		return attester.Status{}, errors.New("unreachable")
	}
	return node.ClaimStatus(ctx, token), nil
}

func (f *fleet) start(place int) {
	count := counter.New(metrics.NewRegistry())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	owner := fmt.Sprintf("node-%d@%d", place, f.started)
	node := claimer.New(owner, fmt.Sprint("peer-", place), batcher.New(f.table, count), f.table, nil, f, count, time.Now)
	if place == len(f.nodes) {
		f.nodes = append(f.nodes, node)
	} else {
		f.nodes[place] = node
	}
}

func (f *fleet) node(place int) *claimer.Claimer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[place]
}

// step is one thing that happens, some time after the one before.
type step struct {
	after time.Duration
	place int
	kind  int // 0 to 5 send, 6 replace the instance, 7 cut or heal, 8 an outage begins or ends
	work  int // 0 and 1 answer, 2 refuse, 3 lose the answer
	takes time.Duration
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		after: time.Duration(rapid.IntRange(0, 4000).Draw(t, "after")) * time.Millisecond,
		place: rapid.IntRange(0, 2).Draw(t, "place"),
		kind:  rapid.IntRange(0, 8).Draw(t, "kind"),
		work:  rapid.IntRange(0, 3).Draw(t, "work"),
		takes: time.Duration(rapid.IntRange(0, 3000).Draw(t, "takes")) * time.Millisecond,
	}
}), 2, 8)

// history is what was seen of one key.
type history struct {
	mu     sync.Mutex
	runs   int
	answer string
	wrong  []string
}

func (h *history) fail(format string, args ...any) {
	h.wrong = append(h.wrong, fmt.Sprintf(format, args...))
}

// send makes one request and checks what it is told.
func (h *history) send(node *claimer.Claimer, s step, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	ran := false
	answer, err := node.Do(ctx, "key", "hash", time.Now().Add(24*time.Hour), func(sendBy time.Time) (recorder.Answer, error) {
		if s.work == 2 || time.Now().After(sendBy) {
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
		h.fail("request %d got %q, not %q", number, answer.Body, h.answer)
	}
	if err != nil && judge.FromError(err) == judge.NotRun && ran {
		h.fail("request %d ran and was told %v", number, err)
	}
}

// Over seeded schedules of resends, crashes, pauses, cuts and table faults, a
// key runs at most once, "not run" is true, and answers are those of the run.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		odds := rapid.IntRange(0, 8).Draw(rt, "odds")
		var wrong []string
		synctest.Test(t, func(*testing.T) {
			wrong = play(plan, seed, odds)
		})
		if len(wrong) > 0 {
			rt.Fatal(wrong)
		}
	})
}

func play(plan []step, seed uint64, odds int) []string {
	table := &faulty{rand: rand.New(rand.NewPCG(seed, seed)), rows: map[string]tabler.Row{}, odds: odds}
	all := &fleet{table: table}
	for place := range 3 {
		all.start(place)
	}
	seen := &history{}
	var sent sync.WaitGroup
	for number, s := range plan {
		time.Sleep(s.after)
		switch s.kind {
		case 6:
			all.start(s.place)
		case 7:
			all.mu.Lock()
			all.cut = !all.cut
			all.mu.Unlock()
		case 8:
			table.mu.Lock()
			table.down = !table.down
			table.mu.Unlock()
		default:
			sent.Go(func() { seen.send(all.node(s.place), s, number) })
		}
	}
	sent.Wait()
	table.mu.Lock()
	table.odds, table.down = 0, false // so that what is under way ends
	table.mu.Unlock()
	time.Sleep(time.Minute)
	if seen.runs > 1 {
		seen.fail("the key ran %d times", seen.runs)
	}
	return seen.wrong
}
