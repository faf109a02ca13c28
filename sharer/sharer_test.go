package sharer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/router"
	"wisteriadrum/sharer"
	"wisteriadrum/versioner"
)

// instance is a sharer with its connection and the state that it exchanges.
type instance struct {
	sharer     *sharer.Sharer
	registrar  *registrar.Registrar
	quarantine *quarantiner.Registry
	detector   *detector.Detector
	address    string
	conn       net.PacketConn
	tables     tables
	count      *counter.Counter
	stop       func()
}

// tables counts the requests to catch up.
type tables struct {
	version  uint64
	catchUps atomic.Int64
	// contents counts the requests for a newer configuration.
	contents atomic.Int64
}

func (t *tables) Known() ([]uint64, []int64) { return []uint64{t.version}, []int64{0} }

func (t *tables) Compare(changes []uint64, _ []int64) bool {
	return len(changes) > 0 && changes[0] > t.version
}

func (t *tables) CatchUpFrom(string, []uint64) { t.catchUps.Add(1) }

func (t *tables) CatchUpContentFrom(string) { t.contents.Add(1) }

func newInstance(t *testing.T, name string, version int64) *instance {
	t.Helper()
	return newInstanceIn(t, name, "", version)
}

func newInstanceIn(t *testing.T, name, dataCentre string, version int64) *instance {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &instance{registrar: registrar.New(time.Now), quarantine: quarantiner.New(), detector: detector.New(), address: conn.LocalAddr().String(), conn: conn, count: counter.New(metrics.NewRegistry())}
	engine := &router.Engine{CapacityTokens: 1000}
	n.registrar.PutTable(router.New(version, nil, []router.Pool{{Name: "p", Engine: engine}}, nil, nil, router.Limits{}))
	n.registrar.PutEndpoints([]monitor.Entry{{Name: "e", Address: "10.0.0.1:80", Pool: "p", Weights: map[string]int{"m": 1}}}, nil, time.Now(), time.Now())
	n.registrar.AddVersion("m", versioner.Version{Number: 1, OlderUntil: time.Now()})
	self := sharer.Peer{Name: name, DataCentre: dataCentre, Address: n.address}
	n.sharer = sharer.New(self, 1, 500, conn, n.registrar, n.quarantine, n.detector, &n.tables, n.count, zap.NewNop(), time.Now)
	go func() { _ = n.sharer.Listen() }()
	ctx, cancel := context.WithCancel(t.Context())
	go n.sharer.Run(ctx)
	n.stop = func() {
		cancel()
		_ = conn.Close()
	}
	t.Cleanup(n.stop)
	return n
}

func (n *instance) engine() *monitor.Monitor { return n.registrar.Fleet().All()["e"] }

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against state that does not reach the other instance: load, cached
// parts, versions of weights, crashes and membership.
func TestInstancesExchangeState(t *testing.T) {
	a, b := newInstance(t, "a", 1), newInstance(t, "b", 1)
	a.sharer.AddPeers([]sharer.Peer{{Name: "b", Address: b.address}, {Name: "gone", Address: "127.0.0.1:9"}})
	eventually(t, "b receives messages of a", func() bool { return len(b.sharer.LiveNames()) == 2 })
	eventually(t, "a receives messages of b", func() bool { return len(a.sharer.LiveNames()) == 2 })
	load := monitor.Load{Requests: 2, PrefillTokens: 640, KVTokens: 1280} // tokens are sent in units of 64
	a.engine().Begin(load, time.Now())
	eventually(t, "b has the load", func() bool { return b.engine().View("m", time.Now()).Load == load })
	a.sharer.AnnouncePart(a.engine(), 77, 100, true, true)
	eventually(t, "b has the part", func() bool { _, ready := b.engine().HasPart(77); return ready })
	a.sharer.AnnouncePart(a.engine(), 78, 100, false, true)
	eventually(t, "b knows that the part is being read", func() bool { cached, _ := b.engine().HasPart(78); return cached })
	a.sharer.AnnouncePart(a.engine(), 78, 0, false, true)
	eventually(t, "b knows that the read has ended", func() bool { cached, _ := b.engine().HasPart(78); return !cached })
	a.sharer.AnnounceWeights(a.engine(), "m", 0, 5000)
	eventually(t, "b has the loading of weights", func() bool { return b.engine().View("m", time.Now()).Loading })
	a.sharer.AnnounceWeights(a.engine(), "m", 2, 0)
	eventually(t, "b has the version", func() bool { return b.engine().Weights("m") == 2 })
	a.engine().SetWeights("m", 3)
	eventually(t, "b has a version that a recorded without announcing it", func() bool { return b.engine().Weights("m") == 3 })
	a.sharer.AnnounceCrash(a.quarantine.RecordCrash(9, quarantiner.Crash{Endpoint: "e"}, time.Now()))
	eventually(t, "b has the crash", func() bool { _, known := b.quarantine.Find(9, time.Now()); return known })
	a.engine().End(load)
	eventually(t, "b has the end of the load", func() bool { return b.engine().View("m", time.Now()).Load == monitor.Load{} })
	a.sharer.SetLeading(true)
	a.sharer.AnnounceLeaving(false)
	eventually(t, "a is the leader and no candidate", func() bool { return b.sharer.Leader() == "a" && len(b.sharer.Candidates()) == 1 })
	a.sharer.AnnounceLeaving(true)
	eventually(t, "a has stopped", func() bool { return len(b.sharer.LiveNames()) == 1 })
}

// Guards against ignoring the load of an instance that is about to stop: it is
// no longer a hub, but instances of other data centres must count its requests.
func TestLeavingInstanceIsCounted(t *testing.T) {
	a, b := newInstanceIn(t, "a", "d1", 1), newInstanceIn(t, "b", "d2", 1)
	a.sharer.AddPeers([]sharer.Peer{{Name: "b", DataCentre: "d2", Address: b.address}})
	eventually(t, "each receives messages of the other", func() bool { return len(a.sharer.LiveNames()) == 2 && len(b.sharer.LiveNames()) == 2 })
	a.sharer.AnnounceLeaving(false)
	eventually(t, "a is no candidate", func() bool { return len(b.sharer.Candidates()) == 1 })
	load := monitor.Load{Requests: 1, PrefillTokens: 64, KVTokens: 64}
	a.engine().Begin(load, time.Now())
	eventually(t, "b has the load", func() bool { return b.engine().View("m", time.Now()).Load == load })
}

// An instance that starts does not know since when weights are out of date. It
// must not use old ones for a whole period more, but as long as the others do.
func TestAgeOfVersionsSurvivesRestart(t *testing.T) {
	a, b := newInstance(t, "a", 1), newInstance(t, "b", 1)
	until := time.Now().Add(time.Minute)
	a.registrar.AddVersion("m", versioner.Version{Number: 2, OlderUntil: until})
	a.registrar.AddVersion("n", versioner.Version{Number: 2, OlderUntil: time.Now()})
	for _, model := range []string{"m", "n"} {
		b.registrar.AddVersion(model, versioner.Version{Number: 2, OlderUntil: time.Now().Add(time.Hour), Assumed: true})
	}
	b.sharer.AddPeers([]sharer.Peer{{Name: "a", Address: a.address}})
	eventually(t, "b has the time of a", func() bool {
		learned, _ := b.registrar.Versions("m").UsableUntil(1)
		return learned.Sub(until).Abs() < 5*time.Second
	})
	eventually(t, "b has the expired version of a", func() bool { return b.registrar.Versions("n").Required(time.Now()) == 2 })
}

// Guards against messages that their receivers refuse for one time out of range.
func TestFarVersionIsBounded(t *testing.T) {
	a, b := newInstance(t, "a", 1), newInstance(t, "b", 1)
	a.registrar.AddVersion("m", versioner.Version{Number: 2, OlderUntil: time.Now().Add(25 * time.Hour)})
	b.sharer.AddPeers([]sharer.Peer{{Name: "a", Address: a.address}})
	eventually(t, "b has the version of a", func() bool { return b.registrar.Versions("m").Contains(2) })
}

// An instance that starts must not send a request that crashed endpoints before to
// the remaining ones.
func TestCrashesSurviveRestart(t *testing.T) {
	a := newInstance(t, "a", 1)
	a.quarantine.RecordCrash(9, quarantiner.Crash{Endpoint: "e"}, time.Now())
	a.quarantine.RecordCrash(9, quarantiner.Crash{Endpoint: "f"}, time.Now())
	b := newInstance(t, "b", 1)
	b.sharer.AddPeers([]sharer.Peer{{Name: "a", Address: a.address}})
	eventually(t, "b refuses the request", func() bool {
		suspect, known := b.quarantine.Find(9, time.Now())
		return known && suspect.Refused()
	})
}

// Guards against a part of prompts that crashes endpoints again through an instance that
// was not there when it was found.
func TestRefusedPartsSurviveRestart(t *testing.T) {
	a := newInstance(t, "a", 1)
	until := time.Now().Add(time.Minute)
	a.detector.Merge([]detector.Suspect{{Part: 9, Name: "p", Level: 3, Refused: true, Until: until}}, time.Now())
	for part := range uint64(1000) {
		a.detector.Merge([]detector.Suspect{{Part: 100 + part, Level: 1, Until: until}}, time.Now())
	}
	b := newInstance(t, "b", 1)
	b.sharer.AddPeers([]sharer.Peer{{Name: "a", Address: a.address}})
	eventually(t, "b receives messages of a", func() bool { return len(b.sharer.LiveNames()) == 2 })
	time.Sleep(1500 * time.Millisecond) // three heartbeats
	refused := b.detector.Refused(time.Now())
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Name, "p")
}

// The instances that started last acquire the lease on orders first: a restart in
// turn does not stop them again soon. One that stops is no candidate.
func TestOrderOfCandidates(t *testing.T) {
	a := newInstance(t, "a", 1)
	send := func(name string, incarnation, flags int) {
		message := raw(t, name, "", "10.0.0.1:1", 10, incarnation, 1, 1, []uint64{}, []int64{}, flags, "", 1, 1, []any{}, []any{}, []any{}, []uint64{}, []any{}, []any{}, []any{}, []any{}, []uint64{}, []uint64{}, 1, 1)
		_, err := a.conn.WriteTo(message, a.conn.LocalAddr())
		assert.NilError(t, err)
	}
	const hub, leavingHub = 8, 8 | 2
	send("b", 5, hub)
	send("c", 9, hub)
	send("d", 9, hub)
	send("e", 99, leavingHub)
	eventually(t, "all are live", func() bool { return len(a.sharer.LiveNames()) == 5 })
	assert.DeepEqual(t, a.sharer.Candidates(), []string{"c", "d", "b", "a"})
	a.sharer.AnnounceLeaving(false)
	assert.DeepEqual(t, a.sharer.Candidates(), []string{"c", "d", "b"})
}

// raw returns a datagram with the fields of a message in their order.
func raw(t *testing.T, fields ...any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(fields)
	assert.NilError(t, err)
	return data
}

// Guards against malformed datagrams that change state or stop the receiver.
func TestMalformedNotes(t *testing.T) {
	a := newInstance(t, "a", 1)
	whole := func(name, address string, loads, parts, versions, suspects []any) []byte {
		return raw(t, name, "", address, 10, 1, 1, 1, []uint64{}, []int64{}, 0, "", 1, 1, loads, parts, []any{}, []uint64{}, []any{}, versions, suspects, []any{}, []uint64{}, []uint64{}, 1, 1)
	}
	withVersions := func(name, address string, loads, parts, versions []any) []byte {
		return whole(name, address, loads, parts, versions, nil)
	}
	suspect := func(part string, epoch, level, answers, crashes, trials, weights int, until time.Time) []any {
		return []any{1, part, epoch, level, false, until, answers, crashes, trials, time.Time{}, 0, weights}
	}
	withSuspect := func(part string, epoch, level int) []byte {
		return whole("x", "10.0.0.1:1", nil, nil, nil, []any{suspect(part, epoch, level, 0, 0, 0, 0, time.Now())})
	}
	withCounts := func(answers, crashes, trials, weights int) []byte {
		return whole("x", "10.0.0.1:1", nil, nil, nil, []any{suspect("p", 0, 1, answers, crashes, trials, weights, time.Now())})
	}
	valid := func(name, address string, loads, parts []any) []byte {
		return withVersions(name, address, loads, parts, nil)
	}
	withMembers := func(local, members int) []byte {
		return raw(t, "x", "", "10.0.0.1:1", 10, 1, 1, 1, []uint64{}, []int64{}, 0, "", 1, 1, []any{}, []any{}, []any{}, []uint64{}, []any{}, []any{}, []any{}, []any{}, []uint64{}, []uint64{}, local, members)
	}
	for _, data := range [][]byte{
		withMembers(-1, 1), withMembers(1, -1),
		nil, []byte("{"), raw(t, "x"), valid("", "10.0.0.1:1", nil, nil), valid("x", "y", nil, nil),
		valid("x", "10.0.0.1:1", []any{[]any{1, -1, 0, 0}}, nil), valid("x", "10.0.0.1:1", []any{[]any{1, 1, 1 << 50, 0}}, nil),
		valid("x", "10.0.0.1:1", nil, []any{[]any{1, 2, -3, false}}),
		withVersions("x", "10.0.0.1:1", nil, nil, []any{[]any{"m", 0, 1}}), withVersions("x", "10.0.0.1:1", nil, nil, []any{[]any{"", 1, 1}}),
		withVersions("x", "10.0.0.1:1", nil, nil, []any{[]any{"m", 1, -1}}), withVersions("x", "10.0.0.1:1", nil, nil, []any{[]any{"m", 1, 1 << 40}}),
		raw(t, "x", "", "10.0.0.1:1", 10, 1, 1, 1, []uint64{1}, []int64{-1}, 0, "", 1, 1, []any{}, []any{}, []any{}, []uint64{}, []any{}, []any{}, []any{}, []any{}, []uint64{}, []uint64{}, 1, 1),
		withSuspect(strings.Repeat("p", 100), 0, 1), withSuspect("p", -1, 1), withSuspect("p", 0, -1), withSuspect("p", 0, 1<<40), withSuspect("p", 1<<40, 1),
		withCounts(-1, 0, 0, 0), withCounts(0, -1, 0, 0), withCounts(0, 0, -1, 0), withCounts(0, 0, 0, -1), withCounts(1<<40, 0, 0, 0),
	} {
		_, err := a.conn.WriteTo(data, a.conn.LocalAddr())
		assert.NilError(t, err)
	}
	_, err := a.conn.WriteTo(whole("z", "10.0.0.1:1", nil, nil, nil, []any{suspect("p", 0, 1, 0, 0, 0, 0, time.Now().Add(time.Minute))}), a.conn.LocalAddr())
	assert.NilError(t, err)
	eventually(t, "the valid message is applied", func() bool { return len(a.sharer.LiveNames()) == 2 && len(a.detector.Suspects(time.Now())) == 1 })
}

// FuzzNote guards against panics on malformed datagrams.
func FuzzNote(f *testing.F) {
	data, err := msgpack.Marshal([]any{"z", "", "10.0.0.1:1", 10, 1, 1, 1, []uint64{}, []int64{}, 0, "", 1, 1, []any{[]any{1, 2, 3, 4}}, []any{}, []any{}, []uint64{}, []any{}, []any{[]any{"m", 1, 5}}, []any{[]any{1, "p", 0, 1, false, time.Unix(1000, 0), 0, 0, 0, time.Time{}, 0, 0}}, []any{[]any{1, true, 5000}}, []uint64{4}, []uint64{5}, 1, 1})
	assert.NilError(f, err)
	f.Add(data)
	f.Add(bytes.Replace(data, []byte{0x91, 0x94, 1, 2, 3, 4}, []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, 1)) // 4 billion loads
	f.Fuzz(func(_ *testing.T, data []byte) { sharer.Check(data) })
}

// Guards against hubs that lose loads or events, count a load twice, or let the
// number of messages grow quadratically with the number of instances.
func TestHubs(t *testing.T) {
	var all []*instance
	var peers []sharer.Peer
	for i := range 16 {
		n := newInstanceIn(t, fmt.Sprintf("i%02d", i), fmt.Sprintf("d%d", i%2), 1)
		all = append(all, n)
		peers = append(peers, sharer.Peer{Name: fmt.Sprintf("i%02d", i), DataCentre: fmt.Sprintf("d%d", i%2), Address: n.address})
	}
	for _, n := range all {
		n.sharer.AddPeers(peers)
	}
	hubs := func() int {
		count := 0
		for _, n := range all {
			if !n.sharer.ReportsToHub() {
				count++
			}
		}
		return count
	}
	eventually(t, "three hubs in each data centre", func() bool { return hubs() == 6 })
	eventually(t, "one instance of each data centre reads the tables from the store", func() bool {
		sources := 0
		for _, n := range all {
			if n.sharer.TableSource() == "" {
				sources++
			}
		}
		return sources == 2
	})
	eventually(t, "all have the number of instances", func() bool { return every(all, func(n *instance) bool { return n.sharer.LiveCount() == 16 }) })
	for _, n := range all {
		n.engine().Begin(monitor.Load{Requests: 1, PrefillTokens: 128, KVTokens: 64}, time.Now())
	}
	want := monitor.Load{Requests: 16, PrefillTokens: 16 * 128, KVTokens: 16 * 64}
	eventually(t, "all have the load of all", func() bool {
		return every(all, func(n *instance) bool { return n.engine().View("m", time.Now()).Load == want })
	})
	all[15].engine().AddPart(77, 100, true) // a hub does not get its own announcement back
	all[15].sharer.AnnouncePart(all[15].engine(), 77, 100, true, true)
	all[14].sharer.AnnounceCrash(all[14].quarantine.RecordCrash(9, quarantiner.Crash{Endpoint: "e"}, time.Now()))
	eventually(t, "all have the part and the crash", func() bool {
		return every(all, func(n *instance) bool {
			_, ready := n.engine().HasPart(77)
			_, known := n.quarantine.Find(9, time.Now())
			return ready && known
		})
	})
	before := sent(all)
	time.Sleep(time.Second)
	perSecond := sent(all) - before
	assert.Assert(t, perSecond < 16*15*6, "%d messages per second; without hubs there would be %d", perSecond, 16*15*10)
}

// Guards against instances that stay without a hub after all hubs failed.
func TestHubsAreReplaced(t *testing.T) {
	a, b := newInstance(t, "a", 1), newInstance(t, "b", 1)
	c, d, e := newInstance(t, "c", 1), newInstance(t, "d", 1), newInstance(t, "e", 1)
	all := []*instance{a, b, c, d, e}
	var peers []sharer.Peer
	for i, n := range all {
		peers = append(peers, sharer.Peer{Name: string(rune('a' + i)), Address: n.address})
	}
	for _, n := range all {
		n.sharer.AddPeers(peers)
	}
	reporters := func() (count int) {
		for _, n := range all {
			if n.sharer.ReportsToHub() {
				count++
			}
		}
		return count
	}
	eventually(t, "two report to hubs", func() bool { return reporters() == 2 })
	assert.Assert(t, every(all, func(n *instance) bool { return n.sharer.TableSource() == "" }), "an instance of a small fleet does not read the tables from the store")
	hubs := all[:0:0]
	for _, n := range all {
		if !n.sharer.ReportsToHub() {
			hubs = append(hubs, n)
		}
	}
	for _, n := range hubs {
		n.stop()
	}
	rest := all[:0:0]
	for _, n := range all {
		if !slices.Contains(hubs, n) {
			rest = append(rest, n)
		}
	}
	load := monitor.Load{Requests: 1, PrefillTokens: 64, KVTokens: 64}
	rest[0].engine().Begin(load, time.Now())
	eventually(t, "the remaining instances exchange their load", func() bool { return rest[1].engine().View("m", time.Now()).Load == load })
}

func every(all []*instance, holds func(*instance) bool) bool {
	return !slices.ContainsFunc(all, func(n *instance) bool { return !holds(n) })
}

func sent(all []*instance) int64 {
	total := int64(0)
	for _, n := range all {
		total += n.count.Value("notes", "sent")
	}
	return total
}
