package sharer_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriadrum/counter"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/router"
	"wisteriadrum/sharer"
)

// one is an instance's exchange with what it believes.
type one struct {
	share   *sharer.Sharer
	beliefs *registrar.Registrar
	ward    *quarantiner.Registry
	address string
	conn    net.PacketConn
	tables  tables
	count   *counter.Counter
	stop    func()
}

// tables are tables that count who says that they are behind.
type tables struct {
	version uint64
	behind  atomic.Int64
}

func (t *tables) Versions() []uint64 { return []uint64{t.version} }
func (t *tables) CatchUpFrom(string) { t.behind.Add(1) }

func newOne(t *testing.T, name string, version int64) *one {
	t.Helper()
	return newOneIn(t, name, "", version)
}

func newOneIn(t *testing.T, name, dataCentre string, version int64) *one {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	o := &one{beliefs: registrar.New(), ward: quarantiner.New(), address: conn.LocalAddr().String(), conn: conn, count: counter.New(metrics.NewRegistry())}
	engine := &router.Engine{CapacityTokens: 1000}
	o.beliefs.PutTable(router.New(version, nil, []router.Pool{{Name: "p", Engine: engine}}, nil, nil, router.Limits{}))
	o.beliefs.PutEndpoints([]monitor.Entry{{Name: "e", Address: "10.0.0.1:80", Pool: "p", Weights: map[string]int{"m": 1}}}, nil, time.Now(), time.Now())
	o.beliefs.AddVersion("m", 1, time.Now())
	self := sharer.Peer{Name: name, DataCentre: dataCentre, Address: o.address}
	o.share = sharer.New(self, 1, conn, o.beliefs, o.ward, &o.tables, o.count, zap.NewNop(), time.Now)
	go func() { _ = o.share.Listen() }()
	ctx, cancel := context.WithCancel(t.Context())
	go o.share.Run(ctx)
	o.stop = func() {
		cancel()
		_ = conn.Close()
	}
	t.Cleanup(o.stop)
	return o
}

func (o *one) engine() *monitor.Monitor { return o.beliefs.Fleet().All()["e"] }

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// What one instance knows, the other knows soon: load, kept parts, versions,
// crashes, and that it is there.
func TestInstancesTellEachOther(t *testing.T) {
	a, b := newOne(t, "a", 1), newOne(t, "b", 1)
	a.share.AddPeers([]sharer.Peer{{Name: "b", Address: b.address}, {Name: "gone", Address: "127.0.0.1:9"}})
	eventually(t, "a is live for b", func() bool { return len(b.share.LiveNames()) == 2 })
	eventually(t, "b is live for a", func() bool { return len(a.share.LiveNames()) == 2 })
	load := monitor.Load{Requests: 2, PrefillTokens: 640, KVTokens: 1280} // tokens are told in units of 64
	a.engine().Begin(load, time.Now())
	eventually(t, "b knows the load", func() bool { return b.engine().View("m", time.Now()).Load == load })
	a.share.AnnouncePart(a.engine(), 77, 100, true)
	eventually(t, "b knows the part", func() bool { _, ready := b.engine().HasPart(77); return ready })
	a.share.AnnounceWeights(a.engine(), "m", 0, 5000)
	eventually(t, "b knows of the load of weights", func() bool { return b.engine().View("m", time.Now()).Loading })
	a.share.AnnounceWeights(a.engine(), "m", 2, 0)
	eventually(t, "b knows the version", func() bool { return b.engine().Weights("m") == 2 })
	a.engine().SetWeights("m", 3)
	eventually(t, "b hears of a version that a learned by itself", func() bool { return b.engine().Weights("m") == 3 })
	a.share.AnnounceCrash(a.ward.RecordCrash(9, quarantiner.Crash{Endpoint: "e"}, time.Now()))
	eventually(t, "b knows the crash", func() bool { _, known := b.ward.Find(9, time.Now()); return known })
	a.engine().End(load)
	eventually(t, "b knows that the load ended", func() bool { return b.engine().View("m", time.Now()).Load == monitor.Load{} })
	a.share.SetLeading(true)
	a.share.AnnounceLeaving(false)
	eventually(t, "a leads and is no candidate", func() bool { return b.share.Leader() == "a" && len(b.share.Candidates()) == 1 })
	a.share.AnnounceLeaving(true)
	eventually(t, "a is gone", func() bool { return len(b.share.LiveNames()) == 1 })
}

// What an instance that ends still runs is known in other data centres, though
// it speaks for its own no more.
func TestLeavingInstanceIsCounted(t *testing.T) {
	a, b := newOneIn(t, "a", "d1", 1), newOneIn(t, "b", "d2", 1)
	a.share.AddPeers([]sharer.Peer{{Name: "b", DataCentre: "d2", Address: b.address}})
	eventually(t, "both hear each other", func() bool { return len(a.share.LiveNames()) == 2 && len(b.share.LiveNames()) == 2 })
	a.share.AnnounceLeaving(false)
	eventually(t, "a is no candidate", func() bool { return len(b.share.Candidates()) == 1 })
	load := monitor.Load{Requests: 1, PrefillTokens: 64, KVTokens: 64}
	a.engine().Begin(load, time.Now())
	eventually(t, "b knows the load", func() bool { return b.engine().View("m", time.Now()).Load == load })
}

// raw returns a datagram with the fields of a note in their order.
func raw(t *testing.T, fields ...any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(fields)
	assert.NilError(t, err)
	return data
}

// Datagrams that can't be read change nothing.
func TestMalformedNotes(t *testing.T) {
	a := newOne(t, "a", 1)
	good := func(name, address string, loads, parts []any) []byte {
		return raw(t, name, "", address, 10, 1, 1, 1, []uint64{}, 0, "", 1, 1, loads, parts, []any{}, []uint64{}, []any{})
	}
	for _, data := range [][]byte{
		nil, []byte("{"), raw(t, "x"), good("", "10.0.0.1:1", nil, nil), good("x", "y", nil, nil),
		good("x", "10.0.0.1:1", []any{[]any{1, -1, 0, 0}}, nil), good("x", "10.0.0.1:1", []any{[]any{1, 1, 1 << 50, 0}}, nil),
		good("x", "10.0.0.1:1", nil, []any{[]any{1, 2, -3, false}}),
	} {
		_, err := a.conn.WriteTo(data, a.conn.LocalAddr())
		assert.NilError(t, err)
	}
	_, err := a.conn.WriteTo(good("z", "10.0.0.1:1", nil, nil), a.conn.LocalAddr())
	assert.NilError(t, err)
	eventually(t, "the good one counts", func() bool { return len(a.share.LiveNames()) == 2 })
}

// FuzzNote has no datagram bring an instance down.
func FuzzNote(f *testing.F) {
	data, err := msgpack.Marshal([]any{"z", "", "10.0.0.1:1", 10, 1, 1, 1, []uint64{}, 0, "", 1, 1, []any{[]any{1, 2, 3, 4}}, []any{}, []any{}, []uint64{}, []any{}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { sharer.Check(data) })
}

// In two data centres of eight instances a few speak for the others: all know
// the load of all, each once, what is told reaches all, and what is sent grows
// with the number of instances, not with its square.
func TestHubs(t *testing.T) {
	var all []*one
	var peers []sharer.Peer
	for i := range 16 {
		o := newOneIn(t, fmt.Sprintf("i%02d", i), fmt.Sprintf("d%d", i%2), 1)
		all = append(all, o)
		peers = append(peers, sharer.Peer{Name: fmt.Sprintf("i%02d", i), DataCentre: fmt.Sprintf("d%d", i%2), Address: o.address})
	}
	for _, o := range all {
		o.share.AddPeers(peers)
	}
	hubs := func() int {
		count := 0
		for _, o := range all {
			if !o.share.ReportsToHub() {
				count++
			}
		}
		return count
	}
	eventually(t, "three hubs each", func() bool { return hubs() == 6 })
	eventually(t, "one each reads the tables itself", func() bool {
		sources := 0
		for _, o := range all {
			if o.share.TableSource() == "" {
				sources++
			}
		}
		return sources == 2
	})
	eventually(t, "all count all", func() bool { return every(all, func(o *one) bool { return o.share.LiveCount() == 16 }) })
	for _, o := range all {
		o.engine().Begin(monitor.Load{Requests: 1, PrefillTokens: 128, KVTokens: 64}, time.Now())
	}
	want := monitor.Load{Requests: 16, PrefillTokens: 16 * 128, KVTokens: 16 * 64}
	eventually(t, "all know the load of all", func() bool {
		return every(all, func(o *one) bool { return o.engine().View("m", time.Now()).Load == want })
	})
	all[15].share.AnnouncePart(all[15].engine(), 77, 100, true)
	all[14].share.AnnounceCrash(all[14].ward.RecordCrash(9, quarantiner.Crash{Endpoint: "e"}, time.Now()))
	eventually(t, "all know the part and the crash", func() bool {
		return every(all, func(o *one) bool {
			_, ready := o.engine().HasPart(77)
			_, known := o.ward.Find(9, time.Now())
			return ready && known
		})
	})
	before := sent(all)
	time.Sleep(time.Second)
	perSecond := sent(all) - before
	assert.Assert(t, perSecond < 16*15*6, "%d notes a second; each to each would be %d", perSecond, 16*15*10)
}

// Another instance speaks when hubs are gone.
func TestHubsAreReplaced(t *testing.T) {
	a, b := newOne(t, "a", 1), newOne(t, "b", 1)
	c, d, e := newOne(t, "c", 1), newOne(t, "d", 1), newOne(t, "e", 1)
	all := []*one{a, b, c, d, e}
	var peers []sharer.Peer
	for i, o := range all {
		peers = append(peers, sharer.Peer{Name: string(rune('a' + i)), Address: o.address})
	}
	for _, o := range all {
		o.share.AddPeers(peers)
	}
	reporters := func() (count int) {
		for _, o := range all {
			if o.share.ReportsToHub() {
				count++
			}
		}
		return count
	}
	eventually(t, "two report", func() bool { return reporters() == 2 })
	assert.Assert(t, every(all, func(o *one) bool { return o.share.TableSource() == "" }), "each of a few reads the tables itself")
	hubs := all[:0:0]
	for _, o := range all {
		if !o.share.ReportsToHub() {
			hubs = append(hubs, o)
		}
	}
	for _, o := range hubs {
		o.stop()
	}
	rest := all[:0:0]
	for _, o := range all {
		if !slices.Contains(hubs, o) {
			rest = append(rest, o)
		}
	}
	load := monitor.Load{Requests: 1, PrefillTokens: 64, KVTokens: 64}
	rest[0].engine().Begin(load, time.Now())
	eventually(t, "the others speak for themselves", func() bool { return rest[1].engine().View("m", time.Now()).Load == load })
}

func every(all []*one, holds func(*one) bool) bool {
	return !slices.ContainsFunc(all, func(o *one) bool { return !holds(o) })
}

func sent(all []*one) int64 {
	total := int64(0)
	for _, o := range all {
		total += o.count.Value("notes", "sent")
	}
	return total
}
