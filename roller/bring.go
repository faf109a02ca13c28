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

// begin takes an engine out of service and orders it beside the other rounds.
func (r *Roller) begin(ctx context.Context, place *monitor.Monitor, t task) {
	r.mu.Lock()
	r.busy[place.Key] = true
	r.mu.Unlock()
	go func() {
		defer func() {
			r.mu.Lock()
			delete(r.busy, place.Key)
			r.mu.Unlock()
		}()
		r.bring(ctx, place, t)
	}()
}

// bring brings one engine to a version.
func (r *Roller) bring(ctx context.Context, place *monitor.Monitor, t task) {
	report, err := r.report(ctx, place)
	if err != nil || r.done(place, t, report) {
		return
	}
	if report.Busy {
		r.follow(ctx, place, t)
		return
	}
	r.notice(place, t)
	r.empty(ctx, place)
	order, err := r.give(ctx, place, t, report.AcceptedOrders)
	if errors.Is(err, errNotGiven) {
		return
	}
	r.log.Info("weights ordered", zap.String("endpoint", place.Entry().Name), zap.String("model", t.model), zap.Int("version", t.version),
		zap.Uint64("fence", order.FencingToken), zap.Int("expected", order.ExpectedOrders), zap.Int("flight", place.OwnLoad().Requests), zap.String("outcome", verdict(err)))
	switch {
	case errors.Is(err, ErrFenced):
		r.count.Add("orders", "fenced")
		r.held.Store(leaser.Lease{})
		return
	case err != nil && !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrBusy):
		r.count.Add("orders", "refused")
		return
	}
	r.count.Add("orders", "given")
	r.follow(ctx, place, t)
}

// errNotGiven means that no order was sent.
var errNotGiven = errors.New("order was not given")

// give sends an order unless the lease or the right to order has ended.
func (r *Roller) give(ctx context.Context, place *monitor.Monitor, t task, seq int) (Order, error) {
	r.giving.RLock()
	defer r.giving.RUnlock()
	held := r.held.Load()
	order := Order{Model: t.model, Version: t.version, FencingToken: held.FencingToken, ExpectedOrders: seq}
	if r.stopped || !held.Valid(r.now()) || place.Left(time.Now()) {
		return order, errNotGiven
	}
	r.mu.Lock()
	r.lastOrder = r.now()
	r.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return order, r.engines.Order(limit, place.Entry(), order)
}

func (r *Roller) ended() bool {
	r.giving.RLock()
	defer r.giving.RUnlock()
	return r.stopped
}

// verdict returns what a log line says of an order's error.
func verdict(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// follow asks the engine until it has the version or has taken too long.
func (r *Roller) follow(ctx context.Context, place *monitor.Monitor, t task) {
	giveUp, noticeBy := r.now().Add(loadLimit), r.now().Add(noticeEvery)
	for pacer.Wait(ctx, roundEvery) && r.now().Before(giveUp) {
		report, err := r.report(ctx, place)
		if err != nil || r.done(place, t, report) {
			return
		}
		if !report.Busy {
			continue
		}
		giveUp = r.now().Add(loadLimit / 2)
		if !r.now().Before(noticeBy) {
			r.notice(place, t)
			noticeBy = r.now().Add(noticeEvery)
		}
	}
}

// notice tells that an engine goes or is out of service.
func (r *Roller) notice(place *monitor.Monitor, t task) {
	place.MarkLoading(time.Now().Add(loadLimit / 2))
	r.share.AnnounceWeights(place, t.model, 0, int((loadLimit / 2).Milliseconds()))
}

// empty waits until the others have heard that the engine goes out of service
// and what waits there has begun: an order refuses what has not.
func (r *Roller) empty(ctx context.Context, place *monitor.Monitor) {
	by := r.now().Add(emptyWait)
	for pacer.Wait(ctx, noticeWait) && r.now().Before(by) {
		view := place.View("", time.Now())
		if view.Engine == nil || view.Load.Requests <= view.Engine.Slots {
			return
		}
	}
}

func (r *Roller) report(ctx context.Context, place *monitor.Monitor) (Report, error) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := r.engines.Report(limit, place.Entry())
	if err != nil {
		r.count.Add("orders", "no-report")
		r.mu.Lock()
		r.askBy[place.Key] = r.now().Add(askPause)
		r.mu.Unlock()
		r.log.Info("engine did not report", zap.String("endpoint", place.Entry().Name), zap.String("error", err.Error()))
		return report, err
	}
	return report, nil
}

// RefreshWeights asks an engine which weights it has, because it refused a request for
// being on others than it was taken to have.
func (r *Roller) RefreshWeights(place *monitor.Monitor) {
	if r.isBusy(place.Key) {
		return
	}
	r.mu.Lock()
	r.askBy[place.Key] = r.now().Add(askPause)
	r.mu.Unlock()
	go func() {
		report, err := r.report(context.Background(), place)
		if err != nil {
			return
		}
		for model, version := range report.Weights {
			place.SetWeights(model, version)
		}
		r.log.Info("engine told its weights", zap.String("endpoint", place.Entry().Name), zap.Any("weights", report.Weights))
	}()
}

// done reports whether the engine has the version, and tells all if so.
func (r *Roller) done(place *monitor.Monitor, t task, report Report) bool {
	has := report.Weights[t.model]
	if has == 0 {
		return false
	}
	place.SetWeights(t.model, has)
	if has < t.version {
		return false
	}
	place.MarkLoading(time.Time{})
	r.share.AnnounceWeights(place, t.model, has, 0)
	return true
}
