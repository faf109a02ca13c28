package wisteriadrum

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/drainer"
	"wisteriadrum/pacer"
)

const (
	// unreadyDelay is the time for which a stopping instance still accepts
	// requests, so that the load balancer can observe that it is not ready.
	unreadyDelay = 2 * time.Second
	flushTimeout = 5 * time.Second
	abortTimeout = time.Second
)

// drain takes the instance out of service and waits for the requests in flight, until abort
// ends or the grace period is nearly over.
func (i *Instance) drain(abort context.Context) error {
	terms := drainer.New(time.Now(), time.Duration(i.settings.GraceMillis)*time.Millisecond, unreadyDelay)
	i.log.Info("instance stopping", zap.Int("flight", i.limits.InFlight()))
	i.server.Drain(terms)
	i.board.Draining.Store(true)
	i.gossip.Notify()
	drainCtx, cancel := context.WithDeadline(abort, terms.AnswerBy())
	defer cancel()
	pacer.Wait(drainCtx, time.Until(terms.AcceptUntil()))
	err := i.server.Shutdown(drainCtx)
	exitCtx, cancelExit := context.WithDeadline(context.Background(), terms.ExitBy())
	defer cancelExit()
	if drainCtx.Err() != nil {
		return i.abort(exitCtx)
	}
	stop := context.AfterFunc(abort, cancelExit)
	defer stop()
	flushCtx, cancelFlush := context.WithTimeout(exitCtx, flushTimeout)
	defer cancelFlush()
	i.claims.Flush(flushCtx)
	i.log.Info("instance stopped", zap.Int("flight", i.limits.InFlight()))
	return eris.Wrap(err, "finish requests")
}

// abort ends the requests in flight without waiting for their answers.
func (i *Instance) abort(exitCtx context.Context) error {
	i.log.Warn("instance aborted its requests in flight", zap.Int("flight", i.limits.InFlight()))
	i.server.Abort()
	abortCtx, cancel := context.WithTimeout(exitCtx, abortTimeout)
	defer cancel()
	for i.limits.InFlight() > 0 && pacer.Wait(abortCtx, abortTimeout/100) {
		continue
	}
	pacer.Wait(exitCtx, abortTimeout/10) // time for writing the refusals
	return nil
}
