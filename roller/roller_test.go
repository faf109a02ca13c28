package roller_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/emulator"
	"wisteriadrum/informer"
	"wisteriadrum/leaser"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/roller"
	"wisteriadrum/router"
	"wisteriadrum/sharer"
	"wisteriadrum/tabler"
)

const (
	loadTime  = 1100 * time.Millisecond
	quiet     = 3 * time.Second
	engineNum = 9
)

// given is an order as engines saw it.
type given struct {
	holder, engine string
	order          roller.Order
	at             time.Time
}

// fleet is a set of engines that check fences and load for a while.
type fleet struct {
	mu      sync.Mutex
	weights map[string]int
	busy    map[string]bool
	seq     map[string]int
	dark    map[string]bool
	orders  []given
	most    int
	// takes is how long an engine loads.
	takes time.Duration
}

func newFleet() *fleet {
	f := &fleet{weights: map[string]int{}, busy: map[string]bool{}, seq: map[string]int{}, dark: map[string]bool{}, takes: loadTime}
	for i := range engineNum {
		f.weights[fmt.Sprintf("e%d", i)] = 1
	}
	return f
}

type hand struct {
	*fleet
	holder string
}

func (h hand) Report(_ context.Context, engine monitor.Entry) (roller.Report, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dark[engine.Name] {
		return roller.Report{}, context.DeadlineExceeded
	}
	return roller.Report{Weights: map[string]int{"m": h.weights[engine.Name]}, Busy: h.busy[engine.Name], AcceptedOrders: h.seq[engine.Name]}, nil
}

func (h hand) Order(_ context.Context, engine monitor.Entry, order roller.Order) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, given{holder: h.holder, engine: engine.Name, order: order, at: time.Now()})
	if h.busy[engine.Name] || h.seq[engine.Name] != order.ExpectedOrders {
		return roller.ErrBusy
	}
	h.busy[engine.Name] = true
	h.seq[engine.Name]++
	loading := 0
	for _, busy := range h.busy {
		if busy {
			loading++
		}
	}
	h.most = max(h.most, loading)
	time.AfterFunc(h.takes, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.busy[engine.Name], h.weights[engine.Name] = false, order.Version
	})
	return nil
}

// given returns the number of orders.
func (f *fleet) given() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

func (f *fleet) behind(version int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := 0
	for _, has := range f.weights {
		if has < version {
			behind++
		}
	}
	return behind
}

// deaf is a packet connection that loses everything.
type deaf struct{ net.PacketConn }

func (deaf) WriteTo(data []byte, _ net.Addr) (int, error) { return len(data), nil }

// instance starts a roller named name over the engines and the table.
func instance(ctx context.Context, t *testing.T, name string, engines *fleet, table tabler.Table) (*roller.Roller, *registrar.Registrar) {
	t.Helper()
	count := counter.New(metrics.NewRegistry())
	beliefs := registrar.New()
	beliefs.PutTable(router.New(1, nil, []router.Pool{{Name: "p", Engine: &router.Engine{Slots: 8, CapacityTokens: 1000}}}, nil, nil, router.Limits{}))
	var entries []monitor.Entry
	for i := range engineNum {
		entries = append(entries, monitor.Entry{Name: fmt.Sprintf("e%d", i), Address: "10.0.0.1:80", Pool: "p", Weights: map[string]int{"m": 1}})
	}
	beliefs.PutEndpoints(entries, nil, time.Now(), time.Now())
	share := sharer.New(sharer.Peer{Name: name, Address: "10.0.0.9:1"}, 1, deaf{}, beliefs, quarantiner.New(), informer.New(nil, nil, count, zap.NewNop()), count, zap.NewNop(), time.Now)
	lease := leaser.New(table, "lease", name, leaser.Terms{LengthMillis: 1500, MarginMillis: 300}, time.Now)
	r := roller.New(name, beliefs, hand{fleet: engines, holder: name}, lease, share, quiet, count, zap.NewNop(), time.Now)
	go r.Run(ctx)
	return r, beliefs
}

// All engines get new weights soon, never so many at once that the rest can't
// carry the load, and an engine that does not answer holds up no other.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFleet()
		engines.dark["e3"] = true
		_, beliefs := instance(ctx, t, "a", engines, emulator.New(time.Now).Table())
		beliefs.AddVersion("m", 2, time.Now())
		time.Sleep(6 * time.Second)
		assert.Equal(t, engines.behind(2), 1)
		assert.Assert(t, engines.most <= engineNum/3, "%d at once", engines.most)
		engines.mu.Lock()
		engines.dark["e3"] = false
		engines.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.Equal(t, engines.behind(2), 0)
		assert.Equal(t, len(engines.orders), engineNum, "no engine is ordered twice")
	})
}

// A holder that stops hands the lease over; the next one keeps the quiet time
// after the last order of the other, has a higher fence, and no more.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines, table := newFleet(), emulator.New(time.Now).Table()
		first, beliefs := instance(ctx, t, "a", engines, table)
		beliefs.AddVersion("m", 2, time.Now())
		time.Sleep(2 * time.Second)
		first.Stop(ctx)
		before := len(engines.orders)
		_, other := instance(ctx, t, "b", engines, table)
		other.AddVersion("m", 2, time.Now())
		time.Sleep(9 * time.Second)
		assert.Equal(t, engines.behind(2), 0)
		last, next := engines.orders[before-1], engines.orders[before]
		assert.Assert(t, next.at.Sub(last.at) >= quiet)
		assert.Assert(t, next.at.Sub(last.at) < quiet+2*time.Second, "waited %s", next.at.Sub(last.at))
		assert.Assert(t, next.order.FencingToken > last.order.FencingToken)
	})
}

// slow is a table that takes a while for each call.
type slow struct{ tabler.Table }

func (s slow) Get(ctx context.Context, keys ...string) ([]tabler.Row, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Table.Get(ctx, keys...)
}

func (s slow) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Table.Apply(ctx, writes)
}

// A holder that stops while it renews the lease gives no order after that. It
// runs by the real clock: a bubble's stands still while the leaser's lock is
// waited for.
func TestStopDuringRenewal(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			engines := newFleet()
			engines.takes = 20 * time.Millisecond
			first, beliefs := instance(t.Context(), t, "a", engines, slow{emulator.New(time.Now).Table()})
			go func() { // there is always something to order
				for version := 2; t.Context().Err() == nil; version++ {
					beliefs.AddVersion("m", version, time.Now())
					time.Sleep(100 * time.Millisecond)
				}
			}()
			time.Sleep(time.Second + offset)
			first.Stop(t.Context())
			before := engines.given()
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, engines.given(), before)
		})
	}
}

// Two instances that never hear each other still take no turns: orders of one
// follow those of the other only after the quiet time.
func TestDeafInstancesTakeNoTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines, table := newFleet(), emulator.New(time.Now).Table()
		_, one := instance(ctx, t, "a", engines, table)
		_, two := instance(ctx, t, "b", engines, table)
		for version := 2; version < 5; version++ {
			one.AddVersion("m", version, time.Now())
			two.AddVersion("m", version, time.Now())
			time.Sleep(15 * time.Second)
			assert.Equal(t, engines.behind(version), 0)
		}
		for i := 1; i < len(engines.orders); i++ {
			last, next := engines.orders[i-1], engines.orders[i]
			if last.holder != next.holder {
				assert.Assert(t, next.at.Sub(last.at) >= quiet)
			}
			assert.Assert(t, next.order.FencingToken >= last.order.FencingToken)
		}
	})
}

func TestPlan(t *testing.T) {
	steps := []roller.OutdatedEngine{{Version: 2, InFlight: 0}, {Version: 1, InFlight: 5}, {Version: 1, InFlight: 2}}
	next := roller.Plan(9, 0, steps)
	assert.Equal(t, next[0], steps[2], "the oldest first, and of these the one that ends soonest")
	assert.Equal(t, len(roller.Plan(9, 3, steps)), 0)
	assert.Equal(t, len(roller.Plan(1, 0, steps)), 1, "a single engine is ordered too")
	assert.Equal(t, len(roller.Plan(60, 0, make([]roller.OutdatedEngine, 60))), 12)
}
