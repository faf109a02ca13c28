package roller

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/leaser"
	"wisteriadrum/monitor"
	"wisteriadrum/pacer"
)

// startUpdate updates an engine concurrently with the following rounds.
func (r *Roller) startUpdate(ctx context.Context, endpoint *monitor.Monitor, t task) {
	r.setOutOfService(endpoint.Key, true)
	go func() {
		startedAt := r.now()
		r.update(ctx, endpoint, t)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.updating, endpoint.Key)
		if endpoint.Weights(t.model) < t.version {
			r.failures[endpoint.Key]++
			return
		}
		delete(r.failures, endpoint.Key)
		r.recordUpdate(float64(r.now().Sub(startedAt).Milliseconds()))
	}()
}

// recordUpdate adds the time that an update took to the moving average. The
// caller holds the lock.
func (r *Roller) recordUpdate(millis float64) {
	if r.updateMillis == 0 {
		r.updateMillis = millis
	}
	r.updateMillis += (millis - r.updateMillis) * updateWeight
}

// update takes an engine out of service, orders it to load the version and
// waits until it has it.
func (r *Roller) update(ctx context.Context, endpoint *monitor.Monitor, t task) {
	report, err := r.report(ctx, endpoint)
	if err != nil || r.finished(endpoint, t, report) {
		return
	}
	if report.Busy {
		r.awaitVersion(ctx, endpoint, t)
		return
	}
	r.announceLoading(endpoint, t)
	r.awaitQueue(ctx, endpoint)
	order, err := r.sendOrder(ctx, endpoint, t, report.AcceptedOrders)
	if errors.Is(err, errNotSent) {
		return
	}
	r.log.Info("weights ordered", zap.String("endpoint", endpoint.Entry().Name), zap.String("model", t.model), zap.Int("version", t.version),
		zap.Uint64("fence", order.FencingToken), zap.Int("expected", order.ExpectedOrders), zap.Int("flight", endpoint.OwnLoad().Requests), zap.String("outcome", outcome(err)))
	switch {
	case errors.Is(err, ErrFenced):
		r.count.Add("orders", "fenced")
		r.held.Store(leaser.Lease{})
		return
	case errors.Is(err, ErrOutcomeUnknown):
		r.count.Add("orders", "unanswered")
		r.awaitUnanswered(ctx, endpoint, t, report.AcceptedOrders)
		return
	case err != nil && !errors.Is(err, ErrBusy):
		r.count.Add("orders", "refused")
		return
	}
	r.count.Add("orders", "given")
	r.awaitVersion(ctx, endpoint, t)
}

// errNotSent means that no order was sent.
var errNotSent = errors.New("order was not sent")

// sendOrder sends an order unless the lease has ended or is only reserved, the roller
// has stopped or the endpoint has left.
func (r *Roller) sendOrder(ctx context.Context, endpoint *monitor.Monitor, t task, acceptedOrders int) (Order, error) {
	r.ordering.RLock()
	defer r.ordering.RUnlock()
	held := r.held.Load()
	order := Order{Model: t.model, Version: t.version, FencingToken: held.FencingToken, ExpectedOrders: acceptedOrders}
	if r.stopped || held.Reserved || !held.Valid(r.now()) || endpoint.Left(time.Now()) || isHeld(endpoint) {
		return order, errNotSent
	}
	r.mu.Lock()
	r.lastOrder = r.now()
	r.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return order, r.engines.Order(limit, endpoint.Entry(), order)
}

// isHeld reports whether the endpoint wants no calls now.
func isHeld(endpoint *monitor.Monitor) bool { return endpoint.Said().WaitUntil().After(time.Now()) }

func (r *Roller) hasStopped() bool {
	r.ordering.RLock()
	defer r.ordering.RUnlock()
	return r.stopped
}

// outcome returns the log text for the result of an order.
func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// awaitVersion polls the engine until it has the version, does not answer or
// exceeds the load timeout.
func (r *Roller) awaitVersion(ctx context.Context, endpoint *monitor.Monitor, t task) {
	deadline, announceAt := r.now().Add(loadTimeout), r.now().Add(announceInterval)
	for pacer.Wait(ctx, roundInterval) && r.now().Before(deadline) {
		report, err := r.report(ctx, endpoint)
		if errors.Is(err, errHeld) {
			continue
		}
		if err != nil || r.finished(endpoint, t, report) {
			return
		}
		if !report.Busy {
			continue
		}
		deadline = r.now().Add(loadTimeout / 2)
		if !r.now().Before(announceAt) {
			r.announceLoading(endpoint, t)
			announceAt = r.now().Add(announceInterval)
		}
	}
}

// announceLoading marks an engine as out of service at all instances.
func (r *Roller) announceLoading(endpoint *monitor.Monitor, t task) {
	endpoint.MarkLoading(time.Now().Add(loadTimeout / 2))
	r.sharer.AnnounceWeights(endpoint, t.model, 0, int((loadTimeout / 2).Milliseconds()))
}

// announceServing ends that mark, at the other instances as soon as it reaches them.
func (r *Roller) announceServing(endpoint *monitor.Monitor, t task) {
	endpoint.MarkLoading(time.Time{})
	r.sharer.AnnounceWeights(endpoint, t.model, 0, 1)
}

// awaitQueue waits until the other instances have stopped sending requests to
// the engine and its queued requests run, since an order makes the engine
// refuse the requests in its queue. The wait is bounded by maxQueueWait.
func (r *Roller) awaitQueue(ctx context.Context, endpoint *monitor.Monitor) {
	deadline := r.now().Add(maxQueueWait)
	for pacer.Wait(ctx, announceDelay) && r.now().Before(deadline) {
		view := endpoint.View("", time.Now())
		if view.Engine == nil || view.Load.Requests <= view.Engine.Slots {
			return
		}
	}
}

// errHeld means that the endpoint wants no calls now.
var errHeld = errors.New("endpoint wants no calls")

func (r *Roller) report(ctx context.Context, endpoint *monitor.Monitor) (Report, error) {
	if isHeld(endpoint) {
		return Report{}, errHeld
	}
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := r.engines.Report(limit, endpoint.Entry())
	if err != nil {
		r.count.Add("orders", "no-report")
		r.mu.Lock()
		r.retryAt[endpoint.Key] = r.now().Add(reportPause)
		r.mu.Unlock()
		r.log.Info("engine did not report", zap.String("endpoint", endpoint.Entry().Name), zap.String("error", err.Error()))
		return report, err
	}
	return report, nil
}

// RefreshWeights requests the weights of an engine in the background. It is
// called after the engine refused a request because it has other weights than
// recorded.
func (r *Roller) RefreshWeights(endpoint *monitor.Monitor) {
	if r.isUnavailable(endpoint.Key) || isHeld(endpoint) {
		return
	}
	r.mu.Lock()
	r.retryAt[endpoint.Key] = r.now().Add(reportPause)
	r.mu.Unlock()
	go func() {
		report, err := r.report(context.Background(), endpoint)
		if err != nil {
			return
		}
		for model, version := range report.Weights {
			endpoint.SetWeights(model, version)
		}
		r.log.Info("weights of an engine refreshed", zap.String("endpoint", endpoint.Entry().Name), zap.Any("weights", report.Weights))
	}()
}

// finished records the reported version, reports whether the engine has the
// version of the task, and announces it if so.
func (r *Roller) finished(endpoint *monitor.Monitor, t task, report Report) bool {
	has := report.Weights[t.model]
	if has == 0 {
		return false
	}
	endpoint.SetWeights(t.model, has)
	if has < t.version {
		return false
	}
	endpoint.MarkLoading(time.Time{})
	r.sharer.AnnounceWeights(endpoint, t.model, has, 0)
	return true
}
