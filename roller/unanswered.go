package roller

import (
	"context"
	"errors"
	"time"

	"wisteriadrum/monitor"
	"wisteriadrum/pacer"
)

const (
	// unansweredTimeout is how long an order that was not answered is waited for, and
	// unansweredInterval the interval of the reports meanwhile.
	unansweredTimeout  = 8 * time.Second
	unansweredInterval = 500 * time.Millisecond
	// resendInterval is the interval at which such an order is sent again.
	resendInterval = 1500 * time.Millisecond
)

// awaitUnanswered waits until an engine executes an order that it has not answered, or
// accepts none for long. The engine serves meanwhile, so that others can be updated. The
// order is sent again, since it may be lost or executed late: the engine executes it once
// only, as it demands the number of orders accepted before.
func (r *Roller) awaitUnanswered(ctx context.Context, endpoint *monitor.Monitor, t task, accepted int) {
	r.setOutOfService(endpoint.Key, false)
	deadline, resendAt := r.now().Add(unansweredTimeout), r.now().Add(resendInterval)
	for pause := time.Duration(0); pacer.Wait(ctx, pause) && r.now().Before(deadline); pause = unansweredInterval {
		report, err := r.report(ctx, endpoint)
		if errors.Is(err, errHeld) {
			continue
		}
		if err != nil || r.finished(endpoint, t, report) || report.AcceptedOrders != accepted && !report.Busy {
			return
		}
		executed := report.Busy
		if !executed && pause == 0 {
			r.announceServing(endpoint, t)
		}
		if !executed && !r.now().Before(resendAt) {
			_, err = r.sendOrder(ctx, endpoint, t, accepted)
			resendAt = r.now().Add(resendInterval)
			if err != nil && !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrBusy) {
				return
			}
			r.count.Add("orders", "resent")
			executed = err == nil
		}
		if executed {
			r.setOutOfService(endpoint.Key, true)
			r.announceLoading(endpoint, t)
			r.awaitVersion(ctx, endpoint, t)
			return
		}
	}
}

// setOutOfService records that an engine is being updated, and whether it is out of
// service for that.
func (r *Roller) setOutOfService(key uint64, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updating[key] = out
}

// outOfService returns the number of engines that are out of service. The caller holds the
// lock.
func (r *Roller) outOfService() int {
	count := 0
	for _, out := range r.updating {
		if out {
			count++
		}
	}
	return count
}
