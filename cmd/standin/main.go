// Command standin runs the stand-ins for the platform, an engine and a plain
// service as separate processes, and drives load.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"wisteriadrum/booker"
	"wisteriadrum/emulator"
	"wisteriadrum/inferrer"
	"wisteriadrum/loader"
	"wisteriadrum/synthesizer"
)

type cli struct {
	Platform platformCmd `cmd:"" help:"Run the table service, the object store and the instance list. POST /fault sets its faults."`
	Engine   engineCmd   `cmd:"" help:"Run a model engine. POST /fault sets its faults; GET /stats counts its work."`
	Service  serviceCmd  `cmd:"" help:"Run a plain service. POST /fault sets its faults; GET /runs counts its runs."`
	Load     loadCmd     `cmd:"" help:"Send seeded requests to instances and check every answer."`
}

type platformCmd struct {
	Listen string `default:"127.0.0.1:7000" help:"IP address and port."`
	Pace   int    `default:"2500" help:"Time of one transaction in microseconds."`
}

func (c *platformCmd) Run() error {
	platform := emulator.New(time.Now)
	platform.SetFaults(emulator.Faults{TransactionMicros: c.Pace})
	return serve(c.Listen, platform.Serve)
}

type engineCmd struct {
	Listen   string `default:"127.0.0.1:7100" help:"IP address and port."`
	Weights  string `default:"v1" help:"Version of the weights."`
	Piece    int    `default:"4000" help:"Bytes of a cached piece."`
	Pieces   int    `default:"400" help:"Pieces that the cache holds."`
	PerByte  int    `default:"2000" help:"Prefill time of a byte in nanoseconds."`
	PerToken int    `default:"2000" help:"Time of a token in microseconds."`
	Count    int    `default:"1" help:"Engines to run, on ports from that of listen."`
	Poison   string `help:"Text that crashes the engine when a prompt contains it."`
}

func (c *engineCmd) Run() error {
	first, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return err
	}
	failed := make(chan error, c.Count)
	for i := range c.Count {
		address := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
		go func() { failed <- c.run(address.String()) }()
	}
	return <-failed
}

func (c *engineCmd) run(address string) error {
	engine := inferrer.New(inferrer.Options{
		Weights: c.Weights, Piece: c.Piece, Pieces: c.Pieces, PrefillPerByte: c.PerByte, TimePerToken: c.PerToken,
		OnCrash: func() { os.Exit(crashStatus) },
	})
	return serve(address, func(listener net.Listener) error {
		if c.Poison != "" {
			engine.SetFaults(inferrer.Faults{Poison: c.Poison})
		}
		return engine.Serve(listener)
	})
}

type serviceCmd struct {
	Listen string `default:"127.0.0.1:7200" help:"IP address and port."`
}

func (c *serviceCmd) Run() error { return serve(c.Listen, booker.New().Serve) }

type loadCmd struct {
	Targets  []string `required:"" help:"Caller addresses of the instances."`
	Model    string   `default:"lingua" help:"Model name."`
	Keys     []string `required:"" help:"Bearer keys of the workspaces."`
	Requests int      `default:"200" help:"Number of requests."`
	AtOnce   int      `default:"8" help:"Requests under way."`
	Tokens   int      `default:"16" help:"Tokens of an answer."`
	Seed     uint64   `default:"1" help:"Seed of the traffic."`
	Gwasg    bool     `help:"Send roll checks in place of contract questions."`
}

func (c *loadCmd) Run() error {
	shape := synthesizer.Consorzio()
	if c.Gwasg {
		shape = synthesizer.Gwasg()
	}
	traffic := synthesizer.New(shape, c.Seed)
	plan := loader.Plan{Targets: c.Targets, Model: c.Model, Keys: c.Keys, Concurrency: c.AtOnce, Tokens: c.Tokens}
	for range c.Requests {
		plan.Requests = append(plan.Requests, traffic.Next())
	}
	report := loader.New().Run(context.Background(), plan)
	fmt.Println(report)
	if report.Wrong+report.Truncated > 0 {
		return fmt.Errorf("%d answers were wrong and %d cut", report.Wrong, report.Truncated)
	}
	return nil
}

const crashStatus = 3

func serve(address string, run func(net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return run(listener)
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("standin"), kong.Description("Stand-ins for what surrounds wisteriadrum, and a load tool."))
	ctx.FatalIfErrorf(ctx.Run())
}
