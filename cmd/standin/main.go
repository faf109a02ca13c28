// Command standin runs emulators of the platform, of engines and of a plain
// service as separate processes, and a load generator.
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
	Platform platformCmd `cmd:"" help:"Run an emulated platform: table service, object store and instance list. POST /fault injects faults."`
	Engine   engineCmd   `cmd:"" help:"Run emulated model engines. POST /fault injects faults; GET /stats returns work counters."`
	Service  serviceCmd  `cmd:"" help:"Run an emulated plain service. POST /fault injects faults; GET /runs returns the number of runs of each request."`
	Load     loadCmd     `cmd:"" help:"Send seeded synthetic requests to instances and check every answer."`
}

type platformCmd struct {
	Listen string `default:"127.0.0.1:7000" help:"IP address and port."`
	Pace   int    `default:"2500" help:"Duration of a transaction in microseconds."`
}

func (c *platformCmd) Run() error {
	platform := emulator.New(time.Now)
	platform.SetFaults(emulator.Faults{TransactionMicros: c.Pace})
	return serve(c.Listen, platform.Serve)
}

type engineCmd struct {
	Listen   string `default:"127.0.0.1:7100" help:"IP address and port."`
	Weights  string `default:"v1" help:"Version of the model weights."`
	Piece    int    `default:"4000" help:"Size of a prefix cache piece in bytes."`
	Pieces   int    `default:"400" help:"Capacity of the prefix cache in pieces."`
	PerByte  int    `default:"2000" help:"Prefill time per prompt byte in nanoseconds."`
	PerToken int    `default:"2000" help:"Decode time per token in microseconds."`
	Count    int    `default:"1" help:"Number of engines, on consecutive ports starting with that of listen."`
	Poison   string `help:"Text that crashes the process when a prompt contains it."`
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
		Weights: c.Weights, PieceBytes: c.Piece, CachePieces: c.Pieces, PrefillNanosPerByte: c.PerByte, MicrosPerToken: c.PerToken,
		OnCrash: func() { os.Exit(exitCrash) },
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
	Targets  []string `required:"" help:"Addresses on which the instances accept requests."`
	Model    string   `default:"lingua" help:"Model name."`
	Keys     []string `required:"" help:"Bearer keys of the workspaces."`
	Requests int      `default:"200" help:"Number of requests."`
	AtOnce   int      `default:"8" help:"Number of concurrent requests."`
	Tokens   int      `default:"16" help:"Number of tokens generated for each request."`
	Seed     uint64   `default:"1" help:"Seed of the random number generator."`
	Gwasg    bool     `help:"Send the gwasg workload (roll checks) instead of the consorzio workload (contract questions)."`
}

func (c *loadCmd) Run() error {
	workload := synthesizer.Consorzio()
	if c.Gwasg {
		workload = synthesizer.Gwasg()
	}
	traffic := synthesizer.New(workload, c.Seed)
	plan := loader.Plan{Targets: c.Targets, Model: c.Model, Keys: c.Keys, Concurrency: c.AtOnce, Tokens: c.Tokens}
	for range c.Requests {
		plan.Requests = append(plan.Requests, traffic.Next())
	}
	report := loader.New().Run(context.Background(), plan)
	fmt.Println(report)
	if report.Wrong+report.Truncated > 0 {
		return fmt.Errorf("%d answers were wrong and %d truncated", report.Wrong, report.Truncated)
	}
	return nil
}

// exitCrash is the exit status of an engine that a poisoned prompt crashed.
const exitCrash = 3

func serve(address string, run func(net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return run(listener)
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("standin"), kong.Description("Emulators of the systems around wisteriadrum, and a load generator."))
	ctx.FatalIfErrorf(ctx.Run())
}
