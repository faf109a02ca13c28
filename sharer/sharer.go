// Package sharer exchanges what instances know by datagrams: the load that
// they put on endpoints, where parts of prompts are kept, versions of weights
// and requests that crash endpoints. A lost datagram costs precision only.
//
// In each data centre a few instances, the hubs, speak for the others: an
// instance reports to its hub, hubs tell each other the sums of those who
// report to them, and tell each of these what all others do.
package sharer

import (
	"net"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/elector"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
)

const (
	// tick is the shortest interval of notes.
	tick = 100 * time.Millisecond
	// noteRate bounds what one instance sends to another, in bytes a second:
	// the share of an instance's link that control may take.
	noteRate = 4096
	// restEvery is the interval of notes that tell nothing new.
	restEvery = 500 * time.Millisecond
	// recentFor is how long a version that became known is told again: three
	// notes at rest.
	recentFor = 3 * restEvery
	// silentAfter is the silence after which a peer is taken to be gone: four
	// notes at rest.
	silentAfter = 4 * restEvery
	// hubSilent is the silence after which a hub is not relied on: two notes at
	// rest and their way.
	hubSilent = 2*restEvery + 200*time.Millisecond
	// forgetAfter is how long notes still go to a peer that is silent or has
	// ended: it may start again while the store does not answer, and knows
	// nobody then.
	forgetAfter = time.Minute
	maxRead     = 64 << 10
	// mostParts bounds the parts in a note, so that it is not cut up on its way.
	mostParts = 40
	// directMost is the number of instances up to which each reads the tables
	// from the store, as calls to it are few then.
	directMost = 14
	// wideMost is the number of endpoints above which only notes at rest tell
	// of those in other data centres.
	wideMost = 100
)

// Peer is another instance.
type Peer struct {
	Name, DataCentre, Address string
	// Rate is the rate of its link in Mbit/s, 0 if unknown.
	Rate  int
	flags flags
	// hub is the one that it reports to.
	hub        string
	group, all int
	boot       int64
	seq        uint64
	silentBy   time.Time
}

// Tables are the tables that instances follow.
type Tables interface {
	// Versions returns the versions of the tables that this instance knows.
	Versions() []uint64
	// CatchUpFrom says that the instance at address knows a newer version.
	CatchUpFrom(address string)
}

// Sharer tells the peers what this instance knows and takes in what they tell.
type Sharer struct {
	self    Peer
	conn    net.PacketConn
	beliefs *registrar.Registrar
	ward    *quarantiner.Registry
	tables  Tables
	count   *counter.Counter
	log     *zap.Logger
	now     func() time.Time

	mu    sync.Mutex
	elect *elector.Elector
	seq   uint64
	peers map[string]*Peer
	// source is the instance from which this one has the tables.
	source string
	// toHubs is news for the hubs, toGroup for those who report to this one.
	toHubs, toGroup news
	leader          string
}

// New returns a sharer for the instance self, which talks over conn.
func New(self Peer, boot int64, conn net.PacketConn, beliefs *registrar.Registrar, ward *quarantiner.Registry, tables Tables, count *counter.Counter, log *zap.Logger, now func() time.Time) *Sharer {
	self.boot = boot
	return &Sharer{
		self: self, conn: conn, beliefs: beliefs, ward: ward, tables: tables, count: count, log: log, now: now,
		elect: elector.New(), peers: map[string]*Peer{},
	}
}

// AddPeers adds peers that are known from elsewhere.
func (s *Sharer) AddPeers(peers []Peer) {
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

// LiveNames returns the names of the live instances that this one hears, itself
// included, in order.
func (s *Sharer) LiveNames() []string {
	return s.names(func(*Peer) bool { return true })
}

// Candidates returns the instances that may take the lease on orders, in
// order: the hubs that do not end, and this one if it knows no other.
func (s *Sharer) Candidates() []string {
	return s.names(func(peer *Peer) bool { return peer.flags.has(flagHub) && !peer.flags.has(flagLeaving) })
}

// names returns the names of the live peers that are chosen and of this
// instance unless it reports to a hub.
func (s *Sharer) names(chosen func(*Peer) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, peer := range s.peers {
		if !s.silent(peer) && chosen(peer) {
			names = append(names, name)
		}
	}
	if s.self.hub == "" || chosen(&s.self) {
		names = append(names, s.self.Name)
	}
	sort.Strings(names)
	return names
}

// LiveCount returns the number of live instances.
func (s *Sharer) LiveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size()
}

func (s *Sharer) size() int {
	if hub := s.peers[s.self.hub]; hub != nil {
		return max(1, hub.all)
	}
	size := s.group()
	for _, peer := range s.peers {
		if !s.silent(peer) && peer.flags.has(flagHub) {
			size += max(1, peer.group)
		}
	}
	return size
}

// group returns the number of instances that this one speaks for.
func (s *Sharer) group() int {
	group := 1
	for _, peer := range s.peers {
		if s.reports(peer) {
			group++
		}
	}
	return group
}

// reports tells whether a peer is live and reports to this instance.
func (s *Sharer) reports(peer *Peer) bool {
	return !s.silent(peer) && peer.hub == s.self.Name
}

// TableSource returns the address of the instance from which this one has the
// tables: the hub that it reports to, or for a hub the first of its data centre.
// It is "" for the first, in a small fleet, and while the source was not heard of late.
func (s *Sharer) TableSource() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.peers[s.source]
	if source == nil || !s.now().Before(source.silentBy.Add(hubSilent-silentAfter)) {
		return ""
	}
	return source.Address
}

// ReportsToHub tells whether this instance reports to a hub.
func (s *Sharer) ReportsToHub() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[s.self.hub] != nil
}

// Leader returns the instance that was last heard to hold the lease on orders.
func (s *Sharer) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// SetLeading says whether this instance holds the lease on orders.
func (s *Sharer) SetLeading(lead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.flags &^= flagLead
	if lead {
		s.self.flags |= flagLead
		s.leader = s.self.Name
	}
}

// AnnouncePart tells that an endpoint keeps a part, or is about to if it is not ready.
func (s *Sharer) AnnouncePart(place *monitor.Monitor, key uint64, tokens int, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(news{parts: []part{{Key: place.Key, Part: key, Tokens: tokens, Soon: !ready}}})
}

// AnnounceWeights tells which version an endpoint has, or that it loads one for so
// many milliseconds, at once.
func (s *Sharer) AnnounceWeights(place *monitor.Monitor, model string, version, loading int) {
	s.urge(news{weights: []weights{{Key: place.Key, Model: model, Version: version, Loading: loading}}})
}

// AnnounceCrash tells of a request that crashed an endpoint, at once.
func (s *Sharer) AnnounceCrash(one quarantiner.Case) {
	s.urge(news{cases: []quarantiner.Case{one}})
}

// AnnounceEmptied tells that a store has lost all parts, at once.
func (s *Sharer) AnnounceEmptied(store *monitor.Monitor) {
	s.urge(news{empty: []uint64{store.Key}})
}

// urge tells news at once.
func (s *Sharer) urge(own news) {
	s.mu.Lock()
	s.add(own)
	s.mu.Unlock()
	s.tell(urgent)
}

// add queues news of this instance.
func (s *Sharer) add(own news) {
	s.toHubs.add(own)
	s.toGroup.add(own)
}

// AnnounceLeaving tells that this instance is about to end, or that it ends now.
func (s *Sharer) AnnounceLeaving(now bool) {
	s.mu.Lock()
	s.self.flags |= flagLeaving
	if now {
		s.self.flags |= flagGone
	}
	s.mu.Unlock()
	s.tell(all)
}
