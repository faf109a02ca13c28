// Command platform runs one case of the second review: it starts instances with the command
// of the deploy file beside stand-ins of the platform's store, workers and clients, makes the
// disruption unless TROUBLE is 0, and judges one rule by what the stand-ins saw.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxRun bounds the time of a case.
const maxRun = 110 * time.Second

var cases = map[string]func(*scene) (int, error){
	"service-removed": runServiceRemoved,
	"isolated":        runIsolated,
	"zone-cut":        runCut,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE COMMAND RECORD")
		return couldNot
	}
	s, err := newScene(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "set up:", err)
		return couldNot
	}
	type end struct {
		result int
		err    error
	}
	ended := make(chan end, 1)
	go func() {
		result, err := cases[os.Args[1]](s)
		ended <- end{result, err}
	}()
	result := end{couldNot, fmt.Errorf("the case did not end within %s", maxRun)}
	select {
	case result = <-ended:
	case <-time.After(maxRun):
	}
	s.close()
	if result.err != nil {
		s.record.say("could not run: %s", result.err)
		return couldNot
	}
	s.record.say("result %d", result.result)
	return result.result
}
