// Package runner wires the parts of an instance that relays callers'
// requests and runs them.
package runner

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"wisteriadrum/acceptor"
	"wisteriadrum/budgeter"
	"wisteriadrum/counter"
	"wisteriadrum/exposer"
	"wisteriadrum/feeder"
	"wisteriadrum/informer"
	"wisteriadrum/leaser"
	"wisteriadrum/monitor"
	"wisteriadrum/muter"
	"wisteriadrum/pacer"
	"wisteriadrum/pooler"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/roller"
	"wisteriadrum/sharer"
	"wisteriadrum/tabler"
	"wisteriadrum/translator"
)

const (
	// balancerWait is the time in which a balancer that asks every second
	// notices, by two answers, that an instance is not ready. What comes later
	// may have to be cut at the end of the grace.
	balancerWait = 2500 * time.Millisecond
	// endMargin is kept before the end of the grace.
	endMargin  = 700 * time.Millisecond
	shareEvery = time.Second
	meetEvery  = 15 * time.Second
	// firstMeet spreads the first reads of instances that start together.
	firstMeet   = 200 * time.Millisecond
	meetRetry   = time.Second
	rowPrefix   = "instance/"
	drainCheck  = 50 * time.Millisecond
	lastAnswers = 50 * time.Millisecond
	leaseKey    = "lease/orders"
)

// Options are the settings of an instance.
type Options struct {
	Name, DataCentre string
	// LinkMbps is the rate of the instance's link in Mbit/s, 0 if unknown.
	LinkMbps int
	// CallerAddress, Ready, Peer and Metrics are the addresses listened on. An empty
	// Metrics is not opened.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// Retries bounds retries of all instances for each pool.
	Retries budgeter.Rule
	// Lease are the terms of the lease on orders.
	Lease leaser.Terms
	// OrderPauseMillis is kept between orders of two holders, in milliseconds.
	OrderPauseMillis int
	// WeightsExpiryMillis is the time after which weights that are not the newest are out of
	// use, in milliseconds.
	WeightsExpiryMillis int
	// GraceMillis is the time from the signal to stop to the kill, in milliseconds.
	GraceMillis int
}

// FollowedTable is a followed table with what takes in its rows.
type FollowedTable struct {
	Name  string
	Apply func(rows []feeder.Row, whole bool)
}

// Dependencies are the outside of an instance.
type Dependencies struct {
	Translator translator.Translator
	Engines    roller.EngineClient
	Source     feeder.Store
	Rows       tabler.Table
	// PutRow writes the row of this instance, and Peers reads those of all.
	PutRow   func(ctx context.Context, key string, value []byte) error
	PeerRows func(ctx context.Context) ([]feeder.Row, error)
	// Tables are followed, the configuration's first.
	Tables []FollowedTable
	Dial   func(address string) (net.Conn, error)
	// MonotonicNow is a clock that goes on while the process is frozen.
	MonotonicNow func() time.Time
}

// Runner is one instance.
type Runner struct {
	options  Options
	ports    Dependencies
	beliefs  *registrar.Registrar
	registry metrics.Registry
	count    *counter.Counter
	log      *zap.Logger
	relay    *relayer.Relayer
	accept   *acceptor.Acceptor
	share    *sharer.Sharer
	roll     *roller.Roller
	inform   *informer.Informer
	feeders  []*feeder.Feeder
	packets  net.PacketConn
	stopping atomic.Bool
}

// New returns an instance with the beliefs that its tables write to.
func New(options Options, ports Dependencies, beliefs *registrar.Registrar, count *counter.Counter, log *zap.Logger) (*Runner, error) {
	c := &Runner{options: options, ports: ports, beliefs: beliefs, registry: count.Registry(), count: count, log: log}
	packets, err := net.ListenPacket("udp4", options.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	c.packets = packets
	ward := quarantiner.New()
	for _, table := range ports.Tables {
		c.feeders = append(c.feeders, feeder.New(ports.Source, table.Name, table.Apply, count, log))
	}
	c.inform = informer.New(c.feeders, ports.Dial, count, log)
	self := sharer.Peer{Name: options.Name, DataCentre: options.DataCentre, Address: options.PeerAddress, Rate: options.LinkMbps}
	c.share = sharer.New(self, time.Now().UnixNano(), packets, beliefs, ward, c.inform, count, log, time.Now)
	c.relay = relayer.New(relayer.Dependencies{
		Translator: ports.Translator, Registrar: beliefs, Pool: pooler.New(ports.Dial, time.Now), Quarantine: ward, RetryRule: options.Retries,
		DataCentre: options.DataCentre, WeightsExpiry: time.Duration(options.WeightsExpiryMillis) * time.Millisecond, AnnouncePart: c.share.AnnouncePart, QueryWeights: func(place *monitor.Monitor) { c.roll.RefreshWeights(place) }, AnnounceCrash: c.share.AnnounceCrash, Count: count, Log: log, Now: time.Now,
	})
	c.accept = acceptor.New(ports.Translator, beliefs, c.relay, count, log, time.Now)
	holder := options.Name + "@" + time.Now().UTC().Format(time.RFC3339Nano)
	lease := leaser.New(ports.Rows, leaseKey, holder, options.Lease, ports.MonotonicNow)
	quiet := time.Duration(options.OrderPauseMillis) * time.Millisecond
	c.roll = roller.New(options.Name, beliefs, ports.Engines, lease, c.share, quiet, count, log, ports.MonotonicNow)
	return c, nil
}

// Run serves until ctx ends, then finishes the requests under way within the
// grace.
func (c *Runner) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", c.options.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", c.options.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "listen for probes")
	}
	tables, err := net.Listen("tcp", c.options.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	defer func() {
		for _, open := range []io.Closer{callers, ready, tables, c.packets} {
			_ = open.Close() // some are closed already
		}
	}()
	failed := make(chan error, 5)
	go func() { failed <- c.inform.Serve(tables) }()
	go func() { failed <- c.accept.Serve(callers) }()
	go func() { failed <- c.probes().Serve(ready) }()
	go func() { failed <- c.share.Listen() }()
	if c.options.MetricsAddress != "" {
		if err := c.expose(failed); err != nil {
			return err
		}
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, feed := range c.feeders {
		go feed.Run(background)
	}
	go c.share.Run(background)
	go c.roll.Run(background)
	go c.relay.WatchSilent(background)
	go c.meet(background)
	go c.inform.Run(background, c.share.TableSource)
	go c.divide(background)
	c.log.Info("instance serving", zap.String("name", c.options.Name), zap.String("caller", c.options.CallerAddress))
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	c.drain(callers)
	return nil
}

// Ready reports whether new connections should come here.
func (c *Runner) Ready() bool {
	return !c.stopping.Load() && c.beliefs.Table() != nil && len(c.beliefs.Fleet().All()) > 0
}

func (c *Runner) probes() *fasthttp.Server {
	handle := func(ctx *fasthttp.RequestCtx) {
		if !c.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return
		}
		ctx.SetBodyString("ready\n")
	}
	return &fasthttp.Server{Handler: handle, NoDefaultServerHeader: true, Logger: muter.New()}
}

func (c *Runner) expose(failed chan<- error) error {
	listener, err := net.Listen("tcp", c.options.MetricsAddress)
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	server := &fasthttp.Server{Handler: exposer.New(c.registry).Handle, NoDefaultServerHeader: true, Logger: muter.New()}
	go func() { failed <- server.Serve(listener) }()
	return nil
}

// drain takes the instance out of service without cutting a request.
func (c *Runner) drain(callers net.Listener) {
	grace := time.Duration(c.options.GraceMillis)*time.Millisecond - endMargin
	c.log.Info("instance stopping", zap.Int("busy", c.accept.Busy()))
	c.stopping.Store(true)
	c.accept.DisableKeepAlive()
	c.share.AnnounceLeaving(false)
	limit, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	go c.roll.Stop(limit)
	pacer.Wait(limit, min(balancerWait, grace/2))
	_ = callers.Close() // nothing can be done about a listener that does not close
	for c.accept.CloseIdle() > 0 && pacer.Wait(limit, drainCheck) {
		continue
	}
	c.share.AnnounceLeaving(true)
	time.Sleep(lastAnswers) // for what was written last to leave
	c.log.Info("instance stopped", zap.Int("busy", c.accept.Busy()))
}

// divide shares the budget of retries among the live instances.
func (c *Runner) divide(ctx context.Context) {
	for pacer.Wait(ctx, shareEvery) {
		c.relay.SetInstances(c.share.LiveCount())
	}
}
