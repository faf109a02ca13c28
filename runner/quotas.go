package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/divider"
	"wisteriadrum/pacer"
)

// offerInterval is the interval at which an instance offers the tokens of limits that it has
// left to the others.
const offerInterval = 400 * time.Millisecond

// keepQuotas periodically divides the limits of workspaces among the instances, and offers
// what this instance has left of its share.
func (r *Runner) keepQuotas(ctx context.Context) {
	divide := divider.New(time.Duration(r.options.ContactMillis) * time.Millisecond)
	last := 0.0
	for pacer.Wait(ctx, pacer.Jitter(offerInterval)) {
		if r.joined.Load() {
			divide.Rejoin()
		}
		members := r.sharer.Members()
		share := divide.Share(members, r.sharer.LiveCount(), time.Now())
		r.enforcer.SetShare(share)
		r.count.Set("quota.share-permille", int(share*1000))
		if share != last {
			r.log.Info("limits of workspaces divided", zap.Int("members", members), zap.Float64("share", share))
		}
		last = share
		if divide.Joined() {
			r.joined.Store(true)
		}
		r.enforcer.Offer()
	}
}

// findJoined finds out whether an earlier process of this instance had its share of the
// limits, which the others have left to it since.
func (r *Runner) findJoined(ctx context.Context) error {
	rows, err := r.deps.Rows.Get(ctx, instanceKeyPrefix+r.options.Name)
	if err != nil {
		return eris.Wrap(err, "read the row of this instance")
	}
	var listed instanceRow
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &listed); err != nil {
			r.log.Warn("malformed row of this instance replaced", zap.String("error", err.Error()))
		}
	}
	if listed.Joined {
		r.joined.Store(true)
	}
	return nil
}
