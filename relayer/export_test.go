package relayer

// Exported for tests.
var (
	AppendEvents         = appendEvents
	EventsAfter          = eventsAfter
	CompleteEventsLength = completeEventsLength
)
