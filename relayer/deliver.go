package relayer

import (
	"context"
	"time"

	"wisteriadrum/framer"
	"wisteriadrum/pacer"
)

const (
	// deliveryCheckInterval is the interval between checks of an answer that is delivered.
	deliveryCheckInterval = 250 * time.Millisecond
	// maxStalledChecks is the number of checks between which the caller took nothing, after
	// which it counts as stalled.
	maxStalledChecks = 4
	// maxUnwatchedBytes is the size of answers that fit into the buffers of a connection.
	maxUnwatchedBytes = 64 << 10
)

// deliver writes a whole answer to the caller. While the caller takes nothing, the memory of
// the answer is given to other messages if there is none left for them.
func (r *Relayer) deliver(a *attempt, head *framer.Head, body []byte) {
	if len(body) <= maxUnwatchedBytes {
		a.answer.WriteAnswer(head.Status, endToEndFields(head), body)
		return
	}
	ctx, end := context.WithCancel(context.Background())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.watchDelivery(ctx, a)
	}()
	a.answer.WriteAnswer(head.Status, endToEndFields(head), body)
	end()
	<-watched
}

// watchDelivery lets the answer of a caller that takes nothing be ended for others, until ctx
// ends or the caller goes on.
func (r *Relayer) watchDelivery(ctx context.Context, a *attempt) {
	stalled, last := 0, int64(0)
	for pacer.Wait(ctx, deliveryCheckInterval) {
		written := a.answer.Written()
		if written != last {
			stalled, last = 0, written
			a.yielded.Store(false)
			_ = a.memory.Settle() // an answer that had to end is aborted
			continue
		}
		if stalled++; stalled == maxStalledChecks {
			r.deps.Count.Add("answers", "stalled")
			a.yielded.Store(true)
			a.memory.Yield()
		}
	}
}

// abortDelivery ends the delivery of an answer that its caller does not take.
func (a *attempt) abortDelivery() {
	if a.yielded.Load() {
		a.answer.Abort()
	}
}
