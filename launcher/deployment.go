// Package launcher starts a complete deployment (emulated platform, engines,
// services and instances) in one process on loopback, for the demo and tests.
package launcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum"
	"wisteriadrum/booker"
	"wisteriadrum/cataloguer"
	"wisteriadrum/configurer"
	"wisteriadrum/director"
	"wisteriadrum/emulator"
	"wisteriadrum/grouper"
	"wisteriadrum/host"
	"wisteriadrum/inferrer"
	"wisteriadrum/modeler"
	"wisteriadrum/tenant"
	"wisteriadrum/worker"
)

// Options configures a deployment.
type Options struct {
	DataCentres []string
	// Instances and Engines are numbers per data centre.
	Instances  int
	Engines    int
	Services   int // over all data centres
	Workspaces int
	Engine     inferrer.Options
	Objective  director.Objective
	// WrapListener, if set, wraps the listeners of engines and services.
	WrapListener func(name string, inner net.Listener) net.Listener
	// HomeThreshold is the instances' setting of that name; 0 selects the default.
	HomeThreshold int
	// EditConfig, if set, edits the configuration before it is published.
	EditConfig func(*cataloguer.Config)
	Log        *zap.Logger
}

// Model name and service paths that every deployment has.
const (
	Model       = "lingua"
	BookingPath = "/book"
	StockPath   = "/stock"
)

const readyTimeout = 15 * time.Second

// Deployment is a running deployment.
type Deployment struct {
	Platform  *emulator.Platform
	Engines   []*Engine
	Services  []*booker.Service
	Instances []*Instance
	Config    *cataloguer.Config

	options Options
	network *network
	address string // of the platform
	closers []func()
	running sync.WaitGroup
}

// Engine is an emulated engine that can be crashed and restarted at its address.
type Engine struct {
	*inferrer.Engine
	Name    string
	Address string
	options inferrer.Options
}

// Instance is an instance with the settings that it was started with.
type Instance struct {
	*wisteriadrum.Instance
	Settings *configurer.Settings
	stop     context.CancelFunc
	abort    context.CancelFunc
	done     chan struct{}
}

// New starts a deployment, publishes its configuration and waits until all
// instances are ready.
func New(options Options) (*Deployment, error) {
	d := &Deployment{options: options, network: newNetwork(), Platform: emulator.New(time.Now)}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// WorkspaceKey returns the bearer key of the workspace with the given index.
func WorkspaceKey(workspace int) string { return fmt.Sprintf("key-%d", workspace) }

// CallerAddresses returns the addresses on which the instances accept requests.
func (d *Deployment) CallerAddresses() []string {
	var addresses []string
	for _, instance := range d.Instances {
		addresses = append(addresses, instance.Settings.CallerAddress)
	}
	return addresses
}

// RestartEngine starts the engine at its address with an empty cache.
func (d *Deployment) RestartEngine(engine *Engine) error {
	options := engine.options
	var restarted *inferrer.Engine
	options.OnCrash = func() { restarted.Crash() }
	restarted = inferrer.New(options)
	engine.Engine = restarted
	return d.serve(engine.Address, d.wrap(engine.Name, engine.Engine.Serve))
}

func (d *Deployment) wrap(name string, run func(net.Listener) error) func(net.Listener) error {
	if d.options.WrapListener == nil {
		return run
	}
	return func(listener net.Listener) error { return run(d.options.WrapListener(name, listener)) }
}

// AddInstance starts another instance in a data centre, with all earlier
// instances as its seed peers.
func (d *Deployment) AddInstance(dataCentre string) (*Instance, error) {
	settings := &configurer.Settings{
		Name: fmt.Sprintf("%s-%d", dataCentre, len(d.Instances)+1), DataCentre: dataCentre,
		CallerAddress: FreeAddress(), OperatorAddress: FreeAddress(), PeerAddress: FreeAddress(), TableAddress: d.address, ObjectStoreAddress: d.address, InstanceListAddress: d.address, HomeThreshold: d.options.HomeThreshold, FirstStart: true,
	}
	for _, instance := range d.Instances {
		settings.SeedPeers = append(settings.SeedPeers, instance.Settings.PeerAddress)
	}
	d.network.assign(settings.PeerAddress, dataCentre)
	instance, err := d.StartInstance(settings.WithDefaults())
	if err == nil {
		d.Instances = append(d.Instances, instance)
	}
	return instance, err
}

// StartInstance starts an instance with the given settings; it is not added to
// Instances.
func (d *Deployment) StartInstance(settings *configurer.Settings) (*Instance, error) {
	router, err := wisteriadrum.New(settings, d.options.Log, d.network.dialFrom(settings.DataCentre))
	if err != nil {
		return nil, err
	}
	instance := &Instance{Instance: router, Settings: settings, done: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	instance.stop, instance.abort = stop, abort
	d.running.Go(func() {
		defer close(instance.done)
		if err := router.Run(ctx, abortCtx); err != nil {
			d.options.Log.Error("instance ended with an error", zap.Error(err))
		}
	})
	return instance, nil
}

// Partition disconnects a data centre from all others and from the platform,
// or reconnects it.
func (d *Deployment) Partition(dataCentre string, isolated bool) {
	d.network.isolate(dataCentre, isolated)
}

// Stop starts a graceful shutdown of the instance; the returned channel is
// closed when the shutdown is complete.
func (i *Instance) Stop() <-chan struct{} {
	i.stop()
	return i.done
}

// Kill aborts the instance without draining its requests and waits for its end.
func (i *Instance) Kill() {
	i.stop()
	i.abort()
	<-i.done
}

// Close aborts all instances, waits for them and closes all listeners.
func (d *Deployment) Close() {
	for _, instance := range d.Instances {
		instance.stop()
		instance.abort()
	}
	d.running.Wait()
	for _, closeListener := range d.closers {
		closeListener()
	}
}

// WaitReady waits until all instances are ready for requests. It returns an
// error if one is not ready within 15 seconds.
func (d *Deployment) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, instance := range d.Instances {
		for !instance.Ready() {
			if time.Now().After(deadline) {
				return eris.Errorf("instance %s is not ready", instance.Settings.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (d *Deployment) start() error {
	d.address = FreeAddress()
	if err := d.serve(d.address, d.Platform.Serve); err != nil {
		return err
	}
	d.Config = d.baseConfig()
	if err := d.startEndpoints(); err != nil {
		return err
	}
	if d.options.EditConfig != nil {
		d.options.EditConfig(d.Config)
	}
	for _, dataCentre := range d.options.DataCentres {
		for range d.options.Instances {
			if _, err := d.AddInstance(dataCentre); err != nil {
				return err
			}
		}
	}
	if _, err := d.Instances[0].Publish(context.Background(), d.Config.Encode(), nil); err != nil {
		return err
	}
	return d.WaitReady()
}

// baseConfig returns the configuration without endpoints.
func (d *Deployment) baseConfig() *cataloguer.Config {
	options := d.options
	config := &cataloguer.Config{
		Models: []modeler.Model{{Name: Model, Versions: []string{"v1", "v2"}, Piece: options.Engine.PieceBytes}},
		Pools: []grouper.Pool{
			{Name: "hall", Kind: grouper.Engine, Model: Model, Version: "v1", CanContinue: true, PrefillNanosPerByte: options.Engine.PrefillNanosPerByte},
			{Name: "office", Kind: grouper.Service},
		},
		Routes: []director.Route{
			{Name: "contracts", Pool: "hall", Model: Model, Objective: options.Objective},
			{Name: "booking", Pool: "office", Prefix: BookingPath, AtMostOnce: true},
			{Name: "stock", Pool: "office", Prefix: StockPath},
		},
	}
	for _, dataCentre := range options.DataCentres {
		config.DataCentres = append(config.DataCentres, host.DataCentre{Name: dataCentre, Region: "region"})
	}
	for i := range options.Workspaces {
		digest := sha256.Sum256([]byte(WorkspaceKey(i)))
		config.Workspaces = append(config.Workspaces, tenant.Workspace{Name: fmt.Sprintf("workspace-%d", i), KeyHash: hex.EncodeToString(digest[:])})
	}
	return config
}

func (d *Deployment) startEndpoints() error {
	for _, dataCentre := range d.options.DataCentres {
		for i := range d.options.Engines {
			engine := &Engine{Name: fmt.Sprintf("%s-engine-%d", dataCentre, i+1), Address: FreeAddress(), options: d.options.Engine}
			if err := d.RestartEngine(engine); err != nil {
				return err
			}
			d.network.assign(engine.Address, dataCentre)
			d.Engines = append(d.Engines, engine)
			d.Config.Endpoints = append(d.Config.Endpoints, worker.Endpoint{Name: engine.Name, Pool: "hall", DataCentre: dataCentre, Address: engine.Address})
		}
	}
	for i := range d.options.Services {
		service, address := booker.New(), FreeAddress()
		if err := d.serve(address, d.wrap(fmt.Sprintf("office-%d", i+1), service.Serve)); err != nil {
			return err
		}
		d.Services = append(d.Services, service)
		dataCentre := d.options.DataCentres[i%len(d.options.DataCentres)]
		d.network.assign(address, dataCentre)
		d.Config.Endpoints = append(d.Config.Endpoints, worker.Endpoint{Name: fmt.Sprintf("office-%d", i+1), Pool: "office", DataCentre: dataCentre, Address: address})
	}
	return nil
}

func (d *Deployment) serve(address string, run func(net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	d.closers = append(d.closers, func() { _ = listener.Close() })
	go func() { _ = run(listener) }() // ends when the listener is closed
	return nil
}
