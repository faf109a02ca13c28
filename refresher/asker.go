// Package refresher gets fresh loads from endpoints before a costly request.
package refresher

import (
	"time"

	"wisteriadrum/chooser"
	"wisteriadrum/counter"
	"wisteriadrum/dialer"
	"wisteriadrum/mapper"
	"wisteriadrum/tracker"
)

// askTimeout is worth waiting where the prefill takes as long.
const askTimeout = 20 * time.Millisecond

// Refresher asks endpoints for their load.
type Refresher struct {
	dialer  dialer.Dialer
	holders *mapper.Map
	count   *counter.Counter
	now     func() time.Time
}

// New returns an asker that names new incarnations in holders.
func New(dial dialer.Dialer, holders *mapper.Map, count *counter.Counter, now func() time.Time) *Refresher {
	return &Refresher{dialer: dial, holders: holders, count: count, now: now}
}

// Refresh gets the loads that policy wants before it answers query. An endpoint
// that does not answer in time is judged by what is known of it.
func (a *Refresher) Refresh(policy chooser.Policy, query chooser.Query, tracks []*tracker.Track) {
	lister, ok := policy.(chooser.Shortlister)
	if !ok {
		return
	}
	list := lister.Shortlist(query, tracks)
	heard := make(chan struct{}, len(list))
	for _, track := range list {
		a.count.Add("probe", "asked")
		go func() {
			if report, err := a.dialer.FetchLoad(track.Endpoint.Address); err == nil {
				track.ApplyReport(report, a.now(), a.holders.NewSlot)
			}
			heard <- struct{}{}
		}()
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	for range list {
		select {
		case <-heard:
		case <-timer.C:
			a.count.Add("probe", "late")
			return
		}
	}
}
