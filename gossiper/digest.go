package gossiper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/messenger"
	"wisteriadrum/packer"
)

// digest returns what this instance tells another.
func (g *Gossiper) digest() *messenger.Digest {
	now := g.now()
	g.mu.Lock()
	digest := &messenger.Digest{From: g.selfNow()}
	for _, known := range g.members { // in random order
		if len(digest.Members) == sampled {
			break
		}
		if now.Sub(known.heard) < deadAfter {
			digest.Members = append(digest.Members, known.Member)
		}
	}
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

// merge takes in what another instance told, and passes on what was news.
func (g *Gossiper) merge(ctx context.Context, digest messenger.Digest) {
	now := g.now()
	g.meet(digest.From, now)
	for _, member := range digest.Members {
		g.meet(member, now)
	}
	news := g.follow.MergeStops(digest.Stops)
	news = g.ward.Merge(digest.Cases, now) || news
	if index := g.board.Index.Load(); index == nil || digest.From.Number > index.Number {
		news = g.pull(ctx, digest) || news
	}
	g.takeLoads(digest, now)
	if news {
		g.News()
	}
}

// meet notes a sign of life: a later start, or a higher beat.
func (g *Gossiper) meet(other messenger.Member, now time.Time) {
	if other.Name == g.self.Name {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.members[other.Name]
	newer := known == nil || other.Boot.After(known.Boot) || other.Boot.Equal(known.Boot) && other.Beat > known.Beat
	if !newer {
		return
	}
	if known == nil || other.Boot.After(known.Boot) {
		g.log.Info("instance met", zap.String("name", other.Name), zap.Time("boot", other.Boot))
	}
	g.members[other.Name] = &member{Member: other, heard: now}
}

// pull fetches the configuration that another instance has in force.
func (g *Gossiper) pull(ctx context.Context, digest messenger.Digest) bool {
	if digest.From.Number == 0 {
		return false
	}
	var source Source
	if err := g.call(ctx, digest.From.Peer, "Peer.Set", digest.From.Number, &source); err != nil {
		g.count.Add("peers", "pull-failures")
		return false
	}
	if err := g.follow.Adopt(source.Number, source.Digest, source.Text); err != nil {
		g.log.Warn("configuration of another instance refused", zap.String("from", digest.From.Name), zap.Error(err))
		return false
	}
	return true
}

// loads returns the reports that are fresh enough to pass on.
func (g *Gossiper) loads(now time.Time) []packer.Load {
	var loads []packer.Load
	fleet := g.board.Fleet.Load()
	for i, endpoint := range g.board.Index.Load().Set.Endpoints {
		track := fleet.Track(endpoint.Name)
		if track == nil {
			continue
		}
		if view := track.View(); now.Sub(view.At) < loadAge {
			loads = append(loads, packer.Load{Index: uint16(i), At: view.At, Report: view.Report})
		}
	}
	return loads
}

func (g *Gossiper) takeLoads(digest messenger.Digest, now time.Time) {
	index, fleet := g.board.Index.Load(), g.board.Fleet.Load()
	if index == nil || index.Digest != digest.Set {
		return
	}
	for _, load := range packer.Unpack(digest.Loads, now) {
		if int(load.Index) >= len(index.Set.Endpoints) {
			return
		}
		track := fleet.Track(index.Set.Endpoints[load.Index].Name)
		if track != nil && load.At.After(track.View().At.Add(loadAge/6)) {
			track.Report(load.Report, load.At, g.slot)
		}
	}
}
