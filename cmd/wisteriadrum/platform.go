package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/chronicler"
	"wisteriadrum/explainer"
	"wisteriadrum/platform"
)

type platformCmd struct {
	Lines int `default:"100" help:"Most log lines a second below the warning level; 0 for no bound."`
}

// Validate checks the flags.
func (c *platformCmd) Validate() error {
	if c.Lines < 0 {
		return eris.New("lines: must not be negative")
	}
	return nil
}

// Run serves on the platform until a signal.
func (c *platformCmd) Run() error {
	settings, err := platform.Load()
	if err != nil {
		return fail(exitInvalid, err)
	}
	core := chronicler.New(os.Stdout, zap.InfoLevel, c.Lines)
	defer func() { _ = core.Sync() }() // it reports no error
	log := zap.New(core).With(zap.String("instance", settings.Name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	return platform.Run(ctx, settings, log)
}

type explainCmd struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Logs of instances; standard input if none are given."`
}

// Run prints what the logs say of one request, in order.
func (c *explainCmd) Run() error {
	story := explainer.New(c.ID)
	if len(c.Files) == 0 {
		if err := story.Read(os.Stdin); err != nil {
			return eris.Wrap(err, "read standard input")
		}
	}
	for _, name := range c.Files {
		if err := readLog(story, name); err != nil {
			return err
		}
	}
	found, err := story.Explain(os.Stdout)
	if err == nil && !found {
		return fail(exitFailed, eris.New("nothing to explain"))
	}
	return err
}

func readLog(story *explainer.Explainer, name string) error {
	log, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer log.Close() //nolint:errcheck // opened for reading
	return eris.Wrapf(story.Read(log), "read %s", name)
}
