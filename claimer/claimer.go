// Package claimer sees to it that a once-only request runs at most once over
// all instances, however often it is sent.
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
	// sendLease is how long after its claim a request may still be sent.
	sendLease  = 10 * time.Second
	saveWindow = time.Hour
	rereadWait = 100 * time.Millisecond
	// ownerWait is how long an owner that cannot be reached is waited for.
	ownerWait  = 3 * time.Second
	sweepEvery = time.Second
	maxInline  = 32 << 10 // bytes of an answer kept in the row
)

// Writer commits one conditional write, as batcher.Batcher does.
type Writer interface {
	Apply(ctx context.Context, write tabler.Write) (tabler.Row, bool, error)
}

// StatusClient asks the owner of a claim, at its peer address, how the claim stands.
type StatusClient interface {
	ClaimStatus(ctx context.Context, peer, token string) (attester.Status, error)
}

// Claimer claims once-only requests for one instance.
type Claimer struct {
	owner, peer string
	writer      Writer
	table       tabler.Table
	store       storer.Store
	asker       StatusClient
	count       *counter.Counter
	now         func() time.Time

	mu      sync.Mutex
	claims  map[string]*claim // by token
	sweepAt time.Time
	saves   sync.WaitGroup
}

// claim is one claim of this instance, kept until its record expires.
type claim struct {
	key      string
	row      tabler.Row
	record   recorder.Record
	standing attester.Status
	changed  chan struct{}
}

// New returns the claimer of the instance named owner, which other instances
// ask at the address peer.
func New(owner, peer string, writer Writer, table tabler.Table, store storer.Store, asker StatusClient, count *counter.Counter, now func() time.Time) *Claimer {
	return &Claimer{
		owner: owner, peer: peer, writer: writer, table: table, store: store, asker: asker,
		count: count, now: now, claims: map[string]*claim{},
	}
}

// Work runs a request that was claimed and must begin before sendBy.
type Work func(sendBy time.Time) (recorder.Answer, error)

// Do runs work if no other request with the same key has run or may have run,
// and returns its answer; else it returns the answer of that other request or
// a refusal. The hash binds the key to one request. Records last until expires.
func (c *Claimer) Do(ctx context.Context, key, hash string, expires time.Time, work Work) (recorder.Answer, error) {
	mine := recorder.Record{State: recorder.Open, Token: uuid.NewString(), Owner: c.owner, Peer: c.peer, Hash: hash, Expires: expires}
	version := uint64(0)
	for {
		row, won, err := c.claim(ctx, key, mine, version)
		if err != nil {
			return recorder.Answer{}, err
		}
		if won {
			return c.run(row, mine, work)
		}
		if row.Version == 0 {
			version = 0 // the record has ended meanwhile
			continue
		}
		other, err := recorder.New(row)
		if err != nil {
			return recorder.Answer{}, refuser.New(refuser.ClaimFailed, judge.NotRun, "%s", err)
		}
		if other.State == recorder.Open && other.Token == mine.Token {
			// An earlier try of the write landed late, and nothing was sent.
			return c.run(row, mine, work)
		}
		if other.Hash != hash {
			return recorder.Answer{}, refuser.New(refuser.KeyReused, judge.NotRun, "the idempotency key belongs to another request")
		}
		if other.State == recorder.Open {
			row, other, err = c.await(ctx, row, other)
			if err != nil {
				return recorder.Answer{}, err
			}
		}
		if other.State == recorder.Done {
			c.count.Add("once", "replayed")
			return c.load(ctx, other)
		}
		version = row.Version
	}
}

// ClaimStatus returns how the claim with token stands, and whether it is known.
// A claim that was given up is made void first, so that it can be made again.
func (c *Claimer) ClaimStatus(ctx context.Context, token string) attester.Status {
	c.mu.Lock()
	known := c.claims[token]
	c.mu.Unlock()
	if known == nil {
		return attester.Status{Phase: attester.Unknown}
	}
	standing := c.standing(known)
	if standing.Phase == attester.Abandoned {
		c.void(ctx, known)
	}
	return standing
}

// claim tries to make mine the record of key over version. Whatever goes
// wrong here, the request has not been sent.
func (c *Claimer) claim(ctx context.Context, key string, mine recorder.Record, version uint64) (tabler.Row, bool, error) {
	known := newClaim(key, mine)
	known.row.Version = version + 1
	c.mu.Lock()
	c.sweep()
	c.claims[mine.Token] = known
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row, won, err := c.writer.Apply(ctx, mine.Write(key, version))
	if err != nil {
		c.count.Add("once", "unclaimed")
		c.settle(known, attester.Status{Phase: attester.Abandoned})
		return row, false, refuser.New(refuser.ClaimFailed, judge.NotRun, "the request could not be claimed: %s", eris.Cause(err))
	}
	if !won {
		c.forget(known)
	}
	return row, won, nil
}

func newClaim(key string, mine recorder.Record) *claim {
	return &claim{key: key, record: mine, row: tabler.Row{Key: key}, standing: attester.Status{Phase: attester.Running}, changed: make(chan struct{})}
}

func (c *Claimer) run(row tabler.Row, mine recorder.Record, work Work) (recorder.Answer, error) {
	c.mu.Lock()
	known := c.claims[mine.Token]
	if known == nil {
		known = newClaim(row.Key, mine)
		c.claims[mine.Token] = known
	}
	known.row = row
	c.mu.Unlock()
	c.count.Add("once", "claimed")
	answer, err := work(c.now().Add(sendLease))
	switch {
	case err == nil:
		c.settle(known, attester.Status{Phase: attester.Finished, Answer: answer})
		c.saves.Go(func() { c.save(known, answer) })
	case judge.FromError(err) == judge.NotRun:
		c.settle(known, attester.Status{Phase: attester.Abandoned})
		c.saves.Go(func() { c.retryVoid(known) })
	default:
		c.count.Add("once", "doubtful")
		c.settle(known, attester.Status{Phase: attester.InDoubt})
	}
	return answer, err
}

// await follows another claim of the same key until it ends or ctx does.
func (c *Claimer) await(ctx context.Context, row tabler.Row, other recorder.Record) (tabler.Row, recorder.Record, error) {
	c.count.Add("once", "awaited")
	reachedBy := c.now().Add(ownerWait)
	for {
		standing := c.ask(ctx, other)
		if standing.Phase != attester.Unreachable {
			reachedBy = c.now().Add(ownerWait)
		}
		switch standing.Phase {
		case attester.Finished:
			return row, other.WithAnswer(standing.Answer), nil
		case attester.InDoubt:
			return row, other, inDoubt()
		case attester.Unknown, attester.Unreachable, attester.Running, attester.Abandoned:
		}
		if !pacer.Wait(ctx, rereadWait) || c.now().After(reachedBy) {
			return row, other, inDoubt()
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
			return row, other, inDoubt()
		}
		if latest.State != recorder.Open {
			return rows[0], latest, nil
		}
		if standing.Phase == attester.Unknown && latest.Token == other.Token {
			// The owner has restarted since, and may have sent before.
			return row, other, inDoubt()
		}
		row, other = rows[0], latest
	}
}

func (c *Claimer) ask(ctx context.Context, other recorder.Record) attester.Status {
	if other.Owner == c.owner {
		return c.ClaimStatus(ctx, other.Token)
	}
	standing, err := c.asker.ClaimStatus(ctx, other.Peer, other.Token)
	if err != nil {
		c.count.Add("once", "unreached")
		return attester.Status{Phase: attester.Unreachable}
	}
	return standing
}

func (c *Claimer) settle(known *claim, standing attester.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known.standing = standing
	close(known.changed)
}

// standing waits a while for a running claim to change.
func (c *Claimer) standing(known *claim) attester.Status {
	c.mu.Lock()
	standing := known.standing
	c.mu.Unlock()
	if standing.Phase != attester.Running {
		return standing
	}
	timer := time.NewTimer(rereadWait)
	defer timer.Stop()
	select {
	case <-known.changed:
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return known.standing
}

// sweep forgets claims whose records have expired. The lock must be held.
func (c *Claimer) sweep() {
	now := c.now()
	if now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = now.Add(sweepEvery)
	for token, known := range c.claims {
		if known.record.Expires.Before(now) {
			delete(c.claims, token)
		}
	}
}

func inDoubt() error {
	return refuser.New(refuser.InDoubt, judge.MayHaveRun, "an earlier request with this key may have run")
}
