// Package claimer ensures that a request with an idempotency key runs at most once
// across all instances, however often the caller resends it. An instance claims the
// key with a conditional write to the table service before it sends the request.
package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"wisteriadrum/attester"
	"wisteriadrum/counter"
	"wisteriadrum/judge"
	"wisteriadrum/pacer"
	"wisteriadrum/recorder"
	"wisteriadrum/refuser"
	"wisteriadrum/storer"
	"wisteriadrum/tabler"
)

const (
	claimTimeout = 3 * time.Second
	// sendLease is the time after a claim within which the request must be sent.
	sendLease    = 10 * time.Second
	saveTimeout  = time.Hour
	pollInterval = 100 * time.Millisecond
	// ownerTimeout is how long to wait for an unreachable owner of a claim.
	ownerTimeout   = 3 * time.Second
	sweepInterval  = time.Second
	maxInlineBytes = 32 << 10 // largest answer body that is stored in the row
)

// Writer commits conditional writes. It is implemented by batcher.Batcher and
// forwarder.Forwarder.
type Writer interface {
	Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error)
}

// StatusClient queries the status of a claim at its owner.
type StatusClient interface {
	ClaimStatus(ctx context.Context, peer, token string) (attester.Status, error)
}

// Claimer claims requests on behalf of one instance.
type Claimer struct {
	owner, peer  string
	writer       Writer
	table        tabler.Table
	store        storer.Store
	statusClient StatusClient
	count        *counter.Counter
	now          func() time.Time

	mu        sync.Mutex
	claims    map[string]*claim // by token
	nextSweep time.Time
	saves     sync.WaitGroup
}

// claim is a claim of this instance. It is kept until its result is stored or its
// record expires.
type claim struct {
	key     string
	row     tabler.Row
	record  recorder.Record
	status  attester.Status
	settled chan struct{} // closed when status is final
}

// New returns the claimer of the instance owner. Other instances query the status
// of its claims at the address peer.
func New(owner, peer string, writer Writer, table tabler.Table, store storer.Store, statusClient StatusClient, count *counter.Counter, now func() time.Time) *Claimer {
	return &Claimer{
		owner: owner, peer: peer, writer: writer, table: table, store: store, statusClient: statusClient,
		count: count, now: now, claims: map[string]*claim{},
	}
}

// Work runs a claimed request. It must send the request before startDeadline.
type Work func(startDeadline time.Time) (recorder.Answer, error)

// Do runs work and returns its answer if no other request with the same key has
// run or may have run. Otherwise it returns the answer of that other request or a
// refusal. A request with the same key and another hash is refused. Records are
// stored until expires.
func (c *Claimer) Do(ctx context.Context, key, hash string, expires time.Time, work Work) (recorder.Answer, error) {
	record := recorder.Record{State: recorder.Open, Token: uuid.NewString(), Owner: c.owner, Peer: c.peer, Hash: hash, Expires: expires}
	version := uint64(0)
	for {
		row, committed, err := c.tryClaim(ctx, key, record, version)
		if err != nil {
			return recorder.Answer{}, err
		}
		if committed {
			return c.run(row, record, work)
		}
		if row.Version == 0 {
			version = 0 // the record has expired meanwhile
			continue
		}
		other, err := recorder.New(row)
		if err != nil {
			return recorder.Answer{}, refuser.New(refuser.ClaimFailed, judge.NotRun, "%s", err)
		}
		if other.State == recorder.Open && other.Token == record.Token {
			// An earlier attempt of this write was committed late. The request has
			// not been sent yet.
			return c.run(row, record, work)
		}
		if other.Hash != hash {
			return recorder.Answer{}, refuser.New(refuser.KeyReused, judge.NotRun, "the idempotency key belongs to another request")
		}
		if other.State == recorder.Open {
			row, other, err = c.awaitOther(ctx, row, other)
			if err != nil {
				return recorder.Answer{}, err
			}
		}
		if other.State == recorder.Done {
			c.count.Add("once", "replayed")
			return c.loadAnswer(ctx, other)
		}
		version = row.Version
	}
}

// ClaimStatus returns the status of the claim with token. It first writes a void
// record for an abandoned claim, so that the key can be claimed again.
func (c *Claimer) ClaimStatus(ctx context.Context, token string) attester.Status {
	c.mu.Lock()
	entry := c.claims[token]
	c.mu.Unlock()
	if entry == nil {
		return attester.Status{Phase: attester.Unknown}
	}
	status := c.currentStatus(entry)
	if status.Phase == attester.Abandoned {
		c.writeVoid(ctx, entry)
	}
	return status
}

// tryClaim tries to replace the given version of the row of key by record. If it
// returns an error, the request has not been sent.
func (c *Claimer) tryClaim(ctx context.Context, key string, record recorder.Record, version uint64) (tabler.Row, bool, error) {
	entry := newClaim(key, record)
	entry.row.Version = version + 1
	c.mu.Lock()
	c.removeExpired()
	c.claims[record.Token] = entry
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row, committed, err := c.writer.Apply(ctx, record.Write(key, version))
	if err != nil {
		c.count.Add("once", "unclaimed")
		c.settle(entry, attester.Status{Phase: attester.Abandoned})
		return row, false, refuser.New(refuser.ClaimFailed, judge.NotRun, "the request could not be claimed: %s", eris.Cause(err))
	}
	if !committed {
		c.remove(entry)
	}
	return row, committed, nil
}

func newClaim(key string, record recorder.Record) *claim {
	return &claim{key: key, record: record, row: tabler.Row{Key: key}, status: attester.Status{Phase: attester.Running}, settled: make(chan struct{})}
}

func (c *Claimer) run(row tabler.Row, record recorder.Record, work Work) (recorder.Answer, error) {
	c.mu.Lock()
	entry := c.claims[record.Token]
	if entry == nil {
		entry = newClaim(row.Key, record)
		c.claims[record.Token] = entry
	}
	entry.row = row
	c.mu.Unlock()
	c.count.Add("once", "claimed")
	answer, err := work(c.now().Add(sendLease))
	switch {
	case err == nil:
		c.settle(entry, attester.Status{Phase: attester.Finished, Answer: answer})
		c.saves.Go(func() { c.save(entry, answer) })
	case judge.FromError(err) == judge.NotRun:
		c.settle(entry, attester.Status{Phase: attester.Abandoned})
		c.saves.Go(func() { c.voidInBackground(entry) })
	default:
		c.count.Add("once", "doubtful")
		c.settle(entry, attester.Status{Phase: attester.InDoubt})
	}
	return answer, err
}

// awaitOther waits until another claim of the same key is finished or void. It
// returns an error if the request of that claim may have run without a known
// answer, if its owner remains unreachable, or if ctx ends.
func (c *Claimer) awaitOther(ctx context.Context, row tabler.Row, other recorder.Record) (tabler.Row, recorder.Record, error) {
	c.count.Add("once", "awaited")
	ownerDeadline := c.now().Add(ownerTimeout)
	for {
		status := c.fetchStatus(ctx, other)
		if status.Phase != attester.Unreachable {
			ownerDeadline = c.now().Add(ownerTimeout)
		}
		switch status.Phase {
		case attester.Finished:
			return row, other.WithAnswer(status.Answer), nil
		case attester.InDoubt:
			return row, other, inDoubtRefusal()
		case attester.Unknown, attester.Unreachable, attester.Running, attester.Abandoned:
		}
		if !pacer.Wait(ctx, pollInterval) || c.now().After(ownerDeadline) {
			return row, other, inDoubtRefusal()
		}
		rows, err := c.table.Get(ctx, row.Key)
		if err != nil {
			continue
		}
		if rows[0].Version == 0 {
			return rows[0], other.WithState(recorder.Void), nil
		}
		latest, err := recorder.New(rows[0])
		if err != nil {
			return row, other, inDoubtRefusal()
		}
		if latest.State != recorder.Open {
			return rows[0], latest, nil
		}
		if status.Phase == attester.Unknown && latest.Token == other.Token {
			// The owner has restarted and may have sent the request before.
			return row, other, inDoubtRefusal()
		}
		row, other = rows[0], latest
	}
}

func (c *Claimer) fetchStatus(ctx context.Context, other recorder.Record) attester.Status {
	if other.Owner == c.owner {
		return c.ClaimStatus(ctx, other.Token)
	}
	status, err := c.statusClient.ClaimStatus(ctx, other.Peer, other.Token)
	if err != nil {
		c.count.Add("once", "unreached")
		return attester.Status{Phase: attester.Unreachable}
	}
	return status
}

func (c *Claimer) settle(entry *claim, status attester.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.status = status
	close(entry.settled)
}

// currentStatus returns the status of entry. It waits up to pollInterval for a
// running claim to be settled.
func (c *Claimer) currentStatus(entry *claim) attester.Status {
	c.mu.Lock()
	status := entry.status
	c.mu.Unlock()
	if status.Phase != attester.Running {
		return status
	}
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-entry.settled:
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return entry.status
}

// removeExpired deletes claims whose records have expired. The lock must be held.
func (c *Claimer) removeExpired() {
	now := c.now()
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	for token, entry := range c.claims {
		if entry.record.Expires.Before(now) {
			delete(c.claims, token)
		}
	}
}

func inDoubtRefusal() error {
	return refuser.New(refuser.InDoubt, judge.MayHaveRun, "an earlier request with this key may have run")
}
