package sharer

import (
	"context"
	"iter"
	"math/rand/v2"
	"net"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/detector"
	"wisteriadrum/elector"
	"wisteriadrum/monitor"
	"wisteriadrum/pacer"
	"wisteriadrum/quarantiner"
)

// scope selects the messages to send.
type scope int

const (
	// urgentOnly selects messages with urgent events.
	urgentOnly scope = iota
	// changesOnly selects messages with loads or events.
	changesOnly
	// everything selects also messages without loads and events, as
	// heartbeats.
	everything
)

// datagram is a message with the addresses of its receivers.
type datagram struct {
	message   *message
	addresses []string
}

// Run sends messages to the peers until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	pause, heartbeatAt, roleAt := minSendInterval, s.now(), s.now()
	for pacer.Wait(ctx, pause) {
		now := s.now()
		next := changesOnly
		if !now.Before(heartbeatAt) {
			next, heartbeatAt = everything, now.Add(heartbeatInterval)
		}
		if !now.Before(roleAt) {
			roleAt = now.Add(roleInterval)
			if s.updateRole() {
				s.announceRole()
			}
		}
		pause = s.pauseAfter(s.sendDue(next))
	}
}

// pauseAfter returns the pause after datagrams were sent: so long that these take at
// most linkShare of the link and are at most maxDatagramsPerSecond.
func (s *Sharer) pauseAfter(datagrams, bytes int) time.Duration {
	if datagrams == 0 {
		return idleSendInterval
	}
	rate := s.self.Rate
	if rate == 0 {
		rate = defaultRate
	}
	bytesPerSecond := float64(rate) * bytesPerMegabit * linkShare
	linkPause := time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
	return max(minSendInterval, linkPause, time.Duration(datagrams)*time.Second/maxDatagramsPerSecond)
}

// heartbeat returns a message without events.
func (s *Sharer) heartbeat(now time.Time) *message {
	s.seq++
	msg := s.message(s.endpointLoads(now).sumOf(s.group(now)...), events{})
	msg.GroupSize, msg.TotalSize = s.sizes(now)
	msg.Local, msg.Members = s.enroller.Local(now), s.members(now)
	msg.Versions = s.currentVersions()
	return msg
}

// endpoints iterates over the monitors of the endpoints and stores.
func (s *Sharer) endpoints() iter.Seq[*monitor.Monitor] {
	fleet := s.registrar.Fleet()
	return func(yield func(*monitor.Monitor) bool) {
		for _, endpoint := range fleet.All() {
			if !yield(endpoint) {
				return
			}
		}
		for _, store := range fleet.Stores() {
			if !yield(store) {
				return
			}
		}
	}
}

// sendDue sends the messages within the scope and returns the numbers of datagrams and
// of their bytes.
func (s *Sharer) sendDue(scope scope) (datagrams, bytes int) {
	s.sending.Lock()
	defer s.sending.Unlock()
	s.mu.Lock()
	batch := s.datagrams(scope)
	s.mu.Unlock()
	for _, d := range batch {
		datagrams += len(d.addresses)
		bytes += s.send(d)
	}
	return datagrams, bytes
}

func (s *Sharer) send(d datagram) int {
	data, err := d.message.encode()
	if err != nil {
		s.log.Error("message not encoded", zap.String("error", err.Error()))
		return 0
	}
	for _, address := range d.addresses {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = s.conn.WriteTo(data, target)
		}
		if err != nil {
			s.count.Add("notes", "unsent") // the link is down or the peer has stopped; not retried, since the next message repeats the state
		}
	}
	s.count.AddMany("notes", "sent", len(d.addresses))
	return len(data) * len(d.addresses)
}

// datagrams returns the next messages with the peers that receive them.
func (s *Sharer) datagrams(scope scope) []datagram {
	s.seq++
	var toHubs, toGroup events
	if scope > urgentOnly || s.toHubs.urgent() {
		toHubs = s.toHubs.take()
	}
	if scope > urgentOnly || s.toGroup.urgent() {
		toGroup = s.toGroup.take()
	}
	heartbeat := scope == everything
	var versions []version
	if heartbeat {
		repeated := events{weights: s.recentVersions(), cases: s.recentCases(), suspects: s.recentSuspects(), said: s.knownSaid()}
		toHubs.add(repeated)
		toGroup.add(repeated)
		versions = s.currentVersions()
	}
	now := s.now()
	groupSize, totalSize := s.sizes(now)
	local, members := s.enroller.Local(now), s.members(now)
	endpointLoads := s.endpointLoads(now)
	var list []datagram
	queue := func(receiver string, loads []load, queued events, addresses ...string) {
		msg := s.message(loads, queued)
		if !heartbeat {
			msg.Flags |= flagChangesOnly
			msg.Loads = s.sentLoads.changes(receiver, loads)
		}
		if msg.isDue(scope) {
			s.sentLoads.record(receiver, loads)
			msg.Versions, msg.GroupSize, msg.TotalSize, msg.Local, msg.Members = versions, groupSize, totalSize, local, members
			list = append(list, datagram{msg, addresses})
		}
	}
	if hub := s.peers[s.self.hub]; hub != nil {
		queue(hub.Name, endpointLoads.sumOf(s.self.Name), toHubs, hub.Address)
		return list
	}
	group := s.group(now)
	queue("", endpointLoads.sumOf(group...), toHubs, s.remoteAddresses(heartbeat, now)...)
	for _, name := range group[1:] {
		queue(name, endpointLoads.sumExcept(name), toGroup, s.peers[name].Address)
	}
	s.sentLoads.keep(group)
	return list
}

// group returns the names of this instance and of those that report to it.
func (s *Sharer) group(now time.Time) []string {
	group := []string{s.self.Name}
	for name, peer := range s.peers {
		if s.reportsHere(peer, now) {
			group = append(group, name)
		}
	}
	return group
}

// remoteAddresses returns the addresses of the live peers that do not report
// to this instance. Heartbeats go also to peers that timed out or never sent a
// message, since they may not have discovered any instance: those in this data
// centre and in data centres of which not all hubs are known.
func (s *Sharer) remoteAddresses(heartbeat bool, now time.Time) []string {
	hubs := map[string]int{}
	for _, peer := range s.peers {
		if !peer.timedOut(now) && peer.flags.has(flagHub) {
			hubs[peer.DataCentre]++
		}
	}
	delete(hubs, s.self.DataCentre)
	// While the hubs of a large fleet are not decided on, an instance sends to its
	// own data centre only: all to all would be too many.
	localOnly := len(s.peers) >= maxDirectInstances && !s.self.flags.has(flagHub)
	var addresses []string
	for _, peer := range s.peers {
		if localOnly && peer.DataCentre != s.self.DataCentre {
			continue
		}
		switch {
		case !peer.timedOut(now) && !s.reportsHere(peer, now):
			addresses = append(addresses, peer.Address)
		case peer.timedOut(now) && heartbeat && hubs[peer.DataCentre] < elector.HubsPerDataCentre && (peer.timeoutAt.IsZero() || now.Before(peer.timeoutAt.Add(forgetPeerAfter))):
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// message returns the next message with loads and events.
func (s *Sharer) message(loads []load, queued events) *message {
	msg := &message{
		Name: s.self.Name, SenderDataCentre: s.self.DataCentre, SenderAddress: s.self.Address, Rate: s.self.Rate, Incarnation: s.self.incarnation, Seq: s.seq,
		Flags: s.self.flags, Hub: s.self.hub,
		Loads: loads, Parts: queued.parts, Weights: queued.weights, EmptyStores: queued.emptyStores, Cases: queued.cases, Suspects: queued.suspects, Said: queued.said, Taken: queued.taken, Refusing: queued.refusing,
	}
	msg.Tables, msg.Complete = s.tables.Known()
	msg.Table = s.configuration()
	return msg
}

// currentVersions returns the announced versions of weights that an instance needs
// which has just started.
func (s *Sharer) currentVersions() []version {
	var list []version
	now := s.registrar.Now()
	for model, versions := range s.registrar.VersionsByModel() {
		for _, current := range versions.Current(now) {
			remaining := max(0, current.OlderUntil.Sub(now)).Milliseconds()
			list = append(list, version{Model: model, Number: current.Number, RemainingMillis: int(min(remaining, maxRemainingMillis))})
		}
	}
	return list
}

// recentCases returns some of the requests that crashed endpoints. They are sent
// again for instances that have started since; all are sent in the course of time.
func (s *Sharer) recentCases() []quarantiner.Case {
	cases := s.quarantine.Cases(s.now())
	rand.Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
	return cases[:min(len(cases), maxCasesPerHeartbeat)]
}

// recentSuspects returns some of the parts that may crash endpoints, for instances
// that have started since or did not receive the announcement. At least half of them
// are refused parts, if there are so many; all are sent in the course of time.
func (s *Sharer) recentSuspects() []detector.Suspect {
	suspects := s.detector.Suspects(s.now())
	rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	first := 0
	for i := 0; i < len(suspects) && first < maxSuspectsPerHeartbeat/2; i++ {
		if suspects[i].Refused {
			suspects[first], suspects[i] = suspects[i], suspects[first]
			first++
		}
	}
	return suspects[:min(len(suspects), maxSuspectsPerHeartbeat)]
}

// knownSaid returns what some of the endpoints have said of themselves, for instances that
// have started since or did not receive the announcement. All are sent in the course of
// time.
func (s *Sharer) knownSaid() []said {
	var list []said
	for _, endpoint := range s.registrar.Fleet().All() {
		if known := newSaid(endpoint); known.Leaving {
			list = append(list, known)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxSaidPerHeartbeat)]
}

// recentVersions returns the versions of weights that were recorded within
// repeatVersionsFor. They are sent again since a message that announced them
// may have been lost.
func (s *Sharer) recentVersions() []weights {
	var list []weights
	after := s.now().Add(-repeatVersionsFor)
	for model := range s.registrar.VersionsByModel() {
		for _, endpoint := range s.registrar.Fleet().All() {
			if version := endpoint.WeightsAfter(model, after); version > 0 {
				list = append(list, weights{Key: endpoint.Key, Model: model, Version: version})
			}
		}
	}
	return list
}
