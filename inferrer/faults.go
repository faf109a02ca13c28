package inferrer

// Faults are the ways in which the engine fails just now.
type Faults struct {
	// Poison crashes the engine when a prompt contains it.
	Poison string `json:"poison"`
	// CutAfter closes the connection of a stream after so many events, once each
	// connection.
	CutAfter int `json:"cut"`
	// EndAfter ends a stream after so many events as if it were complete, but
	// without its closing event.
	EndAfter int `json:"end"`
	// StallAfter sends nothing on a connection after so many events.
	StallAfter int `json:"stall"`
	// SwapAnswers answers the next so many requests with another attempt's answer.
	SwapAnswers int `json:"cross"`
	// Refuse refuses the next so many requests.
	Refuse int `json:"refuse"`
	// SkipAt leaves out an event of each connection after so many.
	SkipAt int `json:"skip"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"repeat"`
	// Blackhole makes all open connections silent, once.
	Blackhole bool `json:"mute"`
	// Draining refuses new work.
	Draining bool `json:"leaving"`
}
