package divider_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriadrum/budgeter"
	"wisteriadrum/divider"
	"wisteriadrum/enroller"
)

const (
	contact     = 3 * time.Second
	extraPerAll = 24
	window      = 10 * time.Second
	peerTimeout = 2 * time.Second
)

// process is one run of an instance, which sends all retries that it may.
type process struct {
	name    string
	apart   bool // on the smaller side of a partition
	enroll  *enroller.Enroller
	divide  *divider.Divider
	budget  *budgeter.Budget
	heardAt map[string]time.Time
}

// fleet is a set of processes that exchange messages.
type fleet struct {
	now     time.Time
	rows    []string
	running map[string]*process
	retries []time.Time
}

// start starts an instance, or starts it again.
func (f *fleet) start(name string, apart, firstStart bool) {
	delay := contact
	if !firstStart {
		delay += window
	}
	p := &process{name: name, apart: apart, enroll: enroller.New("d"), divide: divider.New(delay), heardAt: map[string]time.Time{}}
	p.budget = budgeter.New(budgeter.Rule{ExtraRetries: extraPerAll, WindowMillis: int(window.Milliseconds())}, 0, func() time.Time { return f.now })
	if !slices.Contains(f.rows, name) {
		f.rows = append(f.rows, name)
	}
	f.running[name] = p
	for _, row := range f.rows {
		if row != name {
			p.enroll.List(row, "d", f.now)
		}
	}
}

// exchange delivers a message of each process to all that it reaches.
func (f *fleet) exchange() {
	for _, from := range f.running {
		for _, to := range f.running {
			if from != to && from.apart == to.apart {
				to.enroll.Hear(from.name, "d", from.enroll.Local(f.now), f.now)
				to.heardAt[from.name] = f.now
			}
		}
	}
}

// spend lets each process send all retries that its share allows.
func (f *fleet) spend() {
	for _, p := range f.running {
		live := 1
		for _, at := range p.heardAt {
			if f.now.Sub(at) < peerTimeout {
				live++
			}
		}
		p.budget.SetShare(p.divide.Share(p.enroll.Total(f.now), live, f.now))
		for p.budget.TryRetry() {
			f.retries = append(f.retries, f.now)
		}
	}
}

// retriesInWindow returns the number of retries in the window that ends now.
func (f *fleet) retriesInWindow() int {
	count := 0
	for _, at := range f.retries {
		if f.now.Sub(at) < window {
			count++
		}
	}
	return count
}

// In each window, all instances together must not send more extra retries than the rule
// allows, while they start, start again, are cut off or vanish, or one is added during a
// partition. A fleet at rest must be able to send them all.
func TestSharesStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(1000, 0), running: map[string]*process{}}
		size := rapid.SampledFrom([]int{1, 2, 3, 4, 6}).Draw(t, "size")
		for n := range size {
			f.start(strconv.Itoa(n), false, true)
		}
		tick := func(seconds int) {
			for range seconds {
				f.now = f.now.Add(time.Second)
				f.exchange()
				f.spend()
				assert.Assert(t, f.retriesInWindow() <= extraPerAll, "%d retries in a window", f.retriesInWindow())
			}
		}
		tick(5)
		assert.Equal(t, f.retriesInWindow(), extraPerAll/size*size)
		joined := false
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			name := rapid.SampledFrom(f.rows).Draw(t, "name")
			switch rapid.SampledFrom([]string{"cut", "heal", "restart", "vanish", "join"}).Draw(t, "event") {
			case "cut":
				for _, row := range f.rows {
					if p := f.running[row]; p != nil {
						p.apart = rapid.Bool().Draw(t, "apart")
					}
				}
			case "heal":
				for _, p := range f.running {
					p.apart = false
				}
				joined = false
			case "restart":
				f.start(name, rapid.Bool().Draw(t, "apart"), false)
			case "vanish":
				delete(f.running, name)
			case "join":
				if !joined {
					f.start(strconv.Itoa(len(f.rows)), rapid.Bool().Draw(t, "apart"), false)
				}
				joined = true
			}
			tick(rapid.IntRange(1, 30).Draw(t, "seconds"))
		}
	})
}
