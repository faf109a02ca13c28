package wisteriadrum

import (
	"context"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/attester"
	"wisteriadrum/follower"
	"wisteriadrum/messenger"
	"wisteriadrum/operator"
	"wisteriadrum/pacer"
	"wisteriadrum/stopper"
	"wisteriadrum/tabler"
)

const (
	// stopWrite bounds the time to write a planned stop to the platform.
	stopWrite = 3 * time.Second
	// forceWait bounds the time to wait until a set is in force everywhere.
	forceWait = 3 * time.Second
)

// Ready reports whether new requests should be sent to this instance.
func (i *Instance) Ready() bool {
	stopped := i.board.Stops.Load().Active(i.settings.Name)
	return i.board.Index.Load() != nil && !i.board.Draining.Load() && !stopped
}

// Status describes this instance.
func (i *Instance) Status() operator.Status {
	status := operator.Status{
		Instance: i.settings.Name, DataCentre: i.settings.DataCentre,
		Draining: i.board.Draining.Load(), InFlight: i.limits.InFlight(), Members: i.gossip.Members(),
	}
	sort.Slice(status.Members, func(a, b int) bool { return status.Members[a].Name < status.Members[b].Name })
	if index := i.board.Index.Load(); index != nil {
		status.Number, status.Digest = index.Number, index.Digest
	}
	for name, track := range i.board.Fleet.Load().All() {
		status.Endpoints = append(status.Endpoints, operator.Endpoint{
			Name: name, Open: track.Available(time.Now()), InFlight: track.InFlight(), Report: track.View().Report,
		})
	}
	sort.Slice(status.Endpoints, func(a, b int) bool { return status.Endpoints[a].Name < status.Endpoints[b].Name })
	return status
}

// Publish checks and publishes a set, takes it in and tells the others.
func (i *Instance) Publish(ctx context.Context, source []byte, base *uint64) (follower.Head, error) {
	head, err := i.publish.Publish(ctx, source, base)
	if err != nil {
		return head, err
	}
	i.follow.Poll(ctx)
	i.gossip.Notify()
	return head, nil
}

// WaitInForce tells the live instances of number and returns in how many of them
// it is in force, waiting a while for all of them.
func (i *Instance) WaitInForce(ctx context.Context, number uint64) (int, int) {
	ctx, cancel := context.WithTimeout(ctx, forceWait)
	defer cancel()
	for {
		i.gossip.SyncAll(ctx)
		members := i.gossip.Members()
		inForce := 0
		for _, member := range members {
			if member.Number >= number {
				inForce++
			}
		}
		if inForce == len(members) || !pacer.Wait(ctx, forceWait/30) {
			return inForce, len(members)
		}
	}
}

// SetStop begins or ends the planned stop of an endpoint or instance. It holds
// at once here, within seconds elsewhere, and is written to the platform as
// soon as that answers.
func (i *Instance) SetStop(ctx context.Context, name string, active bool) error {
	if !i.exists(name) {
		return eris.Errorf("no endpoint or instance is named %q", name)
	}
	change := i.board.Stops.Load().Change(name, active, i.settings.Name)
	i.follow.MergeStops([]stopper.Stop{change})
	i.gossip.Notify()
	limit, cancel := context.WithTimeout(ctx, stopWrite)
	defer cancel()
	if err := i.publish.PublishStops(limit, change); err != nil {
		i.log.Warn("planned stop not written to the platform yet", zap.String("name", name), zap.Error(err))
	}
	return nil
}

// ClaimStatus says how a claim of this instance stands.
func (i *Instance) ClaimStatus(ctx context.Context, token string) attester.Status {
	return i.claims.ClaimStatus(ctx, token)
}

// Apply commits a write in a batch of this instance.
func (i *Instance) Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error) {
	return i.batch.Apply(ctx, write)
}

// Decide chooses as the home of a prefix.
func (i *Instance) Decide(question messenger.AdviceRequest) (messenger.Advice, error) {
	return i.decide.Decide(question)
}

// RecordOutcome takes in what came of a choice.
func (i *Instance) RecordOutcome(outcome messenger.Outcome) { i.decide.RecordOutcome(outcome) }

// Counters returns all counters by name.
func (i *Instance) Counters() map[string]int64 {
	values := map[string]int64{}
	i.registry.Each(func(name string, metric any) {
		if counted, ok := metric.(metrics.Counter); ok {
			values[name] = counted.Count()
		}
	})
	return values
}

func (i *Instance) exists(name string) bool {
	if i.board.Fleet.Load().Track(name) != nil {
		return true
	}
	for _, member := range i.gossip.Members() {
		if member.Name == name {
			return true
		}
	}
	return false
}
