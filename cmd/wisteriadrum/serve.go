package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"wisteriadrum"
)

type serveCmd struct {
	Settings string `arg:"" help:"Settings file of the instance, JSON with comments."`
	Debug    bool   `help:"Log at debug level in a human-readable format."`
}

// Run serves until SIGTERM or SIGINT and then drains the requests in flight. A
// second signal aborts them.
func (c *serveCmd) Run() error {
	settings, err := wisteriadrum.LoadSettings(c.Settings)
	if err != nil {
		return withStatus(exitInvalid, err)
	}
	log, err := newLogger(c.Debug)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	instance, err := wisteriadrum.New(settings, log, nil)
	if err != nil {
		return err
	}
	stopCtx, stop := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		abort()
	}()
	return instance.Run(stopCtx, abortCtx)
}

func newLogger(readable bool) (*zap.Logger, error) {
	if readable {
		return zap.NewDevelopment()
	}
	return zap.NewProduction()
}

type versionCmd struct{}

// Run prints the module and Go versions of the build.
func (c *versionCmd) Run() error {
	version := "(unknown)"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Println("wisteriadrum", version)
	return err
}
