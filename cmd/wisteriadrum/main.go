// Command wisteriadrum runs an instance of the router and the operators' tools.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit statuses, by kind of failure.
const (
	exitFailed   = 1 // anything else
	exitUsage    = 2 // the command line
	exitInvalid  = 3 // a set or settings with faults
	exitConflict = 4 // another publication came first
	exitPlatform = 5 // the outcome is unknown because the platform failed
	exitUnproved = 6 // the demo saw a wrong, cut or doubled answer
)

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run an instance."`
	Check    checkCmd    `cmd:"" help:"Check a set, or settings, and list every fault."`
	Publish  publishCmd  `cmd:"" help:"Check and publish a set."`
	Stop     stopCmd     `cmd:"" help:"Plan the stop of an endpoint or instance, or end it."`
	Status   statusCmd   `cmd:"" help:"Show what an instance knows."`
	Demo     demoCmd     `cmd:"" help:"Run everything in one process on loopback and show the measures."`
	Platform platformCmd `cmd:"" help:"Run an instance on the platform, with the settings that the environment names."`
	Explain  explainCmd  `cmd:"" help:"Tell the story of one request from the logs of instances."`
	Version  versionCmd  `cmd:"" help:"Show the version."`
}

// failure is an error with the exit status of its kind.
type failure struct {
	status int
	err    error
}

func (f *failure) Error() string { return f.err.Error() }

func fail(status int, err error) error { return &failure{status: status, err: err} }

func main() {
	parser := kong.Must(&cli{}, kong.Name("wisteriadrum"), kong.Description("A router for language-model traffic with long shared prompts."))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "wisteriadrum:", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "wisteriadrum:", err)
		var failed *failure
		if errors.As(err, &failed) {
			os.Exit(failed.status)
		}
		os.Exit(exitFailed)
	}
}
