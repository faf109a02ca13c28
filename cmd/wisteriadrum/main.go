// Command wisteriadrum runs a router instance and the operators' tools.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit statuses by kind of failure.
const (
	exitFailed   = 1 // any other failure
	exitUsage    = 2 // invalid command line
	exitInvalid  = 3 // invalid configuration or settings
	exitConflict = 4 // a concurrent publication was committed first
	exitPlatform = 5 // the platform failed, so the outcome is unknown
	exitDemo     = 6 // the demo got a wrong or truncated answer, or a booking ran twice
)

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run an instance."`
	Check    checkCmd    `cmd:"" help:"Validate a configuration, or settings, and list all errors."`
	Publish  publishCmd  `cmd:"" help:"Validate and publish a configuration."`
	Stop     stopCmd     `cmd:"" help:"Drain an endpoint or instance, or end its draining."`
	Status   statusCmd   `cmd:"" help:"Show the status of an instance."`
	Demo     demoCmd     `cmd:"" help:"Run a complete deployment in one process on loopback and show its measurements."`
	Platform platformCmd `cmd:"" help:"Run an instance on the platform, with settings taken from the environment."`
	Place    placeCmd    `cmd:"" help:"Show where an instance would send a request now, and why, without sending it."`
	Explain  explainCmd  `cmd:"" help:"Explain the processing of one request from the logs of instances."`
	Version  versionCmd  `cmd:"" help:"Show the version."`
}

// failure is an error with the process's exit status.
type failure struct {
	status int
	err    error
}

func (f *failure) Error() string { return f.err.Error() }

func withStatus(status int, err error) error { return &failure{status: status, err: err} }

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
