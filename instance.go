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

	"wisteriadrum/allotter"
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
	"wisteriadrum/divider"
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
	"wisteriadrum/weigher"
)

const (
	dialTimeout = time.Second
	// cacheMapExpiryInterval is the mean interval at which old entries of the cache
	// map are removed.
	cacheMapExpiryInterval = 10 * time.Minute
	shareInterval          = time.Second
	// joinTime is the time within which all instances know one that has started.
	joinTime           = 5 * time.Second
	storeStopsInterval = 5 * time.Second
)

// Instance is one process of the router.
type Instance struct {
	settings *configurer.Settings
	log      *zap.Logger
	registry metrics.Registry
	board    *keeper.Board
	limits   *limiter.Limiter
	budget   *budgeter.Budget
	count    *counter.Counter
	batch    *batcher.Batcher
	claims   *claimer.Claimer
	follow   *follower.Follower
	publish  *publisher.Publisher
	gossip   *gossiper.Gossiper
	weigh    *weigher.Weigher
	probe    *prober.Prober
	tail     *tailer.Tailer
	deploy   *deployer.Deployer
	cacheMap *mapper.Map
	decide   *decider.Decider
	server   *server.Server
	operator *fasthttp.Server
}

// Dial opens a connection to address, an IP address and port.
type Dial func(address string) (net.Conn, error)

// New returns an instance with the given settings that logs to log and opens all
// its connections with dial. A nil dial opens TCP connections with a timeout of
// one second.
func New(settings *configurer.Settings, log *zap.Logger, dial Dial) (*Instance, error) {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }
	}
	peerDial, err := newPeerDial(settings, dial)
	if err != nil {
		return nil, err
	}
	now := time.Now
	i := &Instance{settings: settings, log: log, registry: metrics.NewRegistry(), board: keeper.New(), limits: limiter.New(settings.MaxInFlight)}
	count := counter.New(i.registry)
	i.count = count
	received := allotter.New(int64(settings.MaxReceivedBytes))
	i.weigh = weigher.New(received)
	table := tabler.New(fetcher.New(settings.TableAddress, dial, received))
	store := storer.New(fetcher.New(settings.ObjectStoreAddress, dial, received))
	cacheMap := mapper.New(settings.CacheMapBytes, now())
	i.cacheMap = cacheMap
	quarantine := quarantiner.New()
	endpointDialer := dialer.New(dial, now, received)
	member := messenger.Member{Name: settings.Name, DataCentre: settings.DataCentre, Peer: settings.PeerAddress, Boot: now().UTC()}

	i.follow = follower.New(i.board, settings.Name, settings.DataCentre, table, store, lister.New(fetcher.New(settings.InstanceListAddress, dial, received)), count, log)
	i.publish = publisher.New(table, store)
	i.gossip = gossiper.New(member, settings.SeedPeers, i.board, quarantine, i.follow, cacheMap.NewSlot, i.weigh.Dial(peerDial), count, log, now)
	i.follow.OnChange(i.gossip.Notify)
	i.probe = prober.New(settings.Name, i.board, endpointDialer, cacheMap.NewSlot, count, now)
	i.tail = tailer.New(i.board, endpointDialer, cacheMap, settings.EventBytesPerSecond, count, now)
	i.batch = batcher.New(table, count)
	owner := settings.Name + "@" + member.Boot.Format(time.RFC3339Nano)
	lease := leaser.New(table, deployer.LeaseKey, owner, leaser.DefaultTerms(), now, noTableClock)
	i.deploy = deployer.New(settings.Name, i.board, endpointDialer, lease, cacheMap.NewSlot, count, log, now)
	forward := forwarder.New(member, i.board, i.batch, i.gossip, count)
	i.claims = claimer.New(owner, settings.PeerAddress, forward, table, store, i.gossip, count, now)

	policy := coster.New(cacheMap, calibrator.New())
	ask := refresher.New(endpointDialer, cacheMap, count, now)
	advise := delegator.New(member, i.board, i.gossip, settings.HomeThreshold, count)
	i.decide = decider.New(i.board, policy, ask, cacheMap, now)
	pick := picker.New(i.board, policy, balancer.New(), ask, advise, cacheMap, quarantine, count, now, i.gossip.Broadcast)
	i.budget = budgeter.New(budgeter.Default(), 0, now)
	streams := streamer.New(i.board, endpointDialer, pick, i.budget, count, now)
	services := attempter.New(endpointDialer, pick, i.claims, i.budget, count, now)
	i.server = server.New(i.board, i.limits, streams, services, count, now, settings.MaxBodyBytes, settings.MaxHeaderBytes)
	i.operator = operator.New(i, i.registry, settings.OperatorKeyHash)
	return i, nil
}

// Run serves until ctx ends and then drains: it waits for the requests in flight.
// When abort ends too, it ends them and returns.
func (i *Instance) Run(ctx, abort context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	defer listeners.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	go func() { failed <- i.gossip.Serve(i.weigh.Listener(listeners.peer), i) }()
	go func() { failed <- i.operator.Serve(listeners.operator) }()
	go func() { failed <- i.server.Serve(listeners.caller) }()
	go i.gossip.Run(background)
	go i.follow.Run(background)
	go i.probe.Run(background)
	go i.tail.Run(background)
	go i.deploy.Run(background)
	go i.shareLimits(background)
	go i.divideBudget(background)
	go pacer.Repeat(background, cacheMapExpiryInterval, func(context.Context) { i.cacheMap.Expire(time.Now()) })
	go i.storeStops(background)
	i.log.Info("instance serving", zap.String("name", i.settings.Name), zap.String("caller", listeners.caller.Addr().String()))
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return i.drain(abort)
}

// shareLimits divides the limits of each workspace among the instances of the data
// centre that are live and not draining.
func (i *Instance) shareLimits(ctx context.Context) {
	for pacer.Wait(ctx, shareInterval) {
		instances := 0
		for _, member := range i.board.Members.Load() {
			if member.DataCentre == i.settings.DataCentre && !member.Leaving {
				instances++
			}
		}
		i.limits.SetInstances(instances)
	}
}

// divideBudget divides the extra retries among all instances.
func (i *Instance) divideBudget(ctx context.Context) {
	divide, lastMembers, lastShare := divider.New(retryDelay(i.settings)), 0, 0.0
	for {
		members, live := i.gossip.MemberCount(), len(i.gossip.Members())
		share := divide.Share(members, live, time.Now())
		i.budget.SetShare(share)
		i.count.Set("budget.members", members)
		i.count.Set("budget.share-permille", int(share*1000))
		if members != lastMembers || share != lastShare {
			i.log.Info("extra retries divided", zap.Int("members", members), zap.Int("live", live), zap.Float64("share", share))
		}
		lastMembers, lastShare = members, share
		select {
		case <-i.gossip.Discovered():
		case <-time.After(shareInterval):
		case <-ctx.Done():
			return
		}
	}
}

// retryDelay returns how long after it has reached the others an instance may use its share
// of the extra retries: once all know it, and no retry that they or an earlier process of
// this instance have sent from that share is in the window any more.
func retryDelay(settings *configurer.Settings) time.Duration {
	if settings.FirstStart {
		return 0
	}
	return joinTime + time.Duration(budgeter.Default().WindowMillis)*time.Millisecond
}

// storeStops writes the planned stops to the platform whenever they differ from
// the stored ones.
func (i *Instance) storeStops(ctx context.Context) {
	for pacer.Wait(ctx, storeStopsInterval) {
		stops := i.board.Stops.Load()
		if stops.Hash() == i.board.StoredStopsHash.Load() {
			continue
		}
		writeCtx, cancel := context.WithTimeout(ctx, stopWriteTimeout)
		if i.publish.PublishStops(writeCtx, stops.List()...) == nil {
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

// newPeerDial returns a dial function for connections between instances, with TLS
// if it is configured.
func newPeerDial(settings *configurer.Settings, dial Dial) (Dial, error) {
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

// LoadSettings reads and validates the settings file name.
func LoadSettings(name string) (*configurer.Settings, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return configurer.New(source)
}
