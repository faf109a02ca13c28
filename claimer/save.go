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

// save stores the answer in the row, or in the object store if it is large.
func (c *Claimer) save(entry *claim, answer recorder.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	if len(answer.Body) > maxInlineBytes {
		digest := sha256.Sum256(answer.Body)
		name := hex.EncodeToString(digest[:])
		for c.store.Put(ctx, name, answer.Body) != nil {
			if !pacer.Wait(ctx, pollInterval) {
				c.count.Add("once", "unsaved")
				return
			}
		}
		answer.Object, answer.Body = name, nil
	}
	record := entry.record.WithAnswer(answer)
	if _, _, err := c.writer.Apply(ctx, record.Write(entry.key, entry.row.Version)); err != nil {
		c.count.Add("once", "unsaved")
		return
	}
	c.count.Add("once", "saved")
	c.remove(entry)
}

// remove deletes a claim whose status is not needed any more.
func (c *Claimer) remove(entry *claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims[entry.record.Token] == entry {
		delete(c.claims, entry.record.Token)
	}
}

// Flush waits until every answer is stored or ctx ends.
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

func (c *Claimer) voidInBackground(entry *claim) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	c.writeVoid(ctx, entry)
}

// writeVoid writes the record that the claim was abandoned before the request was
// sent.
func (c *Claimer) writeVoid(ctx context.Context, entry *claim) {
	record := entry.record.WithState(recorder.Void)
	if _, committed, err := c.writer.Apply(ctx, record.Write(entry.key, entry.row.Version)); err == nil && committed {
		c.count.Add("once", "voided")
	}
}

func (c *Claimer) loadAnswer(ctx context.Context, record recorder.Record) (recorder.Answer, error) {
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
