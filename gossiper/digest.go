package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/compressor"
	"wisteriadrum/messenger"
	"wisteriadrum/packer"
)

// digest returns the state that this instance sends in an exchange.
func (g *Gossiper) digest() *messenger.Digest {
	now := g.now()
	g.mu.Lock()
	digest := &messenger.Digest{From: g.selfMember()}
	digest.Members, digest.Beats = g.sampleMembers(now)
	g.mu.Unlock()
	stops := g.board.Stops.Load()
	digest.Stops = stops.List()
	digest.Cases = g.quarantine.Cases(now)
	if index := g.board.Index.Load(); index != nil {
		digest.Set = index.Digest
		digest.Loads = packer.Pack(g.freshLoads(now), now)
	}
	return digest
}

// sampleMembers returns a few live members in full and the packed heartbeats of
// many. The lock must be held.
func (g *Gossiper) sampleMembers(now time.Time) ([]messenger.Member, []byte) {
	var members []messenger.Member
	var heartbeats []packer.Heartbeat
	for _, known := range g.members { // map iteration order is random
		if now.Sub(known.lastSeen) >= failureTimeout {
			continue
		}
		if len(members) < digestMembers {
			members = append(members, known.Member)
		}
		heartbeats = append(heartbeats, packer.Heartbeat{BootHash: packer.BootHash(known.Name, known.Boot), Count: uint32(known.Beat), Leaving: known.Leaving})
		if len(heartbeats) == digestHeartbeats {
			break
		}
	}
	return members, packer.PackHeartbeats(heartbeats)
}

// applyHeartbeats records newer heartbeats of members that are known in full.
func (g *Gossiper) applyHeartbeats(packed []byte, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	byBoot := make(map[uint32]*member, len(g.members))
	for _, known := range g.members {
		byBoot[packer.BootHash(known.Name, known.Boot)] = known
	}
	for _, beat := range packer.UnpackHeartbeats(packed) {
		known := byBoot[beat.BootHash]
		if known == nil || uint64(beat.Count) <= known.Beat {
			continue
		}
		next := *known
		next.Beat, next.Leaving, next.lastSeen = uint64(beat.Count), beat.Leaving, now
		g.members[known.Name] = &next
		g.enroller.Hear(known.Name, known.DataCentre, 1, now)
	}
}

// merge applies the digest of another instance and notifies others of changes.
func (g *Gossiper) merge(ctx context.Context, digest messenger.Digest) {
	now := g.now()
	g.updateMember(digest.From, now)
	for _, member := range digest.Members {
		g.updateMember(member, now)
	}
	g.applyHeartbeats(digest.Beats, now)
	changed := g.follow.MergeStops(digest.Stops)
	changed = g.quarantine.Merge(digest.Cases, now) || changed
	if index := g.board.Index.Load(); index == nil || digest.From.Number > index.Number {
		changed = g.fetchConfig(ctx, digest) || changed
	}
	g.applyLoads(digest, now)
	if changed {
		g.Notify()
	}
}

// updateMember records a member with a later boot time or a higher heartbeat.
// An equal heartbeat does not refresh lastSeen, but may carry a newer
// configuration number.
func (g *Gossiper) updateMember(other messenger.Member, now time.Time) {
	if other.Name == g.self.Name {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.members[other.Name]
	upToDate := known == nil || other.Boot.After(known.Boot) || other.Boot.Equal(known.Boot) && other.Beat >= known.Beat
	if !upToDate {
		return
	}
	if known == nil || other.Boot.After(known.Boot) {
		g.log.Info("instance discovered", zap.String("name", other.Name), zap.Time("boot", other.Boot))
	}
	if known != nil && other.Boot.Equal(known.Boot) {
		other.Number = max(other.Number, known.Number)
		if other.Beat == known.Beat {
			now = known.lastSeen
		}
	}
	g.members[other.Name] = &member{Member: other, lastSeen: now}
	g.enroller.Hear(other.Name, other.DataCentre, 1, now)
	if known == nil {
		select {
		case g.discovered <- struct{}{}:
		default:
		}
	}
}

// fetchConfig fetches the configuration in force at the sender of digest and
// reports whether it was adopted.
func (g *Gossiper) fetchConfig(ctx context.Context, digest messenger.Digest) bool {
	if digest.From.Number == 0 {
		return false
	}
	var reply ConfigReply
	if err := g.call(ctx, digest.From.Peer, "Peer.Set", digest.From.Number, &reply); err != nil {
		g.count.Add("peers", "pull-failures")
		return false
	}
	source, err := compressor.Decompress(reply.Packed)
	if err == nil {
		err = g.follow.Adopt(reply.Number, reply.Digest, source)
	}
	if err != nil {
		g.log.Warn("configuration of another instance rejected", zap.String("from", digest.From.Name), zap.Error(err))
		return false
	}
	return true
}

// freshLoads returns a random selection of the load reports younger than
// maxLoadAge.
func (g *Gossiper) freshLoads(now time.Time) []packer.Load {
	var loads []packer.Load
	fleet := g.board.Fleet.Load()
	for i, endpoint := range g.board.Index.Load().Config.Endpoints {
		track := fleet.Track(endpoint.Name)
		if track == nil {
			continue
		}
		if view := track.View(); now.Sub(view.ReportedAt) < maxLoadAge {
			loads = append(loads, packer.Load{Index: uint16(i), ReceivedAt: view.ReportedAt, Report: view.Report})
		}
	}
	rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
	return loads[:min(len(loads), digestLoads)]
}

// applyLoads records the load reports in digest if both instances have the same
// configuration. It ignores a report that is less than maxLoadAge/6 newer than
// the known one.
func (g *Gossiper) applyLoads(digest messenger.Digest, now time.Time) {
	index, fleet := g.board.Index.Load(), g.board.Fleet.Load()
	if index == nil || index.Digest != digest.Set {
		return
	}
	for _, load := range packer.Unpack(digest.Loads, now) {
		if int(load.Index) >= len(index.Config.Endpoints) {
			return
		}
		track := fleet.Track(index.Config.Endpoints[load.Index].Name)
		if track != nil && load.ReceivedAt.After(track.View().ReportedAt.Add(maxLoadAge/6)) {
			track.ApplyReport(load.Report, load.ReceivedAt, g.newSlot)
		}
	}
}
