// Package dialer makes calls to endpoints.
package dialer

import (
	"wisteriadrum/answerer"
	"wisteriadrum/caller"
	"wisteriadrum/commander"
	"wisteriadrum/pager"
	"wisteriadrum/reporter"
)

// Dialer makes calls to endpoints and repeats none. Each error carries a
// verdict, which is judge.NotRun only where the endpoint cannot have begun.
type Dialer interface {
	// Send makes one attempt and returns as soon as its answer begins.
	Send(call caller.Call) (*answerer.Answer, error)
	// Cancel tells the endpoint at address to end an attempt.
	Cancel(address, attempt string) error
	// FetchLoad asks the endpoint at address for its load.
	FetchLoad(address string) (reporter.Report, error)
	// FetchEvents asks the endpoint at address for the cache events after a number.
	FetchEvents(address string, after uint64) (pager.Page, error)
	// SendOrder gives the endpoint at address an order.
	SendOrder(address string, order commander.Order) error
}
