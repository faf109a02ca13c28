// Package publisher writes configurations and planned stops to the platform's
// table and object store.
package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"wisteriadrum/cataloguer"
	"wisteriadrum/compressor"
	"wisteriadrum/follower"
	"wisteriadrum/pacer"
	"wisteriadrum/stopper"
	"wisteriadrum/storer"
	"wisteriadrum/tabler"
)

const (
	retryDelay   = 100 * time.Millisecond
	attemptLimit = 20
)

// ConflictError means that another configuration was published first. Base is
// the number that the configuration was based on, Number the one in force.
type ConflictError struct {
	Base, Number uint64
}

// Error returns both numbers.
func (e *ConflictError) Error() string {
	return eris.Errorf("conflict: the set was made from number %d, but number %d is in force", e.Base, e.Number).Error()
}

// Publisher publishes on behalf of operators.
type Publisher struct {
	table tabler.Table
	store storer.Store
}

// New returns a publisher that writes to table and store.
func New(table tabler.Table, store storer.Store) *Publisher {
	return &Publisher{table: table, store: store}
}

// Publish validates source and puts it in force as the successor of the
// configuration number base, or of any configuration if base is nil. The error
// is of type decoder.Problems if source is invalid and *ConflictError if base is
// not in force. After any other error the configuration may still come into
// force; publishing it again shows whether it did.
func (p *Publisher) Publish(ctx context.Context, source []byte, base *uint64) (follower.Head, error) {
	config, err := cataloguer.New(source)
	if err != nil {
		return follower.Head{}, err
	}
	encoded := config.Encode()
	digest := cataloguer.Digest(encoded)
	if err := p.store.Put(ctx, digest, compressor.Compress(encoded)); err != nil {
		return follower.Head{}, eris.Wrap(err, "store the set")
	}
	row, current, err := p.currentHead(ctx)
	if err != nil {
		return follower.Head{}, err
	}
	if base != nil && *base != current.Number {
		return current, &ConflictError{Base: *base, Number: current.Number}
	}
	return p.writeHead(ctx, row, current.Next(digest, uuid.NewString()))
}

// writeHead replaces row by head. A write whose answer was lost is recognised in
// a later attempt by its publication ID.
func (p *Publisher) writeHead(ctx context.Context, row tabler.Row, head follower.Head) (follower.Head, error) {
	write := tabler.Write{Key: follower.HeadKey, Value: encodeHead(head), Version: row.Version}
	var lastErr error
	for range attemptLimit {
		conflicts, err := p.table.Apply(ctx, []tabler.Write{write})
		switch {
		case err == nil && len(conflicts) == 0:
			return head, nil
		case err == nil:
			return p.resolveConflict(conflicts[0], head)
		}
		lastErr = err
		if !pacer.Wait(ctx, retryDelay) {
			break
		}
	}
	return follower.Head{}, eris.Wrap(lastErr, "write the head")
}

// resolveConflict returns head if the conflicting row shows that head was written
// before, and a ConflictError otherwise.
func (p *Publisher) resolveConflict(row tabler.Row, head follower.Head) (follower.Head, error) {
	var current follower.Head
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return follower.Head{}, eris.Wrap(err, "decode configuration head")
	}
	if current.Includes(head.PublishID) {
		return head, nil
	}
	return current, &ConflictError{Base: head.Number - 1, Number: current.Number}
}

// PublishStops merges changes into the planned stops of the platform. It retries
// after conflicts and failed calls.
func (p *Publisher) PublishStops(ctx context.Context, changes ...stopper.Stop) error {
	var lastErr error
	for range attemptLimit {
		rows, err := p.table.Get(ctx, follower.StopsKey)
		if err == nil {
			var done bool
			if done, err = p.tryMergeStops(ctx, rows[0], changes); done {
				return nil
			}
		}
		if err != nil {
			lastErr = err
		}
		if !pacer.Wait(ctx, retryDelay) {
			break
		}
	}
	return eris.Wrap(lastErr, "write the planned stops")
}

// tryMergeStops makes one attempt to merge changes into row and reports whether
// the row now includes them.
func (p *Publisher) tryMergeStops(ctx context.Context, row tabler.Row, changes []stopper.Stop) (bool, error) {
	old, err := stopper.New(row.Value)
	if err != nil {
		return false, err
	}
	merged := old.With(changes...)
	if merged.Hash() == old.Hash() {
		return true, nil
	}
	write := tabler.Write{Key: follower.StopsKey, Value: merged.Encode(), Version: row.Version}
	conflicts, err := p.table.Apply(ctx, []tabler.Write{write})
	return err == nil && len(conflicts) == 0, err
}

// currentHead returns the head and its row. Without a row the head is zero.
func (p *Publisher) currentHead(ctx context.Context) (tabler.Row, follower.Head, error) {
	rows, err := p.table.Get(ctx, follower.HeadKey)
	if err != nil {
		return tabler.Row{}, follower.Head{}, eris.Wrap(err, "read the head")
	}
	var head follower.Head
	if rows[0].Version == 0 {
		return rows[0], head, nil
	}
	err = json.Unmarshal(rows[0].Value, &head)
	return rows[0], head, eris.Wrap(err, "decode configuration head")
}

func encodeHead(head follower.Head) []byte {
	encoded, err := json.Marshal(head)
	if err != nil {
		panic(err) // every field of Head can be encoded as JSON
	}
	return encoded
}
