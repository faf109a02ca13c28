package sharer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/divider"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/router"
	"wisteriadrum/sharer"
	"wisteriadrum/versioner"
)

// packetNetwork delivers datagrams in memory and counts them.
type packetNetwork struct {
	mu             sync.Mutex
	conns          map[string]*memoryConn
	packets, bytes int
	// receiveTime is how long an instance takes for a datagram, and maxQueued how
	// many wait for it; more are lost. Zero values mean no limit.
	receiveTime time.Duration
	maxQueued   int
	// cutOff holds the addresses that exchange datagrams only with each other.
	cutOff map[string]bool
}

// memoryConn is a connection to a packetNetwork.
type memoryConn struct {
	net.PacketConn
	network *packetNetwork
	address *net.UDPAddr
	queue   chan []byte
}

// listen returns a connection with a number as its port.
func (n *packetNetwork) listen(port int) *memoryConn {
	conn := &memoryConn{network: n, address: &net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: port}, queue: make(chan []byte, 10000)}
	n.conns[conn.address.String()] = conn
	return conn
}

func (c *memoryConn) LocalAddr() net.Addr { return c.address }

func (c *memoryConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.packets++
	c.network.bytes += len(data)
	target := c.network.conns[to.String()]
	if c.network.cutOff[c.address.String()] != c.network.cutOff[to.String()] {
		return len(data), nil
	}
	if target != nil && (c.network.maxQueued == 0 || len(target.queue) < c.network.maxQueued) {
		target.queue <- append([]byte(nil), data...)
	}
	return len(data), nil
}

func (c *memoryConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	data, open := <-c.queue
	if !open {
		return 0, nil, net.ErrClosed
	}
	time.Sleep(c.network.receiveTime)
	return copy(buffer, data), c.address, nil
}

// fleet is a set of sharers on a packetNetwork.
type fleet struct {
	network   *packetNetwork
	conns     []*memoryConn
	states    []*registrar.Registrar
	detectors []*detector.Detector
	sharers   []*sharer.Sharer
	all       []sharer.Peer
	logs      map[string]*hubLog
	dividers  []*divider.Divider
	ctx       context.Context
	stop      context.CancelFunc

	mu    sync.Mutex
	peers []sharer.Peer // those that were started
}

const (
	fleetDataCentres = 6
	fleetEngines     = 79
)

// newFleet starts sharers in several data centres that know the same engines and
// each other.
func newFleet(size int) *fleet {
	f := newStoppedFleet(size)
	for n := range size {
		f.start(n)
	}
	for _, share := range f.sharers {
		share.AddPeers(f.all)
	}
	return f
}

// newStoppedFleet returns a fleet of which no sharer runs.
func newStoppedFleet(size int) *fleet {
	f := &fleet{network: &packetNetwork{conns: map[string]*memoryConn{}}, logs: map[string]*hubLog{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	dataCentre := func(n int) string { return fmt.Sprintf("d%d", n%fleetDataCentres) }
	var entries []monitor.Entry
	for e := range fleetEngines {
		entries = append(entries, monitor.Entry{Name: fmt.Sprintf("e%d", e), Address: "10.0.0.1:80", Pool: "p", DataCentre: dataCentre(e), Weights: map[string]int{"m": 1}})
	}
	for n := range size {
		conn := f.network.listen(n + 1)
		rate := 20
		if n < 3*fleetDataCentres {
			rate = 200
		}
		peer := sharer.Peer{Name: fmt.Sprintf("n%d", n), DataCentre: dataCentre(n), Address: conn.address.String(), Rate: rate}
		state := registrar.New(time.Now)
		state.PutTable(router.New(1, nil, []router.Pool{{Name: "p", Engine: &router.Engine{CapacityTokens: 100000}}}, nil, nil, router.Limits{}))
		state.PutEndpoints(entries, nil, time.Now(), time.Now())
		state.AddVersion("m", versioner.Version{Number: 2, OlderUntil: time.Now().Add(time.Minute)})
		log := &hubLog{}
		detect := detector.New()
		f.detectors = append(f.detectors, detect)
		share := sharer.New(peer, 1, 500, conn, state, quarantiner.New(), detect, &tables{}, counter.New(metrics.NewRegistry()), zap.New(log), time.Now)
		f.conns, f.logs[peer.Name] = append(f.conns, conn), log
		f.states, f.sharers, f.all = append(f.states, state), append(f.sharers, share), append(f.all, peer)
	}
	return f
}

// start starts a sharer.
func (f *fleet) start(n int) {
	go func() { _ = f.sharers[n].Listen() }()
	go f.sharers[n].Run(f.ctx)
}

// discover lets a sharer discover those that did so before.
func (f *fleet) discover(n int) {
	f.mu.Lock()
	f.peers = append(f.peers, f.all[n])
	known := slices.Clone(f.peers)
	for i := range known {
		known[i].Rate = 0 // the rows of instances do not contain it
	}
	f.mu.Unlock()
	f.sharers[n].AddPeers(known)
}

// cut separates the instances for which apart returns true from the others.
func (f *fleet) cut(apart func(n int) bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.cutOff = map[string]bool{}
	for n, peer := range f.all {
		f.network.cutOff[peer.Address] = apart(n)
	}
}

// shares returns the sum of the shares that the instances take of an allowance of the whole
// fleet.
func (f *fleet) shares() float64 {
	sum := 0.0
	for n := range f.dividers {
		sum += f.dividers[n].Share(f.sharers[n].Members(), f.sharers[n].LiveCount(), time.Now())
	}
	return sum
}

// hubs returns the number of hubs by data centre.
func (f *fleet) hubs() map[string]int {
	hubs := map[string]int{}
	for _, peer := range f.all {
		if f.logs[peer.Name].hub.Load() {
			hubs[peer.DataCentre]++
		}
	}
	return hubs
}

// hubLog is a log core that follows the role of an instance.
type hubLog struct {
	zapcore.Core
	hub     atomic.Bool
	changes atomic.Int64
}

func (l *hubLog) Enabled(zapcore.Level) bool { return true }

func (l *hubLog) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(entry, l)
}

func (l *hubLog) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if entry.Message != "hub role changed" {
		return nil
	}
	l.changes.Add(1)
	for _, field := range fields {
		if field.Key == "hub" {
			l.hub.Store(field.Integer == 1)
		}
	}
	return nil
}

// engine returns an engine as an instance sees it.
func (f *fleet) engine(instance, engine int) *monitor.Monitor {
	return f.states[instance].Fleet().All()[fmt.Sprintf("e%d", engine)]
}

// count returns the datagrams and bytes that all instances send in the given time.
func (f *fleet) count(duration time.Duration) (packets, bytes int) {
	f.network.mu.Lock()
	f.network.packets, f.network.bytes = 0, 0
	f.network.mu.Unlock()
	time.Sleep(duration)
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.packets, f.network.bytes
}

// end stops the sharers.
func (f *fleet) end() {
	f.stop()
	time.Sleep(5 * time.Second)
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, conn := range f.network.conns {
		close(conn.queue)
	}
	clear(f.network.conns)
}

// Guards against a storm of messages while weights are rolled out: each
// announcement reaches each instance about once, also while heartbeats repeat it.
func TestAnnouncementsAreForwardedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, announcements = 60, 20
		f := newFleet(size)
		defer f.end()
		time.Sleep(10 * time.Second) // until the hubs are decided on
		atRest, _ := f.count(4 * time.Second)
		go func() {
			for e := range announcements {
				f.engine(0, e).SetWeights("m", 2)
				f.sharers[0].AnnounceWeights(f.engine(0, e), "m", 2, 0)
				time.Sleep(50 * time.Millisecond)
			}
		}()
		during, _ := f.count(4 * time.Second)
		for n := range size {
			for e := range announcements {
				assert.Equal(t, f.engine(n, e).Weights("m"), 2)
			}
		}
		assert.Assert(t, during-atRest <= 2*size*announcements, "%d datagrams for %d announcements to %d instances", during-atRest, announcements, size)
	})
}

// Guards against a flood of messages when all instances of a large fleet start at one
// moment: each must soon report to a hub, without receiving a message of every other
// instance again and again, and without changing its role over and over.
func TestLargeFleetStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 195
		f := newStoppedFleet(size)
		defer f.end()
		f.network.receiveTime, f.network.maxQueued = 2*time.Millisecond, 100
		for n := range size {
			time.AfterFunc(rand.N(50*time.Millisecond), func() { f.start(n) })
			time.AfterFunc(100*time.Millisecond+rand.N(200*time.Millisecond), func() { f.discover(n) })
		}
		packets, _ := f.count(3 * time.Second)
		perInstance := packets / size
		assert.Assert(t, perInstance <= 100, "%d datagrams received by each instance", perInstance)
		settled := 0
		for _, share := range f.sharers {
			if !share.AwaitsHub() {
				settled++
			}
		}
		assert.Equal(t, settled, size)
		hubs := f.hubs()
		for dataCentre, count := range hubs {
			assert.Assert(t, count >= 2 && count <= 5, "%d hubs in %s", count, dataCentre)
		}
		assert.Equal(t, len(hubs), fleetDataCentres)
		time.Sleep(7 * time.Second)
		changes := 0
		for _, log := range f.logs {
			changes += int(log.changes.Load())
		}
		assert.Assert(t, changes <= 2*size, "%d changes of roles", changes)
	})
}

// Guards against old loads: a request must be known to the instances of the whole
// fleet soon after it was sent, also while all engines are loaded, since all of them
// would otherwise choose the same engine.
func TestLoadsAreFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, maxDelay = 60, 150 * time.Millisecond
		f := newFleet(size)
		defer f.end()
		time.Sleep(10 * time.Second) // until the hubs are decided on
		ctx, cancel := context.WithCancel(f.ctx)
		defer cancel()
		for n := range size { // keeps loads changing on all engines
			go func() {
				for ctx.Err() == nil {
					engine := f.engine(n, 1+rand.IntN(fleetEngines-1))
					load := monitor.Load{Requests: 1, KVTokens: 640}
					engine.Begin(load, time.Now())
					time.Sleep(100*time.Millisecond + rand.N(100*time.Millisecond))
					engine.End(load)
				}
			}()
		}
		for range 10 {
			time.Sleep(time.Second)
			from := rand.IntN(size)
			load := monitor.Load{Requests: 1, KVTokens: 640}
			f.engine(from, 0).Begin(load, time.Now())
			time.Sleep(maxDelay)
			for n := range size {
				assert.Equal(t, f.engine(n, 0).View("m", time.Now()).Load, load, "instance %d does not know the load of %d after %s", n, from, maxDelay)
			}
			f.engine(from, 0).End(load)
			time.Sleep(maxDelay)
			for n := range size {
				assert.Equal(t, f.engine(n, 0).View("m", time.Now()).Load, monitor.Load{}, "instance %d does not know the end of the load of %d after %s", n, from, maxDelay)
			}
		}
		_, bytes := f.count(4 * time.Second)
		tenthOfLink := 20 * 1000000 / 8 / 10
		assert.Assert(t, bytes/size/4 <= tenthOfLink, "%d bytes a second of each instance", bytes/size/4)
	})
}

// Guards against a part of prompts that crashes more endpoints through other instances:
// all must know soon what one of them knows, and forward it once.
func TestSuspectsAreKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, maxDelay = 60, 150 * time.Millisecond
		f := newFleet(size)
		defer f.end()
		time.Sleep(10 * time.Second) // until the hubs are decided on
		atRest, _ := f.count(4 * time.Second)
		suspect := detector.Suspect{Part: 9, Name: "p", Level: 3, Refused: true, Until: time.Now().Add(time.Minute)}
		f.detectors[size-1].Merge([]detector.Suspect{suspect}, time.Now())
		f.sharers[size-1].AnnounceSuspects([]detector.Suspect{suspect})
		time.Sleep(maxDelay)
		for n := range size {
			assert.Equal(t, len(f.detectors[n].Refused(time.Now())), 1, "instance %d does not know the part after %s", n, maxDelay)
		}
		later, _ := f.count(4 * time.Second)
		assert.Assert(t, later <= 2*atRest, "%d datagrams, %d before", later, atRest)
	})
}

// Guards against shares of a fleet-wide allowance that add up to more than the whole while
// instances discover each other, are cut off or are gone.
func TestSharesAddUpToOne(t *testing.T) {
	for _, size := range []int{7, 30} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkShares(t, size) })
		})
	}
}

// checkShares checks the shares of a fleet that starts, is cut apart, grows and shrinks.
func checkShares(t *testing.T, size int) {
	f := newStoppedFleet(size + 1)
	defer f.end()
	check := func(what string, least float64, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			sum := f.shares()
			assert.Assert(t, sum <= 1+1e-9, "%s: the shares add up to %.3f", what, sum)
		}
		assert.Assert(t, f.shares() >= least, "%s: the shares add up to %.3f", what, f.shares())
	}
	const contact, window = 3 * time.Second, 10 * time.Second
	start := func(n int, delay time.Duration) {
		f.dividers = append(f.dividers, divider.New(delay))
		f.start(n)
		time.AfterFunc(rand.N(time.Second), func() { f.discover(n) })
	}
	for n := range size {
		start(n, contact)
	}
	check("start", 0.999, 10*time.Second)
	f.cut(func(n int) bool { return n%fleetDataCentres < 2 })
	check("cut", 0.8, 40*time.Second)
	f.cut(func(int) bool { return false })
	check("healed", 0.999, 10*time.Second)
	f.cut(func(n int) bool { return n == 0 })
	check("one cut off", 0.8, 10*time.Second)
	f.cut(func(int) bool { return false })
	check("healed again", 0.999, 10*time.Second)
	start(size, contact+window)
	check("one added", 0.999, 20*time.Second)
	f.sharers[1].AnnounceLeaving(true)
	check("one stopped", 0.999, 10*time.Second)
}
