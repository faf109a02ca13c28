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
	Settings string `arg:"" help:"File of the instance's settings, JSON with comments."`
	Debug    bool   `help:"Log in a form for people, with more detail."`
}

// Run serves until a signal, finishes the requests under way, and ends at
// once on a second signal.
func (c *serveCmd) Run() error {
	settings, err := wisteriadrum.LoadSettings(c.Settings)
	if err != nil {
		return fail(exitInvalid, err)
	}
	log, err := logger(c.Debug)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	instance, err := wisteriadrum.New(settings, log, nil)
	if err != nil {
		return err
	}
	stop, stopped := context.WithCancel(context.Background())
	hurry, hurried := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stopped()
		<-signals
		hurried()
	}()
	return instance.Run(stop, hurry)
}

func logger(readable bool) (*zap.Logger, error) {
	if readable {
		return zap.NewDevelopment()
	}
	return zap.NewProduction()
}

type versionCmd struct{}

// Run prints the version of the build.
func (c *versionCmd) Run() error {
	version := "(unknown)"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Println("wisteriadrum", version)
	return err
}
