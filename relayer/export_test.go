package relayer

// What the tests of streams need.
var (
	Fresh       = fresh
	WholeEvents = wholeEvents
)
