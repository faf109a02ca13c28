package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"wisteriadrum/fetcher"
	"wisteriadrum/judge"
	"wisteriadrum/pacer"
	"wisteriadrum/recorder"
	"wisteriadrum/refuser"
)

// save keeps the answer in the row, or in the object store if it is large.
func (c *Claimer) save(known *claim, answer recorder.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), saveWindow)
	defer cancel()
	if len(answer.Body) > maxInline {
		sum := sha256.Sum256(answer.Body)
		name := hex.EncodeToString(sum[:])
		for c.store.Put(ctx, name, answer.Body) != nil {
			if !pacer.Wait(ctx, rereadWait) {
				c.count.Add("once", "unsaved")
				return
			}
		}
		answer.Object, answer.Body = name, nil
	}
	record := known.record.WithAnswer(answer)
	if _, _, err := c.writer.Apply(ctx, record.Write(known.key, known.row.Version)); err != nil {
		c.count.Add("once", "unsaved")
		return
	}
	c.count.Add("once", "saved")
	c.forget(known)
}

// forget drops a claim that nobody needs to ask about any more.
func (c *Claimer) forget(known *claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims[known.record.Token] == known {
		delete(c.claims, known.record.Token)
	}
}

// Flush waits until every answer is kept or ctx ends.
func (c *Claimer) Flush(ctx context.Context) {
	saved := make(chan struct{})
	go func() {
		c.saves.Wait()
		close(saved)
	}()
	select {
	case <-saved:
	case <-ctx.Done():
	}
}

func (c *Claimer) retryVoid(known *claim) {
	ctx, cancel := context.WithTimeout(context.Background(), saveWindow)
	defer cancel()
	c.void(ctx, known)
}

// void records that the claim was given up before anything was sent.
func (c *Claimer) void(ctx context.Context, known *claim) {
	record := known.record.WithState(recorder.Void)
	if _, won, err := c.writer.Apply(ctx, record.Write(known.key, known.row.Version)); err == nil && won {
		c.count.Add("once", "voided")
	}
}

func (c *Claimer) load(ctx context.Context, record recorder.Record) (recorder.Answer, error) {
	answer := *record.Answer
	if answer.Object == "" {
		return answer, nil
	}
	body, err := c.store.Get(ctx, answer.Object)
	if err != nil {
		code := refuser.AnswerLost
		if !eris.Is(err, fetcher.ErrNotFound) {
			code = refuser.ClaimFailed
		}
		return recorder.Answer{}, refuser.New(code, judge.Ran, "the request ran before; its answer cannot be read: %s", eris.Cause(err))
	}
	answer.Body, answer.Object = body, ""
	return answer, nil
}
