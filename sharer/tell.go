package sharer

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/elector"
	"wisteriadrum/monitor"
	"wisteriadrum/pacer"
)

// due says which notes are sent.
type due int

const (
	// urgent: those that tell what can't wait.
	urgent due = iota
	// changed: those that tell loads or news.
	changed
	// all: those that tell nothing too.
	all
)

// datagram is a note with the addresses to which it goes.
type datagram struct {
	note      *note
	addresses []string
}

// Run tells the peers until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	pause, restBy := tick, s.now()
	for pacer.Wait(ctx, pause) {
		next := changed
		if !s.now().Before(restBy) {
			next, restBy = all, s.now().Add(restEvery)
		}
		s.choose()
		largest := s.tell(next)
		pause = max(tick, time.Duration(largest)*time.Second/noteRate)
	}
}

// choose decides whether this instance is a hub, to which it reports, and from
// which it has the tables.
func (s *Sharer) choose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	hubs := s.hubs()
	first, before, nearest, best := &s.self, 0, "", 0.0
	for _, peer := range hubs {
		if elector.Outranks(peer.Rate, peer.Name, first.Rate, first.Name) {
			first = peer
		}
		if elector.Outranks(peer.Rate, peer.Name, s.self.Rate, s.self.Name) {
			before++
		}
		if score := elector.Score(s.self.Name, peer.Name, peer.Rate); score > best {
			nearest, best = peer.Name, score
		}
	}
	hub := s.elect.Decide(len(hubs), before, s.now()) && !s.self.flags.has(flagLeaving)
	hub = hub || s.self.flags.has(flagLead) // all who may take the lease must know who holds it
	s.source = nearest
	if hub {
		nearest, s.source = "", first.Name
	}
	if s.source == s.self.Name || s.size() <= directMost {
		s.source = ""
	}
	s.become(hub, nearest)
}

// hubs returns the other live hubs of the data centre that do not end.
func (s *Sharer) hubs() []*Peer {
	var hubs []*Peer
	for _, peer := range s.peers {
		if !s.silent(peer) && peer.DataCentre == s.self.DataCentre && peer.flags.has(flagHub) && !peer.flags.has(flagLeaving) {
			hubs = append(hubs, peer)
		}
	}
	return hubs
}

// become takes on the role of a hub, or of one that reports to a hub.
func (s *Sharer) become(hub bool, reports string) {
	if hub == s.self.flags.has(flagHub) && reports == s.self.hub {
		return
	}
	s.self.flags &^= flagHub
	if hub {
		s.self.flags |= flagHub
	}
	s.self.hub = reports
	// What others told is told anew under the new order, and must not count twice.
	for _, one := range s.places() {
		one.ClearPeerLoads()
	}
	s.log.Info("role among the instances changed", zap.Bool("hub", hub), zap.String("reports", reports))
}

// places returns the endpoints and stores.
func (s *Sharer) places() []*monitor.Monitor {
	fleet := s.beliefs.Fleet()
	return append(slices.Collect(maps.Values(fleet.All())), fleet.Stores()...)
}

// tell sends the notes that are due and returns the size in bytes of the
// largest.
func (s *Sharer) tell(due due) int {
	s.mu.Lock()
	list := s.datagrams(due)
	s.mu.Unlock()
	largest := 0
	for _, one := range list {
		largest = max(largest, s.send(one))
	}
	return largest
}

func (s *Sharer) send(d datagram) int {
	data, err := d.note.encode()
	if err != nil {
		s.log.Error("note not encoded", zap.String("error", err.Error()))
		return 0
	}
	for _, address := range d.addresses {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = s.conn.WriteTo(data, target)
		}
		if err != nil {
			s.count.Add("notes", "unsent") // a cut link or a peer that is gone; the next note tells the same
		}
	}
	s.count.AddMany("notes", "sent", len(d.addresses))
	return len(data)
}

// datagrams returns the next notes with the peers to which they go.
func (s *Sharer) datagrams(due due) []datagram {
	s.seq++
	var toHubs, toGroup news
	if due > urgent || s.toHubs.urgent() {
		toHubs = s.toHubs.take()
	}
	if due > urgent || s.toGroup.urgent() {
		toGroup = s.toGroup.take()
	}
	rest := due == all
	if rest {
		again := news{weights: s.recent()}
		toHubs.add(again)
		toGroup.add(again)
	}
	works := s.works()
	var list []datagram
	post := func(next *note, addresses ...string) {
		if next.worth(due) {
			list = append(list, datagram{next, addresses})
		}
	}
	if hub := s.peers[s.self.hub]; hub != nil {
		post(s.note(works.of(s.self.Name), toHubs), hub.Address)
		return list
	}
	group := []string{s.self.Name}
	for name, peer := range s.peers {
		if s.reports(peer) {
			group = append(group, name)
		}
	}
	post(s.note(works.of(group...), toHubs), s.farther(rest)...)
	local := len(works) > wideMost && !rest
	if local {
		works = works.in(s.self.DataCentre)
	}
	for _, name := range group[1:] {
		next := s.note(works.except(name), toGroup)
		if local {
			next.Flags |= flagLocal
		}
		post(next, s.peers[name].Address)
	}
	return list
}

// farther returns the addresses of the other hubs and, at rest, of those who
// may not have heard of any: peers that are not live, in this data centre or
// in one from which no hub is heard.
func (s *Sharer) farther(rest bool) []string {
	heard := map[string]bool{}
	for _, peer := range s.peers {
		if !s.silent(peer) && peer.flags.has(flagHub) {
			heard[peer.DataCentre] = true
		}
	}
	delete(heard, s.self.DataCentre)
	var addresses []string
	for _, peer := range s.peers {
		switch {
		case !s.silent(peer) && !s.reports(peer):
			addresses = append(addresses, peer.Address)
		case s.silent(peer) && rest && !heard[peer.DataCentre] && (peer.silentBy.IsZero() || s.now().Before(peer.silentBy.Add(forgetAfter))):
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// note returns the next note with loads and news.
func (s *Sharer) note(loads []load, told news) *note {
	next := &note{
		Name: s.self.Name, Zone: s.self.DataCentre, Addr: s.self.Address, Rate: s.self.Rate, Boot: s.self.boot, Seq: s.seq, Tables: s.tables.Versions(),
		Flags: s.self.flags, Hub: s.self.hub, Group: s.group(), All: s.size(),
		Loads: loads, Parts: told.parts, Weights: told.weights, Empty: told.empty, Cases: told.cases,
	}
	if table := s.beliefs.Table(); table != nil {
		next.Table = table.Version
	}
	return next
}

// recent returns the versions of weights that became known of late, since a
// note that told of them may have been lost.
func (s *Sharer) recent() []weights {
	var list []weights
	after := s.now().Add(-recentFor)
	for model := range s.beliefs.VersionsByModel() {
		for _, one := range s.beliefs.Fleet().All() {
			if version := one.WeightsAfter(model, after); version > 0 {
				list = append(list, weights{Key: one.Key, Model: model, Version: version})
			}
		}
	}
	return list
}
