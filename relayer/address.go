package relayer

import (
	"errors"
	"slices"
	"syscall"

	"go.uber.org/zap"

	"wisteriadrum/monitor"
)

// recordDialFailure records that an endpoint could not be dialled. That nothing listens
// there holds for all instances; another failure may be due to this one's network.
func (r *Relayer) recordDialFailure(endpoint *monitor.Monitor, err error) {
	now := r.deps.Now()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		endpoint.RecordFailure(now)
		return
	}
	if !endpoint.RecordReset(now) {
		return
	}
	r.deps.Count.Add("endpoints", "refusing")
	r.deps.Log.Info("nothing listens at this address", zap.String("endpoint", endpoint.Entry().Name))
	r.deps.AnnounceRefusing(endpoint)
}

// recordTaken records that another endpoint answers at the address of an attempt's endpoint.
func (r *Relayer) recordTaken(a *attempt, found string) {
	other := r.deps.Registrar.Fleet().All()[found]
	// An unknown endpoint may be a new one of the same pool.
	if other != nil && other.Entry().Pool != a.entry.Pool && !slices.Contains(a.misdirected, other.Entry().Pool) {
		a.misdirected = append(a.misdirected, other.Entry().Pool)
	}
	now := r.deps.Now()
	if a.endpoint.Left(now) {
		return // other requests found it before
	}
	a.endpoint.MarkLeaving(now)
	r.deps.Count.Add("endpoints", "taken")
	r.deps.Log.Warn("another endpoint answers at this address", zap.String("endpoint", a.entry.Name), zap.String("found", found))
	r.deps.AnnounceTaken(a.endpoint)
}
