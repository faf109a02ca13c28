package leaser_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriadrum/leaser"
	"wisteriadrum/synchronizer"
	"wisteriadrum/tabler"
)

// store is a table of one row that can come back from an older copy. Its versions count
// all writes, and go back with the row.
type store struct {
	row     tabler.Row
	counter uint64
	copies  []store
}

func newStore() *store { return &store{row: tabler.Row{Era: 1}} }

// keep makes a copy that restore brings back.
func (s *store) keep() {
	s.copies = append(s.copies, store{row: s.row, counter: s.counter})
}

func (s *store) restore(index int) {
	era := s.row.Era + 1
	s.row, s.counter = s.copies[index].row, s.copies[index].counter
	s.row.Era = era
	s.copies = s.copies[:index+1]
}

func (s *store) write(w tabler.Write) bool {
	s.counter++
	if s.row.Version != w.Version {
		return false
	}
	s.row.Value, s.row.Version = w.Value, s.counter
	return true
}

func (s *store) Get(context.Context, ...string) ([]tabler.Row, error) {
	return []tabler.Row{s.row}, nil
}

func (s *store) Apply(_ context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	return answerWrite(s.write(writes[0]), writes[0].Era, s.row)
}

// answerWrite returns the answer to a write that is conditional on a row of an era.
func answerWrite(written bool, era uint64, current tabler.Row) ([]tabler.Row, error) {
	switch {
	case current.Era != era:
		return nil, tabler.ErrOtherEra
	case !written:
		return []tabler.Row{current}, nil
	default:
		return nil, nil
	}
}

// call is a call of a process to the store that has not been answered.
type call struct {
	write *tabler.Write
	// written, current are the result once it was executed.
	executed, written bool
	current           tabler.Row
	remote, sentAt    time.Time
	answer            chan error
}

// process is a process whose calls are executed and answered one step at a time.
type process struct {
	model    *model
	instance int
	zero     time.Duration
	leaser   *leaser.Leaser
	estimate *synchronizer.Synchronizer
	calls    chan *call
	pending  *call
	// done gets the result of the operation in progress.
	done  chan func()
	busy  bool
	lease leaser.Lease
	// used is when this process last used the lease.
	used time.Time
}

func (p *process) now() time.Time { return p.model.now.Add(p.zero) }

func (p *process) call(ctx context.Context, c *call) error {
	c.answer, c.sentAt = make(chan error), p.now()
	select {
	case p.calls <- c:
		return <-c.answer
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *process) Get(ctx context.Context, _ ...string) ([]tabler.Row, error) {
	c := &call{}
	if err := p.call(ctx, c); err != nil {
		return nil, err
	}
	p.estimate.Observe(c.remote, c.sentAt)
	return []tabler.Row{c.current}, nil
}

func (p *process) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	c := &call{write: &writes[0]}
	if err := p.call(ctx, c); err != nil {
		return nil, err
	}
	return answerWrite(c.written, writes[0].Era, c.current)
}

var errLost = errors.New("the answer was lost")

// model runs processes of a few instances against a store, and checks their leases.
type model struct {
	*rapid.T
	ctx       context.Context
	now       time.Time
	store     *store
	processes []*process
	starts    int
	// late holds the writes that may still be executed.
	late []tabler.Write
	// owners holds the process that got each token, uses when each instance last used
	// the lease.
	owners map[uint64]*process
	newest uint64
	uses   map[int]time.Time
}

func (m *model) start(instance int) *process {
	m.starts++
	p := &process{model: m, instance: instance, zero: time.Duration(m.starts) * time.Hour, calls: make(chan *call), done: make(chan func(), 1)}
	p.estimate = synchronizer.New(p.now)
	tableNow := p.estimate.Now
	if rapid.IntRange(0, 3).Draw(m.T, "clock") == 0 {
		tableNow = noTableClock
	}
	p.leaser = leaser.New(p, "lease", fmt.Sprintf("i%d@%d", instance, m.starts), leaser.DefaultTerms(), p.now, tableNow)
	return p
}

// begin begins an operation of a process and waits for its first call.
func (m *model) begin(p *process, operation string) {
	p.busy = true
	used := p.used
	if operation == "release" {
		p.lease = leaser.Lease{} // its holder stops before
	}
	go func() {
		switch operation {
		case "release":
			if !used.IsZero() {
				used = used.Add(p.zero)
			}
			_, _ = p.leaser.Release(m.ctx, used)
			p.done <- func() {}
		case "reserve":
			lease, err := p.leaser.Reserve(m.ctx)
			p.done <- func() { m.acquired(p, lease, err) }
		default:
			lease, err := p.leaser.Acquire(m.ctx)
			p.done <- func() { m.acquired(p, lease, err) }
		}
	}()
	m.settle(p)
}

// settle waits until a process waits for an answer or its operation has ended.
func (m *model) settle(p *process) {
	select {
	case p.pending = <-p.calls:
	case finish := <-p.done:
		p.pending, p.busy = nil, false
		finish()
	}
}

func (m *model) acquired(p *process, lease leaser.Lease, err error) {
	if err != nil {
		return
	}
	owner := m.owners[lease.FencingToken]
	if owner != nil && owner != p {
		m.Fatalf("two holders have the token %d", lease.FencingToken)
	}
	m.owners[lease.FencingToken], p.lease = p, lease
	if !lease.Valid(p.now()) {
		return
	}
	if lease.FencingToken < m.newest {
		m.Fatalf("the token went down from %d to %d", m.newest, lease.FencingToken)
	}
	m.newest = lease.FencingToken
	for instance, used := range m.uses {
		if instance != p.instance && lease.PreviousUse.Before(used.Add(p.zero)) {
			m.Fatalf("the lease was used by another %s after the bound of its last use", used.Add(p.zero).Sub(lease.PreviousUse))
		}
	}
}

// execute executes the call of a process, unless that was done.
func (m *model) execute(p *process) {
	c := p.pending
	if c.executed {
		return
	}
	if c.write != nil {
		c.written = m.store.write(*c.write)
	}
	c.executed, c.current, c.remote = true, m.store.row, m.now
}

func (m *model) answer(p *process, err error) {
	p.pending.answer <- err
	m.settle(p)
}

// use lets the holder act.
func (m *model) use() {
	holders := 0
	for _, p := range m.processes {
		if !p.lease.Valid(p.now()) {
			continue
		}
		holders++
		if !p.lease.Reserved {
			m.uses[p.instance], p.used = m.now, m.now
		}
	}
	if holders > 1 {
		m.Fatalf("%d processes hold the lease", holders)
	}
}

// step does one step of the schedule.
func (m *model) step(restores bool) {
	p := m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(m.T, "process")]
	switch action := rapid.SampledFrom([]string{"begin", "begin", "answer", "answer", "answer", "execute", "lose", "late", "executeLate", "advance", "advance", "wait", "keep", "restore", "restart"}).Draw(m.T, "action"); {
	case action == "begin" && !p.busy:
		m.begin(p, rapid.SampledFrom([]string{"acquire", "acquire", "acquire", "acquire", "reserve", "release"}).Draw(m.T, "operation"))
	case action == "answer" && p.busy:
		m.execute(p)
		m.answer(p, nil)
	case action == "execute" && p.busy:
		m.execute(p)
	case action == "lose" && p.busy:
		m.answer(p, errLost)
	case action == "late" && p.busy && p.pending.write != nil && !p.pending.executed:
		m.late = append(m.late, *p.pending.write)
		m.answer(p, errLost)
	case action == "executeLate" && len(m.late) > 0:
		m.store.write(m.late[0])
		m.late = m.late[1:]
	case action == "advance":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(m.T, "millis")) * time.Millisecond)
	case action == "wait":
		m.now = m.now.Add(time.Duration(rapid.IntRange(5, 25).Draw(m.T, "seconds")) * time.Second)
	case action == "keep":
		m.store.keep()
	case action == "restore" && restores && len(m.store.copies) > 0:
		m.store.restore(rapid.IntRange(0, len(m.store.copies)-1).Draw(m.T, "copy"))
	case action == "restart":
		m.restart(p)
	}
	m.use()
}

// restart ends a process, whose last write may still be executed, and starts the next one
// of its instance.
func (m *model) restart(p *process) {
	if p.busy && p.pending.write != nil && !p.pending.executed {
		m.late = append(m.late, *p.pending.write)
	}
	for p.busy {
		p.lease = leaser.Lease{}
		p.pending.answer <- errLost
		select {
		case p.pending = <-p.calls:
		case <-p.done:
			p.busy = false
		}
	}
	for i := range m.processes {
		if m.processes[i] == p {
			m.processes[i] = m.start(p.instance)
		}
	}
}

// recover checks that a process gets the lease once nothing fails any more.
func (m *model) recover() {
	for _, p := range m.processes {
		for p.busy {
			m.execute(p)
			m.answer(p, nil)
			m.use()
		}
	}
	for _, w := range m.late {
		m.store.write(w)
	}
	p := m.start(9)
	m.processes = append(m.processes, p)
	for range 60 {
		m.begin(p, "acquire")
		for p.busy {
			m.execute(p)
			m.answer(p, nil)
		}
		m.use()
		if p.lease.Valid(p.now()) {
			return
		}
		m.now = m.now.Add(500 * time.Millisecond)
		m.use()
	}
	m.Fatalf("no process gets the lease")
}

func run(t *rapid.T, restores bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := &model{T: t, ctx: ctx, now: time.UnixMilli(5_000_000), store: newStore(), owners: map[uint64]*process{}, uses: map[int]time.Time{}}
	m.store.keep()
	for instance := range 3 {
		m.processes = append(m.processes, m.start(instance))
	}
	for range rapid.IntRange(0, 120).Draw(t, "steps") {
		m.step(restores)
	}
	m.recover()
}

// Guards against two holders, a token that is given out twice or goes down, and a bound of
// the last use before that, whichever calls fail or are executed late.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, false) })
}

// Guards against the same when the table comes back from an older copy.
func TestSchedulesWithRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, true) })
}
