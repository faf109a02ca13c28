// Package refresher fetches load reports from endpoints before an expensive
// request is placed.
package refresher

import (
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/mapper"
	"wisteriadrum/tracker"
)

// refreshTimeout is as long as the shortest prefill for which the cost policy
// refreshes load reports.
const refreshTimeout = 20 * time.Millisecond

// Refresher fetches load reports on demand.
type Refresher struct {
	dialer   dialer.Dialer
	cacheMap *mapper.Map
	count    *counter.Counter
	now      func() time.Time
}

// New returns a refresher. It allocates the slots of new incarnations in
// cacheMap.
func New(dial dialer.Dialer, cacheMap *mapper.Map, count *counter.Counter, now func() time.Time) *Refresher {
	return &Refresher{dialer: dial, cacheMap: cacheMap, count: count, now: now}
}

// Refresh fetches the load reports of the endpoints that policy shortlists for
// query. If an endpoint does not answer in time, its last report remains in use.
func (r *Refresher) Refresh(policy chooser.Policy, query chooser.Query, tracks []*tracker.Track) {
	shortlister, ok := policy.(chooser.Shortlister)
	if !ok {
		return
	}
	shortlist := shortlister.Shortlist(query, tracks)
	done := make(chan struct{}, len(shortlist))
	for _, track := range shortlist {
		r.count.Add("probe", "asked")
		go func() {
			if report, err := r.dialer.FetchLoad(track.Endpoint.Address); err == nil {
				track.ApplyReport(report, r.now(), r.cacheMap.NewSlot)
			}
			done <- struct{}{}
		}()
	}
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	for range shortlist {
		select {
		case <-done:
		case <-timer.C:
			r.count.Add("probe", "late")
			return
		}
	}
}
