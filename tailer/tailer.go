// Package tailer reads the engines' cache events within a budget of bytes and
// puts them into the cache map.
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
	roundEvery = 500 * time.Millisecond
	// pageBytes and eventBytes are what one page costs, and each of its events.
	pageBytes  = 300
	eventBytes = 12
)

// Tailer follows the events of as many endpoints as its budget allows.
type Tailer struct {
	board   *keeper.Board
	dialer  dialer.Dialer
	holders *mapper.Map
	budget  *rate.Limiter
	count   *counter.Counter
	now     func() time.Time
	places  map[string]place // by endpoint
}

// place is how far the events of an endpoint have been read.
type place struct {
	incarnation string
	last        uint64
}

// New returns a tailer that reads about so many bytes a second.
func New(board *keeper.Board, dial dialer.Dialer, holders *mapper.Map, bytes int, count *counter.Counter, now func() time.Time) *Tailer {
	return &Tailer{
		board: board, dialer: dial, holders: holders, budget: rate.NewLimiter(rate.Limit(bytes), bytes),
		count: count, now: now, places: map[string]place{},
	}
}

// Run reads events until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	pacer.Repeat(ctx, roundEvery, t.round)
}

// round visits the engines in random order until the budget is spent.
func (t *Tailer) round(ctx context.Context) {
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
	at := t.places[name]
	page, err := t.dialer.FetchEvents(track.Endpoint.Address, at.last)
	if err == nil && at.incarnation != "" && page.Incarnation != at.incarnation {
		// The numbers of another incarnation begin anew.
		at = place{}
		page, err = t.dialer.FetchEvents(track.Endpoint.Address, 0)
	}
	if err != nil {
		t.count.Add("events", "failures")
		return
	}
	t.count.Add("events", "pages")
	t.budget.ReserveN(t.now(), min(len(page.Events)*eventBytes, t.budget.Burst()))
	t.holders.RecordEvents(len(page.Events), t.missing(at, page))
	t.places[name] = place{incarnation: page.Incarnation, last: page.Last()}
	if track.View().Incarnation != page.Incarnation {
		track.ApplyAnswer(page.Incarnation, "", -1, t.now(), t.holders.NewSlot)
	}
	slot := track.View().Slot
	for _, event := range page.Events {
		if event.Stored {
			t.holders.Add(event.Level, slot, t.now())
		} else {
			t.holders.Remove(event.Level, slot)
		}
	}
}

// missing returns how many events were lost before page. What an engine has
// dropped before the first look at it does not count.
func (t *Tailer) missing(at place, page pager.Page) int {
	if at.incarnation == "" || page.After <= at.last {
		return 0
	}
	t.count.Add("events", "gaps")
	return int(page.After - at.last)
}
