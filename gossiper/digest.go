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

// digest returns what this instance tells another.
func (g *Gossiper) digest() *messenger.Digest {
	now := g.now()
	g.mu.Lock()
	digest := &messenger.Digest{From: g.selfNow()}
	digest.Members, digest.Beats = g.sample(now)
	g.mu.Unlock()
	stops := g.board.Stops.Load()
	digest.StopsHash, digest.Stops = stops.Hash(), stops.List()
	digest.Cases = g.ward.Cases(now)
	if index := g.board.Index.Load(); index != nil {
		digest.Set = index.Digest
		digest.Loads = packer.Pack(g.loads(now), now)
	}
	return digest
}

// sample returns a few live members in full and the beats of many. The lock
// must be held.
func (g *Gossiper) sample(now time.Time) ([]messenger.Member, []byte) {
	var members []messenger.Member
	var beats []packer.Heartbeat
	for _, known := range g.members { // in random order
		if now.Sub(known.heard) >= deadAfter {
			continue
		}
		if len(members) < sampled {
			members = append(members, known.Member)
		}
		beats = append(beats, packer.Heartbeat{BootHash: packer.BootHash(known.Name, known.Boot), Count: uint32(known.Beat), Leaving: known.Leaving})
		if len(beats) == beating {
			break
		}
	}
	return members, packer.PackHeartbeats(beats)
}

// hearBeats notes the signs of life of members that are known in full.
func (g *Gossiper) hearBeats(packed []byte, now time.Time) {
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
		next.Beat, next.Leaving, next.heard = uint64(beat.Count), beat.Leaving, now
		g.members[known.Name] = &next
	}
}

// merge takes in what another instance told, and passes on what was news.
func (g *Gossiper) merge(ctx context.Context, digest messenger.Digest) {
	now := g.now()
	g.meet(digest.From, now)
	for _, member := range digest.Members {
		g.meet(member, now)
	}
	g.hearBeats(digest.Beats, now)
	news := g.follow.MergeStops(digest.Stops)
	news = g.ward.Merge(digest.Cases, now) || news
	if index := g.board.Index.Load(); index == nil || digest.From.Number > index.Number {
		news = g.pull(ctx, digest) || news
	}
	g.takeLoads(digest, now)
	if news {
		g.Notify()
	}
}

// meet notes a sign of life: a later start, or a higher beat. An equal beat is
// no new sign, but may tell of a newer configuration.
func (g *Gossiper) meet(other messenger.Member, now time.Time) {
	if other.Name == g.self.Name {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.members[other.Name]
	newer := known == nil || other.Boot.After(known.Boot) || other.Boot.Equal(known.Boot) && other.Beat >= known.Beat
	if !newer {
		return
	}
	if known == nil || other.Boot.After(known.Boot) {
		g.log.Info("instance met", zap.String("name", other.Name), zap.Time("boot", other.Boot))
	}
	if known != nil && other.Boot.Equal(known.Boot) {
		other.Number = max(other.Number, known.Number)
		if other.Beat == known.Beat {
			now = known.heard
		}
	}
	g.members[other.Name] = &member{Member: other, heard: now}
}

// pull fetches the configuration that another instance has in force.
func (g *Gossiper) pull(ctx context.Context, digest messenger.Digest) bool {
	if digest.From.Number == 0 {
		return false
	}
	var source ConfigReply
	if err := g.call(ctx, digest.From.Peer, "Peer.Set", digest.From.Number, &source); err != nil {
		g.count.Add("peers", "pull-failures")
		return false
	}
	text, err := compressor.Decompress(source.Packed)
	if err == nil {
		err = g.follow.Adopt(source.Number, source.Digest, text)
	}
	if err != nil {
		g.log.Warn("configuration of another instance refused", zap.String("from", digest.From.Name), zap.Error(err))
		return false
	}
	return true
}

// loads returns the reports that are fresh enough to pass on.
func (g *Gossiper) loads(now time.Time) []packer.Load {
	var loads []packer.Load
	fleet := g.board.Fleet.Load()
	for i, endpoint := range g.board.Index.Load().Config.Endpoints {
		track := fleet.Track(endpoint.Name)
		if track == nil {
			continue
		}
		if view := track.View(); now.Sub(view.ReportedAt) < loadAge {
			loads = append(loads, packer.Load{Index: uint16(i), ReceivedAt: view.ReportedAt, Report: view.Report})
		}
	}
	rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
	return loads[:min(len(loads), loaded)]
}

func (g *Gossiper) takeLoads(digest messenger.Digest, now time.Time) {
	index, fleet := g.board.Index.Load(), g.board.Fleet.Load()
	if index == nil || index.Digest != digest.Set {
		return
	}
	for _, load := range packer.Unpack(digest.Loads, now) {
		if int(load.Index) >= len(index.Config.Endpoints) {
			return
		}
		track := fleet.Track(index.Config.Endpoints[load.Index].Name)
		if track != nil && load.ReceivedAt.After(track.View().ReportedAt.Add(loadAge/6)) {
			track.ApplyReport(load.Report, load.ReceivedAt, g.slot)
		}
	}
}
