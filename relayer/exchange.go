package relayer

import (
	"time"

	"wisteriadrum/budgeter"
	"wisteriadrum/monitor"
	"wisteriadrum/placer"
	"wisteriadrum/requester"
	"wisteriadrum/responder"
)

// exchange is the state of one request and its answer over all attempts.
type exchange struct {
	request  *requester.Request
	answer   *responder.Responder
	deadline time.Time
	tried    []*monitor.Monitor
	// addresses are those to which the request was sent.
	addresses []string
	// sends counts all sends, runs those after which the request may have run.
	sends, runs int
	// unended means that an endpoint may still work on the request and cannot learn that it
	// was given up.
	unended bool
	// misdirected are the other pools of which a send is known to have reached an endpoint,
	// which has the address now. The retry budget bounds the load on a pool, so the first send
	// to each of them needs none.
	misdirected []string
	// reserved is the budget in which the next send is reserved, nil if it is not.
	reserved *budgeter.Budget
	// lastEventID is the id of the last event that was relayed.
	lastEventID string
	choice      placer.Choice
	// roomless are the endpoints that had no room when asked for it lately.
	roomless []*monitor.Monitor
	// claimed is the engine at which the request waits for its turn, roomID identifies it
	// there. sampling means that the engine is being chosen.
	claimed  *monitor.Monitor
	roomID   uint64
	sampling bool
	// queued means that room is saved for the request at the claimed engine.
	queued bool
	// claimAsked reports that the last choice led to the claimed engine.
	claimAsked bool
	// roomAsks is how often it asked for room, claims at how many engines it waited.
	roomAsks, claims int
	// waited is how long the request waited for an engine with room.
	waited time.Duration
	// firstMillis is the time to the first relayed event in milliseconds.
	firstMillis int
	// endpoint is the chosen endpoint, source the one to fetch cached parts
	// from.
	endpoint, source *monitor.Monitor
	// loss is how the last attempt lost its connection, nil if it did not.
	loss *loss
	// quotaTakenAt is when the last send took tokens of its workspace, zero if it took none.
	quotaTakenAt time.Time
	// turn is the right to send the request, nil if it needs none.
	turn *turn
	// place is the place at the chosen endpoint, nil if it needs none. placeAsks counts
	// the places that were refused since the request was placed last.
	place     *place
	placeAsks int
}

// hasTried reports whether an earlier attempt used endpoint.
func (e *exchange) hasTried(endpoint *monitor.Monitor) bool {
	for _, tried := range e.tried {
		if tried == endpoint {
			return true
		}
	}
	return false
}
