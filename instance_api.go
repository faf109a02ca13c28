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
	// stopWriteTimeout limits one write of planned stops to the platform.
	stopWriteTimeout = 3 * time.Second
	// inForceTimeout limits the wait until a configuration is in force in all
	// live instances.
	inForceTimeout = 3 * time.Second
)

// Ready reports whether new requests should be sent to this instance.
func (i *Instance) Ready() bool {
	stopped := i.board.Stops.Load().Active(i.settings.Name)
	return i.board.Index.Load() != nil && !i.board.Draining.Load() && !stopped
}

// Status returns the state of this instance, with members and endpoints sorted by
// name.
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
			Name: name, Available: track.Available(time.Now()), InFlight: track.InFlight(), Report: track.View().Report,
		})
	}
	sort.Slice(status.Endpoints, func(a, b int) bool { return status.Endpoints[a].Name < status.Endpoints[b].Name })
	return status
}

// Publish validates and publishes a configuration, puts it in force in this
// instance and notifies the others. Errors are those of publisher.Publisher.
func (i *Instance) Publish(ctx context.Context, source []byte, base *uint64) (follower.Head, error) {
	head, err := i.publish.Publish(ctx, source, base)
	if err != nil {
		return head, err
	}
	i.follow.Poll(ctx)
	i.gossip.Notify()
	return head, nil
}

// WaitInForce gossips with all live instances until the configuration number is
// in force in each of them, for at most inForceTimeout. It returns the number of
// instances with that or a newer configuration in force and the number of live
// instances.
func (i *Instance) WaitInForce(ctx context.Context, number uint64) (int, int) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
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
		if inForce == len(members) || !pacer.Wait(ctx, inForceTimeout/30) {
			return inForce, len(members)
		}
	}
}

// SetStop begins or ends the planned stop of an endpoint or instance. The change
// takes effect immediately in this instance and within seconds in the others. It
// is written to the platform as soon as the platform is reachable. The error
// means that no endpoint or instance has the name.
func (i *Instance) SetStop(ctx context.Context, name string, active bool) error {
	if !i.hasName(name) {
		return eris.Errorf("no endpoint or instance is named %q", name)
	}
	change := i.board.Stops.Load().Change(name, active, i.settings.Name)
	i.follow.MergeStops([]stopper.Stop{change})
	i.gossip.Notify()
	writeCtx, cancel := context.WithTimeout(ctx, stopWriteTimeout)
	defer cancel()
	if err := i.publish.PublishStops(writeCtx, change); err != nil {
		i.log.Warn("writing the planned stop to the platform failed; retrying in the background", zap.String("name", name), zap.Error(err))
	}
	return nil
}

// ClaimStatus returns the status of a claim made by this instance.
func (i *Instance) ClaimStatus(ctx context.Context, token string) attester.Status {
	return i.claims.ClaimStatus(ctx, token)
}

// Apply commits a write in this instance's next batch.
func (i *Instance) Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error) {
	return i.batch.Apply(ctx, write)
}

// Decide chooses an endpoint for a request of another instance. This instance is
// the home instance of the request's prompt prefix.
func (i *Instance) Decide(request messenger.AdviceRequest) (messenger.Advice, error) {
	return i.decide.Decide(request)
}

// RecordOutcome records the result of an earlier Decide.
func (i *Instance) RecordOutcome(outcome messenger.Outcome) { i.decide.RecordOutcome(outcome) }

// Counters returns all counters by name.
func (i *Instance) Counters() map[string]int64 {
	values := map[string]int64{}
	i.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			values[name] = counter.Count()
		}
	})
	return values
}

// hasName reports whether an endpoint or a live instance is named name.
func (i *Instance) hasName(name string) bool {
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

// noTableClock returns no time, since the answers of the table service contain none.
func noTableClock() (time.Time, bool) { return time.Time{}, false }
