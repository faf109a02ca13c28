// Package sharer exchanges the state of instances by datagrams: the load that
// they put on endpoints, the parts of prompts in KV caches, the versions of
// weights, and the requests and parts of prompts that crash endpoints. A lost
// datagram only makes the state of the receiver less precise.
//
// Each data centre has a few hubs. The other instances report to one of them.
// Hubs send each other the summed loads of the instances that report to them,
// and send each of these instances the summed loads of all others.
package sharer

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/elector"
	"wisteriadrum/enroller"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
)

const (
	// minSendInterval is the shortest interval of messages with changes, and
	// idleSendInterval the interval at which changes are looked for if there were
	// none. Requests are placed by the loads that other instances put on engines:
	// the older these are, the more instances choose the same engine.
	minSendInterval  = 20 * time.Millisecond
	idleSendInterval = 50 * time.Millisecond
	// roleInterval is the interval at which the role of an instance is decided on.
	roleInterval = 100 * time.Millisecond
	// maxDatagramsPerSecond bounds the datagrams with changes that an instance sends,
	// and so their share of a processor. The more receivers there are, the longer the
	// interval.
	maxDatagramsPerSecond = 500
	// linkShare is the share of a link that messages may use, and defaultRate its
	// rate in Mbit/s if it is unknown.
	linkShare       = 0.1
	defaultRate     = 10
	bytesPerMegabit = 1e6 / 8
	// heartbeatInterval is the interval of messages that are sent even without
	// changes.
	heartbeatInterval = 500 * time.Millisecond
	// repeatVersionsFor is the time during which a new version is sent again:
	// three heartbeats.
	repeatVersionsFor = 3 * heartbeatInterval
	// peerTimeout is the time without messages after which a peer is considered
	// down: four heartbeats.
	peerTimeout = 4 * heartbeatInterval
	// hubTimeout is the time without messages after which a hub is not used as
	// table source: two heartbeats and their latency.
	hubTimeout = 2*heartbeatInterval + 200*time.Millisecond
	// forgetPeerAfter is how long heartbeats still go to a peer that timed out
	// or stopped: if it starts again while the store does not answer, it has no
	// other way to discover peers.
	forgetPeerAfter  = time.Minute
	maxDatagramBytes = 64 << 10
	// maxPartsPerMessage keeps datagrams small enough to avoid IP
	// fragmentation.
	maxPartsPerMessage = 40
	// maxCasesPerHeartbeat is the number of known crashing requests that a
	// heartbeat repeats.
	maxCasesPerHeartbeat = 8
	// maxSaidPerHeartbeat is the number of endpoints of which a heartbeat repeats what
	// they have said.
	maxSaidPerHeartbeat = 16
	// maxSuspectsPerHeartbeat and maxSuspectsPerMessage bound the parts that may crash
	// endpoints in a message, as maxPartsPerMessage does, and maxQueuedSuspects those
	// that wait for one.
	maxSuspectsPerHeartbeat = 8
	maxSuspectsPerMessage   = 16
	maxQueuedSuspects       = 128
	// maxDirectInstances is the number of instances up to which each reads the
	// tables from the store itself, since this causes few calls.
	maxDirectInstances = 14
	// maxDiscoveryWait is how long an instance that starts waits until it has
	// discovered its peers before it may become a hub, since it has no address to
	// announce its role to.
	maxDiscoveryWait = 1500 * time.Millisecond
)

// Peer is another instance.
type Peer struct {
	Name, DataCentre, Address string
	// Rate is the rate of its link in Mbit/s, 0 if unknown.
	Rate  int
	flags flags
	// hub is the name of the hub that it reports to, "" if it reports to none.
	hub                  string
	groupSize, totalSize int
	incarnation          int64
	seq                  uint64
	timeoutAt            time.Time
}

// Tables are the tables that instances follow.
type Tables interface {
	// Known returns the versions of the last changes of the tables at this instance, and
	// the times up to which it knows all changes, 0 if unknown.
	Known() (changes []uint64, complete []int64)
	// Compare applies what another instance knows of the tables. It reports whether
	// changes are missing here.
	Compare(changes []uint64, complete []int64) bool
	// CatchUpFrom requests the tables from the instance at address, whose last changes
	// have newer versions.
	CatchUpFrom(address string, changes []uint64)
	// CatchUpContentFrom requests the configuration from the instance at address, which
	// has a newer one in force although no change of a table is missing here.
	CatchUpContentFrom(address string)
}

// Sharer sends the state of this instance to its peers and applies the state
// that they send.
type Sharer struct {
	self Peer
	// lastUseMillis is how long an endpoint that leaves may still get requests.
	lastUseMillis int

	conn       net.PacketConn
	registrar  *registrar.Registrar
	quarantine *quarantiner.Registry
	detector   *detector.Detector
	tables     Tables
	count      *counter.Counter
	log        *zap.Logger
	now        func() time.Time

	// sending is locked from the numbering of messages until they are sent:
	// receivers drop a message with a lower number than the last one, and with it
	// its events.
	sending sync.Mutex

	mu         sync.Mutex
	hubElector *elector.Elector
	// electFrom is when this instance may become a hub although it has not
	// discovered any peers. It is zero once it has.
	electFrom time.Time
	seq       uint64
	peers     map[string]*Peer
	// enroller counts the instances, also those that timed out.
	enroller *enroller.Enroller
	// tableSource is the name of the instance that sends the tables to this
	// one, "" if this one reads them from the store.
	tableSource string
	// toHubs are queued events for the hubs, toGroup for the instances that
	// report to this one.
	toHubs, toGroup outbox
	leader          string
	sentLoads       sentLoads
}

// New returns a sharer for the instance self that sends and receives on conn. Endpoints
// that leave get requests for lastUseMillis more.
func New(self Peer, incarnation int64, lastUseMillis int, conn net.PacketConn, state *registrar.Registrar, quarantine *quarantiner.Registry, detect *detector.Detector, tables Tables, count *counter.Counter, log *zap.Logger, now func() time.Time) *Sharer {
	self.incarnation = incarnation
	return &Sharer{
		electFrom: now().Add(maxDiscoveryWait),
		self:      self, lastUseMillis: lastUseMillis, conn: conn, registrar: state, quarantine: quarantine, detector: detect, tables: tables, count: count, log: log, now: now,
		hubElector: elector.New(), peers: map[string]*Peer{}, enroller: enroller.New(self.DataCentre), sentLoads: sentLoads{},
	}
}

// TableSource returns the address of the instance from which this one receives
// the tables: its hub, or for a hub the highest-ranked hub of its data centre.
// It returns "" if this instance reads them from the store: it is the
// highest-ranked hub, there are few instances, or the source is silent.
func (s *Sharer) TableSource() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.peers[s.tableSource]
	if source == nil || !s.now().Before(source.timeoutAt.Add(hubTimeout-peerTimeout)) {
		return ""
	}
	return source.Address
}

// AwaitsHub reports whether the fleet has hubs but this instance neither is one nor
// reports to one yet.
func (s *Sharer) AwaitsHub() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) >= maxDirectInstances && !s.self.flags.has(flagHub) && s.self.hub == ""
}

// ReportsToHub reports whether this instance reports to a hub.
func (s *Sharer) ReportsToHub() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[s.self.hub] != nil
}

// Leader returns the name of the instance that last announced that it holds the
// lease on orders.
func (s *Sharer) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// OtherLeads reports whether another live instance holds the lease on orders.
func (s *Sharer) OtherLeads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, peer := range s.peers {
		if peer.flags.has(flagLeader) && !peer.timedOut(now) {
			return true
		}
	}
	return false
}

// SetLeading sets whether this instance holds the lease on orders.
func (s *Sharer) SetLeading(leading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.flags &^= flagLeader
	if leading {
		s.self.flags |= flagLeader
		s.leader = s.self.Name
	}
}

// AnnouncePart queues the announcement that an endpoint has a part in its KV
// cache, or will have it soon if ready is false, or will not if tokens is 0. Other requests
// have a shared part too.
func (s *Sharer) AnnouncePart(endpoint *monitor.Monitor, key uint64, tokens int, ready, shared bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(events{parts: []part{{Key: endpoint.Key, Part: key, Tokens: tokens, Pending: !ready, Own: !shared}}})
}

// AnnounceWeights sends at once which version of a model an endpoint has, or
// that it loads weights for loadingMillis if that is not 0.
func (s *Sharer) AnnounceWeights(endpoint *monitor.Monitor, model string, version, loadingMillis int) {
	s.sendNow(events{weights: []weights{{Key: endpoint.Key, Model: model, Version: version, LoadingMillis: loadingMillis}}})
}

// AnnounceCrash sends at once that a request crashed an endpoint.
func (s *Sharer) AnnounceCrash(crash quarantiner.Case) {
	s.sendNow(events{cases: []quarantiner.Case{crash}})
}

// AnnounceSuspects sends at once what is known of parts that may crash endpoints.
func (s *Sharer) AnnounceSuspects(suspects []detector.Suspect) {
	s.sendNow(events{suspects: suspects})
}

// AnnounceSaid sends at once what an endpoint has said of itself. ended means that it has
// stopped naming a limit.
func (s *Sharer) AnnounceSaid(endpoint *monitor.Monitor, ended bool) {
	item := newSaid(endpoint)
	if perSecond, limited := endpoint.Said().Limit(); limited {
		item.LimitMilli = min(max(1, int(perSecond*1000)), maxLimitMilli)
	} else if ended {
		item.LimitMilli = limitEnded
	}
	s.sendNow(events{said: []said{item}})
}

// AnnounceTaken sends at once that another endpoint has the address of an endpoint.
func (s *Sharer) AnnounceTaken(endpoint *monitor.Monitor) {
	s.sendNow(events{taken: []uint64{endpoint.Key}})
}

// AnnounceRefusing sends at once that nothing listens at the address of an endpoint.
func (s *Sharer) AnnounceRefusing(endpoint *monitor.Monitor) {
	s.sendNow(events{refusing: []uint64{endpoint.Key}})
}

// AnnounceEmptied sends at once that a store has lost all parts.
func (s *Sharer) AnnounceEmptied(store *monitor.Monitor) {
	s.sendNow(events{emptyStores: []uint64{store.Key}})
}

// AnnounceTables sends at once up to when this instance knows the tables, so that the
// others need not ask the store.
func (s *Sharer) AnnounceTables() { s.sendDue(everything) }

func (s *Sharer) sendNow(own events) {
	s.mu.Lock()
	s.add(own)
	s.mu.Unlock()
	s.sendDue(urgentOnly)
}

// add queues events of this instance.
func (s *Sharer) add(own events) {
	s.queue(&s.toHubs, own)
	s.queue(&s.toGroup, own)
}

// queue adds events to an outbox.
func (s *Sharer) queue(to *outbox, more events) {
	if dropped := to.add(more); dropped > 0 {
		s.count.AddMany("notes", "parts-dropped", dropped)
	}
}

// AnnounceLeaving sends to all peers that this instance is about to stop, or
// that it stops now.
func (s *Sharer) AnnounceLeaving(now bool) {
	s.mu.Lock()
	s.self.flags |= flagLeaving
	if now {
		s.self.flags |= flagStopped
	}
	s.mu.Unlock()
	s.sendDue(everything)
}
