// Package runner builds the components of an instance that relays callers'
// requests, and runs them.
package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"wisteriadrum/acceptor"
	"wisteriadrum/admitter"
	"wisteriadrum/allotter"
	"wisteriadrum/archiver"
	"wisteriadrum/asker"
	"wisteriadrum/budgeter"
	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/divider"
	"wisteriadrum/enforcer"
	"wisteriadrum/exposer"
	"wisteriadrum/feeder"
	"wisteriadrum/granter"
	"wisteriadrum/informer"
	"wisteriadrum/leaser"
	"wisteriadrum/listener"
	"wisteriadrum/monitor"
	"wisteriadrum/muter"
	"wisteriadrum/permitter"
	"wisteriadrum/pooler"
	"wisteriadrum/quarantiner"
	"wisteriadrum/registrar"
	"wisteriadrum/relayer"
	"wisteriadrum/roller"
	"wisteriadrum/sharer"
	"wisteriadrum/tabler"
	"wisteriadrum/throttler"
	"wisteriadrum/translator"
	"wisteriadrum/weigher"
)

const (
	// balancerWait is how long a stopping instance keeps accepting connections.
	// It is long enough for a load balancer with one probe a second and a
	// threshold of two failures to take the instance out of rotation.
	// Connections that are accepted later may be cut at the end of the grace
	// period.
	balancerWait = 2500 * time.Millisecond
	// discoveryInterval is the interval between reads of the instances' rows.
	discoveryInterval = 15 * time.Second
	// maxDiscoveryDelay spreads the first reads of instances that start
	// together.
	maxDiscoveryDelay   = 200 * time.Millisecond
	discoveryRetryDelay = time.Second
	// hubWait is how long an instance that starts in a large fleet waits for a hub
	// that sends the tables before it follows the store itself.
	hubWait           = 2 * time.Second
	instanceKeyPrefix = "instance/"
	// drainCheckInterval is the interval at which a draining instance checks for requests in progress.
	drainCheckInterval = 50 * time.Millisecond
	// flushDelay gives the last answers time to be sent before the process ends.
	flushDelay = 50 * time.Millisecond
	leaseKey   = "lease/orders"
	archiveKey = "archive"
)

// Options are the settings of an instance.
type Options struct {
	Name, DataCentre string
	// LinkMbps is the rate of the instance's link in Mbit/s, 0 if unknown.
	LinkMbps int
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the
	// addresses to listen on for callers, probes, other instances and metrics.
	// Metrics are not served if MetricsAddress is empty.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// Retries limits the retries of all instances for each pool.
	Retries budgeter.Rule
	// Quotas is the rule by which the limits of workspaces are kept.
	Quotas enforcer.Window
	// FirstStart means that the system starts for the first time, so that no earlier
	// process of the instance has sent retries.
	FirstStart bool
	// ContactMillis is how long instances may take after their start to know each other.
	ContactMillis int
	// Lease holds the terms of the lease that allows an instance to send
	// orders.
	Lease leaser.Terms
	// OrderPauseMillis is the minimum pause between the last order of one lease
	// holder and the first order of the next.
	OrderPauseMillis int
	// WeightsMarginMillis is how long before older weights go out of use newer
	// ones are used if an engine has them.
	WeightsMarginMillis int
	// WeightsPeriodMillis is how long older weights may be used after newer ones were
	// announced.
	WeightsPeriodMillis int
	// LastUseMillis is how long an endpoint that leaves may still get requests.
	LastUseMillis int
	// GraceMillis is the grace period between the stop signal and the kill.
	GraceMillis int
}

// FollowedTable is a table of the platform's store that the instance follows.
type FollowedTable struct {
	Name string
	// BoundMillis is the time within which changes must be in force.
	BoundMillis int
	Apply       feeder.Apply
}

// Dependencies connect an instance to the outside.
type Dependencies struct {
	Translator translator.Translator
	// Engines returns a client that calls observe with each answer and when its call was
	// made.
	Engines func(observe func(monitor.Entry, translator.Answer, time.Time)) roller.EngineClient
	Source  feeder.Store
	Rows    tabler.Table
	// PutRow writes the row of this instance and returns the era of the store in which
	// it did, PeerRows reads the rows of all instances.
	PutRow   func(ctx context.Context, key string, value []byte) (uint64, error)
	PeerRows func(ctx context.Context) ([]feeder.Row, error)
	// Tables are the followed tables. The first is that of the configuration and of
	// the announced weights.
	Tables []FollowedTable
	// Configuration is the configuration in force, which instances pass on.
	Configuration *informer.Preserved
	// Received bounds the memory of the messages that are received from endpoints, instances
	// and the store, Bodies that of the callers' request bodies.
	Received, Bodies *allotter.Allotter
	Dial             func(address string) (net.Conn, error)
	// StoreNow returns the time by the clock of the platform's store, which may be
	// behind it but never ahead, and false while it is unknown.
	StoreNow func() (time.Time, bool)
	// StoreLatest is the same for a time that may be ahead but never behind.
	StoreLatest func() (time.Time, bool)
	// StoreEra returns the newest known era of the platform's store, which rises when it
	// comes back from a copy that lacks its last writes, 0 if unknown.
	StoreEra func() uint64
	// MonotonicNow returns the time of a clock that continues while the process
	// is suspended.
	MonotonicNow func() time.Time
}

// Runner runs one instance.
type Runner struct {
	options    Options
	deps       Dependencies
	registrar  *registrar.Registrar
	registry   metrics.Registry
	count      *counter.Counter
	log        *zap.Logger
	relayer    *relayer.Relayer
	acceptor   *acceptor.Acceptor
	sharer     *sharer.Sharer
	roller     *roller.Roller
	informer   *informer.Informer
	permitter  *permitter.Permitter
	admitter   *admitter.Admitter
	throttler  *throttler.Throttler
	granter    *granter.Granter
	enforcer   *enforcer.Enforcer
	archiver   *archiver.Archiver
	feeders    []*feeder.Feeder
	packetConn net.PacketConn
	divider    *divider.Divider
	pool       *pooler.Pool
	// joined means that all others counted this instance when it, or an earlier process of
	// it, reached them.
	joined   atomic.Bool
	stopping atomic.Bool
}

// New returns an instance. The followed tables in deps update state.
func New(options Options, deps Dependencies, state *registrar.Registrar, count *counter.Counter, log *zap.Logger) (*Runner, error) {
	r := &Runner{options: options, deps: deps, registrar: state, registry: count.Registry(), count: count, log: log}
	packets, err := net.ListenPacket("udp4", options.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	r.packetConn = packets
	r.divider = divider.New(retryDelay(options))
	quarantine, detect := quarantiner.New(), detector.New()
	r.pool = pooler.New(deps.Dial, time.Now)
	for _, table := range deps.Tables {
		r.feeders = append(r.feeders, feeder.New(deps.Source, table.Name, table.BoundMillis, table.Apply, count, log))
	}
	dialPeer := weigher.New(deps.Received).Dial(deps.Dial)
	r.informer = informer.New(r.feeders, dialPeer, deps.StoreNow, deps.StoreLatest, count, log)
	r.informer.Preserve(deps.Configuration)
	self := sharer.Peer{Name: options.Name, DataCentre: options.DataCentre, Address: options.PeerAddress, Rate: options.LinkMbps}
	r.sharer = sharer.New(self, time.Now().UnixNano(), options.LastUseMillis, packets, state, quarantine, detect, r.informer, count, log, time.Now)
	r.permitter = permitter.New(r.sharer.Home, dialPeer, count, time.Now)
	incarnation := options.Name + "@" + strconv.FormatInt(time.Now().UnixNano(), 36)
	r.granter = granter.New(r.sharer.Home, dialPeer, r.engine, count, log, time.Now)
	r.throttler = throttler.New(r.sharer.Home, dialPeer, r.endpointName, r.sharer.LiveCount, count, log, time.Now)
	r.admitter = admitter.New(incarnation, r.sharer.Home, dialPeer, detect, count, time.Now)
	r.enforcer = enforcer.New(options.Quotas, rand.Uint64(), state.Table, r.sharer.Home, asker.New(enforcer.Method, dialPeer).Ask, count, log, time.Now)
	rank := func() int { return slices.Index(r.sharer.Candidates(), options.Name) }
	r.archiver = archiver.New(deps.Rows, archiveKey, state, detect, deps.StoreNow, deps.StoreEra, rank, options.WeightsPeriodMillis, count, log, time.Now)
	r.relayer = relayer.New(relayer.Dependencies{
		Translator: deps.Translator, Registrar: state, Pool: r.pool, Received: deps.Received, Quarantine: quarantine, Detector: detect, RetryRule: options.Retries,
		DataCentre: options.DataCentre, WeightsMargin: time.Duration(options.WeightsMarginMillis) * time.Millisecond,
		WeightsPeriod: time.Duration(options.WeightsPeriodMillis) * time.Millisecond, FollowedSince: r.feeders[0].FollowedSince,
		AnnouncePart: r.sharer.AnnouncePart, QueryWeights: func(endpoint *monitor.Monitor) { r.roller.RefreshWeights(endpoint) }, AnnounceCrash: r.sharer.AnnounceCrash, AnnounceSuspects: r.sharer.AnnounceSuspects, AnnounceSaid: r.sharer.AnnounceSaid, AnnounceTaken: r.sharer.AnnounceTaken, AnnounceRefusing: r.sharer.AnnounceRefusing, TakePermit: r.permitter.Take, TakeRoom: r.granter.Take, EndClaim: r.granter.EndClaim, TakeTurn: r.admitter.Take, TakePlace: r.throttler.Take, EndPlace: r.throttler.End, Quotas: r.enforcer, LastUseMillis: options.LastUseMillis, Count: count, Log: log, Now: time.Now,
	})
	r.acceptor = acceptor.New(deps.Translator, state, r.relayer, deps.Bodies, count, log, time.Now)
	holder := options.Name + "/" + options.PeerAddress + "@" + time.Now().UTC().Format(time.RFC3339Nano)
	lease := leaser.New(deps.Rows, leaseKey, holder, options.Lease, deps.MonotonicNow, deps.StoreNow)
	orderPause := time.Duration(options.OrderPauseMillis) * time.Millisecond
	r.roller = roller.New(options.Name, state, r.engines(), lease, deps.StoreEra, r.sharer, orderPause, count, log, deps.MonotonicNow)
	return r, nil
}

// Run serves until ctx is cancelled, then finishes the requests in progress
// within the grace period. It returns an error if a listener cannot be opened
// or a server fails.
func (r *Runner) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", r.options.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", r.options.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "listen for probes")
	}
	tables, err := net.Listen("tcp", r.options.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	defer func() {
		for _, closer := range []io.Closer{callers, ready, tables, r.packetConn} {
			_ = closer.Close() // some are closed already
		}
	}()
	failed := make(chan error, 5)
	go func() {
		failed <- r.informer.Serve(weigher.New(r.deps.Received).Listener(tables), r.permitter.Register, r.admitter.Register, r.granter.Register, r.throttler.Register, r.enforcer.Register)
	}()
	go func() { failed <- r.acceptor.Serve(callers) }()
	go func() { failed <- r.probeServer().Serve(listener.New(ready, r.log)) }()
	go func() { failed <- r.sharer.Listen() }()
	if r.options.MetricsAddress != "" {
		if err := r.serveMetrics(failed); err != nil {
			return err
		}
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, feed := range r.feeders {
		go feed.Run(background)
		go r.announceConfirmations(background, feed)
	}
	go r.sharer.Run(background)
	go r.roller.Run(background)
	go r.archiver.Run(background)
	go r.relayer.WatchSilent(background)
	go r.pool.Run(background)
	go r.discoverPeers(background)
	go r.informer.Run(background, r.sharer.TableSource)
	go r.divideBudgets(background)
	if r.options.Quotas.InForce() {
		go r.keepQuotas(background)
	}
	r.log.Info("instance serving", zap.String("name", r.options.Name), zap.String("caller", r.options.CallerAddress))
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	r.drain(callers)
	return nil
}

// Ready reports whether this instance should get new connections.
func (r *Runner) Ready() bool {
	return !r.stopping.Load() && r.registrar.Table() != nil && len(r.registrar.Fleet().All()) > 0
}

// probeServer returns the server that answers readiness probes.
func (r *Runner) probeServer() *fasthttp.Server {
	handle := func(ctx *fasthttp.RequestCtx) {
		if !r.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return
		}
		ctx.SetBodyString("ready\n")
	}
	return &fasthttp.Server{Handler: handle, NoDefaultServerHeader: true, Logger: muter.New()}
}

// serveMetrics starts the metrics server, whose failure is sent to failed.
func (r *Runner) serveMetrics(failed chan<- error) error {
	opened, err := net.Listen("tcp", r.options.MetricsAddress)
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	server := &fasthttp.Server{Handler: r.handleOperator(exposer.New(r.registry)), NoDefaultServerHeader: true, Logger: muter.New()}
	go func() { failed <- server.Serve(listener.New(opened, r.log)) }()
	return nil
}

// announceConfirmations announces to the other instances when the store has confirmed a
// table.
func (r *Runner) announceConfirmations(ctx context.Context, feed *feeder.Feeder) {
	for {
		select {
		case <-feed.Confirmed():
			r.sharer.AnnounceTables()
		case <-ctx.Done():
			return
		}
	}
}
