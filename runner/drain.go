package runner

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/drainer"
	"wisteriadrum/pacer"
)

// drain takes the instance out of service: it announces that it leaves, waits
// until the load balancer has noticed, stops accepting connections and waits
// for the requests in progress. Those that last too long are answered with refusals.
func (r *Runner) drain(callers net.Listener) {
	terms := drainer.New(time.Now(), time.Duration(r.options.GraceMillis)*time.Millisecond, balancerWait)
	r.log.Info("instance stopping", zap.Int("busy", r.acceptor.Busy()))
	r.stopping.Store(true)
	r.relayer.Drain(terms)
	r.acceptor.DisableKeepAlive()
	r.sharer.AnnounceLeaving(false)
	limit, cancel := context.WithDeadline(context.Background(), terms.AnswerBy())
	defer cancel()
	r.roller.Retire()
	pacer.Wait(limit, time.Until(terms.AcceptUntil()))
	_ = callers.Close() // nothing can be done if closing fails
	r.awaitIdle(limit)
	r.relayer.Abort()
	last, cancelLast := context.WithDeadline(context.Background(), terms.ExitBy())
	defer cancelLast()
	r.roller.Finish(last)
	r.roller.Stop(last)
	r.awaitIdle(last) // the last answers were written in the meantime
	r.sharer.AnnounceLeaving(true)
	time.Sleep(flushDelay)
	r.log.Info("instance stopped", zap.Int("busy", r.acceptor.Busy()))
}

// awaitIdle closes the connections without a request in progress until none is left or
// limit ends.
func (r *Runner) awaitIdle(limit context.Context) {
	for r.acceptor.CloseIdle() > 0 && pacer.Wait(limit, drainCheckInterval) {
		continue
	}
}
