// Package wisteriadrum is a router for language-model traffic with long
// shared prompts.
package wisteriadrum

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"wisteriadrum/attempter"
	"wisteriadrum/balancer"
	"wisteriadrum/batcher"
	"wisteriadrum/budgeter"
	"wisteriadrum/calibrator"
	"wisteriadrum/claimer"
	"wisteriadrum/configurer"
	"wisteriadrum/coster"
	"wisteriadrum/counter"
	"wisteriadrum/decider"
	"wisteriadrum/delegator"
	"wisteriadrum/deployer"
	"wisteriadrum/dialer"
	"wisteriadrum/fetcher"
	"wisteriadrum/follower"
	"wisteriadrum/forwarder"
	"wisteriadrum/gossiper"
	"wisteriadrum/keeper"
	"wisteriadrum/leaser"
	"wisteriadrum/limiter"
	"wisteriadrum/lister"
	"wisteriadrum/mapper"
	"wisteriadrum/messenger"
	"wisteriadrum/operator"
	"wisteriadrum/pacer"
	"wisteriadrum/picker"
	"wisteriadrum/prober"
	"wisteriadrum/publisher"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refresher"
	"wisteriadrum/server"
	"wisteriadrum/storer"
	"wisteriadrum/streamer"
	"wisteriadrum/tabler"
	"wisteriadrum/tailer"
)

const (
	dialTimeout = time.Second
	// readyPause is how long an instance that stops goes on taking requests,
	// so that the balancer sees that it is not ready.
	readyPause = 2 * time.Second
	drainLimit = 10 * time.Minute
	flushLimit = 5 * time.Second
	abortLimit = time.Second
	shareEvery = time.Second
	keepEvery  = 5 * time.Second
)

// Instance is one router process.
type Instance struct {
	settings *configurer.Settings
	log      *zap.Logger
	registry metrics.Registry
	board    *keeper.Board
	limits   *limiter.Limiter
	batch    *batcher.Batcher
	claims   *claimer.Claimer
	follow   *follower.Follower
	publish  *publisher.Publisher
	gossip   *gossiper.Gossiper
	probe    *prober.Prober
	tail     *tailer.Tailer
	orders   *deployer.Deployer
	decide   *decider.Decider
	server   *server.Server
	operator *fasthttp.Server
}

// Dial opens a connection to address, an IP address and port.
type Dial func(address string) (net.Conn, error)

// New returns an instance that runs by settings, logs to log and opens all its
// connections with dial. A nil dial opens TCP connections within a second.
func New(settings *configurer.Settings, log *zap.Logger, dial Dial) (*Instance, error) {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }
	}
	peers, err := peerDial(settings, dial)
	if err != nil {
		return nil, err
	}
	now := time.Now
	i := &Instance{settings: settings, log: log, registry: metrics.NewRegistry(), board: keeper.New(), limits: limiter.New(settings.MaxInFlight)}
	count := counter.New(i.registry)
	table := tabler.New(fetcher.New(settings.TableAddress, dial))
	store := storer.New(fetcher.New(settings.ObjectStoreAddress, dial))
	holders := mapper.New(settings.CacheMapBytes, now())
	ward := quarantiner.New()
	endpoints := dialer.New(dial, now)
	self := messenger.Member{Name: settings.Name, DataCentre: settings.DataCentre, Peer: settings.PeerAddress, Boot: now().UTC()}

	i.follow = follower.New(i.board, settings.Name, settings.DataCentre, table, store, lister.New(fetcher.New(settings.InstanceListAddress, dial)), count, log)
	i.publish = publisher.New(table, store)
	i.gossip = gossiper.New(self, settings.SeedPeers, i.board, ward, i.follow, holders.NewSlot, peers, count, log, now)
	i.follow.OnChange(i.gossip.Notify)
	i.probe = prober.New(settings.Name, i.board, endpoints, holders.NewSlot, count, now)
	i.tail = tailer.New(i.board, endpoints, holders, settings.EventBytesPerSecond, count, now)
	i.batch = batcher.New(table, count)
	owner := settings.Name + "@" + self.Boot.Format(time.RFC3339Nano)
	lease := leaser.New(table, deployer.LeaseKey, owner, leaser.DefaultTerms(), now)
	i.orders = deployer.New(settings.Name, i.board, endpoints, lease, holders.NewSlot, count, log, now)
	forward := forwarder.New(self, i.board, i.batch, i.gossip, count)
	i.claims = claimer.New(owner, settings.PeerAddress, forward, table, store, i.gossip, count, now)

	policy := coster.New(holders, calibrator.New())
	ask := refresher.New(endpoints, holders, count, now)
	advise := delegator.New(self, i.board, i.gossip, settings.HomeThreshold, count)
	i.decide = decider.New(i.board, policy, ask, holders, now)
	pick := picker.New(i.board, policy, balancer.New(), ask, advise, holders, ward, count, now, i.gossip.Broadcast)
	budget := budgeter.New(budgeter.Default(), now)
	streams := streamer.New(i.board, endpoints, pick, budget, count, now)
	services := attempter.New(endpoints, pick, i.claims, budget, count, now)
	i.server = server.New(i.board, i.limits, streams, services, count, now, settings.MaxBodyBytes, settings.MaxHeaderBytes)
	i.operator = operator.New(i, i.registry, settings.OperatorKeyHash)
	return i, nil
}

// Run serves until ctx ends, then lets the requests under way finish. When
// hurry ends too, it returns at once.
func (i *Instance) Run(ctx, hurry context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	defer listeners.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	go func() { failed <- i.gossip.Serve(listeners.peer, i) }()
	go func() { failed <- i.operator.Serve(listeners.operator) }()
	go func() { failed <- i.server.Serve(listeners.caller) }()
	go i.gossip.Run(background)
	go i.follow.Run(background)
	go i.probe.Run(background)
	go i.tail.Run(background)
	go i.orders.Run(background)
	go i.share(background)
	go i.keepStops(background)
	i.log.Info("instance serving", zap.String("name", i.settings.Name), zap.String("caller", listeners.caller.Addr().String()))
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return i.drain(hurry)
}

// drain takes the instance out of service without cutting a request.
func (i *Instance) drain(hurry context.Context) error {
	i.log.Info("instance stopping", zap.Int("flight", i.limits.InFlight()))
	i.board.Draining.Store(true)
	i.gossip.Notify()
	limit, cancel := context.WithTimeout(hurry, drainLimit)
	defer cancel()
	pacer.Wait(limit, readyPause)
	err := i.server.Shutdown(limit)
	if limit.Err() != nil {
		return i.abort()
	}
	flush, cancel := context.WithTimeout(hurry, flushLimit)
	defer cancel()
	i.claims.Flush(flush)
	i.log.Info("instance stopped", zap.Int("flight", i.limits.InFlight()))
	return eris.Wrap(err, "finish requests")
}

// abort ends the requests under way at once.
func (i *Instance) abort() error {
	i.log.Warn("instance stopped at once", zap.Int("flight", i.limits.InFlight()))
	i.server.Abort()
	limit, cancel := context.WithTimeout(context.Background(), abortLimit)
	defer cancel()
	for i.limits.InFlight() > 0 && pacer.Wait(limit, abortLimit/100) {
		continue
	}
	pacer.Wait(limit, abortLimit/10) // for the answers to be written
	return nil
}

// share divides the limits among the live instances of the data centre.
func (i *Instance) share(ctx context.Context) {
	for pacer.Wait(ctx, shareEvery) {
		near := 0
		for _, member := range i.board.Members.Load() {
			if member.DataCentre == i.settings.DataCentre && !member.Leaving {
				near++
			}
		}
		i.limits.SetInstances(near)
	}
}

// keepStops writes planned stops to the platform that it does not hold yet.
func (i *Instance) keepStops(ctx context.Context) {
	for pacer.Wait(ctx, keepEvery) {
		stops := i.board.Stops.Load()
		if stops.Hash() == i.board.StoredStopsHash.Load() {
			continue
		}
		limit, cancel := context.WithTimeout(ctx, stopWrite)
		if i.publish.PublishStops(limit, stops.List()...) == nil {
			i.board.StoredStopsHash.Store(stops.Hash())
		}
		cancel()
	}
}

type listeners struct {
	caller, operator, peer net.Listener
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.operator, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (i *Instance) listen() (*listeners, error) {
	open := &listeners{}
	var err error
	if open.peer, err = listen(i.settings.PeerAddress, i.settings.PeerTLS.Server); err == nil {
		if open.operator, err = listen(i.settings.OperatorAddress, i.settings.OperatorTLS.Server); err == nil {
			open.caller, err = listen(i.settings.CallerAddress, i.settings.CallerTLS.Server)
		}
	}
	if err != nil {
		open.close()
		return nil, err
	}
	return open, nil
}

func listen(address string, secure func() (*tls.Config, error)) (net.Listener, error) {
	config, err := secure()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return listener, nil
}

func peerDial(settings *configurer.Settings, dial Dial) (Dial, error) {
	secure, err := settings.PeerTLS.Client()
	if err != nil {
		return nil, err
	}
	if secure == nil {
		return dial, nil
	}
	return func(address string) (net.Conn, error) {
		config, err := secure()
		if err != nil {
			return nil, err
		}
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return tls.Client(conn, config), nil
	}, nil
}

// LoadSettings reads the settings in the file named name.
func LoadSettings(name string) (*configurer.Settings, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return configurer.New(source)
}
