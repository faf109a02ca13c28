// Package tailer reads the engines' cache events and applies them to the cache map. A
// rate limit bounds the bytes that it reads.
package tailer

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/grouper"
	"wisteriadrum/keeper"
	"wisteriadrum/mapper"
	"wisteriadrum/pacer"
	"wisteriadrum/pager"
	"wisteriadrum/tracker"
)

const (
	roundInterval = 500 * time.Millisecond
	// pageBytes and eventBytes are the bytes charged to the rate limit for a page and
	// for each of its events.
	pageBytes  = 300
	eventBytes = 12
)

// Tailer reads the events of as many engines as its rate limit allows.
type Tailer struct {
	board     *keeper.Board
	dialer    dialer.Dialer
	cacheMap  *mapper.Map
	budget    *rate.Limiter
	count     *counter.Counter
	now       func() time.Time
	positions map[string]position // by endpoint
}

// position is the position up to which the events of an endpoint have been read.
type position struct {
	incarnation string
	sequence    uint64
}

// New returns a tailer that reads about bytesPerSecond.
func New(board *keeper.Board, dial dialer.Dialer, cacheMap *mapper.Map, bytesPerSecond int, count *counter.Counter, now func() time.Time) *Tailer {
	return &Tailer{
		board: board, dialer: dial, cacheMap: cacheMap, budget: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond),
		count: count, now: now, positions: map[string]position{},
	}
}

// Run reads events until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	pacer.Repeat(ctx, roundInterval, t.readAll)
}

// readAll reads a page from each engine in random order until the rate limit is
// reached.
func (t *Tailer) readAll(ctx context.Context) {
	index := t.board.Index.Load()
	if index == nil {
		return
	}
	endpoints := index.Config.Endpoints
	for _, i := range rand.Perm(len(endpoints)) {
		endpoint := endpoints[i]
		track := t.board.Fleet.Load().Track(endpoint.Name)
		if ctx.Err() != nil || track == nil || index.Pool(endpoint.Pool).Kind != grouper.Engine || !track.Available(t.now()) {
			continue
		}
		if !t.budget.AllowN(t.now(), pageBytes) {
			t.count.Add("events", "over-budget")
			return
		}
		t.read(track)
	}
}

func (t *Tailer) read(track *tracker.Track) {
	name := track.Endpoint.Name
	from := t.positions[name]
	page, err := t.dialer.FetchEvents(track.Endpoint.Address, from.sequence)
	if err == nil && from.incarnation != "" && page.Incarnation != from.incarnation {
		// The event numbers of a new incarnation start from the beginning.
		from = position{}
		page, err = t.dialer.FetchEvents(track.Endpoint.Address, 0)
	}
	if err != nil {
		t.count.Add("events", "failures")
		return
	}
	t.count.Add("events", "pages")
	t.budget.ReserveN(t.now(), min(len(page.Events)*eventBytes, t.budget.Burst()))
	t.cacheMap.RecordEvents(len(page.Events), t.lostEvents(from, page))
	t.positions[name] = position{incarnation: page.Incarnation, sequence: page.Last()}
	if track.View().Incarnation != page.Incarnation {
		track.ApplyAnswer(page.Incarnation, "", -1, t.now(), t.cacheMap.NewSlot)
	}
	slot := track.View().Slot
	for _, event := range page.Events {
		if event.Stored {
			t.cacheMap.Add(event.Level, slot, t.now())
		} else {
			t.cacheMap.Remove(event.Level, slot)
		}
	}
}

// lostEvents returns the number of events between from and page that were lost. Events
// that an engine dropped before the first read of its incarnation do not count.
func (t *Tailer) lostEvents(from position, page pager.Page) int {
	if from.incarnation == "" || page.After <= from.sequence {
		return 0
	}
	t.count.Add("events", "gaps")
	return int(page.After - from.sequence)
}
