// Package sharer exchanges what instances know by datagrams: the load that
// each puts on endpoints, where parts of prompts are kept, versions of weights
// and requests that crash endpoints. A lost datagram costs precision only.
package sharer

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/monitor"
	"wisteriadrum/pacer"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
)

const (
	// tick is the shortest interval of notes.
	tick = 100 * time.Millisecond
	// tickPeer lengthens the interval for each peer, so that the notes heard in
	// a second are bounded.
	tickPeer = 8 * time.Millisecond
	// restEvery is the interval of notes that tell nothing new, in ticks.
	restEvery = 5
	// recentFor is how long a version that became known is told again: three
	// notes at rest.
	recentFor = 1500 * time.Millisecond
	// silentAfter is the silence after which a peer is taken to be gone: six
	// notes at rest.
	silentAfter = 3 * time.Second
	// forgetAfter is how long notes still go to a peer that is silent or has
	// ended: it may start again while the store does not answer, and knows
	// nobody then.
	forgetAfter = time.Minute
	maxRead     = 64 << 10
	// mostParts bounds the parts in a note, so that it is not cut up on its way.
	mostParts = 40
)

// Peer is another instance.
type Peer struct {
	Name, DataCentre, Address string
	leaving                   bool
	boot                      int64
	seq                       uint64
	silentBy                  time.Time
}

// Sharer tells the peers what this instance knows and takes in what they tell.
type Sharer struct {
	self    Peer
	conn    net.PacketConn
	beliefs *registrar.Registrar
	ward    *quarantiner.Ward
	count   *counter.Counter
	log     *zap.Logger
	now     func() time.Time
	newer   func()

	mu     sync.Mutex
	seq    uint64
	peers  map[string]*Peer
	told   map[uint64]monitor.Load
	parts  []part
	news   []weights
	cases  []quarantiner.Case
	empty  []uint64
	leader string
	lead   bool
	gone   bool
}

// New returns a sharer for the instance self, which talks over conn. It calls
// newer when a peer has a newer configuration.
func New(self Peer, boot int64, conn net.PacketConn, beliefs *registrar.Registrar, ward *quarantiner.Ward, count *counter.Counter, log *zap.Logger, now func() time.Time, newer func()) *Sharer {
	self.boot = boot
	return &Sharer{
		self: self, conn: conn, beliefs: beliefs, ward: ward, count: count, log: log, now: now, newer: newer,
		peers: map[string]*Peer{}, told: map[uint64]monitor.Load{},
	}
}

// Meet adds peers that are known from elsewhere.
func (s *Sharer) Meet(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, peer := range peers {
		if known := s.peers[peer.Name]; peer.Name != s.self.Name && (known == nil || known.Address != peer.Address && s.silent(known)) {
			added := peer
			s.peers[peer.Name] = &added
		}
	}
}

func (s *Sharer) silent(peer *Peer) bool { return !s.now().Before(peer.silentBy) }

// Live returns the names of the live instances, this one included, in order.
func (s *Sharer) Live() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{s.self.Name}
	for name, peer := range s.peers {
		if !s.silent(peer) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Addresses returns the addresses of the other live instances.
func (s *Sharer) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, peer := range s.peers {
		if !s.silent(peer) {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// Candidates returns the live instances that do not end, in order.
func (s *Sharer) Candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{s.self.Name}
	for name, peer := range s.peers {
		if !s.silent(peer) && !peer.leaving {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Leader returns the instance that was last heard to hold the lease on orders.
func (s *Sharer) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// Lead says whether this instance holds the lease on orders.
func (s *Sharer) Lead(lead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lead = lead
	if lead {
		s.leader = s.self.Name
	}
}

// Keep tells that an endpoint keeps a part, or is about to if it is not ready.
func (s *Sharer) Keep(place *monitor.Monitor, key uint64, tokens int, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) < 2*mostParts {
		s.parts = append(s.parts, part{Key: place.Key, Part: key, Tokens: tokens, Soon: !ready})
	}
}

// Weights tells which version an endpoint has, or that it loads one for so
// many milliseconds, at once.
func (s *Sharer) Weights(place *monitor.Monitor, model string, version, loading int) {
	s.mu.Lock()
	s.news = append(s.news, weights{Key: place.Key, Model: model, Version: version, Loading: loading})
	s.mu.Unlock()
	s.tell(true)
}

// Alarm tells of a request that crashed an endpoint, at once.
func (s *Sharer) Alarm(one quarantiner.Case) {
	s.mu.Lock()
	s.cases = append(s.cases, one)
	s.mu.Unlock()
	s.tell(true)
}

// Emptied tells that a store has lost all parts, at once.
func (s *Sharer) Emptied(store *monitor.Monitor) {
	s.mu.Lock()
	s.empty = append(s.empty, store.Key)
	s.mu.Unlock()
	s.tell(true)
}

// Leave tells that this instance is about to end, or that it ends now.
func (s *Sharer) Leave(now bool) {
	s.mu.Lock()
	s.self.leaving, s.gone = true, now
	s.mu.Unlock()
	s.tell(true)
}

// Run tells the peers until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	for round := 0; pacer.Wait(ctx, s.interval()); round++ {
		s.tell(round%restEvery == 0)
	}
}

func (s *Sharer) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(tick, time.Duration(len(s.peers))*tickPeer)
}

// tell sends a note to all peers; one without news only if rest says so.
func (s *Sharer) tell(rest bool) {
	s.mu.Lock()
	next := s.note(rest)
	addresses := make([]string, 0, len(s.peers))
	for _, peer := range s.peers {
		if s.now().Before(peer.silentBy.Add(forgetAfter)) || peer.silentBy.IsZero() {
			addresses = append(addresses, peer.Address)
		}
	}
	s.mu.Unlock()
	if !rest && !next.news() {
		return
	}
	data, err := json.Marshal(next)
	if err != nil {
		s.log.Error("note not encoded", zap.String("error", err.Error()))
		return
	}
	for _, address := range addresses {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = s.conn.WriteTo(data, target)
		}
		if err != nil {
			s.count.Add("notes", "unsent") // a cut link or a peer that is gone; the next note tells the same
		}
	}
	s.count.AddMany("notes", "sent", len(addresses))
}

// note returns the next note, with the loads that changed, or all at rest.
func (s *Sharer) note(rest bool) note {
	s.seq++
	next := note{Name: s.self.Name, Zone: s.self.DataCentre, Addr: s.self.Address, Boot: s.self.boot, Seq: s.seq, Full: rest, Lead: s.lead, Leaving: s.self.leaving, Gone: s.gone}
	if table := s.beliefs.Table(); table != nil {
		next.Table = table.Version
	}
	fleet := s.beliefs.Fleet()
	all := append(slices.Collect(maps.Values(fleet.All())), fleet.Stores()...)
	for _, one := range all {
		own := one.Own()
		if own == s.told[one.Key] && !(rest && own != monitor.Load{}) {
			continue
		}
		s.told[one.Key] = own
		next.Loads = append(next.Loads, load{Key: one.Key, Requests: own.Requests, Unread: own.Unread, Memory: own.Memory})
	}
	taken := min(len(s.parts), mostParts)
	next.Parts, s.parts = s.parts[:taken], s.parts[taken:]
	next.Weights, s.news = s.news, nil
	if rest {
		next.Weights = append(next.Weights, s.recent()...)
	}
	next.Cases, s.cases = s.cases, nil
	next.Empty, s.empty = s.empty, nil
	return next
}

// recent returns the versions of weights that became known of late, since a
// note that told of them may have been lost.
func (s *Sharer) recent() []weights {
	var list []weights
	after := s.now().Add(-recentFor)
	for model := range s.beliefs.Weights() {
		for _, one := range s.beliefs.Fleet().All() {
			if version := one.WeightsAfter(model, after); version > 0 {
				list = append(list, weights{Key: one.Key, Model: model, Version: version})
			}
		}
	}
	return list
}
