package sharer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// AddPeers adds peers that were discovered by other means than messages. The first
// time, this instance sends a message to those of its data centre, which may have
// discovered their peers before this instance was among them.
func (s *Sharer) AddPeers(peers []Peer) {
	if s.addPeers(peers) {
		s.announceRole()
	}
}

// addPeers reports whether it was called for the first time.
func (s *Sharer) addPeers(peers []Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, peer := range peers {
		if peer.Name != s.self.Name {
			s.enroller.List(peer.Name, peer.DataCentre, now)
		}
		if known := s.peers[peer.Name]; peer.Name != s.self.Name && (known == nil || known.Address != peer.Address && known.timedOut(now)) {
			added := peer
			s.peers[peer.Name] = &added
		}
	}
	first := !s.electFrom.IsZero()
	s.electFrom = time.Time{}
	return first
}

func (p *Peer) timedOut(now time.Time) bool { return !now.Before(p.timeoutAt) }

// LiveNames returns the sorted names of the live instances from which this one
// receives messages, and its own.
func (s *Sharer) LiveNames() []string {
	live := names(s.livePeers(func(*Peer) bool { return true }))
	slices.Sort(live)
	return live
}

// Candidates returns the names of the instances that may acquire the lease on
// orders, in the order in which they do: the hubs that are not about to stop, and
// this one unless it reports to a hub or stops. Those that started last come
// first: in a restart of all instances in turn, they are not stopped again.
func (s *Sharer) Candidates() []string {
	candidates := s.livePeers(func(peer *Peer) bool {
		return !peer.flags.has(flagLeaving) && (peer.flags.has(flagHub) || peer == &s.self && peer.hub == "")
	})
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.incarnation, a.incarnation), strings.Compare(a.Name, b.Name))
	})
	return names(candidates)
}

// livePeers returns this instance and the live peers for which include returns
// true.
func (s *Sharer) livePeers(include func(*Peer) bool) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []Peer
	now := s.now()
	for _, peer := range s.peers {
		if !peer.timedOut(now) && include(peer) {
			live = append(live, *peer)
		}
	}
	if include(&s.self) {
		live = append(live, s.self)
	}
	return live
}

func names(peers []Peer) []string {
	list := make([]string, len(peers))
	for i, peer := range peers {
		list[i] = peer.Name
	}
	return list
}

// LiveCount returns the number of live instances in all data centres.
func (s *Sharer) LiveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, total := s.sizes(s.now())
	return total
}

// Members returns the number of instances that may be running, this one included, whether
// or not they can be reached. It is 0 until the others were discovered.
func (s *Sharer) Members() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members(s.now())
}

func (s *Sharer) members(now time.Time) int {
	if !s.electFrom.IsZero() && s.enroller.Announced(now) == 0 {
		return 0
	}
	return s.enroller.Total(now)
}

// sizes returns the number of instances of which this one sends the loads, itself
// included, and the number of live instances in all data centres.
func (s *Sharer) sizes(now time.Time) (group, total int) {
	if hub := s.peers[s.self.hub]; hub != nil {
		return 1, max(1, hub.totalSize)
	}
	group = 1
	others := 0
	for _, peer := range s.peers {
		switch {
		case peer.timedOut(now):
		case peer.hub == s.self.Name:
			group++
		case peer.flags.has(flagHub):
			others += max(1, peer.groupSize)
		}
	}
	return group, group + others
}

// reportsHere reports whether a peer is live and reports to this instance.
func (s *Sharer) reportsHere(peer *Peer, now time.Time) bool {
	return !peer.timedOut(now) && peer.hub == s.self.Name
}
