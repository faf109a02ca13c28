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
	"wisteriadrum/detector"
	"wisteriadrum/emulator"
	"wisteriadrum/informer"
	"wisteriadrum/leaser"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/restrainer"
	"wisteriadrum/roller"
	"wisteriadrum/router"
	"wisteriadrum/sharer"
	"wisteriadrum/tabler"
	"wisteriadrum/versioner"
)

const (
	engineLoadTime = 1100 * time.Millisecond
	orderPause     = 3 * time.Second
	engineCount    = 9
)

// receivedOrder is an order as received by an engine.
type receivedOrder struct {
	holder, engine string
	order          roller.Order
	at             time.Time
}

// fleet is a set of engines that accept orders in sequence and load weights.
type fleet struct {
	mu           sync.Mutex
	weights      map[string]int
	busy         map[string]bool
	accepted     map[string]int
	unresponsive map[string]bool
	orders       []receivedOrder
	maxLoading   int
	// loadTime is how long an engine loads weights.
	loadTime time.Duration
	// unanswered makes the engines answer no order and never execute it, or only after
	// executeAfter if that is not 0.
	unanswered   bool
	executeAfter time.Duration
	// silent makes them keep the caller of an unanswered order waiting.
	silent bool
}

func newFleet() *fleet {
	f := &fleet{weights: map[string]int{}, busy: map[string]bool{}, accepted: map[string]int{}, unresponsive: map[string]bool{}, loadTime: engineLoadTime}
	for i := range engineCount {
		f.weights[fmt.Sprintf("e%d", i)] = 1
	}
	return f
}

type engineClient struct {
	*fleet
	holder string
}

func (c engineClient) Report(_ context.Context, engine monitor.Entry) (roller.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresponsive[engine.Name] {
		return roller.Report{}, context.DeadlineExceeded
	}
	return roller.Report{Weights: map[string]int{"m": c.weights[engine.Name]}, Busy: c.busy[engine.Name], AcceptedOrders: c.accepted[engine.Name]}, nil
}

func (c engineClient) Order(ctx context.Context, engine monitor.Entry, order roller.Order) error {
	if c.silent {
		defer func() { <-ctx.Done() }()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, receivedOrder{holder: c.holder, engine: engine.Name, order: order, at: time.Now()})
	if c.unanswered {
		if c.executeAfter > 0 {
			time.AfterFunc(c.executeAfter, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_ = c.execute(engine, order)
			})
		}
		return roller.ErrOutcomeUnknown
	}
	return c.execute(engine, order)
}

// execute executes an order. The caller holds the lock.
func (c engineClient) execute(engine monitor.Entry, order roller.Order) error {
	if c.busy[engine.Name] || c.accepted[engine.Name] != order.ExpectedOrders {
		return roller.ErrBusy
	}
	c.busy[engine.Name] = true
	c.accepted[engine.Name]++
	loading := 0
	for _, busy := range c.busy {
		if busy {
			loading++
		}
	}
	c.maxLoading = max(c.maxLoading, loading)
	time.AfterFunc(c.loadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy[engine.Name], c.weights[engine.Name] = false, order.Version
	})
	return nil
}

// orderCount returns the number of received orders.
func (f *fleet) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

func (f *fleet) outdated(version int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	outdated := 0
	for _, has := range f.weights {
		if has < version {
			outdated++
		}
	}
	return outdated
}

// lossyConn is a packet connection that loses all packets.
type lossyConn struct{ net.PacketConn }

func (lossyConn) WriteTo(data []byte, _ net.Addr) (int, error) { return len(data), nil }
func (lossyConn) LocalAddr() net.Addr                          { return &net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 1} }

// packetNetwork delivers datagrams in memory.
type packetNetwork struct {
	mu    sync.Mutex
	conns map[string]*memoryConn
}

// memoryConn is a connection to a packetNetwork.
type memoryConn struct {
	net.PacketConn
	network *packetNetwork
	address *net.UDPAddr
	packets chan []byte
}

// listen returns a connection that receives the datagrams to the given port.
func (n *packetNetwork) listen(port int) *memoryConn {
	conn := &memoryConn{network: n, address: &net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: port}, packets: make(chan []byte, 1000)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[conn.address.String()] = conn
	return conn
}

func (c *memoryConn) LocalAddr() net.Addr { return c.address }

func (c *memoryConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if target := c.network.conns[to.String()]; target != nil {
		target.packets <- append([]byte(nil), data...)
	}
	return len(data), nil
}

func (c *memoryConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	data, open := <-c.packets
	if !open {
		return 0, nil, net.ErrClosed
	}
	return copy(buffer, data), c.address, nil
}

// announced returns a version announced now, with ample time until older ones go
// out of use.
func announced(number int) versioner.Version {
	return versioner.Version{Number: number, OlderUntil: time.Now().Add(time.Minute)}
}

// tableClock returns the time by the table's clock, and false if it is unknown.
type tableClock func() (time.Time, bool)

func unknownClock() (time.Time, bool) { return time.Time{}, false }
func knownClock() (time.Time, bool)   { return time.Now(), true }

// instance starts a roller for the engines, with its lease in the table.
func instance(ctx context.Context, t *testing.T, name string, engines *fleet, table tabler.Table) (*roller.Roller, *registrar.Registrar) {
	t.Helper()
	return instanceWith(ctx, t, name, engines, table, unknownClock)
}

// instanceWith starts a roller for the engines, with its lease in the table with a clock.
func instanceWith(ctx context.Context, t *testing.T, name string, engines *fleet, table tabler.Table, tableNow tableClock) (*roller.Roller, *registrar.Registrar) {
	t.Helper()
	state := newState()
	r, _ := newRoller(name, 1, lossyConn{}, state, engines, table, tableNow)
	go r.Run(ctx)
	return r, state
}

// newState returns a registrar with all engines at version 1.
func newState() *registrar.Registrar {
	state := registrar.New(time.Now)
	state.PutTable(router.New(1, nil, []router.Pool{{Name: "p", Engine: &router.Engine{Slots: 8, CapacityTokens: 1000}}}, nil, nil, router.Limits{}))
	var entries []monitor.Entry
	for i := range engineCount {
		entries = append(entries, monitor.Entry{Name: fmt.Sprintf("e%d", i), Address: "10.0.0.1:80", Pool: "p", Weights: map[string]int{"m": 1}})
	}
	state.PutEndpoints(entries, nil, time.Now(), time.Now())
	return state
}

// newRoller returns a roller with its lease in the table, and its sharer.
func newRoller(name string, incarnation int64, conn net.PacketConn, state *registrar.Registrar, engines *fleet, table tabler.Table, tableNow tableClock) (*roller.Roller, *sharer.Sharer) {
	count := counter.New(metrics.NewRegistry())
	self := sharer.Peer{Name: name, DataCentre: name, Address: conn.LocalAddr().String()}
	noClock := func() (time.Time, bool) { return time.Time{}, false }
	stateSharer := sharer.New(self, incarnation, 500, conn, state, quarantiner.New(), detector.New(), informer.New(nil, nil, noClock, noClock, count, zap.NewNop()), count, zap.NewNop(), time.Now)
	lease := leaser.New(table, "lease", fmt.Sprintf("%s@%d", name, incarnation), leaser.Terms{LengthMillis: 1500, MarginMillis: 300}, time.Now, tableNow)
	tableEra := func() uint64 { return 0 }
	if restorable, ok := table.(*restorableTable); ok {
		tableEra = restorable.currentEra
	}
	return roller.New(name, state, engineClient{fleet: engines, holder: name}, lease, tableEra, stateSharer, orderPause, count, zap.NewNop(), time.Now), stateSharer
}

// Guards against a rollout that takes too many engines out of service at once,
// and against an unresponsive engine that delays the others.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFleet()
		engines.unresponsive["e3"] = true
		_, state := instance(ctx, t, "a", engines, emulator.New(time.Now).Table())
		state.AddVersion("m", announced(2))
		time.Sleep(6 * time.Second)
		assert.Equal(t, engines.outdated(2), 1)
		assert.Assert(t, engines.maxLoading <= engineCount/3, "%d engines loaded at once", engines.maxLoading)
		engines.mu.Lock()
		engines.unresponsive["e3"] = false
		engines.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.Equal(t, engines.outdated(2), 0)
		assert.Equal(t, len(engines.orders), engineCount, "an engine received two orders")
	})
}

// Guards against a holder that does not release the lease when it stops, and
// against a successor that sends its first order before the pause has passed,
// long after it, or without a higher fencing token.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines, table := newFleet(), emulator.New(time.Now).Table()
		first, state := instance(ctx, t, "a", engines, table)
		state.AddVersion("m", announced(2))
		time.Sleep(2 * time.Second)
		first.Stop(ctx)
		before := len(engines.orders)
		_, secondState := instance(ctx, t, "b", engines, table)
		secondState.AddVersion("m", announced(2))
		time.Sleep(9 * time.Second)
		assert.Equal(t, engines.outdated(2), 0)
		last, next := engines.orders[before-1], engines.orders[before]
		assert.Assert(t, next.at.Sub(last.at) >= orderPause)
		assert.Assert(t, next.at.Sub(last.at) < orderPause+2*time.Second, "waited %s", next.at.Sub(last.at))
		assert.Assert(t, next.order.FencingToken > last.order.FencingToken)
	})
}

// Guards against engines that execute no orders and are ordered again and again before
// the others are for the first time.
func TestUnansweredOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFleet()
		engines.unanswered = true
		_, state := instance(ctx, t, "a", engines, emulator.New(time.Now).Table())
		state.AddVersion("m", announced(2))
		time.Sleep(30 * time.Second)
		engines.mu.Lock()
		defer engines.mu.Unlock()
		ordered := map[string]bool{}
		for _, order := range engines.orders[:engineCount+1] { // two are ordered at once
			ordered[order.engine] = true
		}
		assert.Equal(t, len(ordered), engineCount)
	})
}

// Guards against orders that are executed late and keep all other engines waiting, and
// against an engine that executes an order twice since that is sent again.
func TestOrdersExecutedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFleet()
		engines.unanswered, engines.executeAfter = true, 5*time.Second
		_, state := instance(ctx, t, "a", engines, emulator.New(time.Now).Table())
		state.AddVersion("m", announced(2))
		time.Sleep(8 * time.Second)
		assert.Equal(t, engines.outdated(2), 0)
		time.Sleep(20 * time.Second)
		engines.mu.Lock()
		defer engines.mu.Unlock()
		for name, accepted := range engines.accepted {
			assert.Equal(t, accepted, 1, name)
		}
	})
}

// Guards against engines that are taken out of service, and get no order again, although
// they do not execute the orders that they leave unanswered.
func TestUnansweredOrdersAreResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFleet()
		engines.unanswered, engines.silent = true, true
		_, state := instance(ctx, t, "a", engines, emulator.New(time.Now).Table())
		state.AddVersion("m", announced(2))
		time.Sleep(3500 * time.Millisecond) // all have got one
		for name, endpoint := range state.Fleet().All() {
			assert.Assert(t, !endpoint.View("m", time.Now()).Loading, name)
		}
		time.Sleep(2500 * time.Millisecond)
		engines.mu.Lock()
		defer engines.mu.Unlock()
		orders := map[string]int{}
		for _, order := range engines.orders {
			orders[order.engine]++
		}
		assert.Equal(t, len(orders), engineCount)
		for name, count := range orders {
			assert.Assert(t, count > 1, name)
		}
	})
}

// Guards against orders to an engine that wants no calls for a time, and against an engine
// that gets none afterwards.
func TestOrdersToWaitingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engines := newFleet()
		_, state := instance(ctx, t, "a", engines, emulator.New(time.Now).Table())
		var waiting *monitor.Monitor
		for _, waiting = range state.Fleet().All() {
			break
		}
		waitUntil := time.Now().Add(20 * time.Second)
		waiting.Hear(func(said restrainer.Restrainer) restrainer.Restrainer { return said.WithWait(waitUntil) })
		state.AddVersion("m", announced(2))
		time.Sleep(19 * time.Second)
		assert.Equal(t, waiting.Weights("m"), 1)
		time.Sleep(10 * time.Second)
		for name, engine := range state.Fleet().All() {
			assert.Equal(t, engine.Weights("m"), 2, name)
		}
	})
}

// Guards against weights that are never rolled out while each holder of the lease is lost
// soon: one instance that is restarted, or others in turn.
func TestHoldersLostInSeries(t *testing.T) {
	for name, test := range map[string]struct {
		holders []string
		// maxOutdated is the number of engines with old weights at the end: the first
		// holder orders two, and of several the last one that has no time for all.
		maxOutdated int
	}{
		"one instance": {[]string{"a", "a", "a"}, 0},
		"in turn":      {[]string{"a", "b", "c"}, engineCount - 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines, table := newFleet(), emulator.New(time.Now).Table()
				for incarnation, name := range test.holders {
					ctx, cancel := context.WithCancel(t.Context())
					state := newState()
					r, _ := newRoller(name, int64(incarnation), lossyConn{}, state, engines, table, knownClock)
					state.AddVersion("m", announced(2))
					go r.Run(ctx)
					lostAfter := 2700 * time.Millisecond // before the pause after the first holder has passed
					if incarnation == 0 {
						lostAfter = 100 * time.Millisecond
					}
					time.Sleep(lostAfter)
					cancel()
				}
				time.Sleep(time.Second) // until the last updates have ended
				assert.Assert(t, engines.outdated(2) <= test.maxOutdated, "%d engines have old weights", engines.outdated(2))
			})
		})
	}
}

// Guards against a lease that goes to any of the instances when its holder stops:
// it must go to the one that started last, since a restart in turn would stop the
// others soon, and each handover costs a pause.
func TestSuccessorStartedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, table := newFleet(), emulator.New(time.Now).Table()
		engines.loadTime = 20 * time.Millisecond
		names := []string{"a", "b", "c", "d", "e"}
		network, rollers, sharers, states := connect(ctx, engines, table, names...)
		go keepOutdated(ctx, states)
		for last := len(names) - 1; last > 1; last-- {
			time.Sleep(8 * time.Second)
			engines.mu.Lock()
			holder := engines.orders[len(engines.orders)-1].holder
			engines.mu.Unlock()
			assert.Equal(t, holder, names[last])
			sharers[last].AnnounceLeaving(false)
			rollers[last].Retire()
			time.Sleep(2 * time.Second) // the holder goes on until its requests have ended
			rollers[last].Stop(ctx)
			sharers[last].AnnounceLeaving(true)
		}
		cancel()
		network.end()
	})
}

// Guards against an instance that still announces that it leads, as one does that was
// suspended while it held the lease: the others must not wait for it.
func TestSuspendedHolderDoesNotStopOrders(t *testing.T) {
	retire := func(_ context.Context, r *roller.Roller) { r.Retire() }
	stop := func(ctx context.Context, r *roller.Roller) { r.Stop(ctx) }
	for _, test := range []struct {
		name string
		// prepare keeps the instance from acquiring the lease.
		prepare func(context.Context, *roller.Roller)
		// before is how long it announces that it leads before there are orders to send.
		before time.Duration
	}{
		{"while another leads", retire, 0},
		{"while another leads, all the time", stop, 0},
		{"while nobody leads", retire, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				engines := newFleet()
				network, rollers, sharers, states := connect(ctx, engines, emulator.New(time.Now).Table(), "a", "b")
				test.prepare(ctx, rollers[0])
				sharers[0].SetLeading(true)
				time.Sleep(test.before)
				go keepOutdated(ctx, states)
				for range 4 {
					before := engines.orderCount()
					time.Sleep(3 * time.Second)
					assert.Check(t, engines.orderCount() > before)
				}
				cancel()
				network.end()
			})
		})
	}
}

// connect starts instances in one network and returns when they have received each
// other's messages.
func connect(ctx context.Context, engines *fleet, table tabler.Table, names ...string) (network *packetNetwork, rollers []*roller.Roller, sharers []*sharer.Sharer, states []*registrar.Registrar) {
	network = &packetNetwork{conns: map[string]*memoryConn{}}
	for i, name := range names {
		conn := network.listen(i + 1)
		state := newState()
		roll, share := newRoller(name, int64(i+1), conn, state, engines, table, unknownClock)
		for j, peer := range names {
			share.AddPeers([]sharer.Peer{{Name: peer, DataCentre: peer, Address: fmt.Sprintf("10.0.0.9:%d", j+1)}})
		}
		go func() { _ = share.Listen() }()
		go share.Run(ctx)
		go roll.Run(ctx)
		rollers, sharers, states = append(rollers, roll), append(sharers, share), append(states, state)
	}
	time.Sleep(2 * time.Second)
	return network, rollers, sharers, states
}

// keepOutdated announces newer versions until ctx ends, so that the engines are always
// outdated.
func keepOutdated(ctx context.Context, states []*registrar.Registrar) {
	for version := 2; ctx.Err() == nil; version++ {
		for _, state := range states {
			state.AddVersion("m", announced(version))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// end closes the connections after the updates in progress have ended.
func (n *packetNetwork) end() {
	time.Sleep(5 * time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		close(conn.packets)
	}
	clear(n.conns)
}

// slowTable is a table that delays each call.
type slowTable struct{ tabler.Table }

func (s slowTable) Get(ctx context.Context, keys ...string) ([]tabler.Row, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Table.Get(ctx, keys...)
}

func (s slowTable) Apply(ctx context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Table.Apply(ctx, writes)
}

// Guards against orders after Stop when it is called during a renewal of the
// lease. It uses the real clock: the clock of a synctest bubble does not advance
// while a goroutine waits for the leaser's mutex.
func TestStopDuringRenewal(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			engines := newFleet()
			engines.loadTime = 20 * time.Millisecond
			first, state := instance(t.Context(), t, "a", engines, slowTable{emulator.New(time.Now).Table()})
			go func() { // keeps the engines outdated
				for version := 2; t.Context().Err() == nil; version++ {
					state.AddVersion("m", announced(version))
					time.Sleep(100 * time.Millisecond)
				}
			}()
			time.Sleep(time.Second + offset)
			first.Stop(t.Context())
			before := engines.orderCount()
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, engines.orderCount(), before)
		})
	}
}

// Guards against interleaved orders of two instances that receive no messages
// of each other: the lease alone must keep the pause between them.
func TestUnconnectedInstancesKeepPause(t *testing.T) {
	for name, tableNow := range map[string]tableClock{"unknown clock": unknownClock, "known clock": knownClock} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				engines, table := newFleet(), emulator.New(time.Now).Table()
				_, firstState := instanceWith(ctx, t, "a", engines, table, tableNow)
				_, secondState := instanceWith(ctx, t, "b", engines, table, tableNow)
				for version := 2; version < 5; version++ {
					firstState.AddVersion("m", announced(version))
					secondState.AddVersion("m", announced(version))
					time.Sleep(15 * time.Second)
					assert.Equal(t, engines.outdated(version), 0)
				}
				for i := 1; i < len(engines.orders); i++ {
					last, next := engines.orders[i-1], engines.orders[i]
					if last.holder != next.holder {
						assert.Assert(t, next.at.Sub(last.at) >= orderPause)
					}
					assert.Assert(t, next.order.FencingToken >= last.order.FencingToken)
				}
			})
		})
	}
}

// Guards against a successor that orders before the pause has passed since the last order
// of an instance that crashed, if it knows the table's clock, or that waits for the
// pause when it has passed before its start.
func TestTakeoverByTheTablesClock(t *testing.T) {
	for _, startAfter := range []time.Duration{0, time.Second, 2 * time.Second, 6 * time.Second} {
		t.Run(startAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				engines, table := newFleet(), emulator.New(time.Now).Table()
				crashing, crash := context.WithCancel(ctx)
				defer crash()
				_, state := instanceWith(crashing, t, "a", engines, table, knownClock)
				state.AddVersion("m", announced(2))
				time.Sleep(1500 * time.Millisecond)
				crash()
				crashed := time.Now()
				synctest.Wait()
				before := engines.orderCount()
				assert.Assert(t, before > 0)
				time.Sleep(startAfter)
				started := time.Now()
				_, state = instanceWith(ctx, t, "b", engines, table, knownClock)
				state.AddVersion("m", announced(2))
				time.Sleep(12 * time.Second)
				assert.Equal(t, engines.outdated(2), 0)
				last, next := engines.orders[before-1], engines.orders[before]
				assert.Equal(t, last.holder, "a")
				assert.Equal(t, next.holder, "b")
				assert.Assert(t, next.order.FencingToken > last.order.FencingToken)
				assert.Assert(t, next.at.Sub(last.at) >= orderPause, "waited %s", next.at.Sub(last.at))
				due := crashed.Add(1800*time.Millisecond + orderPause) // the lease less its margin, for late orders two margins
				if started.After(due) {
					due = started
				}
				// two rounds and an announcement: in the first, all engines may have the version
				assert.Assert(t, next.at.Before(due.Add(300*time.Millisecond)), "ordered %s after the pause", next.at.Sub(due))
			})
		})
	}
}

func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	outdated := []roller.OutdatedEngine{{Version: 2, InFlight: 0}, {Version: 1, InFlight: 5}, {Version: 1, InFlight: 2}}
	plan := func(engines, updating, updateMillis int, left time.Duration, candidates []roller.OutdatedEngine) []roller.OutdatedEngine {
		rollout := roller.Rollout{Engines: engines, Updating: updating, Outdated: len(candidates) + updating, Candidates: candidates, OlderUntil: now.Add(left), UpdateMillis: float64(updateMillis)}
		return roller.Plan(rollout, now)
	}
	next := plan(9, 0, 0, time.Minute, outdated)
	assert.Equal(t, next[0], outdated[2], "the oldest weights come first, then the fewest requests in flight")
	outdated[2].Failures = 1
	assert.Equal(t, plan(9, 0, 0, time.Minute, outdated)[0], outdated[1], "engines that failed come last")
	assert.Equal(t, len(plan(9, 3, 0, time.Minute, outdated)), 0)
	assert.Equal(t, len(plan(1, 0, 0, time.Minute, outdated)), 1, "a single engine must be ordered")
	all := make([]roller.OutdatedEngine, 60)
	assert.Equal(t, len(plan(60, 0, 0, time.Minute, all)), 12)
	assert.Equal(t, len(plan(60, 0, 1000, time.Minute, all)), 12)
	assert.Equal(t, len(plan(60, 0, 1000, 8*time.Second, all)), 15, "half of the time left must suffice")
	assert.Equal(t, len(plan(60, 0, 1000, time.Second, all)), 24)
	assert.Equal(t, len(plan(60, 0, 1000, -time.Second, all)), 24, "no more than twice the usual number")
}
