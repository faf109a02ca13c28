// Package dialer sends requests to endpoints.
package dialer

import (
	"wisteriadrum/answerer"
	"wisteriadrum/caller"
	"wisteriadrum/commander"
	"wisteriadrum/pager"
	"wisteriadrum/reporter"
)

// Dialer sends requests to endpoints and never retries. Each error of Send has a
// verdict, which is judge.NotRun only if the endpoint cannot have begun the
// request.
type Dialer interface {
	// Send makes one attempt and returns when the header of its answer has
	// arrived.
	Send(call caller.Call) (*answerer.Answer, error)
	// Cancel asks the endpoint at address to end an attempt.
	Cancel(address, attempt string) error
	// FetchLoad returns the load report of the endpoint at address.
	FetchLoad(address string) (reporter.Report, error)
	// FetchEvents returns the cache events of the endpoint at address that follow
	// the event number after.
	FetchEvents(address string, after uint64) (pager.Page, error)
	// SendOrder sends an order to the endpoint at address. It returns an error if
	// the endpoint refuses the order.
	SendOrder(address string, order commander.Order) error
}
