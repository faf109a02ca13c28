package sharer

import (
	"time"

	"go.uber.org/zap"

	"wisteriadrum/monitor"
	"wisteriadrum/registrar"
)

// Listen takes in notes until the connection is closed.
func (s *Sharer) Listen() error {
	buffer := make([]byte, maxRead)
	for {
		n, _, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return err
		}
		heard, err := decode(buffer[:n])
		if err != nil {
			s.count.Add("notes", "malformed")
			s.log.Warn("malformed note dropped", zap.String("error", err.Error()))
			continue
		}
		s.hear(heard)
	}
}

func (s *Sharer) hear(heard *note) {
	now := s.now()
	if !s.admit(heard, now) {
		return
	}
	fleet := s.beliefs.Fleet()
	if s.speaksFor(heard) {
		s.hearLoads(heard, fleet, now)
	}
	for _, p := range heard.Parts {
		if one := fleet.ByKey(p.Key); one != nil {
			one.AddPart(p.Part, p.Tokens, !p.Soon)
		}
	}
	for _, w := range heard.Weights {
		if one := fleet.ByKey(w.Key); one != nil && w.Loading > 0 {
			one.MarkLoading(now.Add(time.Duration(w.Loading) * time.Millisecond))
		} else if one != nil {
			one.SetWeights(w.Model, w.Version)
		}
	}
	for _, key := range heard.Empty {
		if one := fleet.ByKey(key); one != nil {
			one.ClearParts()
		}
	}
	s.ward.Merge(heard.Cases, now)
	if s.behind(heard) {
		s.tables.CatchUpFrom(heard.Addr)
	}
	s.pass(heard)
}

// speaksFor reports whether the loads of a note count here: those of its hub
// for an instance that reports to one; else those of all who report here or to
// nobody.
func (s *Sharer) speaksFor(heard *note) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self.hub != "" {
		return heard.Name == s.self.hub
	}
	return heard.Hub == "" || heard.Hub == s.self.Name
}

// hearLoads takes in loads; endpoints that are not named carry none.
func (s *Sharer) hearLoads(heard *note, fleet *registrar.Fleet, now time.Time) {
	named := make(map[uint64]bool, len(heard.Loads))
	for _, l := range heard.Loads {
		named[l.Key] = true
		if one := fleet.ByKey(l.Key); one != nil {
			one.SetPeerLoad(heard.Name, l.load(), now)
		}
	}
	for _, one := range s.places() {
		if named[one.Key] || heard.Flags.has(flagLocal) && one.Entry().DataCentre != heard.Zone {
			continue
		}
		one.SetPeerLoad(heard.Name, monitor.Load{}, now)
	}
}

// behind reports whether the sender knows a newer version of a table. What the
// source of the tables knows comes by itself.
func (s *Sharer) behind(heard *note) bool {
	s.mu.Lock()
	source := s.source
	s.mu.Unlock()
	if heard.Name == source || heard.Hub != "" {
		return false
	}
	for i, version := range s.tables.Versions() {
		if i < len(heard.Tables) && heard.Tables[i] > version {
			return true
		}
	}
	return false
}

// pass queues the news of a note for those to whom this instance speaks, and
// tells them at once what can't wait.
func (s *Sharer) pass(heard *note) {
	told := news{parts: heard.Parts, weights: heard.Weights, empty: heard.Empty, cases: heard.Cases}
	s.mu.Lock()
	if s.self.hub != "" || !told.any() {
		s.mu.Unlock()
		return
	}
	s.toGroup.add(told)
	if heard.Hub == s.self.Name {
		s.toHubs.add(told)
	}
	s.mu.Unlock()
	if told.urgent() {
		s.tell(urgent)
	}
}

// admit notes the sender and reports whether the note is newer than its last.
func (s *Sharer) admit(heard *note, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if heard.Name == s.self.Name {
		return false
	}
	peer := s.peers[heard.Name]
	// After a silence any incarnation is taken, since the time of day that
	// numbers them may have jumped.
	if peer != nil && !s.silent(peer) && (heard.Boot < peer.boot || heard.Boot == peer.boot && heard.Seq <= peer.seq) {
		return false
	}
	if peer == nil || s.silent(peer) {
		s.log.Info("peer heard", zap.String("peer", heard.Name), zap.String("address", heard.Addr))
	}
	s.peers[heard.Name] = &Peer{
		Name: heard.Name, DataCentre: heard.Zone, Address: heard.Addr, Rate: heard.Rate, flags: heard.Flags, hub: heard.Hub,
		group: heard.Group, all: heard.All, boot: heard.Boot, seq: heard.Seq, silentBy: now.Add(silentAfter),
	}
	if heard.Flags.has(flagLead) {
		s.leader = heard.Name
	}
	if heard.Flags.has(flagGone) {
		s.peers[heard.Name].silentBy = now
	}
	return true
}
