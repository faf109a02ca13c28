package sharer

import (
	"go.uber.org/zap"

	"wisteriadrum/elector"
)

// updateRole decides whether this instance is a hub, to which hub it reports
// otherwise, and from which instance it receives the tables. It reports whether the
// instance has become a hub or is none any more.
func (s *Sharer) updateRole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Before(s.electFrom) {
		return false
	}
	wasHub := s.self.flags.has(flagHub)
	hubs := s.otherHubs()
	first, outranking, bestHub, bestScore := &s.self, 0, "", 0.0
	for _, peer := range hubs {
		if elector.Outranks(peer.Rate, peer.Name, first.Rate, first.Name) {
			first = peer
		}
		if elector.Outranks(peer.Rate, peer.Name, s.self.Rate, s.self.Name) {
			outranking++
		}
		if score := elector.Score(s.self.Name, peer.Name, peer.Rate); score > bestScore {
			bestHub, bestScore = peer.Name, score
		}
	}
	hub := s.hubElector.Decide(len(hubs), outranking, s.now()) && !s.self.flags.has(flagLeaving)
	hub = hub || s.self.flags.has(flagLeader) // every candidate must receive messages of the leader
	s.tableSource = bestHub
	if hub {
		bestHub, s.tableSource = "", first.Name
	}
	if _, total := s.sizes(s.now()); s.tableSource == s.self.Name || total <= maxDirectInstances {
		s.tableSource = ""
	}
	s.setRole(hub, bestHub)
	return hub != wasHub
}

// announceRole sends a heartbeat to all instances that may know this one as a hub,
// or should: those that learn late of a new hub become hubs too, and those that do
// not learn that a hub has given up its role go on to report to it.
func (s *Sharer) announceRole() {
	s.sending.Lock()
	defer s.sending.Unlock()
	s.mu.Lock()
	now := s.now()
	msg := s.heartbeat(now)
	var addresses []string
	for _, peer := range s.peers {
		if !peer.timedOut(now) || peer.DataCentre == s.self.DataCentre {
			addresses = append(addresses, peer.Address)
		}
	}
	s.mu.Unlock()
	s.send(datagram{msg, addresses})
}

// otherHubs returns the other live hubs of the data centre that are not about
// to stop.
func (s *Sharer) otherHubs() []*Peer {
	var otherHubs []*Peer
	now := s.now()
	for _, peer := range s.peers {
		if !peer.timedOut(now) && peer.DataCentre == s.self.DataCentre && peer.flags.has(flagHub) && !peer.flags.has(flagLeaving) {
			otherHubs = append(otherHubs, peer)
		}
	}
	return otherHubs
}

// setRole makes this instance a hub, or lets it report to newHub.
func (s *Sharer) setRole(hub bool, newHub string) {
	if hub == s.self.flags.has(flagHub) && newHub == s.self.hub {
		return
	}
	s.self.flags &^= flagHub
	if hub {
		s.self.flags |= flagHub
	}
	s.self.hub = newHub
	// The loads of the peers are received again through other senders, and must
	// not be counted twice.
	for endpoint := range s.endpoints() {
		endpoint.ClearPeerLoads()
	}
	s.log.Info("hub role changed", zap.Bool("hub", hub), zap.String("reports", newHub))
}
