// Package follower keeps an instance's configuration and planned stops up to
// date, from the platform and from other instances, whichever is first.
package follower

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/assembler"
	"wisteriadrum/cataloguer"
	"wisteriadrum/compressor"
	"wisteriadrum/counter"
	"wisteriadrum/indexer"
	"wisteriadrum/keeper"
	"wisteriadrum/lister"
	"wisteriadrum/pacer"
	"wisteriadrum/ranker"
	"wisteriadrum/stopper"
	"wisteriadrum/storer"
	"wisteriadrum/tabler"
)

const (
	// HeadKey is the key of the table row with the Head.
	HeadKey = "config/head"
	// StopsKey is the key of the table row with the planned stops.
	StopsKey = "stops"

	pollInterval = 1600 * time.Millisecond
	// listReaders is the number of instances per data centre that read the
	// platform's instance list.
	listReaders = 2
	// listedPrefix marks the name of a stop that was derived from the
	// platform's instance list.
	listedPrefix = "list:"
)

// Head is the value of the table row that names the configuration in force.
type Head struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// PublishID identifies the publication, so that a publisher whose write was
	// not acknowledged can find out that it succeeded.
	PublishID string `json:"publish"`
	// PastPublishIDs lists the earlier publications, the newest first.
	PastPublishIDs []string `json:"past,omitempty"`
}

// maxPastPublishIDs limits the number of earlier publications in a head.
const maxPastPublishIDs = 32

// Next returns the successor of h for a configuration with the given digest,
// published under publishID.
func (h Head) Next(digest, publishID string) Head {
	next := Head{Number: h.Number + 1, Digest: digest, PublishID: publishID}
	if h.PublishID != "" {
		next.PastPublishIDs = append([]string{h.PublishID}, h.PastPublishIDs...)
	}
	next.PastPublishIDs = next.PastPublishIDs[:min(len(next.PastPublishIDs), maxPastPublishIDs)]
	return next
}

// Includes reports whether publishID is the publication of h or a recorded
// earlier one.
func (h Head) Includes(publishID string) bool {
	return h.PublishID == publishID || slices.Contains(h.PastPublishIDs, publishID)
}

// Follower updates the configuration, fleet and stops of a board.
type Follower struct {
	board      *keeper.Board
	name       string
	dataCentre string
	table      tabler.Table
	store      storer.Store
	list       lister.List
	count      *counter.Counter
	log        *zap.Logger
	notify     func()
	adoptMu    sync.Mutex
}

// New returns a follower for the instance name in dataCentre.
func New(board *keeper.Board, name, dataCentre string, table tabler.Table, store storer.Store, list lister.List, count *counter.Counter, log *zap.Logger) *Follower {
	return &Follower{board: board, name: name, dataCentre: dataCentre, table: table, store: store, list: list, count: count, log: log, notify: func() {}}
}

// Run polls the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pacer.Repeat(ctx, pollInterval, f.Poll)
}

// Adopt puts a configuration in force if its number is higher than the current
// one; otherwise it does nothing, so that numbers never decrease. It returns an
// error if source does not match digest or is not a valid configuration.
func (f *Follower) Adopt(number uint64, digest string, source []byte) error {
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	if number <= f.currentNumber() {
		f.count.Add("config", "stale")
		return nil
	}
	if cataloguer.Digest(source) != digest {
		f.count.Add("config", "corrupt")
		return eris.Errorf("configuration %d does not match its digest %s", number, digest)
	}
	index, err := indexer.New(number, source)
	if err != nil {
		f.count.Add("config", "invalid")
		return eris.Wrapf(err, "configuration %d", number)
	}
	f.board.Fleet.Update(func(old *assembler.Fleet) *assembler.Fleet {
		return assembler.New(index, f.dataCentre, old)
	})
	f.board.Index.Store(index)
	f.ApplyStops()
	f.count.Add("config", "adopted")
	f.log.Info("configuration in force", zap.Uint64("number", number), zap.String("digest", digest))
	return nil
}

// ApplyStops marks the endpoints that get no new work because of a planned stop
// or the platform's instance list.
func (f *Follower) ApplyStops() {
	stops := f.board.Stops.Load()
	for name, track := range f.board.Fleet.Load().All() {
		track.SetStopped(stops.Active(name) || stops.Active(listedPrefix+name))
	}
}

// MergeStops merges stops from another source and reports whether anything
// changed.
func (f *Follower) MergeStops(stops []stopper.Stop) bool {
	previousHash := f.board.Stops.Load().Hash()
	f.board.Stops.Update(func(old stopper.Stops) stopper.Stops { return old.With(stops...) })
	if f.board.Stops.Load().Hash() == previousHash {
		return false
	}
	f.ApplyStops()
	f.log.Info("planned stops changed", zap.Int("stops", len(stops)))
	return true
}

// currentNumber returns the number of the configuration in force, or 0.
func (f *Follower) currentNumber() uint64 {
	if index := f.board.Index.Load(); index != nil {
		return index.Number
	}
	return 0
}

// Poll reads the platform's table and instance list once, concurrently. The only
// deadline is that of each client call, so that an instance can start while the
// platform is slow.
func (f *Follower) Poll(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.pollList(ctx) })
	wg.Go(func() { f.pollHead(ctx) })
	wg.Wait()
}

// pollHead reads the planned stops and the head, and adopts the configuration
// that the head names.
func (f *Follower) pollHead(ctx context.Context) {
	rows, err := f.table.Get(ctx, HeadKey, StopsKey)
	if err != nil {
		f.count.Add("config", "poll-failures")
		return
	}
	if stops, err := stopper.New(rows[1].Value); err == nil {
		f.board.StoredStopsHash.Store(stops.Hash())
		f.MergeStops(stops.List())
	}
	if rows[0].Version == 0 {
		return
	}
	if err := f.fetchConfig(ctx, rows[0]); err != nil {
		f.count.Add("config", "fetch-failures")
	}
}

// pollList reads the platform's instance list if this instance is one of the
// list readers of its data centre. It turns each leaving entry into a planned
// stop, which the other instances receive by gossip.
func (f *Follower) pollList(ctx context.Context) {
	if !f.readsList() {
		return
	}
	entries, err := f.list.Entries(ctx)
	if err != nil {
		f.count.Add("config", "list-failures")
		return
	}
	previous := statesByName(f.board.ListedInstances.Load())
	f.board.ListedInstances.Store(entries)
	stops := f.board.Stops.Load()
	var changes []stopper.Stop
	for name, state := range statesByName(entries) {
		leaving := state == lister.Leaving
		// A stop ends only if this instance has read the entry as leaving
		// before, because another reader may have read a newer list.
		ended := !leaving && previous[name] == lister.Leaving
		if leaving != stops.Active(listedPrefix+name) && (leaving || ended) {
			changes = append(changes, stops.Change(listedPrefix+name, leaving, f.name))
		}
	}
	if f.MergeStops(changes) {
		f.notify()
	}
}

func statesByName(entries []lister.Entry) map[string]lister.State {
	byName := make(map[string]lister.State, len(entries))
	for _, entry := range entries {
		byName[entry.Name] = entry.State
	}
	return byName
}

// readsList reports whether this instance is among the first listReaders of its
// data centre in rendezvous order. An instance without known members always is.
func (f *Follower) readsList() bool {
	ownRank := ranker.Rank(0, xxhash.Sum64String(f.name))
	higher := 0
	for _, member := range f.board.Members.Load() {
		sameDataCentre := member.DataCentre == f.dataCentre && member.Name != f.name
		if sameDataCentre && ranker.Rank(0, xxhash.Sum64String(member.Name)) > ownRank {
			higher++
		}
	}
	return higher < listReaders
}

// OnChange sets the function that is called when a change should be gossiped.
// It must be called before Run.
func (f *Follower) OnChange(notify func()) { f.notify = notify }

// fetchConfig adopts the configuration that the head in row names, if it is
// newer than the current one.
func (f *Follower) fetchConfig(ctx context.Context, row tabler.Row) error {
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return eris.Wrap(err, "decode configuration head")
	}
	if head.Number <= f.currentNumber() {
		return nil
	}
	packed, err := f.store.Get(ctx, head.Digest)
	if err != nil {
		return err
	}
	source, err := compressor.Decompress(packed)
	if err != nil {
		return err
	}
	return f.Adopt(head.Number, head.Digest, source)
}
