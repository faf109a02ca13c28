package relayer

// Exported for tests.
var (
	EventsAfter          = eventsAfter
	CompleteEventsLength = completeEventsLength
)
