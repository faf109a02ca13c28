package relayer

import (
	"context"

	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/requester"
	"wisteriadrum/responder"
)

// Exported for tests.
var (
	AppendEvents         = appendEvents
	EventsAfter          = eventsAfter
	CompleteEventsLength = completeEventsLength
	PartKey              = partKey
)

// WaitForRoom waits until the request may be sent.
func (r *Relayer) WaitForRoom(ctx context.Context, request *requester.Request) *refuser.Refusal {
	return r.waitForRoom(ctx, &exchange{request: request, answer: responder.New(nil, nil, r.deps.Now, false), deadline: request.Deadline})
}

// Prepare waits until a request that may have run so many times may be sent. It returns the
// name of the chosen endpoint, or the code of the refusal.
func (r *Relayer) Prepare(ctx context.Context, request *requester.Request, runs int) string {
	e := &exchange{request: request, runs: runs, answer: responder.New(nil, nil, r.deps.Now, false), deadline: request.Deadline}
	if refusal := r.prepareAttempt(ctx, e, judge.NotRun); refusal != nil {
		return string(refusal.Code)
	}
	return e.endpoint.Entry().Name
}

// Place places the request and returns the name of the chosen endpoint.
func (r *Relayer) Place(ctx context.Context, request *requester.Request) string {
	e := &exchange{request: request, answer: responder.New(nil, nil, r.deps.Now, false), deadline: request.Deadline}
	if refusal := r.waitForRoom(ctx, e); refusal != nil {
		return string(refusal.Code)
	}
	return e.endpoint.Entry().Name
}
