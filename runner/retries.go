package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/pacer"
)

const (
	// budgetInterval is the interval at which the extra retries are divided anew,
	// firstBudgetInterval that before this instance knows the others.
	budgetInterval      = time.Second
	firstBudgetInterval = 50 * time.Millisecond
)

// retryDelay returns how long after it has reached the others an instance may use its share
// of the extra retries: once they know it, and no retry that they or an earlier process of
// this instance have sent from that share is in the window any more.
func retryDelay(options Options) time.Duration {
	delay := options.ContactMillis
	if !options.FirstStart {
		delay += options.Retries.WindowMillis
	}
	return time.Duration(delay) * time.Millisecond
}

// divideBudgets periodically divides the extra retries among the instances.
func (r *Runner) divideBudgets(ctx context.Context) {
	pause, lastMembers, lastShare := firstBudgetInterval, 0, 0.0
	for pacer.Wait(ctx, pause) {
		members, live := r.sharer.Members(), r.sharer.LiveCount()
		share := r.divider.Share(members, live, time.Now())
		r.relayer.SetInstances(live)
		r.relayer.SetRetryShare(share)
		r.count.Set("budget.members", members)
		r.count.Set("budget.share-permille", int(share*1000))
		if members != lastMembers || share != lastShare {
			r.log.Info("extra retries divided", zap.Int("members", members), zap.Int("live", live), zap.Float64("share", share))
		}
		lastMembers, lastShare = members, share
		if members > 0 {
			pause = budgetInterval
		}
	}
}
