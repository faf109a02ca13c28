package inferrer

// Faults are the ways in which the engine fails just now.
type Faults struct {
	// Poison crashes the engine when a prompt contains it.
	Poison string `json:"poison"`
	// Cut closes the connection of a stream after so many events, once each
	// connection.
	Cut int `json:"cut"`
	// End ends a stream after so many events as if it were complete, but
	// without its closing event.
	End int `json:"end"`
	// Stall sends nothing on a connection after so many events.
	Stall int `json:"stall"`
	// Cross answers the next so many requests with another attempt's answer.
	Cross int `json:"cross"`
	// Refuse refuses the next so many requests.
	Refuse int `json:"refuse"`
	// Skip leaves out an event of each connection after so many.
	Skip int `json:"skip"`
	// Repeat sends each event twice.
	Repeat bool `json:"repeat"`
	// Mute makes all open connections silent, once.
	Mute bool `json:"mute"`
	// Leaving refuses new work.
	Leaving bool `json:"leaving"`
}
