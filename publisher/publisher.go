// Package publisher puts configurations and planned stops into the platform's
// service.
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
	tryPause = 100 * time.Millisecond
	maxTries = 20
)

// ConflictError is returned to the loser of a race. It names the winner.
type ConflictError struct {
	Base, Number uint64
}

// Error names the number that is in force instead.
func (e *ConflictError) Error() string {
	return eris.Errorf("conflict: the set was made from number %d, but number %d is in force", e.Base, e.Number).Error()
}

// Publisher publishes on behalf of operators.
type Publisher struct {
	table tabler.Table
	store storer.Store
}

// New returns a publisher to the platform behind table and store.
func New(table tabler.Table, store storer.Store) *Publisher {
	return &Publisher{table: table, store: store}
}

// Publish checks source whole and puts it in force as the successor of the
// configuration number base. A nil base stands for whatever is in force. The
// error is of type decoder.Problems for a faulty set and *ErrConflict for a
// lost race; after any other error the set may yet come into force, and
// publishing it again tells.
func (p *Publisher) Publish(ctx context.Context, source []byte, base *uint64) (follower.Head, error) {
	set, err := cataloguer.New(source)
	if err != nil {
		return follower.Head{}, err
	}
	encoded := set.Encode()
	digest := cataloguer.Digest(encoded)
	if err := p.store.Put(ctx, digest, compressor.Compress(encoded)); err != nil {
		return follower.Head{}, eris.Wrap(err, "store the set")
	}
	row, current, err := p.head(ctx)
	if err != nil {
		return follower.Head{}, err
	}
	if base != nil && *base != current.Number {
		return current, &ConflictError{Base: *base, Number: current.Number}
	}
	return p.replace(ctx, row, current.Next(digest, uuid.NewString()))
}

// replace writes head over row. An answer that was lost is found again by the
// name of the publication.
func (p *Publisher) replace(ctx context.Context, row tabler.Row, head follower.Head) (follower.Head, error) {
	write := tabler.Write{Key: follower.HeadKey, Value: encode(head), Version: row.Version}
	var failure error
	for range maxTries {
		conflicts, err := p.table.Apply(ctx, []tabler.Write{write})
		switch {
		case err == nil && len(conflicts) == 0:
			return head, nil
		case err == nil:
			return p.lost(conflicts[0], head)
		}
		failure = err
		if !pacer.Wait(ctx, tryPause) {
			break
		}
	}
	return follower.Head{}, eris.Wrap(failure, "write the head")
}

func (p *Publisher) lost(row tabler.Row, head follower.Head) (follower.Head, error) {
	var winner follower.Head
	if err := json.Unmarshal(row.Value, &winner); err != nil {
		return follower.Head{}, eris.Wrap(err, "decode configuration head")
	}
	if winner.Includes(head.PublishID) {
		return head, nil
	}
	return winner, &ConflictError{Base: head.Number - 1, Number: winner.Number}
}

// PublishStops merges changes into the planned stops.
func (p *Publisher) PublishStops(ctx context.Context, changes ...stopper.Stop) error {
	var failure error
	for range maxTries {
		rows, err := p.table.Get(ctx, follower.StopsKey)
		if err == nil {
			var done bool
			if done, err = p.mergeStops(ctx, rows[0], changes); done {
				return nil
			}
		}
		if err != nil {
			failure = err
		}
		if !pacer.Wait(ctx, tryPause) {
			break
		}
	}
	return eris.Wrap(failure, "write the planned stops")
}

func (p *Publisher) mergeStops(ctx context.Context, row tabler.Row, changes []stopper.Stop) (bool, error) {
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

func (p *Publisher) head(ctx context.Context) (tabler.Row, follower.Head, error) {
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

func encode(head follower.Head) []byte {
	encoded, err := json.Marshal(head)
	if err != nil {
		panic(err) // every field of a Head has a JSON form
	}
	return encoded
}
