// Command driver runs one case of the review: it plays the platform's store, the
// workers and the clients around separate processes of the router, and checks one
// rule by what these have seen.
//
// Usage: driver CASE RECORD PROGRAM [ARGUMENT...], from the repository's root. The
// exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	statusHeld    = 0
	statusBroken  = 1
	statusInvalid = 2
	// timeLimit ends a case that does not end by itself.
	timeLimit = 110 * time.Second
)

// errUsage means that the arguments are wrong.
var errUsage = errors.New("usage: driver CASE RECORD PROGRAM [ARGUMENT...]")

// cases are the cases by name. Each returns what broke the rule, "" if it held.
var cases = map[string]func(*scene) (string, error){
	"endless":       runEndless,
	"second-holder": runSecondHolder,
	"last-key":      runLastKey,
	"odd-entry":     runOddEntry,
	"releases":      runReleases,
}

func main() {
	status, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
	}
	os.Exit(status)
}

func run(arguments []string) (int, error) {
	if len(arguments) < 3 || cases[arguments[0]] == nil {
		return statusInvalid, errUsage
	}
	s, err := newScene(arguments[1], arguments[2:], os.Getenv("TROUBLE") != "0")
	if err != nil {
		return statusInvalid, err
	}
	defer s.end()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[arguments[0]](s)
		results <- result{broken, err}
	}()
	var got result
	select {
	case got = <-results:
	case received := <-ended:
		got.err = fmt.Errorf("ended by signal %s", received)
	case <-time.After(timeLimit):
		got.err = fmt.Errorf("case did not end within %s", timeLimit)
	}
	switch {
	case got.err != nil:
		s.note("result", "could not run: %s", got.err)
		return statusInvalid, got.err
	case got.broken != "":
		s.note("result", "broken: %s", got.broken)
		fmt.Println("broken:", got.broken)
		return statusBroken, nil
	default:
		s.note("result", "held")
		fmt.Println("held")
		return statusHeld, nil
	}
}
