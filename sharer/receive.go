package sharer

import (
	"time"

	"go.uber.org/zap"

	"wisteriadrum/monitor"
	"wisteriadrum/registrar"
	"wisteriadrum/restrainer"
	"wisteriadrum/versioner"
)

// Listen receives and applies datagrams until the connection is closed.
func (s *Sharer) Listen() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return err
		}
		msg, err := decode(buffer[:n])
		if err != nil {
			s.count.Add("notes", "malformed")
			s.log.Warn("malformed datagram dropped", zap.String("error", err.Error()))
			continue
		}
		s.receive(msg)
	}
}

func (s *Sharer) receive(msg *message) {
	now := s.now()
	newer, greet := s.updatePeer(msg, now)
	if greet {
		s.greet(msg.SenderAddress)
	}
	if !newer {
		return
	}
	fleet := s.registrar.Fleet()
	if s.acceptsLoads(msg) {
		s.applyLoads(msg, fleet, now)
	}
	for _, p := range msg.Parts {
		endpoint := fleet.ByKey(p.Key)
		switch {
		case endpoint == nil:
		case p.Pending && p.Tokens == 0:
			endpoint.DropPendingPart(p.Part)
		default:
			endpoint.AddPart(p.Part, p.Tokens, !p.Pending)
		}
	}
	msg.Weights = applyWeights(msg.Weights, fleet, now)
	msg.Said = s.applySaid(msg.Said, fleet, now)
	msg.Taken = applyTaken(msg.Taken, fleet, now)
	msg.Refusing = applyRefusing(msg.Refusing, fleet, now)
	s.applyVersions(msg.Name, msg.Versions)
	for _, key := range msg.EmptyStores {
		if endpoint := fleet.ByKey(key); endpoint != nil {
			endpoint.ClearParts()
		}
	}
	if !s.quarantine.Merge(msg.Cases, now) {
		msg.Cases = nil // known ones are not forwarded
	}
	if !s.detector.Merge(msg.Suspects, now) {
		msg.Suspects = nil
	}
	s.compareTables(msg)
	s.forward(msg)
}

// applyWeights applies announcements of weights and returns those that changed
// something. Heartbeats repeat announcements; if each instance forwarded all that it
// receives, the number of messages would grow with the square of their number.
func applyWeights(list []weights, fleet *registrar.Fleet, now time.Time) []weights {
	var changes []weights
	for _, w := range list {
		endpoint := fleet.ByKey(w.Key)
		if endpoint == nil {
			continue
		}
		changed := w.LoadingMillis > 0
		if changed {
			endpoint.MarkLoading(now.Add(time.Duration(w.LoadingMillis) * time.Millisecond))
		} else {
			changed = endpoint.SetWeights(w.Model, w.Version)
		}
		if changed {
			changes = append(changes, w)
		}
	}
	return changes
}

// applySaid applies what endpoints have said of themselves and returns what was new.
func (s *Sharer) applySaid(list []said, fleet *registrar.Fleet, now time.Time) []said {
	var changes []said
	for _, item := range list {
		endpoint := fleet.ByKey(item.Key)
		if endpoint == nil {
			continue
		}
		changed := endpoint.Hear(func(known restrainer.Restrainer) restrainer.Restrainer {
			if item.Leaving && !known.Leaving() {
				known = known.WithLeaving(now.Add(time.Duration(s.lastUseMillis) * time.Millisecond))
			}
			switch {
			case item.LimitMilli == limitEnded:
				known = known.WithoutLimit(now)
			case item.LimitMilli > 0:
				known = known.WithLimit(float64(item.LimitMilli)/1000, now)
			}
			return known
		})
		if changed {
			changes = append(changes, item)
		}
	}
	return changes
}

// applyTaken removes the endpoints whose address another one has, and returns the keys of
// those that were used until now.
func applyTaken(keys []uint64, fleet *registrar.Fleet, now time.Time) []uint64 {
	var changes []uint64
	for _, key := range keys {
		if endpoint := fleet.ByKey(key); endpoint != nil && !endpoint.Left(now) {
			endpoint.MarkLeaving(now)
			changes = append(changes, key)
		}
	}
	return changes
}

// applyRefusing records that nothing listens at the addresses of endpoints, and returns the
// keys of those for which that is a new failure.
func applyRefusing(keys []uint64, fleet *registrar.Fleet, now time.Time) []uint64 {
	var changes []uint64
	for _, key := range keys {
		if endpoint := fleet.ByKey(key); endpoint != nil && endpoint.RecordReset(now) {
			changes = append(changes, key)
		}
	}
	return changes
}

// applyVersions adds the announced versions of weights that a peer sent.
func (s *Sharer) applyVersions(peer string, list []version) {
	for _, v := range list {
		until := s.registrar.Now().Add(time.Duration(v.RemainingMillis) * time.Millisecond)
		assumed := s.registrar.Versions(v.Model).Assumes(v.Number)
		newer := s.registrar.AddVersion(v.Model, versioner.Version{Number: v.Number, OlderUntil: until})
		if newer || assumed {
			s.log.Info("weights version received from a peer", zap.String("peer", peer), zap.String("model", v.Model), zap.Int("version", v.Number), zap.Int("older_millis", v.RemainingMillis))
		}
	}
}

// acceptsLoads reports whether the loads of a message are applied here, so
// that each load is counted once. An instance that reports to a hub accepts
// those of its hub only; a hub accepts those of the instances that report to it
// and of the instances that report to none.
func (s *Sharer) acceptsLoads(msg *message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self.hub != "" {
		return msg.Name == s.self.hub
	}
	return msg.Hub == "" || msg.Hub == s.self.Name
}

// applyLoads replaces the loads received from the sender. Endpoints that the
// message does not list have no load, unless it contains changes only.
func (s *Sharer) applyLoads(msg *message, fleet *registrar.Fleet, now time.Time) {
	listed := make(map[uint64]bool, len(msg.Loads))
	for _, l := range msg.Loads {
		listed[l.Key] = true
		if endpoint := fleet.ByKey(l.Key); endpoint != nil {
			endpoint.SetPeerLoad(msg.Name, l.load(), now)
		}
	}
	if msg.Flags.has(flagChangesOnly) {
		return
	}
	for endpoint := range s.endpoints() {
		if !listed[endpoint.Key] {
			endpoint.SetPeerLoad(msg.Name, monitor.Load{}, now)
		}
	}
}

// compareTables requests from the sender what it has newer than this instance: tables,
// unless the source sends them without a request, or the configuration if an older copy of
// the table has come here.
func (s *Sharer) compareTables(msg *message) {
	s.mu.Lock()
	source := s.tableSource
	s.mu.Unlock()
	missing := s.tables.Compare(msg.Tables, msg.Complete)
	switch {
	case missing && msg.Name != source && msg.Hub == "":
		s.tables.CatchUpFrom(msg.SenderAddress, msg.Tables)
	case !missing && msg.Table > s.configuration():
		s.tables.CatchUpContentFrom(msg.SenderAddress)
	}
}

// configuration returns the version of the configuration in force, 0 if there is none.
func (s *Sharer) configuration() int64 {
	if table := s.registrar.Table(); table != nil {
		return table.Version
	}
	return 0
}

// forward queues the events of a message for the instances to which a hub
// forwards them, and sends urgent ones at once.
func (s *Sharer) forward(msg *message) {
	received := events{parts: msg.Parts, weights: msg.Weights, emptyStores: msg.EmptyStores, cases: msg.Cases, suspects: msg.Suspects, said: msg.Said, taken: msg.Taken, refusing: msg.Refusing}
	s.mu.Lock()
	if !received.any() || s.self.hub != "" && msg.Hub != s.self.Name {
		s.mu.Unlock()
		return
	}
	if s.self.hub == "" {
		s.queue(&s.toGroup, received)
	}
	if msg.Hub == s.self.Name {
		s.queue(&s.toHubs, received) // also if this instance is no hub any more, which the sender may not know yet
	}
	s.mu.Unlock()
	if received.urgent() {
		s.sendDue(urgentOnly)
	}
}

// greet sends a heartbeat to an instance that has just come up, so that it learns
// of this hub before it becomes one itself.
func (s *Sharer) greet(address string) {
	s.sending.Lock()
	defer s.sending.Unlock()
	s.mu.Lock()
	msg := s.heartbeat(s.now())
	s.mu.Unlock()
	s.send(datagram{msg, []string{address}})
}

// updatePeer records the sender. It reports whether the message is newer than its
// last one, and whether the sender has just come up and does not know this hub.
func (s *Sharer) updatePeer(msg *message, now time.Time) (newer, greet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if msg.Name == s.self.Name {
		return false, false
	}
	peer := s.peers[msg.Name]
	// After a timeout any incarnation is accepted, since incarnations are
	// numbered by the wall clock, which may have jumped.
	if peer != nil && !peer.timedOut(now) && (msg.Incarnation < peer.incarnation || msg.Incarnation == peer.incarnation && msg.Seq <= peer.seq) {
		return false, false
	}
	if peer == nil || peer.timedOut(now) {
		greet = s.self.flags.has(flagHub) && msg.Hub == ""
		s.log.Info("peer is up", zap.String("peer", msg.Name), zap.String("address", msg.SenderAddress))
	}
	s.peers[msg.Name] = &Peer{
		Name: msg.Name, DataCentre: msg.SenderDataCentre, Address: msg.SenderAddress, Rate: msg.Rate, flags: msg.Flags, hub: msg.Hub,
		groupSize: msg.GroupSize, totalSize: msg.TotalSize, incarnation: msg.Incarnation, seq: msg.Seq, timeoutAt: now.Add(peerTimeout),
	}
	s.enroller.Hear(msg.Name, msg.SenderDataCentre, msg.Local, now)
	if msg.Name == s.self.hub {
		s.enroller.HearTotal(msg.Members, now)
	}
	if msg.Flags.has(flagLeader) {
		s.leader = msg.Name
	}
	if msg.Flags.has(flagStopped) {
		s.peers[msg.Name].timeoutAt = now
	}
	return true, greet
}
