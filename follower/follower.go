// Package follower brings an instance the newest configuration and the planned
// stops, from the platform and from other instances, whichever has them first.
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
	// HeadKey names the row with the number of the newest configuration.
	HeadKey = "config/head"
	// StopsKey names the row with the planned stops.
	StopsKey = "stops"

	pollEvery = 1600 * time.Millisecond
	// readers is the number of instances of a data centre that read the list.
	readers = 2
	// listed begins the name of a stop that stands for the list's word.
	listed = "list:"
)

// Head is the value of the row that says which configuration is in force.
type Head struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// PublishID names the publication, so that its author can recognise it.
	PublishID string `json:"publish"`
	// PastPublishIDs names the publications before, the newest first.
	PastPublishIDs []string `json:"past,omitempty"`
}

// maxPast bounds the publications that a head remembers.
const maxPast = 32

// Next returns the head that follows h.
func (h Head) Next(digest, publish string) Head {
	next := Head{Number: h.Number + 1, Digest: digest, PublishID: publish}
	if h.PublishID != "" {
		next.PastPublishIDs = append([]string{h.PublishID}, h.PastPublishIDs...)
	}
	next.PastPublishIDs = next.PastPublishIDs[:min(len(next.PastPublishIDs), maxPast)]
	return next
}

// Includes reports whether publish is h's publication or one before it.
func (h Head) Includes(publish string) bool {
	return h.PublishID == publish || slices.Contains(h.PastPublishIDs, publish)
}

// Follower keeps the configuration sections of a board up to date.
type Follower struct {
	board      *keeper.Board
	name       string
	dataCentre string
	table      tabler.Table
	store      storer.Store
	list       lister.List
	count      *counter.Counter
	log        *zap.Logger
	news       func()
	adopting   sync.Mutex
}

// New returns a follower for the instance named name in dataCentre.
func New(board *keeper.Board, name, dataCentre string, table tabler.Table, store storer.Store, list lister.List, count *counter.Counter, log *zap.Logger) *Follower {
	return &Follower{board: board, name: name, dataCentre: dataCentre, table: table, store: store, list: list, count: count, log: log, news: func() {}}
}

// Run polls the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pacer.Repeat(ctx, pollEvery, f.Poll)
}

// Adopt puts a configuration in force if its number is higher than the one in
// force. Numbers never go back.
func (f *Follower) Adopt(number uint64, digest string, source []byte) error {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	if number <= f.number() {
		f.count.Add("config", "stale")
		return nil
	}
	if cataloguer.Digest(source) != digest {
		f.count.Add("config", "corrupt")
		return eris.Errorf("configuration %d does not have the digest %s", number, digest)
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

// ApplyStops marks the endpoints that a planned stop or the platform's list
// keeps new work away from.
func (f *Follower) ApplyStops() {
	stops := f.board.Stops.Load()
	for name, track := range f.board.Fleet.Load().All() {
		track.SetStopped(stops.Active(name) || stops.Active(listed+name))
	}
}

// MergeStops takes in stops from elsewhere and reports whether any was news.
func (f *Follower) MergeStops(stops []stopper.Stop) bool {
	before := f.board.Stops.Load().Hash()
	f.board.Stops.Update(func(old stopper.Stops) stopper.Stops { return old.With(stops...) })
	if f.board.Stops.Load().Hash() == before {
		return false
	}
	f.ApplyStops()
	f.log.Info("planned stops changed", zap.Int("stops", len(stops)))
	return true
}

func (f *Follower) number() uint64 {
	if index := f.board.Index.Load(); index != nil {
		return index.Number
	}
	return 0
}

// Poll asks the platform once. Each call has the time that its client allows,
// so that a slow platform still brings an instance up.
func (f *Follower) Poll(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { f.pollList(ctx) })
	both.Go(func() { f.pollHead(ctx) })
	both.Wait()
}

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
	if err := f.fetch(ctx, rows[0]); err != nil {
		f.count.Add("config", "fetch-failures")
	}
}

// pollList reads the instance list, if this is one of the instances that read
// it for their data centre, and passes on who leaves as planned stops.
func (f *Follower) pollList(ctx context.Context) {
	if !f.readsList() {
		return
	}
	entries, err := f.list.Entries(ctx)
	if err != nil {
		f.count.Add("config", "list-failures")
		return
	}
	before := states(f.board.ListedInstances.Load())
	f.board.ListedInstances.Store(entries)
	stops := f.board.Stops.Load()
	var changes []stopper.Stop
	for name, state := range states(entries) {
		leaving := state == lister.Leaving
		// Another reader may see the list earlier, so only a change seen here
		// ends a stop.
		ended := !leaving && before[name] == lister.Leaving
		if leaving != stops.Active(listed+name) && (leaving || ended) {
			changes = append(changes, stops.Change(listed+name, leaving, f.name))
		}
	}
	if f.MergeStops(changes) {
		f.news()
	}
}

func states(entries []lister.Entry) map[string]lister.State {
	byName := make(map[string]lister.State, len(entries))
	for _, entry := range entries {
		byName[entry.Name] = entry.State
	}
	return byName
}

// readsList reports whether this instance is among the first of its data
// centre in rendezvous order, as an instance that knows no others is.
func (f *Follower) readsList() bool {
	mine := ranker.Rank(0, xxhash.Sum64String(f.name))
	better := 0
	for _, member := range f.board.Members.Load() {
		near := member.DataCentre == f.dataCentre && member.Name != f.name
		if near && ranker.Rank(0, xxhash.Sum64String(member.Name)) > mine {
			better++
		}
	}
	return better < readers
}

// OnChange sets what is called when other instances should hear of a change. It
// must be called before Run.
func (f *Follower) OnChange(news func()) { f.news = news }

func (f *Follower) fetch(ctx context.Context, row tabler.Row) error {
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return eris.Wrap(err, "decode configuration head")
	}
	if head.Number <= f.number() {
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
