package sharer_test

import (
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
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
	ward    *quarantiner.Ward
	address string
	conn    net.PacketConn
}

func newOne(t *testing.T, name string, version int64) *one {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	o := &one{beliefs: registrar.New(), ward: quarantiner.New(), address: conn.LocalAddr().String(), conn: conn}
	engine := &router.Engine{Capacity: 1000}
	o.beliefs.PutTable(router.New(version, nil, []router.Pool{{Name: "p", Engine: engine}}, nil, nil, router.Limits{}))
	o.beliefs.PutEndpoints([]monitor.Entry{{Name: "e", Address: "10.0.0.1:80", Pool: "p", Weights: map[string]int{"m": 1}}}, nil, time.Now(), time.Now())
	o.beliefs.PutWeights("m", 1, time.Now())
	self := sharer.Peer{Name: name, Address: o.address}
	o.share = sharer.New(self, 1, conn, o.beliefs, o.ward, counter.New(metrics.NewRegistry()), zap.NewNop(), time.Now, func() {})
	go func() { _ = o.share.Listen() }()
	go o.share.Run(t.Context())
	t.Cleanup(func() { _ = conn.Close() })
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
	a.share.Meet([]sharer.Peer{{Name: "b", Address: b.address}, {Name: "gone", Address: "127.0.0.1:9"}})
	eventually(t, "a is live for b", func() bool { return len(b.share.Live()) == 2 })
	eventually(t, "b is live for a", func() bool { return len(a.share.Live()) == 2 })
	load := monitor.Load{Requests: 2, Unread: 30, Memory: 40}
	a.engine().Begin(load, time.Now())
	eventually(t, "b knows the load", func() bool { return b.engine().View("m", time.Now()).Load == load })
	a.share.Keep(a.engine(), 77, 100, true)
	eventually(t, "b knows the part", func() bool { _, ready := b.engine().Keeps(77); return ready })
	a.share.Weights(a.engine(), "m", 0, 5000)
	eventually(t, "b knows of the load of weights", func() bool { return b.engine().View("m", time.Now()).Loading })
	a.share.Weights(a.engine(), "m", 2, 0)
	eventually(t, "b knows the version", func() bool { return b.engine().Weights("m") == 2 })
	a.engine().SetWeights("m", 3)
	eventually(t, "b hears of a version that a learned by itself", func() bool { return b.engine().Weights("m") == 3 })
	a.share.Alarm(a.ward.Lost(9, quarantiner.Loss{Endpoint: "e"}, time.Now()))
	eventually(t, "b knows the crash", func() bool { _, known := b.ward.Find(9, time.Now()); return known })
	a.engine().End(load)
	eventually(t, "b knows that the load ended", func() bool { return b.engine().View("m", time.Now()).Load == monitor.Load{} })
	a.share.Lead(true)
	a.share.Leave(false)
	eventually(t, "a leads and is no candidate", func() bool { return b.share.Leader() == "a" && len(b.share.Candidates()) == 1 })
	a.share.Leave(true)
	eventually(t, "a is gone", func() bool { return len(b.share.Live()) == 1 })
}

// Datagrams that can't be read change nothing.
func TestMalformedNotes(t *testing.T) {
	a := newOne(t, "a", 1)
	for _, text := range []string{"", "{", `{"n":"x"}`, `{"n":"x","a":"y"}`, `{"n":"x","a":"10.0.0.1:1","l":[{"k":1,"r":-1}]}`} {
		_, err := a.conn.WriteTo([]byte(text), a.conn.LocalAddr())
		assert.NilError(t, err)
	}
	_, err := a.conn.WriteTo([]byte(`{"n":"x","a":"10.0.0.1:1","b":1,"s":1}`), a.conn.LocalAddr())
	assert.NilError(t, err)
	eventually(t, "the good one counts", func() bool { return len(a.share.Live()) == 2 })
}
