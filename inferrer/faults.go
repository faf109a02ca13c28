package inferrer

// Faults are the injected faults of an engine.
type Faults struct {
	// Poison is a text that crashes the engine when a prompt contains it.
	Poison string `json:"poison"`
	// CutAfter closes every connection of a stream after the given number of events.
	CutAfter int `json:"cut"`
	// EndAfter ends the response of a stream regularly after the given number of
	// events, but without the closing event.
	EndAfter int `json:"end"`
	// StallAfter stops sending on a connection after the given number of events.
	StallAfter int `json:"stall"`
	// SwapAnswers answers the given number of requests with the output of another
	// attempt.
	SwapAnswers int `json:"cross"`
	// Refuse refuses the given number of requests.
	Refuse int `json:"refuse"`
	// SkipAt omits the event with the given number from each connection.
	SkipAt int `json:"skip"`
	// DuplicateEvents sends every event twice.
	DuplicateEvents bool `json:"repeat"`
	// Blackhole discards the traffic of all connections that are open when the
	// faults are set, without closing them.
	Blackhole bool `json:"mute"`
	// Draining refuses new requests.
	Draining bool `json:"leaving"`
}
