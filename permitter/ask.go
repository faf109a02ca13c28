package permitter

// Ask is a request for a permit, sent between instances.
type Ask struct {
	Key uint64
	// PerSecond is the number of requests that the endpoint takes a second.
	PerSecond float64
	// Called means that a call was made that needs no permit but counts.
	Called bool
	// Hops is the number of instances that have forwarded the request.
	Hops int
}

// Answer is the answer to an Ask.
type Answer struct {
	Granted bool
	// WaitMillis is after how many milliseconds to ask again.
	WaitMillis int64
}
