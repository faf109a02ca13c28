package main

import (
	"context"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"wisteriadrum/platform"
)

type platformCmd struct{}

// Run serves on the platform until a signal.
func (c *platformCmd) Run() error {
	settings, err := platform.Load()
	if err != nil {
		return fail(exitInvalid, err)
	}
	log, err := logger(false)
	if err != nil {
		return err
	}
	log = log.With(zap.String("instance", settings.Name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	return platform.Run(ctx, settings, log)
}
