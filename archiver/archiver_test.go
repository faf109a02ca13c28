package archiver_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/archiver"
	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/emulator"
	"wisteriadrum/registrar"
	"wisteriadrum/tabler"
	"wisteriadrum/versioner"
)

const (
	key           = "archive"
	maxLeftMillis = 60_000
)

// instance is an archiver with the state that it keeps. Its clock has its own zero point.
type instance struct {
	*archiver.Archiver
	registrar *registrar.Registrar
	detector  *detector.Detector
	stop      context.CancelFunc
}

func start(t *testing.T, table tabler.Table, rank int, zero time.Duration) *instance {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	state := registrar.New(func() time.Time { return time.Now().Add(zero) })
	i := &instance{registrar: state, detector: detector.New(), stop: cancel}
	tableNow := func() (time.Time, bool) { return time.Now(), true }
	tableEra := func() uint64 { return 0 }
	if restorable, ok := table.(*restorableTable); ok {
		tableEra = restorable.era.Load
	}
	i.Archiver = archiver.New(table, key, state, i.detector, tableNow, tableEra, func() int { return rank }, maxLeftMillis, counter.New(metrics.NewRegistry()), zap.NewNop(), time.Now)
	go i.Run(ctx)
	return i
}

func (i *instance) announce(number int, left time.Duration, assumed bool) {
	i.registrar.AddVersion("m", versioner.Version{Number: number, OlderUntil: i.registrar.Now().Add(left), Assumed: assumed})
}

// left returns how long weights older than a version may be used.
func (i *instance) left(number int) time.Duration {
	until, _ := i.registrar.Versions("m").UsableUntil(number - 1)
	return until.Sub(i.registrar.Now()).Round(time.Second)
}

func read(t *testing.T, table tabler.Table) tabler.Row {
	t.Helper()
	rows, err := table.Get(t.Context(), key)
	assert.NilError(t, err)
	return rows[0]
}

// Guards against older weights that are used for longer, or for a shorter time, after all
// instances have lost their state.
func TestAgeOfVersionsSurvivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := emulator.New(time.Now).Table()
		first := start(t, table, 0, time.Hour)
		first.announce(1, -time.Minute, false)
		first.announce(2, 10*time.Second, false)
		time.Sleep(4 * time.Second)
		first.stop()
		second := start(t, table, 0, -time.Hour)
		second.announce(2, 3*time.Second, true)
		second.Restore(read(t, table).Value, 0)
		assert.Equal(t, second.left(2), 6*time.Second)
		second.announce(3, 20*time.Second, false)
		time.Sleep(time.Second)
		second.stop()
		third := start(t, table, 0, 0)
		third.Restore(read(t, table).Value, 0)
		assert.Equal(t, third.left(2), 5*time.Second)
		assert.Equal(t, third.left(3), 19*time.Second)
		third.stop()
	})
}

// Guards against a time in the row that lets older weights be used for longer than any
// announcement does.
func TestFarTimeIsBounded(t *testing.T) {
	table := emulator.New(time.Now).Table()
	i := start(t, table, 0, 0)
	defer i.stop()
	i.Restore(fmt.Appendf(nil, `{"versions":[{"model":"m","number":2,"until":%d}]}`, time.Now().Add(25*time.Hour).UnixMilli()), 0)
	assert.Equal(t, i.left(2), time.Minute)
}

// Guards against a time in the row that outlives an earlier one, which the instances have
// agreed on since, and against writes for differences of the clocks' estimates.
func TestEarlierTimeReplacesLaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := emulator.New(time.Now).Table()
		first := start(t, table, 0, time.Hour)
		first.announce(2, 12*time.Second, false)
		time.Sleep(time.Second)
		first.announce(2, 8*time.Second, false)
		time.Sleep(time.Second)
		first.announce(2, 7*time.Second-50*time.Millisecond, false)
		time.Sleep(time.Second)
		first.stop()
		second := start(t, table, 0, 0)
		defer second.stop()
		second.announce(2, 3*time.Second, true)
		second.Restore(read(t, table).Value, 0)
		assert.Equal(t, second.left(2), 6*time.Second)
		assert.Equal(t, read(t, table).Version, uint64(2))
	})
}

// Guards against an assumed time that is kept as if it were known.
func TestAssumedAgeIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := emulator.New(time.Now).Table()
		i := start(t, table, 0, 0)
		i.announce(2, 3*time.Second, true)
		time.Sleep(5 * time.Second)
		i.stop()
		assert.Equal(t, read(t, table).Version, uint64(0))
	})
}

// countingTable counts the reads of rows.
type countingTable struct {
	tabler.Table
	reads atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, keys ...string) ([]tabler.Row, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, keys...)
}

// Guards against calls of each instance for one row, and against a row that nobody writes
// while the first candidate is away.
func TestFewInstancesWrite(t *testing.T) {
	for _, test := range []struct{ firstRank, reads int }{{0, 3}, {1, 2}, {3, 0}} {
		synctest.Test(t, func(t *testing.T) {
			table := &countingTable{Table: emulator.New(time.Now).Table()}
			for rank := test.firstRank; rank < 6; rank++ {
				i := start(t, table, rank, 0)
				defer i.stop()
				i.announce(2, time.Minute, false)
			}
			time.Sleep(5 * time.Second)
			assert.Equal(t, int(table.reads.Load()), test.reads)
			assert.Equal(t, read(t, table).Version, uint64(min(test.reads, 1)))
		})
	}
}

// Guards against parts of prompts that crash endpoints again after all instances have
// lost their state, and against sound ones that stay refused.
func TestRefusedPartsSurviveAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := emulator.New(time.Now).Table()
		first := start(t, table, 0, time.Hour)
		until := time.Now().Add(time.Minute)
		refused := detector.Suspect{Part: 7, Name: "p", Level: 3, Refused: true, Until: until}
		first.detector.Merge([]detector.Suspect{refused, {Part: 8, Level: 2, Until: until}, {Part: 9, Level: 3, Refused: true, Until: until}}, time.Now())
		first.announce(2, time.Minute, false)
		time.Sleep(time.Second)
		first.detector.Merge([]detector.Suspect{{Part: 9, Epoch: 1, Until: until}}, time.Now())
		time.Sleep(time.Second)
		first.stop()
		time.Sleep(time.Second)
		second := start(t, table, 0, 0)
		defer second.stop()
		second.Restore(read(t, table).Value, 0)
		found := second.detector.Refused(time.Now())
		assert.Equal(t, len(found), 1)
		assert.Equal(t, found[0].Name, "p")
		assert.Assert(t, found[0].Until.Sub(until).Abs() < time.Millisecond)
		assert.Equal(t, second.left(2), 57*time.Second)
		writes := read(t, table).Version
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(second.detector.Refused(time.Now())), 0)
		assert.Equal(t, read(t, table).Version, writes)
	})
}

// Guards against more trials of a refused part after the loss of all instances than it may
// have in all.
func TestTrialsSurviveAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := emulator.New(time.Now).Table()
		first := start(t, table, 0, time.Hour)
		trialAt := time.Now().Add(time.Minute).UTC()
		refused := detector.Suspect{
			Part: 7, Name: "p", Level: 5, Refused: true, Until: trialAt.Add(time.Hour),
			Answers: 2, Crashes: 6, TrialAt: trialAt, Rival: 8, Weights: 3,
		}
		first.detector.Merge([]detector.Suspect{refused}, time.Now())
		time.Sleep(time.Second)
		refused.Trials, refused.TrialAt = 1, trialAt.Add(time.Minute)
		first.detector.Merge([]detector.Suspect{refused}, time.Now())
		time.Sleep(time.Second)
		first.stop()
		time.Sleep(time.Second)
		second := start(t, table, 0, 0)
		defer second.stop()
		second.Restore(read(t, table).Value, 0)
		found := second.detector.Refused(time.Now())
		assert.Equal(t, len(found), 1)
		assert.Assert(t, found[0].TrialAt.Sub(refused.TrialAt).Abs() < time.Millisecond, "the next trial is at %s", found[0].TrialAt)
		found[0].TrialAt, found[0].Until = refused.TrialAt, refused.Until
		assert.Equal(t, fmt.Sprint(found[0]), fmt.Sprint(refused))
	})
}

// Guards against a malformed row that is applied, or that stays.
func TestMalformedArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, value := range []string{"x", `{"versions":[{"model":"","number":2,"until":5}]}`, `{"versions":[{"model":"m","number":0,"until":5}]}`, `{"parts":[{"key":1,"until":0}]}`, `{"parts":[{"key":1,"epoch":-1,"until":5}]}`} {
			table := emulator.New(time.Now).Table()
			_, err := table.Apply(t.Context(), []tabler.Write{{Key: key, Value: []byte(value)}})
			assert.NilError(t, err)
			i := start(t, table, 0, 0)
			i.Restore([]byte(value), 0)
			assert.Equal(t, i.registrar.Versions("m").Newest(), 0)
			i.announce(2, time.Minute, false)
			time.Sleep(time.Second)
			i.stop()
			assert.Equal(t, read(t, table).Version, uint64(2))
		}
	})
}

// restorableTable is a table with eras that can lose all of its rows.
type restorableTable struct {
	tabler.Table
	mu  sync.Mutex
	era atomic.Uint64
}

func newRestorableTable() *restorableTable {
	table := &restorableTable{}
	table.lose()
	return table
}

// lose makes the table come back from a copy without any rows.
func (r *restorableTable) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Table = emulator.New(time.Now).Table()
	r.era.Add(1)
}

func (r *restorableTable) Get(ctx context.Context, keys ...string) ([]tabler.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.Table.Get(ctx, keys...)
	for i := range rows {
		rows[i].Era = r.era.Load()
	}
	return rows, err
}

func (r *restorableTable) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if writes[0].Era != r.era.Load() {
		return nil, tabler.ErrOtherEra
	}
	return r.Table.Apply(ctx, writes)
}

// Guards against an archive that is not written again after the table has lost it, and
// against one that is written again although it is there.
func TestLostArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newRestorableTable()
		first, last := start(t, table, 0, time.Hour), start(t, table, 2, 0)
		defer last.stop()
		for _, i := range []*instance{first, last} {
			i.announce(2, time.Minute, false)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, read(t, table).Version, uint64(1))
		table.lose()
		time.Sleep(3 * time.Second)
		assert.Equal(t, read(t, table).Version, uint64(1))
		table.era.Add(1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, read(t, table).Version, uint64(1), "the row was not lost")
		first.stop()
		time.Sleep(time.Second)
		table.lose()
		time.Sleep(3 * time.Second)
		second := start(t, table, 0, 0)
		defer second.stop()
		second.Restore(read(t, table).Value, table.era.Load())
		assert.Equal(t, second.left(2), 47*time.Second)
	})
}
