package sharer

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/monitor"
)

// Listen takes in notes until the connection is closed.
func (s *Sharer) Listen() error {
	buffer := make([]byte, maxRead)
	for {
		n, _, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return err
		}
		var heard note
		if err := json.Unmarshal(buffer[:n], &heard); err != nil {
			s.count.Add("notes", "malformed")
			s.log.Warn("malformed note dropped", zap.String("error", err.Error()))
			continue
		}
		s.hear(heard)
	}
}

func (s *Sharer) hear(heard note) {
	now := s.now()
	if !s.admit(heard, now) {
		return
	}
	fleet := s.beliefs.Fleet()
	named := make(map[uint64]bool, len(heard.Loads))
	for _, l := range heard.Loads {
		named[l.Key] = true
		if one := fleet.Key(l.Key); one != nil {
			one.Told(heard.Name, l.load(), now)
		}
	}
	if heard.Full {
		for _, one := range append(slices.Collect(maps.Values(fleet.All())), fleet.Stores()...) {
			if !named[one.Key] {
				one.Told(heard.Name, monitor.Load{}, now)
			}
		}
	}
	for _, p := range heard.Parts {
		if one := fleet.Key(p.Key); one != nil {
			one.Keep(p.Part, p.Tokens, !p.Soon)
		}
	}
	for _, w := range heard.Weights {
		if one := fleet.Key(w.Key); one != nil && w.Loading > 0 {
			one.Loading(now.Add(time.Duration(w.Loading) * time.Millisecond))
		} else if one != nil {
			one.SetWeights(w.Model, w.Version)
		}
	}
	for _, key := range heard.Empty {
		if one := fleet.Key(key); one != nil {
			one.Empty()
		}
	}
	s.ward.Merge(heard.Cases, now)
	if table := s.beliefs.Table(); table == nil || heard.Table > table.Version {
		s.newer()
	}
}

// admit notes the sender and reports whether the note is newer than its last.
func (s *Sharer) admit(heard note, now time.Time) bool {
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
	s.peers[heard.Name] = &Peer{Name: heard.Name, DataCentre: heard.Zone, Address: heard.Addr, leaving: heard.Leaving, boot: heard.Boot, seq: heard.Seq, silentBy: now.Add(silentAfter)}
	if heard.Lead {
		s.leader = heard.Name
	}
	if heard.Gone {
		s.peers[heard.Name].silentBy = now
	}
	return true
}
