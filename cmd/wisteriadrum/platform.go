package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/explainer"
	"wisteriadrum/logger"
	"wisteriadrum/platform"
)

type platformCmd struct {
	Lines int `default:"100" help:"Maximum number of log lines per second below warning level; 0 for no limit."`
}

// Validate checks the flags; kong calls it after parsing.
func (c *platformCmd) Validate() error {
	if c.Lines < 0 {
		return eris.New("lines: must not be negative")
	}
	return nil
}

// Run serves on the platform until SIGTERM or SIGINT.
func (c *platformCmd) Run() error {
	settings, err := platform.Load()
	if err != nil {
		return withStatus(exitInvalid, err)
	}
	core := logger.New(os.Stdout, zap.InfoLevel, c.Lines)
	defer func() { _ = core.Sync() }() // always returns nil
	log := zap.New(core).With(zap.String("instance", settings.Name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	return platform.Run(ctx, settings, log)
}

type explainCmd struct {
	ID    string   `arg:"" help:"Request ID."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Log files of instances; standard input if none are given."`
}

// Run prints the log lines that concern one request, in order of time.
func (c *explainCmd) Run() error {
	explanation := explainer.New(c.ID)
	if len(c.Files) == 0 {
		if err := explanation.Read(os.Stdin); err != nil {
			return eris.Wrap(err, "read standard input")
		}
	}
	for _, name := range c.Files {
		if err := readLog(explanation, name); err != nil {
			return err
		}
	}
	found, err := explanation.Explain(os.Stdout)
	if err == nil && !found {
		return withStatus(exitFailed, eris.New("the logs hold no entry of the request"))
	}
	return err
}

func readLog(explanation *explainer.Explainer, name string) error {
	log, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer log.Close() //nolint:errcheck // read only
	return eris.Wrapf(explanation.Read(log), "read %s", name)
}
